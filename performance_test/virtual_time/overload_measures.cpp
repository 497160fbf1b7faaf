#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <mutex>

#include "performance_test/virtual_time/fake_callers.h"
#include "performance_test/virtual_time/measure.h"

namespace nutmegarch::performance_test {

namespace {

using std::chrono::seconds;

constexpr duration surge_length = seconds(60);

/// A surge of 3 times the capacity in a run with a usual load below it.
constexpr duration surge_begin = seconds(5);
constexpr duration surge_end = seconds(25);
constexpr duration run_end = seconds(60);
constexpr double usual_share = 0.7;

/// Orderhall of the Shewa deployment: 4 servers with 55 slots.
deployment_plan orderhall(bool baseline) {
  deployment_plan plan;
  plan.services = {{"orderhall", service_shape{}, ""}};
  plan.places = one_region();
  plan.baseline = baseline;
  return plan;
}

/// Calls `with` once for the baseline and once for the product.
measured compare(const std::function<double(bool)>& with) { return {with(true), with(false)}; }

/// A surge of 3 times the capacity for 60 s.
struct surge_run {
  deployment fleet;
  fake_callers callers;

  surge_run(bool baseline, std::uint64_t seed)
      : fleet(orderhall(baseline), seed), callers(fleet, load(fleet)) {
    callers.run();
  }

  static caller_settings load(const deployment& fleet) {
    caller_settings settings;
    const double capacity = fleet.capacity(0);
    settings.rate = [capacity](duration) { return 3 * capacity; };
    settings.length = surge_length;
    settings.order_share = 0.25;
    return settings;
  }
};

/// A swing between 0.5 and 3 times the capacity; the crest holds from second 10 to 20.
struct swing_run {
  deployment fleet;
  fake_callers callers;

  static constexpr duration crest_begin = seconds(10);
  static constexpr duration crest_end = seconds(20);

  swing_run(bool baseline, std::uint64_t seed)
      : fleet(orderhall(baseline), seed), callers(fleet, load(fleet)) {
    callers.run();
  }

  static caller_settings load(const deployment& fleet) {
    caller_settings settings;
    const double capacity = fleet.capacity(0);
    settings.rate = [capacity](duration elapsed) {
      const bool is_crest = elapsed >= crest_begin && elapsed < crest_end;
      return (is_crest ? 3.0 : 0.5) * capacity;
    };
    settings.length = seconds(30);
    return settings;
  }
};

/// What several measures take from one run.
struct run_figures {
  double capacity = 0;
  double answered = 0;
  double orders_answered = 0;
  double orders_share = 0;
  double wasted = 0;
};

/// Makes each run once, however many measures ask for it, on whichever thread asks first.
class run_cache {
 public:
  using make = std::function<run_figures(bool baseline, std::uint64_t seed)>;

  run_figures get(bool baseline, std::uint64_t seed, const make& make_run) {
    std::shared_future<run_figures> found;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::shared_future<run_figures>& known = runs_[{baseline, seed}];
      if (!known.valid()) {
        known = std::async(std::launch::deferred, make_run, baseline, seed).share();
      }
      found = known;
    }
    return found.get();
  }

 private:
  std::mutex mutex_;
  std::map<std::pair<bool, std::uint64_t>, std::shared_future<run_figures>> runs_;
};

run_figures figures_of(const deployment& fleet, const fake_callers& callers, duration begin, duration end) {
  return {fleet.capacity(0), callers.answered_rate(begin, end), callers.answered_rate(begin, end, true),
          callers.answered_share(begin, end, call_class::order), callers.wasted_share()};
}

run_figures surge(bool baseline, std::uint64_t seed) {
  static run_cache cache;
  return cache.get(baseline, seed, [](bool is_baseline, std::uint64_t with_seed) {
    const surge_run run(is_baseline, with_seed);
    return figures_of(run.fleet, run.callers, seconds(0), surge_length);
  });
}

run_figures swing(bool baseline, std::uint64_t seed) {
  static run_cache cache;
  return cache.get(baseline, seed, [](bool is_baseline, std::uint64_t with_seed) {
    const swing_run run(is_baseline, with_seed);
    return figures_of(run.fleet, run.callers, swing_run::crest_begin, swing_run::crest_end);
  });
}

/// Time from `surge_end` until one second of answers reaches 95% of what is offered, and stays there for a
/// second.
double time_to_recover(const fake_callers& callers, double offered_rate) {
  constexpr duration window = seconds(1);
  for (duration begin = surge_end; begin + window <= run_end; begin += step_length) {
    if (callers.answered_rate(begin, begin + window) >= 0.95 * offered_rate) {
      return nutmegarch::to_seconds(begin - surge_end);
    }
  }
  return nutmegarch::to_seconds(run_end - surge_end);
}

}  // namespace

measured measure_goodput(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const run_figures run = surge(baseline, seed);
    return run.answered / run.capacity;
  });
}

measured measure_orders(std::uint64_t seed) {
  return compare([seed](bool baseline) { return surge(baseline, seed).orders_share; });
}

measured measure_wasted(std::uint64_t seed) {
  return compare([seed](bool baseline) { return surge(baseline, seed).wasted; });
}

measured measure_recovery(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    deployment fleet(orderhall(baseline), seed);
    const double capacity = fleet.capacity(0);
    caller_settings settings;
    settings.length = run_end;
    settings.rate = [capacity](duration elapsed) {
      return (elapsed >= surge_begin && elapsed < surge_end ? 3.0 : usual_share) * capacity;
    };
    fake_callers callers(fleet, settings);
    callers.run();
    return time_to_recover(callers, usual_share * capacity);
  });
}

measured measure_crest(std::uint64_t seed) {
  return compare([seed](bool baseline) { return swing(baseline, seed).orders_share; });
}

measured measure_crest_fill(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const run_figures run = swing(baseline, seed);
    return (run.answered - run.orders_answered) / (run.capacity - run.orders_answered);
  });
}

measured measure_lagging(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const std::function<double(report_quality)> goodput = [&](report_quality reports) {
      deployment_plan plan = orderhall(baseline);
      plan.reports = reports;
      deployment fleet(plan, seed);
      const double capacity = fleet.capacity(0);
      caller_settings settings;
      settings.length = seconds(30);
      settings.rate = [capacity](duration) { return 1.2 * capacity; };
      // One target carries half of what it says.
      fleet.nodes(0).front()->target().set_slowdown(2);
      fake_callers callers(fleet, settings);
      callers.run();
      return callers.answered_rate(seconds(0), seconds(30));
    };
    const double worst = std::min(goodput(report_quality::lagging), goodput(report_quality::misleading));
    return worst / goodput(report_quality::exact);
  });
}

}  // namespace nutmegarch::performance_test
