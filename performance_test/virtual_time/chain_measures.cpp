#include <algorithm>
#include <functional>

#include "performance_test/virtual_time/fake_callers.h"
#include "performance_test/virtual_time/measure.h"

namespace nutmegarch::performance_test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double slow_factor = 3;
constexpr duration slow_begin = seconds(5);
constexpr duration slow_end = seconds(35);

/// Stalls of one target of the deepest service.
constexpr duration stall_interval = seconds(4);
constexpr duration stall_length = milliseconds(500);

/// The four services of the Rodopa deployment, one after the other.
deployment_plan rodopa_chain(bool baseline) {
  service_shape upper;
  upper.slots = 130;
  upper.mean = milliseconds(10);
  service_shape deepest;
  deepest.slots = 30;
  deepest.mean = milliseconds(100);
  deployment_plan plan;
  plan.services = {{"catalogue", upper, "orders"},
                   {"orders", upper, "finishing"},
                   {"finishing", upper, "stockyard"},
                   {"stockyard", deepest, ""}};
  plan.places = rodopa_places();
  plan.domain_delay = std::chrono::microseconds(1500);
  plan.baseline = baseline;
  return plan;
}

/// Slows all targets of the deepest service between slow_begin and slow_end.
void slow_deepest(deployment& fleet) {
  const std::size_t deepest = fleet.plan().services.size() - 1;
  for (fake_node* node : fleet.nodes(deepest)) {
    fleet.events().after(slow_begin, [node]() { node->target().set_slowdown(slow_factor); });
    fleet.events().after(slow_end, [node]() { node->target().set_slowdown(1); });
  }
}

}  // namespace

measured measure_chain(std::uint64_t seed) {
  const std::function<double(bool)> run = [seed](bool baseline) {
    deployment fleet(rodopa_chain(baseline), seed);
    const double capacity = fleet.capacity(3);
    slow_deepest(fleet);
    caller_settings settings;
    settings.length = seconds(40);
    settings.patience = seconds(2);
    settings.client_delay = milliseconds(8);
    settings.rate = [capacity](duration) { return 0.8 * capacity; };
    fake_callers callers(fleet, settings);
    callers.run();
    return callers.answered_rate(slow_begin, slow_end) / (capacity / slow_factor);
  };
  return {run(true), run(false)};
}

measured measure_together(std::uint64_t seed) {
  const std::function<double(bool)> run = [seed](bool baseline) {
    deployment_plan plan = rodopa_chain(baseline);
    plan.reports = report_quality::lagging;
    deployment fleet(plan, seed);
    const double capacity = fleet.capacity(3);
    slow_deepest(fleet);

    // One target of the deepest service stalls again and again.
    fake_node* const stalled = fleet.nodes(3).front();
    int stalls = 0;
    for (duration at = slow_begin + seconds(1); at + stall_length <= slow_end; at += stall_interval) {
      fleet.events().after(at, [stalled]() { stalled->target().stall(stall_length); });
      ++stalls;
    }
    caller_settings settings;
    settings.length = seconds(40);
    settings.patience = seconds(2);
    settings.client_delay = milliseconds(8);
    settings.rate = [capacity](duration elapsed) {
      return (elapsed >= slow_begin && elapsed < slow_end ? 2.0 : 0.8) * capacity;
    };
    fake_callers callers(fleet, settings);
    callers.run();

    // Stalls take away the part of one target of four while they last.
    const double stalled_share =
        stalls * nutmegarch::to_seconds(stall_length) / nutmegarch::to_seconds(slow_end - slow_begin);
    const double carried = capacity / slow_factor * (1 - 0.25 * stalled_share);
    return callers.answered_rate(slow_begin, slow_end) / carried;
  };
  return {run(true), run(false)};
}

measured measure_amplification(std::uint64_t seed) {
  // A chain of 13 hops; each hop's sender loses every second answer. Answers are given at once.
  constexpr int depth = 13;
  constexpr int requests = 400;
  constexpr int baseline_retries = 2;

  struct counts {
    double calls = 0;
    double attempts = 0;
  };
  counts product;
  random_source random(seed);
  std::vector<std::unique_ptr<policy::sender>> hops;
  policy::sender_settings settings;
  settings.retry_budget = 1;
  for (int i = 0; i < depth; ++i) {
    hops.push_back(std::make_unique<policy::sender>(settings, random));
    std::vector<policy::endpoint_ptr> endpoints(4);
    for (policy::endpoint_ptr& known : endpoints) {
      known = policy::endpoint_ptr(new policy::endpoint());
    }
    hops.back()->set_endpoints("next", endpoints);
  }
  time_point now(seconds(100));

  // Runs one call at hop `level`; returns whether it was answered. Counts each target start.
  std::function<bool(int, bool, const policy::retry_token_pool_ptr&)> call =
      [&](int level, bool repeated, const policy::retry_token_pool_ptr& ledger) {
        const policy::outbound_call_ptr made(new policy::outbound_call());
        made->context.service = "next";
        made->context.idempotent = true;
        made->context.repeated = repeated;
        made->token_pool = ledger;
        product.calls += repeated ? 0 : 1;
        policy::sender_actions actions;
        hops.at(static_cast<std::size_t>(level))->start(made, now, actions);
        bool answered = false;
        for (std::size_t i = 0; i < actions.size(); ++i) {
          const policy::sender_action action = actions.at(i);
          if (action.what != policy::sender_action::kind::send) {
            answered =
                action.what == policy::sender_action::kind::complete && action.outcome == call_outcome::ok;
            continue;
          }
          product.attempts += 1;
          const policy::retry_token_pool_ptr share(new policy::retry_token_pool(action.context.retry_tokens));
          const bool below = level + 1 == depth || call(level + 1, action.context.repeated, share);
          policy::attempt_answer answer;
          if (random.below(2) == 0) {
            answer.outcome = call_outcome::unknown;
          } else {
            answer.outcome = below ? call_outcome::ok : call_outcome::failed;
            answer.tokens_back = share->tokens();
            answer.report = node_report{};
            answer.has_downstream_calls = level + 1 < depth;
          }
          now += milliseconds(1);
          hops.at(static_cast<std::size_t>(level))->on_answer(made, action.attempt, answer, now, actions);
        }
        return answered;
      };
  for (int i = 0; i < requests; ++i) {
    call(0, false, nullptr);
  }

  // The baseline: each hop tries again up to twice, knowing nothing of the others.
  counts pass_through;
  std::function<bool(int)> naive = [&](int level) {
    for (int i = 0; i <= baseline_retries; ++i) {
      pass_through.attempts += 1;
      const bool below = level + 1 == depth || naive(level + 1);
      if (random.below(2) != 0 && below) {
        return true;
      }
    }
    return false;
  };
  pass_through.calls = depth;
  naive(0);
  return {pass_through.attempts / pass_through.calls, product.attempts / product.calls};
}

}  // namespace nutmegarch::performance_test
