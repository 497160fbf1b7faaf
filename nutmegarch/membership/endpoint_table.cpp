#include "nutmegarch/membership/endpoint_table.h"

#include <set>

namespace nutmegarch::membership {

namespace {

double weight_by(const rules::rule_table& rules, const std::string& host) {
  const rules::rule* const found = rules.find_host(host);
  if (found == nullptr) {
    return 1;
  }
  return found->kind == rules::rule_kind::drain ? 0 : found->weight;
}

}  // namespace

std::vector<policy::endpoint_ptr> endpoint_table::apply(const std::string& service, const host_list& list,
                                                        const rules::rule_table& rules) {
  std::vector<policy::endpoint_ptr> endpoints;
  std::set<std::string> listed;
  for (const published_host& host : list.hosts) {
    listed.insert(host.host);
    policy::endpoint_ptr& known = by_host_[host.host];
    if (!known || known->address != host.peers) {
      known = policy::endpoint_ptr(new policy::endpoint());
    }
    known->host = host.host;
    known->service = service;
    known->domain = host.domain;
    known->region = host.region;
    known->address = host.peers;
    known->distance = proximity_to(host);
    known->slots = host.slots;
    known->published_load = host.load;
    known->published_leaving = host.leaving;
    known->weight = weight_by(rules, host.host);
    endpoints.push_back(known);
  }

  // Forget the hosts of this service that are not published any more.
  for (auto it = by_host_.begin(); it != by_host_.end();) {
    const bool is_gone = it->second->service == service && listed.count(it->first) == 0;
    it = is_gone ? by_host_.erase(it) : std::next(it);
  }
  return endpoints;
}

void endpoint_table::apply_rules(const rules::rule_table& rules) {
  for (const std::pair<const std::string, policy::endpoint_ptr>& known : by_host_) {
    known.second->weight = weight_by(rules, known.first);
  }
}

void endpoint_table::on_report(const self_report& report) {
  auto found = by_host_.find(report.host);
  if (found == by_host_.end()) {
    return;
  }
  policy::endpoint& known = *found->second;
  if (known.incarnation != report.incarnation) {
    known.incarnation = report.incarnation;
    known.level_expires = time_point{};
    known.carried_at = time_point{};
    known.joined = time_point{};
    known.consecutive_losses = 0;
    known.ejections = 0;
    known.ejected_until = time_point{};
  }
  known.said_leaving = report.leaving;
}

policy::endpoint_ptr endpoint_table::find(const std::string& host) const {
  auto found = by_host_.find(host);
  return found == by_host_.end() ? nullptr : found->second;
}

std::string endpoint_table::find_unknown() {
  auto it = by_host_.upper_bound(last_unknown_);
  for (std::size_t i = 0; i < by_host_.size(); ++i, ++it) {
    it = it == by_host_.end() ? by_host_.begin() : it;
    if (it->second->incarnation == 0) {
      last_unknown_ = it->first;
      return it->second->address;
    }
  }
  return {};
}

policy::proximity endpoint_table::proximity_to(const published_host& host) const {
  if (host.host == place_.host) {
    return policy::proximity::same_host;
  }
  if (host.domain == place_.domain) {
    return policy::proximity::same_domain;
  }
  return host.region == place_.region ? policy::proximity::same_region : policy::proximity::other_region;
}

}  // namespace nutmegarch::membership
