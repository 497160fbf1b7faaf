#include "nutmegarch/membership/endpoint_table.h"

#include <set>

namespace nutmegarch::membership {

namespace {

double weight_from(const rules::rule_table& rules, const std::string& host) {
  const rules::rule* const found = rules.find_host(host);
  if (found == nullptr) {
    return 1;
  }
  return found->kind == rules::rule_kind::drain ? 0 : found->weight;
}

/// Separates host and instance in a key. Neither of them contains it.
constexpr char key_separator = '\t';

std::string key_of(const std::string& host, const std::string& instance) {
  return instance.empty() ? host : host + key_separator + instance;
}

/// True when the key belongs to a target process of the host.
bool is_key_of(const std::string& key, const std::string& host) {
  return key.compare(0, host.size(), host) == 0 &&
         (key.size() == host.size() || key.at(host.size()) == key_separator);
}

}  // namespace

std::vector<policy::endpoint_ptr> endpoint_table::apply(const std::string& service, const host_list& list,
                                                        const rules::rule_table& rules, time_point now) {
  std::vector<policy::endpoint_ptr> endpoints;
  std::set<std::string> listed;
  for (const published_host& host : list.hosts) {
    const std::string key = key_of(host.host, host.instance);
    listed.insert(key);
    policy::endpoint_ptr& known = by_key_[key];
    if (!known || known->address != host.peer_address ||
        known->process_started_ms != host.process_started_ms) {
      known = policy::endpoint_ptr(new policy::endpoint());
      known->is_new = host.cold_remaining > duration{};
      known->cold_until = host.cold_remaining > duration{} ? now + host.cold_remaining : time_point{};
    }
    known->host = host.host;
    known->instance = host.instance;
    known->process_started_ms = host.process_started_ms;
    known->service = service;
    known->domain = host.domain;
    known->region = host.region;
    known->address = host.peer_address;
    known->distance = proximity_to(host);
    known->slots = host.slots;
    known->published_load = host.load;
    known->target_leaving = host.leaving;
    known->weight = weight_from(rules, host.host);
    endpoints.push_back(known);
  }

  // Remove the endpoints of this service that are no longer published.
  for (auto it = by_key_.begin(); it != by_key_.end();) {
    const bool is_gone = it->second->service == service && listed.count(it->first) == 0;
    it = is_gone ? by_key_.erase(it) : std::next(it);
  }
  return endpoints;
}

void endpoint_table::apply_rules(const rules::rule_table& rules) {
  for (const std::pair<const std::string, policy::endpoint_ptr>& known : by_key_) {
    known.second->weight = weight_from(rules, known.second->host);
  }
}

void endpoint_table::on_report(const self_report& report) {
  for (auto it = by_key_.lower_bound(report.host); it != by_key_.end() && is_key_of(it->first, report.host);
       ++it) {
    policy::endpoint& known = *it->second;
    if (known.incarnation != report.incarnation) {
      known.incarnation = report.incarnation;
      known.level_expires = time_point{};
      known.load_reported_at = time_point{};
      known.first_used_at = time_point{};
      known.consecutive_losses = 0;
      known.ejections = 0;
      known.ejected_until = time_point{};
    }
    known.reported_leaving = report.leaving;
  }
}

void endpoint_table::on_target_leaving(const std::string& host, const policy::target_process& process) {
  auto found = by_key_.find(key_of(host, process.instance));
  if (found != by_key_.end() && found->second->process_started_ms <= process.started_ms) {
    found->second->target_leaving = true;
  }
}

policy::endpoint_ptr endpoint_table::find(const std::string& host) const {
  auto found = by_key_.lower_bound(host);
  return found == by_key_.end() || !is_key_of(found->first, host) ? nullptr : found->second;
}

std::string endpoint_table::next_without_incarnation() {
  auto it = by_key_.upper_bound(last_returned_key_);
  for (std::size_t i = 0; i < by_key_.size(); ++i, ++it) {
    it = it == by_key_.end() ? by_key_.begin() : it;
    if (it->second->incarnation == 0) {
      last_returned_key_ = it->first;
      return it->second->address;
    }
  }
  return {};
}

policy::proximity endpoint_table::proximity_to(const published_host& host) const {
  if (host.host == location_.host) {
    return policy::proximity::same_host;
  }
  if (host.domain == location_.domain) {
    return policy::proximity::same_domain;
  }
  return host.region == location_.region ? policy::proximity::same_region : policy::proximity::other_region;
}

}  // namespace nutmegarch::membership
