#include "performance_test/virtual_time/studies.h"

#include <cstdio>
#include <functional>
#include <string>

#include "performance_test/virtual_time/fake_callers.h"

namespace nutmegarch::performance_test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration run_length = seconds(30);

deployment_plan base_plan() {
  deployment_plan plan;
  plan.services = {{"orderhall", service_shape{}, ""}};
  plan.places = one_region();
  return plan;
}

/// Runs one service at `load` times its capacity and prints what was answered, and how fast.
void run_row(const std::string& study, const std::string& name, const deployment_plan& plan, double load,
             std::uint64_t seed, const std::function<void(deployment&)>& prepare) {
  deployment fleet(plan, seed);
  const double capacity = fleet.capacity(0);
  prepare(fleet);
  caller_settings settings;
  settings.length = run_length;
  settings.keep_latencies = true;
  settings.rate = [capacity, load](duration) { return load * capacity; };
  fake_callers callers(fleet, settings);
  callers.run();
  const double answered = callers.answered_rate(duration{}, run_length) / capacity;
  std::printf(
      "study %s %s load %.1f answered %.4f of capacity, orders %.4f, p50 %.1f ms, p99 %.1f ms, wasted %.4f\n",
      study.c_str(), name.c_str(), load, answered,
      callers.answered_share(duration{}, run_length, call_class::order),
      nutmegarch::to_seconds(callers.latency_quantile(0.5)) * 1000,
      nutmegarch::to_seconds(callers.latency_quantile(0.99)) * 1000, callers.wasted_share());
  std::fflush(stdout);
}

void study_limits(std::uint64_t seed) {
  const std::pair<const char*, policy::limit_kind> kinds[] = {{"fixed", policy::limit_kind::fixed},
                                                              {"aimd", policy::limit_kind::aimd},
                                                              {"gradient", policy::limit_kind::gradient},
                                                              {"probing", policy::limit_kind::probing}};
  for (const std::pair<const char*, policy::limit_kind>& kind : kinds) {
    deployment_plan plan = base_plan();
    plan.receiver.limit = kind.second;
    const std::function<void(deployment&)> nothing = [](deployment&) {};
    run_row("limit", std::string(kind.first) + ", slots as published", plan, 3, seed, nothing);
    // The published slots are more than the target bears: above 30 calls each further one slows all.
    plan.services.front().shape.contention_from = 30;
    run_row("limit", std::string(kind.first) + ", slots overstated", plan, 3, seed, nothing);
    // All targets slow down to a third for 10 s.
    plan.services.front().shape.contention_from = 0;
    run_row("limit", std::string(kind.first) + ", slowed for 10 s", plan, 1, seed, [](deployment& fleet) {
      for (fake_node* node : fleet.nodes(0)) {
        fleet.events().after(seconds(10), [node]() { node->target().set_slowdown(3); });
        fleet.events().after(seconds(20), [node]() { node->target().set_slowdown(1); });
      }
    });
  }
}

void study_queues(std::uint64_t seed) {
  const std::pair<const char*, policy::queue_kind> kinds[] = {
      {"fifo", policy::queue_kind::fifo},
      {"deadline", policy::queue_kind::deadline},
      {"adaptive_lifo", policy::queue_kind::adaptive_lifo}};
  for (const std::pair<const char*, policy::queue_kind>& kind : kinds) {
    for (const double queue_share : {0.25, 1.0, 4.0}) {
      deployment_plan plan = base_plan();
      plan.receiver.queue = kind.second;
      plan.receiver.queue_share = queue_share;
      const std::string name =
          std::string(kind.first) + ", room " + std::to_string(queue_share).substr(0, 4) + " of slots";
      run_row("queue", name, plan, 3, seed, [](deployment&) {});
    }
  }
}

void study_routing(std::uint64_t seed) {
  const std::pair<const char*, policy::routing_kind> kinds[] = {
      {"round_robin", policy::routing_kind::round_robin},
      {"two_choices", policy::routing_kind::two_choices},
      {"least_loaded", policy::routing_kind::least_loaded}};
  for (const std::pair<const char*, policy::routing_kind>& kind : kinds) {
    deployment_plan plan = base_plan();
    plan.sender.routing = kind.second;
    plan.reports = report_quality::lagging;
    run_row("routing", std::string(kind.first) + ", one target of four at half speed", plan, 0.8, seed,
            [](deployment& fleet) { fleet.nodes(0).front()->target().set_slowdown(2); });
    run_row("routing", std::string(kind.first) + ", one target stalls", plan, 0.8, seed,
            [](deployment& fleet) {
              fake_node* const stalled = fleet.nodes(0).front();
              for (duration at = seconds(3); at < run_length; at += seconds(3)) {
                fleet.events().after(at, [stalled]() { stalled->target().stall(milliseconds(500)); });
              }
            });
  }
}

}  // namespace

void run_studies(std::uint64_t seed) {
  study_limits(seed);
  study_queues(seed);
  study_routing(seed);
}

}  // namespace nutmegarch::performance_test
