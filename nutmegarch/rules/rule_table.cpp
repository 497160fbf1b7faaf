#include "nutmegarch/rules/rule_table.h"

#include <utility>

namespace nutmegarch::rules {

namespace {

void add_match(const rule& match, call_rules& found) {
  switch (match.kind) {
    case rule_kind::call_class:
      found.cls = &match;
      break;
    case rule_kind::order:
      found.order = &match;
      break;
    case rule_kind::timeout:
      found.timeout = &match;
      break;
    case rule_kind::retry:
      found.retry = &match;
      break;
    case rule_kind::hedge:
      found.hedge = &match;
      break;
    case rule_kind::shed:
      found.shed.push_back(&match);
      break;
    case rule_kind::limit:
      found.limits.push_back(&match);
      break;
    default:
      break;
  }
}

}  // namespace

rule_table::rule_table(rule_file file) : file_(std::move(file)) {
  for (const rule& known : file_.rules) {
    switch (known.kind) {
      case rule_kind::quarantine:
        quarantined_[known.fingerprint] = &known;
        break;
      case rule_kind::drain:
      case rule_kind::weigh:
        hosts_[known.host] = &known;
        break;
      default:
        by_service_[known.service].push_back(&known);
    }
  }
}

call_rules rule_table::find(const call_facts& call) const {
  call_rules found;
  // Rules for any service are added first, so that rules that name the service override them.
  const std::string any_service;
  for (const std::string* const service : {&any_service, &call.service}) {
    auto candidates = by_service_.find(*service);
    if (candidates == by_service_.end()) {
      continue;
    }
    for (const rule* const candidate : candidates->second) {
      const bool is_caller = candidate->caller.empty() || candidate->caller == call.caller;
      if (is_caller && matches_route(candidate->route, call.path)) {
        add_match(*candidate, found);
      }
    }
  }
  return found;
}

const rule* rule_table::find_quarantine(std::uint64_t fingerprint) const {
  auto found = quarantined_.find(fingerprint);
  return found == quarantined_.end() ? nullptr : found->second;
}

const rule* rule_table::find_host(const std::string& host) const {
  auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : found->second;
}

bool matches_route(const std::string& route, const std::string& path) {
  if (route.empty()) {
    return true;
  }
  if (route.back() == '*') {
    return path.compare(0, route.size() - 1, route, 0, route.size() - 1) == 0;
  }
  return path == route;
}

bool applies_to_class(const rule& shed, nutmegarch::call_class cls) { return !shed.cls || *shed.cls == cls; }

}  // namespace nutmegarch::rules
