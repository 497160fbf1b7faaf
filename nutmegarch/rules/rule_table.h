#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/rules/rule_file.h"

namespace nutmegarch::rules {

/// Properties of a call that rules are matched against.
struct call_facts {
  std::string service;
  std::string path;
  std::string caller;
};

/// The rules that apply to one call. The table owns them; a pointer is null where no rule applies.
struct call_rules {
  const rule* cls = nullptr;
  const rule* order = nullptr;
  const rule* timeout = nullptr;
  const rule* retry = nullptr;
  const rule* hedge = nullptr;
  /// All matching rules, since each may apply to another call class.
  std::vector<const rule*> shed;
  /// All matching rules, since each may limit a different quantity.
  std::vector<const rule*> limits;
};

/// An immutable index of the rules in force. When several rules of one kind match a call, the last in the
/// file applies, and a rule that names the service takes precedence over one for any service.
class rule_table {
 public:
  rule_table() = default;
  explicit rule_table(rule_file file);
  rule_table(const rule_table&) = delete;
  rule_table& operator=(const rule_table&) = delete;

  /// Returns the rules that apply to a call. Checks only the rules of its service and those for any service.
  call_rules find(const call_facts& call) const;

  /// Returns the rule that quarantines a fingerprint; null when there is none.
  const rule* find_quarantine(std::uint64_t fingerprint) const;

  /// Returns the rule that drains or weights a host; null when there is none.
  const rule* find_host(const std::string& host) const;

  const rule_file& file() const { return file_; }

 private:
  rule_file file_;
  std::unordered_map<std::string, std::vector<const rule*>> by_service_;
  std::unordered_map<std::uint64_t, const rule*> quarantined_;
  std::unordered_map<std::string, const rule*> hosts_;
};

/// True when the path equals the route, or has it as a prefix when the route ends with '*'. An empty route
/// matches all.
bool matches_route(const std::string& route, const std::string& path);

/// True when a shed rule applies to calls of this class.
bool applies_to_class(const rule& shed, nutmegarch::call_class cls);

}  // namespace nutmegarch::rules
