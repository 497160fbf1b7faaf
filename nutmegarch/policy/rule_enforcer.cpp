#include "nutmegarch/policy/rule_enforcer.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// Capacity of a rate limit's token bucket, as a time at the full rate. At least one token.
constexpr double burst_seconds = 0.2;

}  // namespace

rule_decision rule_enforcer::admit(const rules::call_rules& rules, call_class cls, double load, int targets,
                                   time_point now) {
  for (const rules::rule* const shed : rules.shed) {
    if (rules::applies_to_class(*shed, cls) && load >= shed->above) {
      return {shed, call_reason::shed_rule};
    }
  }
  for (const rules::rule* const limit : rules.limits) {
    if (limit->concurrency && running_calls_[limit->line] >= *limit->concurrency) {
      return {limit, call_reason::concurrency_rule};
    }
    if (limit->rate && !take_token(*limit, targets, now)) {
      return {limit, call_reason::rate_rule};
    }
  }
  for (const rules::rule* const limit : rules.limits) {
    ++running_calls_[limit->line];
  }
  return {};
}

void rule_enforcer::release(const rules::call_rules& rules) {
  for (const rules::rule* const limit : rules.limits) {
    int& running = running_calls_[limit->line];
    running = std::max(0, running - 1);
  }
}

void rule_enforcer::reset() {
  running_calls_.clear();
  buckets_.clear();
}

bool rule_enforcer::take_token(const rules::rule& limit, int targets, time_point now) {
  const double rate = *limit.rate / std::max(1, targets);
  const double capacity = std::max(1.0, rate * burst_seconds);
  auto found = buckets_.find(limit.line);
  if (found == buckets_.end()) {
    found = buckets_.emplace(limit.line, token_bucket{capacity, now}).first;
  }
  token_bucket& bucket = found->second;
  bucket.tokens = std::min(capacity, bucket.tokens + rate * to_seconds(now - bucket.last_refill));
  bucket.last_refill = now;
  if (rate <= 0 || bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace nutmegarch::policy
