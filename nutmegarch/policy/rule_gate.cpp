#include "nutmegarch/policy/rule_gate.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// A rate may be used up in bursts of this length.
constexpr double burst_seconds = 0.2;

}  // namespace

gate_verdict rule_gate::enter(const rules::call_rules& rules, call_class cls, double load, int targets,
                              time_point now) {
  for (const rules::rule* const shed : rules.shed) {
    if (rules::applies_to_class(*shed, cls) && load >= shed->above) {
      return {shed, call_reason::shed_rule};
    }
  }
  for (const rules::rule* const limit : rules.limits) {
    if (limit->concurrency && running_[limit->line] >= *limit->concurrency) {
      return {limit, call_reason::concurrency_rule};
    }
    if (limit->rate && !takes_rate(*limit, targets, now)) {
      return {limit, call_reason::rate_rule};
    }
  }
  for (const rules::rule* const limit : rules.limits) {
    ++running_[limit->line];
  }
  return {};
}

void rule_gate::leave(const rules::call_rules& rules) {
  for (const rules::rule* const limit : rules.limits) {
    int& running = running_[limit->line];
    running = std::max(0, running - 1);
  }
}

void rule_gate::reset() {
  running_.clear();
  rates_.clear();
}

bool rule_gate::takes_rate(const rules::rule& limit, int targets, time_point now) {
  const double rate = *limit.rate / std::max(1, targets);
  const double capacity = std::max(1.0, rate * burst_seconds);
  auto found = rates_.find(limit.line);
  if (found == rates_.end()) {
    found = rates_.emplace(limit.line, rate_state{capacity, now}).first;
  }
  rate_state& state = found->second;
  state.tokens = std::min(capacity, state.tokens + rate * to_seconds(now - state.refilled));
  state.refilled = now;
  if (rate <= 0 || state.tokens < 1) {
    return false;
  }
  state.tokens -= 1;
  return true;
}

}  // namespace nutmegarch::policy
