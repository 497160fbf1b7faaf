#include "nutmegarch/policy/routing_choice.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// Part of the full work that an endpoint gets at the very start of its slow start.
constexpr double coldest_share = 0.1;
/// Growth of the expected time for each unit of load below the crowded one: breaks ties between endpoints
/// that are equally fast.
constexpr double uncrowded_growth = 0.05;
/// Lowest slowness and weight that are reckoned with.
constexpr double least_slowness = 0.1;
constexpr double least_weight = 0.01;

/// The candidate with the least score. The search starts at a random place, so that equals share the work.
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

double score_of(const endpoint& candidate, const score_settings& settings, time_point now) {
  // Own outstanding calls are exact; what others send there shows in the load on answers.
  double load = static_cast<double>(candidate.outstanding + 1) / std::max(1, candidate.slots);
  const bool is_fresh =
      candidate.carried_at != time_point{} && now - candidate.carried_at < settings.carried_lifetime;
  load += is_fresh ? candidate.carried_load : settings.published_weight * candidate.published_load;

  // A cold endpoint seems fuller than it is, so that it gets less.
  const double warm =
      std::clamp(to_seconds(now - candidate.joined) / to_seconds(settings.slow_start), coldest_share, 1.0);
  load /= warm * std::max(candidate.weight, least_weight);
  if (candidate.distance >= proximity::same_region) {
    load += settings.domain_penalty;
  }
  return load;
}

endpoint* round_robin_choice::choose(const std::vector<endpoint*>& candidates, time_point, random_source&) {
  return candidates.at(next_++ % candidates.size());
}

endpoint* two_choices::choose(const std::vector<endpoint*>& candidates, time_point now,
                              random_source& random) {
  const std::size_t count = candidates.size();
  const std::size_t first = random.below(count);
  if (count == 1) {
    return candidates.at(first);
  }
  const std::size_t second = (first + 1 + random.below(count - 1)) % count;
  const double first_score = score_of(*candidates.at(first), settings_, now);
  const double second_score = score_of(*candidates.at(second), settings_, now);
  return candidates.at(first_score <= second_score ? first : second);
}

endpoint* least_loaded_choice::choose(const std::vector<endpoint*>& candidates, time_point now,
                                      random_source& random) {
  return choose_least(candidates, random,
                      [&](const endpoint& candidate) { return score_of(candidate, settings_, now); });
}

double expected_time_of(const endpoint& candidate, const score_settings& settings, time_point now) {
  // What the last answer told, corrected by what this node has sent and got back since.
  const double slots = std::max(1, candidate.slots);
  const bool is_fresh =
      candidate.carried_at != time_point{} && now - candidate.carried_at < settings.carried_lifetime;
  const double load = is_fresh ? candidate.carried_load +
                                     (candidate.outstanding - candidate.outstanding_at_report + 1) / slots
                               : (candidate.outstanding + 1) / slots;
  double time = std::max(candidate.slowness, least_slowness);
  time *= 1 + settings.crowding * std::max(0.0, load - settings.crowded_load) + uncrowded_growth * load;

  // A cold endpoint gets less work than its load alone would bring it.
  const bool is_cold = now < candidate.cold_until;
  time *= is_cold ? settings.cold_factor : 1.0;
  if (candidate.distance == proximity::same_region) {
    time *= settings.domain_factor;
  } else if (candidate.distance == proximity::other_region) {
    time *= settings.region_factor;
  }
  return time / std::max(candidate.weight, least_weight);
}

endpoint* least_time_choice::choose(const std::vector<endpoint*>& candidates, time_point now,
                                    random_source& random) {
  return choose_least(candidates, random,
                      [&](const endpoint& candidate) { return expected_time_of(candidate, settings_, now); });
}

std::unique_ptr<routing_choice> make_routing_choice(routing_kind kind, const score_settings& settings) {
  switch (kind) {
    case routing_kind::round_robin:
      return std::make_unique<round_robin_choice>();
    case routing_kind::two_choices:
      return std::make_unique<two_choices>(settings);
    case routing_kind::least_time:
      return std::make_unique<least_time_choice>(settings);
    case routing_kind::least_loaded:
      break;
  }
  return std::make_unique<least_loaded_choice>(settings);
}

}  // namespace nutmegarch::policy
