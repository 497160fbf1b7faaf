#pragma once

#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::rules {

/// Sort key of a rule file. A file replaces the one in force only when its key is not smaller.
struct rules_order {
  std::uint64_t version = 0;
  /// Revision of the configuration service at which the file was read.
  std::uint64_t revision = 0;
  std::uint64_t hash = 0;

  friend bool operator<(const rules_order& left, const rules_order& right) {
    return std::tie(left.version, left.revision, left.hash) <
           std::tie(right.version, right.revision, right.hash);
  }
};

/// Result of offering a rule file.
struct rules_verdict {
  enum class kind : std::uint8_t {
    /// The file is now in force.
    accepted,
    /// The file was already in force.
    same,
    /// The file is older than the one in force and was ignored.
    stale,
    /// The file was published later but has an older version; it was rejected.
    rollback,
    /// The file has errors; all of it was rejected.
    bad
  };

  kind what = kind::same;
  std::vector<rule_error> errors;
  /// Rules that the file removed (accepted) or would have removed (rollback).
  std::vector<rule> removed;
};

/// The rule file that a node applies. It is never replaced by an older file. No I/O; not thread-safe.
class rules_in_force {
 public:
  rules_in_force();

  /// Offers a file from the configuration service or a peer. `revision` orders files of equal version.
  rules_verdict offer(const std::string& text, std::uint64_t revision);

  /// The table in force; empty before the first file. Readers may keep it after a newer one replaces it.
  std::shared_ptr<const rule_table> table() const { return table_; }
  const rules_order& order() const { return order_; }

 private:
  std::shared_ptr<const rule_table> table_;
  rules_order order_;
};

}  // namespace nutmegarch::rules
