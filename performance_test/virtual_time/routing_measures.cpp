#include <algorithm>
#include <functional>

#include "performance_test/virtual_time/fake_callers.h"
#include "performance_test/virtual_time/measure.h"

namespace nutmegarch::performance_test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

deployment_plan one_service(bool baseline, int slots, duration mean) {
  service_shape shape;
  shape.slots = slots;
  shape.mean = mean;
  deployment_plan plan;
  plan.services = {{"catalog", shape, ""}};
  plan.places = one_region();
  plan.baseline = baseline;
  return plan;
}

/// Ratio of two latencies.
double ratio(duration with, duration without) {
  return nutmegarch::to_seconds(with) / nutmegarch::to_seconds(without);
}

}  // namespace

measured measure_blocking(std::uint64_t seed) {
  constexpr double straggler_share = 0.02;
  const std::function<double(bool)> run = [seed](bool baseline) {
    const std::function<duration(double)> p99 = [&](double share) {
      const deployment_plan plan = one_service(baseline, 12, milliseconds(20));
      deployment fleet(plan, seed);
      const double factor = plan.services.front().shape.long_factor;
      const double work = 1 - share + share * factor;
      const double capacity = fleet.capacity(0);
      caller_settings settings;
      settings.length = seconds(60);
      settings.long_share = share;
      settings.patience = seconds(10);
      settings.keep_latencies = true;
      settings.rate = [capacity, work](duration) { return 0.8 * capacity / work; };
      fake_callers callers(fleet, settings);
      callers.run();
      return callers.latency_quantile(0.99);
    };
    return ratio(p99(straggler_share), p99(0));
  };
  return {run(true), run(false)};
}

measured measure_slow_tail(std::uint64_t seed) {
  const std::function<double(bool)> run = [seed](bool baseline) {
    const std::function<duration(bool)> tail = [&](bool with_stalls) {
      deployment fleet(one_service(baseline, 55, milliseconds(20)), seed);
      const double capacity = fleet.capacity(0);
      fake_node* const stalled = fleet.nodes(0).front();
      if (with_stalls) {
        for (duration at = seconds(3); at < seconds(40); at += milliseconds(5300)) {
          fleet.events().after(at, [stalled]() { stalled->target().stall(milliseconds(500)); });
        }
      }
      caller_settings settings;
      settings.length = seconds(40);
      settings.order_share = 0;
      settings.patience = seconds(2);
      settings.keep_latencies = true;
      settings.rate = [capacity](duration) { return 0.5 * capacity; };
      fake_callers callers(fleet, settings);
      callers.run();
      return callers.latency_quantile(0.999);
    };
    return ratio(tail(true), tail(false));
  };
  return {run(true), run(false)};
}

measured measure_link(std::uint64_t seed) {
  const std::function<double(bool)> run = [seed](bool baseline) {
    deployment_plan plan = one_service(baseline, 55, milliseconds(100));
    plan.places = shewa_places();
    deployment fleet(plan, seed);
    const double capacity = fleet.capacity(0);
    caller_settings settings;
    settings.length = seconds(30);
    // All callers are in one region, whose two targets carry half of the capacity.
    settings.entries = {0, 1};
    settings.rate = [capacity](duration elapsed) { return (elapsed < seconds(15) ? 0.35 : 0.8) * capacity; };
    fake_callers callers(fleet, settings);
    callers.run();
    // At least one byte counts as needed, so that a run in which none was can be told.
    const double needed = fleet.network().link_bytes() - fleet.network().avoidable_link_bytes();
    return fleet.network().link_bytes() / std::max(1.0, needed);
  };
  return {run(true), run(false)};
}

}  // namespace nutmegarch::performance_test
