#pragma once

#include <memory>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/policy/endpoint.h"

namespace nutmegarch::policy {

/// Settings of the score by which endpoints are compared.
struct score_settings {
  /// A load that came with an answer counts for this long.
  duration carried_lifetime = std::chrono::seconds(1);
  /// Part of the late published load that counts where no carried load is fresh.
  double published_weight = 0.2;
  /// A cold endpoint takes its full part after this time.
  duration slow_start = std::chrono::seconds(5);
  /// Added for an endpoint in another failure domain, in units of load.
  double domain_penalty = 0.05;
  /// Load from which on the calls of an endpoint hold each other up, and the growth of its expected time for
  /// each unit of load beyond.
  double crowded_load = 0.8;
  double crowding = 2.5;
  /// Factors on the expected time for the bytes that cross a failure domain's or a region's border.
  double domain_factor = 1.1;
  double region_factor = 1.3;
  /// Factor on the expected time of an endpoint that has just started.
  double cold_factor = 2.0;
  /// Endpoints of other regions are compared with the nearer ones, instead of being used only when none of
  /// those is left.
  bool compares_regions = false;
};

/// Expected crowding of an endpoint; smaller is better.
double score_of(const endpoint& candidate, const score_settings& settings, time_point now);

/// Picks one of the eligible endpoints. `candidates` is not empty.
class routing_choice {
 public:
  routing_choice() = default;
  routing_choice(const routing_choice&) = delete;
  routing_choice& operator=(const routing_choice&) = delete;
  virtual ~routing_choice() = default;

  virtual endpoint* choose(const std::vector<endpoint*>& candidates, time_point now,
                           random_source& random) = 0;
};

/// Each in its turn, whatever its load. The baseline.
class round_robin_choice final : public routing_choice {
 public:
  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  std::size_t next_ = 0;
};

/// The better of two random candidates.
class two_choices final : public routing_choice {
 public:
  explicit two_choices(const score_settings& settings) : settings_(settings) {}

  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  score_settings settings_;
};

/// The best of all candidates.
class least_loaded_choice final : public routing_choice {
 public:
  explicit least_loaded_choice(const score_settings& settings) : settings_(settings) {}

  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  score_settings settings_;
};

/// The candidate with the least expected time to an answer: its usual slowness, which holds the way there,
/// and the crowding of its slots. Answers the load of targets that differ in speed and distance.
class least_time_choice final : public routing_choice {
 public:
  explicit least_time_choice(const score_settings& settings) : settings_(settings) {}

  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  score_settings settings_;
};

/// Expected time to an answer of an endpoint, relative to the median of the route; smaller is better.
double expected_time_of(const endpoint& candidate, const score_settings& settings, time_point now);

/// Which choice a sender uses.
enum class routing_kind : std::uint8_t { round_robin, two_choices, least_loaded, least_time };

/// Makes a choice of the given kind.
std::unique_ptr<routing_choice> make_routing_choice(routing_kind kind, const score_settings& settings);

}  // namespace nutmegarch::policy
