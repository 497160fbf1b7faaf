#pragma once

#include <chrono>
#include <ctime>

namespace nutmegarch {

/// Duration type of all times in the node.
using duration = std::chrono::nanoseconds;

/// Clock type of the monotonic time points of a process. It has no now(): code that needs the time gets it as
/// an argument or from a time_source.
struct monotonic_clock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<monotonic_clock, duration>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time. It is only valid in the process that took it.
using time_point = monotonic_clock::time_point;

/// A time point that is never reached; used where no timer is pending.
constexpr time_point never = time_point::max();

/// Source of the current time. The node uses the clock of the operating system; tests use one that they
/// advance themselves.
class time_source {
 public:
  time_source() = default;
  time_source(const time_source&) = delete;
  time_source& operator=(const time_source&) = delete;
  virtual ~time_source() = default;

  /// The current time. Safe to call from any thread.
  virtual time_point now() const = 0;
};

/// The monotonic clock of the operating system. It includes the time while the machine is suspended, so that
/// deadlines expire during a suspension, too.
class system_time_source final : public time_source {
 public:
  time_point now() const override {
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + duration(read.tv_nsec));
  }
};

/// Converts a duration to seconds, for rates and averages.
inline double to_seconds(duration value) { return std::chrono::duration<double>(value).count(); }

/// Converts seconds to a duration, rounding towards zero.
inline duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

}  // namespace nutmegarch
