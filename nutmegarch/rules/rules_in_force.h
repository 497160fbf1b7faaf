#pragma once

#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::rules {

/// Place of a rule file in the one order in which files replace each other.
struct rules_order {
  std::uint64_t version = 0;
  /// Revision of the configuration service at which it was read.
  std::uint64_t revision = 0;
  std::uint64_t hash = 0;

  friend bool operator<(const rules_order& left, const rules_order& right) {
    return std::tie(left.version, left.revision, left.hash) <
           std::tie(right.version, right.revision, right.hash);
  }
};

/// What became of a rule file that was offered.
struct rules_verdict {
  enum class kind : std::uint8_t {
    /// In force from now on.
    accepted,
    /// It is in force already.
    same,
    /// It is older than what is in force, and was ignored.
    stale,
    /// Somebody published a file with an older version; refused.
    rollback,
    /// It has mistakes; refused whole.
    bad
  };

  kind what = kind::same;
  std::vector<rule_error> errors;
  /// Lines that went away (accepted) or would have gone (rollback).
  std::vector<rule> removed;
};

/// The rule file that a node applies. It never steps back. No I/O; not thread-safe.
class rules_in_force {
 public:
  rules_in_force();

  /// Offers a file that was read or told by a peer. `revision` orders files with one version.
  rules_verdict offer(const std::string& text, std::uint64_t revision);

  /// The table in force; empty before the first file. Readers may keep it while a newer one takes over.
  std::shared_ptr<const rule_table> table() const { return table_; }
  const rules_order& order() const { return order_; }

 private:
  std::shared_ptr<const rule_table> table_;
  rules_order order_;
};

}  // namespace nutmegarch::rules
