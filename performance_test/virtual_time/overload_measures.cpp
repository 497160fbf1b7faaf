#include <algorithm>
#include <functional>

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

/// Time from `surge_end` until one second of answers reaches 95% of what is offered, and stays there for a
/// second.
double time_to_recover(const fake_callers& callers, double offered_rate) {
  constexpr duration window = seconds(1);
  for (duration begin = surge_end; begin + window <= run_end; begin += step_length) {
    if (callers.answered_rate(begin, begin + window) >= 0.95 * offered_rate) {
      return nutmegarch::seconds(begin - surge_end);
    }
  }
  return nutmegarch::seconds(run_end - surge_end);
}

}  // namespace

measured measure_goodput(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const surge_run run(baseline, seed);
    return run.callers.answered_rate(seconds(0), surge_length) / run.fleet.capacity(0);
  });
}

measured measure_orders(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const surge_run run(baseline, seed);
    return run.callers.answered_share(seconds(0), surge_length, call_class::order);
  });
}

measured measure_wasted(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const surge_run run(baseline, seed);
    return run.callers.wasted_share();
  });
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
  return compare([seed](bool baseline) {
    const swing_run run(baseline, seed);
    return run.callers.answered_share(swing_run::crest_begin, swing_run::crest_end, call_class::order);
  });
}

measured measure_crest_fill(std::uint64_t seed) {
  return compare([seed](bool baseline) {
    const swing_run run(baseline, seed);
    const double orders = run.callers.answered_rate(swing_run::crest_begin, swing_run::crest_end, true);
    const double all = run.callers.answered_rate(swing_run::crest_begin, swing_run::crest_end);
    return (all - orders) / (run.fleet.capacity(0) - orders);
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
