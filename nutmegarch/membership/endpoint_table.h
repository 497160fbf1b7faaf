#pragma once

#include <map>
#include <string>
#include <vector>

#include "nutmegarch/membership/host_list.h"
#include "nutmegarch/policy/departure_registry.h"
#include "nutmegarch/policy/endpoint.h"
#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::membership {

/// Host, failure domain and region of a node, from its settings.
struct node_location {
  std::string host;
  std::string domain;
  std::string region;
};

/// State that a node reports about itself in an exchange.
struct self_report {
  std::string host;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

/// The endpoints of the services that a node calls: the published hosts, with the more recent state that
/// peers reported about themselves. No I/O; not thread-safe.
class endpoint_table {
 public:
  explicit endpoint_table(node_location location) : location_(std::move(location)) {}

  /// Applies a newly published host list of a service. Returns the endpoints of the list. An endpoint that
  /// was already known keeps its state, unless its address or process has changed. Endpoints of the service
  /// that are not in the list are removed.
  std::vector<policy::endpoint_ptr> apply(const std::string& service, const host_list& list,
                                          const rules::rule_table& rules, time_point now);

  /// Sets the weight of every endpoint from the drain and weight rules.
  void apply_rules(const rules::rule_table& rules);

  /// Applies a peer's report about itself. A new incarnation starts without the losses and ejections of the
  /// previous one.
  void on_report(const self_report& report);

  /// A target process of the host is leaving. Does not apply to a newer process of the same instance.
  void on_target_leaving(const std::string& host, const policy::target_process& process);

  /// The first endpoint of a host; null when there is none.
  policy::endpoint_ptr find(const std::string& host) const;

  /// Address of the next endpoint whose incarnation is not known yet, in round-robin order; empty when there
  /// is none.
  std::string next_without_incarnation();

 private:
  policy::proximity proximity_to(const published_host& host) const;

  node_location location_;
  /// Endpoints by host, and by instance where there is one. A host has several entries while one target
  /// process replaces another.
  std::map<std::string, policy::endpoint_ptr> by_key_;
  /// Key of the endpoint that next_without_incarnation() returned last.
  std::string last_returned_key_;
};

}  // namespace nutmegarch::membership
