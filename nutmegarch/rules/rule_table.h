#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/rules/rule_file.h"

namespace nutmegarch::rules {

/// What rules apply to a call by.
struct call_facts {
  std::string service;
  std::string path;
  std::string caller;
};

/// The rules that hold for one call. Pointers live as long as the table; null where no rule applies.
struct call_rules {
  const rule* cls = nullptr;
  const rule* order = nullptr;
  const rule* timeout = nullptr;
  const rule* retry = nullptr;
  const rule* hedge = nullptr;
  /// All that match, since each may name another class.
  std::vector<const rule*> shed;
  /// All that match, since each bounds something else.
  std::vector<const rule*> limits;
};

/// The rules in force, ordered for look-up. Immutable. Where several lines of one kind match, the last
/// counts.
class rule_table {
 public:
  rule_table() = default;
  explicit rule_table(rule_file file);
  rule_table(const rule_table&) = delete;
  rule_table& operator=(const rule_table&) = delete;

  /// Rules for a call. Looks only at the rules of its service and at those for any service.
  call_rules find(const call_facts& call) const;

  /// The rule that puts a fingerprint under quarantine; null when there is none.
  const rule* find_quarantine(std::uint64_t fingerprint) const;

  /// The rule that drains or weighs a host; null when there is none.
  const rule* find_host(const std::string& host) const;

  const rule_file& file() const { return file_; }

 private:
  rule_file file_;
  std::unordered_map<std::string, std::vector<const rule*>> by_service_;
  std::unordered_map<std::uint64_t, const rule*> quarantined_;
  std::unordered_map<std::string, const rule*> hosts_;
};

/// True when a path is the route, or starts with it when the route ends with '*'. An empty route matches all.
bool matches_route(const std::string& route, const std::string& path);

/// Share of a shed rule: true when the rule is for calls of this class.
bool applies_to_class(const rule& shed, nutmegarch::call_class cls);

}  // namespace nutmegarch::rules
