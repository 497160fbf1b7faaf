#pragma once

#include <memory>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/policy/endpoint.h"

namespace nutmegarch::policy {

/// Settings of the scores by which endpoints are compared.
struct score_settings {
  /// How long a load reported in an answer remains valid.
  duration reported_load_lifetime = std::chrono::seconds(1);
  /// Weight of the published load, which arrives late, when no reported load is valid.
  double published_weight = 0.2;
  /// Time after which a new endpoint receives its full share of calls.
  duration slow_start = std::chrono::seconds(5);
  /// Load that is added to an endpoint in another failure domain.
  double domain_penalty = 0.05;
  /// Load above which the calls of an endpoint delay each other.
  double saturation_load = 0.8;
  /// Relative growth of the expected latency for each unit of load above `saturation_load`.
  double saturation_growth = 2.5;
  /// Factor on the expected latency of an endpoint in another failure domain of this region, for the cost of
  /// the bytes that cross the boundary.
  double domain_factor = 1.1;
  /// Factor on the expected latency of an endpoint in another region, for the same reason.
  double region_factor = 1.3;
  /// Factor on the expected latency of an endpoint whose target has just started.
  double cold_factor = 2.0;
  /// Compares endpoints of other regions with those of this region, instead of using them only when this
  /// region has no usable endpoint.
  bool cross_region_balancing = false;
};

/// Effective load of an endpoint, in units of its slots; smaller is better.
double load_score(const endpoint& candidate, const score_settings& settings, time_point now);

/// Strategy for choosing one of several endpoints.
class load_balancer {
 public:
  load_balancer() = default;
  load_balancer(const load_balancer&) = delete;
  load_balancer& operator=(const load_balancer&) = delete;
  virtual ~load_balancer() = default;

  /// Chooses one of the candidates, which must not be empty. The result is never null.
  virtual endpoint* choose(const std::vector<endpoint*>& candidates, time_point now,
                           random_source& random) = 0;
};

/// Chooses the candidates in turn, regardless of their load. Used as the baseline in measurements.
class round_robin_balancer final : public load_balancer {
 public:
  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  std::size_t next_ = 0;
};

/// Chooses the less loaded of two random candidates ("power of two choices").
class two_choices_balancer final : public load_balancer {
 public:
  explicit two_choices_balancer(const score_settings& settings) : settings_(settings) {}

  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  score_settings settings_;
};

/// Chooses the least loaded of all candidates.
class least_loaded_balancer final : public load_balancer {
 public:
  explicit least_loaded_balancer(const score_settings& settings) : settings_(settings) {}

  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  score_settings settings_;
};

/// Chooses the candidate with the least expected latency. The estimate combines the relative latency of the
/// endpoint, which includes the network, with the delay that its load causes, so that targets which differ in
/// speed and distance get suitable shares.
class least_time_balancer final : public load_balancer {
 public:
  explicit least_time_balancer(const score_settings& settings) : settings_(settings) {}

  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) override;

 private:
  score_settings settings_;
};

/// Expected latency of an endpoint, relative to the median latency of the route; smaller is better.
double expected_latency(const endpoint& candidate, const score_settings& settings, time_point now);

/// Load balancing strategy of a sender.
enum class routing_kind : std::uint8_t { round_robin, two_choices, least_loaded, least_time };

/// Creates the load balancer of the given kind.
std::unique_ptr<load_balancer> make_load_balancer(routing_kind kind, const score_settings& settings);

}  // namespace nutmegarch::policy
