#include "nutmegarch/rules/rules_in_force.h"

#include <utility>

#include "nutmegarch/core/hash.h"

namespace nutmegarch::rules {

rules_in_force::rules_in_force() : table_(std::make_shared<const rule_table>()) {}

rules_verdict rules_in_force::offer(const std::string& text, std::uint64_t revision) {
  rules_verdict verdict;
  const std::uint64_t hash = hash_text(text);
  if (hash == order_.hash) {
    order_.revision = std::max(order_.revision, revision);
    return verdict;
  }

  // Reject the whole file when it has any error.
  result<rule_file, std::vector<rule_error>> parsed = parse_rule_file(text);
  if (!succeeded(parsed)) {
    verdict.what = rules_verdict::kind::bad;
    verdict.errors = std::get<std::vector<rule_error>>(std::move(parsed));
    return verdict;
  }

  // Ignore an older file, but report a rollback when it was published after the one in force.
  rule_file file = std::get<rule_file>(std::move(parsed));
  const rules_order order{file.version, revision, hash};
  verdict.removed = removed_rules(table_->file(), file);
  if (order < order_) {
    const bool was_published_later = file.version < order_.version && revision > order_.revision;
    verdict.what = was_published_later ? rules_verdict::kind::rollback : rules_verdict::kind::stale;
    return verdict;
  }
  verdict.what = rules_verdict::kind::accepted;
  table_ = std::make_shared<const rule_table>(std::move(file));
  order_ = order;
  return verdict;
}

}  // namespace nutmegarch::rules
