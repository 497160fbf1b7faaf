#pragma once

#include <map>
#include <string>
#include <vector>

#include "nutmegarch/membership/host_list.h"
#include "nutmegarch/policy/endpoint.h"
#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::membership {

/// Where a node stands, by its settings.
struct own_place {
  std::string host;
  std::string domain;
  std::string region;
};

/// What a node says of itself in an exchange.
struct self_report {
  std::string host;
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

/// The endpoints of the services that a node calls: the published list, corrected by what peers say.
/// No I/O; not thread-safe.
class endpoint_table {
 public:
  explicit endpoint_table(own_place place) : place_(std::move(place)) {}

  /// Takes a newly published list of a service. Returns its endpoints; those that stay keep their state.
  std::vector<policy::endpoint_ptr> apply(const std::string& service, const host_list& list,
                                          const rules::rule_table& rules, time_point now);

  /// Applies the rules that drain or weigh hosts.
  void apply_rules(const rules::rule_table& rules);

  /// A peer spoke for itself. A new incarnation starts with a clean record.
  void on_report(const self_report& report);

  policy::endpoint_ptr find(const std::string& host) const;

  /// Address of an endpoint whose incarnation is not known yet, each in its turn; empty when there is none.
  std::string find_unknown();

 private:
  policy::proximity proximity_to(const published_host& host) const;

  own_place place_;
  /// By host, and by instance where there is one. A host has several entries while one target process
  /// follows another.
  std::map<std::string, policy::endpoint_ptr> by_key_;
  /// Key after which find_unknown() goes on.
  std::string last_unknown_;
};

}  // namespace nutmegarch::membership
