#include "nutmegarch/policy/load_balancer.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// Share of its full weight that an endpoint has at the beginning of its slow start.
constexpr double min_warmup_share = 0.1;
/// Relative growth of the expected latency for each unit of load, also below the saturation load. It breaks
/// ties between endpoints that are equally fast.
constexpr double load_growth = 0.05;
/// Lower bounds of the relative latency and the weight in scores.
constexpr double min_relative_latency = 0.1;
constexpr double min_weight = 0.01;

/// Returns the candidate with the least score. The search starts at a random index, so that candidates with
/// equal scores share the calls.
template <typename Score>
endpoint* choose_least(const std::vector<endpoint*>& candidates, random_source& random, Score score) {
  const std::size_t count = candidates.size();
  const std::size_t offset = random.below(count);
  endpoint* best = nullptr;
  double best_score = 0;
  for (std::size_t i = 0; i < count; ++i) {
    endpoint* const candidate = candidates.at((offset + i) % count);
    const double found = score(*candidate);
    if (best == nullptr || found < best_score) {
      best = candidate;
      best_score = found;
    }
  }
  return best;
}

}  // namespace

double load_score(const endpoint& candidate, const score_settings& settings, time_point now) {
  // The number of this node's own outstanding calls is exact. Calls of other nodes show in the reported load.
  const bool is_fresh = candidate.load_reported_at != time_point{} &&
                        now - candidate.load_reported_at < settings.reported_load_lifetime;
  const double slots = is_fresh ? candidate.usable_slots() : std::max(1, candidate.slots);
  double load = (candidate.outstanding + 1) / slots;
  load += is_fresh ? candidate.reported_load : settings.published_weight * candidate.published_load;

  // During its slow start an endpoint is scored as more loaded than it is, so that it receives fewer calls.
  const double warm = std::clamp(to_seconds(now - candidate.first_used_at) / to_seconds(settings.slow_start),
                                 min_warmup_share, 1.0);
  load /= warm * std::max(candidate.weight, min_weight);
  if (candidate.distance >= proximity::same_region) {
    load += settings.domain_penalty;
  }
  return load;
}

endpoint* round_robin_balancer::choose(const std::vector<endpoint*>& candidates, time_point, random_source&) {
  return candidates.at(next_++ % candidates.size());
}

endpoint* two_choices_balancer::choose(const std::vector<endpoint*>& candidates, time_point now,
                                       random_source& random) {
  const std::size_t count = candidates.size();
  const std::size_t first = random.below(count);
  if (count == 1) {
    return candidates.at(first);
  }
  const std::size_t second = (first + 1 + random.below(count - 1)) % count;
  const double first_score = load_score(*candidates.at(first), settings_, now);
  const double second_score = load_score(*candidates.at(second), settings_, now);
  return candidates.at(first_score <= second_score ? first : second);
}

endpoint* least_loaded_balancer::choose(const std::vector<endpoint*>& candidates, time_point now,
                                        random_source& random) {
  return choose_least(candidates, random,
                      [&](const endpoint& candidate) { return load_score(candidate, settings_, now); });
}

double expected_latency(const endpoint& candidate, const score_settings& settings, time_point now) {
  // The load on the last answer, corrected by the calls that this node has sent or completed since then.
  const bool is_fresh = candidate.load_reported_at != time_point{} &&
                        now - candidate.load_reported_at < settings.reported_load_lifetime;
  const double slots = is_fresh ? candidate.usable_slots() : std::max(1, candidate.slots);
  const double load = is_fresh ? candidate.reported_load +
                                     (candidate.outstanding - candidate.outstanding_at_report + 1) / slots
                               : (candidate.outstanding + 1) / slots;
  double time = std::max(candidate.relative_latency, min_relative_latency);
  time *=
      1 + settings.saturation_growth * std::max(0.0, load - settings.saturation_load) + load_growth * load;

  // An endpoint that has just started is slower than its load alone suggests.
  const bool is_cold = now < candidate.cold_until;
  time *= is_cold ? settings.cold_factor : 1.0;
  if (candidate.distance == proximity::same_region) {
    time *= settings.domain_factor;
  } else if (candidate.distance == proximity::other_region) {
    time *= settings.region_factor;
  }
  return time / std::max(candidate.weight, min_weight);
}

endpoint* least_time_balancer::choose(const std::vector<endpoint*>& candidates, time_point now,
                                      random_source& random) {
  return choose_least(candidates, random,
                      [&](const endpoint& candidate) { return expected_latency(candidate, settings_, now); });
}

std::unique_ptr<load_balancer> make_load_balancer(routing_kind kind, const score_settings& settings) {
  switch (kind) {
    case routing_kind::round_robin:
      return std::make_unique<round_robin_balancer>();
    case routing_kind::two_choices:
      return std::make_unique<two_choices_balancer>(settings);
    case routing_kind::least_time:
      return std::make_unique<least_time_balancer>(settings);
    case routing_kind::least_loaded:
      break;
  }
  return std::make_unique<least_loaded_balancer>(settings);
}

}  // namespace nutmegarch::policy
