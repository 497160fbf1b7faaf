#include "nutmegarch/observe/metrics.h"

#include <sstream>
#include <tuple>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace nutmegarch::observe {

namespace {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_histogram =
    boost::histogram::histogram<std::tuple<log_axis>, boost::histogram::dense_storage<double>>;

constexpr int bin_count = 20;
constexpr double lowest_seconds = 0.0005;
constexpr double highest_seconds = 20;

latency_histogram make_latencies() {
  return boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                               log_axis(bin_count, lowest_seconds, highest_seconds));
}

}  // namespace

/// Counts by class, outcome and reason, and latencies by class.
struct metrics::call_metrics {
  std::map<std::tuple<call_class, call_outcome, call_reason>, double> counts;
  std::array<latency_histogram, call_class_count> latencies{make_latencies(), make_latencies(),
                                                            make_latencies()};
  std::array<double, call_class_count> sums{};

  void add(call_class cls, call_outcome outcome, call_reason reason, duration latency) {
    counts[{cls, outcome, reason}] += 1;
    latencies.at(static_cast<std::size_t>(cls))(to_seconds(latency));
    sums.at(static_cast<std::size_t>(cls)) += to_seconds(latency);
  }

  void write(std::ostream& out, const std::string& name) const {
    out << "# TYPE nutmegarch_" << name << "_total counter\n";
    for (const std::pair<const std::tuple<call_class, call_outcome, call_reason>, double>& count : counts) {
      out << "nutmegarch_" << name << "_total{class=\"" << name_of(std::get<0>(count.first))
          << "\",outcome=\"" << name_of(std::get<1>(count.first)) << "\",reason=\""
          << name_of(std::get<2>(count.first)) << "\"} " << count.second << '\n';
    }
    out << "# TYPE nutmegarch_" << name << "_seconds histogram\n";
    for (int i = 0; i < call_class_count; ++i) {
      write_histogram(out, name, static_cast<call_class>(i));
    }
  }

  void write_histogram(std::ostream& out, const std::string& name, call_class cls) const {
    const latency_histogram& counted = latencies.at(static_cast<std::size_t>(cls));
    const std::string labels = std::string("class=\"") + name_of(cls) + '"';
    double below = counted.at(-1);
    for (int i = 0; i < bin_count; ++i) {
      below += counted.at(i);
      out << "nutmegarch_" << name << "_seconds_bucket{" << labels << ",le=\"" << counted.axis().value(i + 1)
          << "\"} " << below << '\n';
    }
    below += counted.at(bin_count);
    out << "nutmegarch_" << name << "_seconds_bucket{" << labels << ",le=\"+Inf\"} " << below << '\n';
    out << "nutmegarch_" << name << "_seconds_sum{" << labels << "} "
        << sums.at(static_cast<std::size_t>(cls)) << '\n';
    out << "nutmegarch_" << name << "_seconds_count{" << labels << "} " << below << '\n';
  }
};

metrics::metrics()
    : outbound_(std::make_unique<call_metrics>()), inbound_(std::make_unique<call_metrics>()) {}

metrics::~metrics() = default;

void metrics::on_outbound(call_class cls, call_outcome outcome, call_reason reason, duration latency) {
  const std::lock_guard<std::mutex> lock(mutex_);
  outbound_->add(cls, outcome, reason, latency);
}

void metrics::on_inbound(call_class cls, call_outcome outcome, call_reason reason, duration latency) {
  const std::lock_guard<std::mutex> lock(mutex_);
  inbound_->add(cls, outcome, reason, latency);
}

void metrics::add(const std::string& name, double amount) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counters_[name] += amount;
}

std::string metrics::to_text(const std::map<std::string, double>& gauges) const {
  std::ostringstream out;
  const std::lock_guard<std::mutex> lock(mutex_);
  outbound_->write(out, "outbound_calls");
  inbound_->write(out, "inbound_calls");
  for (const std::pair<const std::string, double>& counter : counters_) {
    out << "# TYPE nutmegarch_" << counter.first << "_total counter\n";
    out << "nutmegarch_" << counter.first << "_total " << counter.second << '\n';
  }
  for (const std::pair<const std::string, double>& gauge : gauges) {
    out << "# TYPE nutmegarch_" << gauge.first << " gauge\n";
    out << "nutmegarch_" << gauge.first << ' ' << gauge.second << '\n';
  }
  return out.str();
}

}  // namespace nutmegarch::observe
