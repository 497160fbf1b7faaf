#pragma once

#include <chrono>
#include <ctime>

namespace nutmegarch {

/// Resolution of every time in the decisions.
using duration = std::chrono::nanoseconds;

/// Tag of the monotonic time line of one process. It has no now(): decisions get the time as an argument.
struct monotonic_clock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<monotonic_clock, duration>;
  static constexpr bool is_steady = true;
};

/// A moment on the monotonic time line of one process. It means nothing to another process.
using time_point = monotonic_clock::time_point;

/// A moment that never comes: "no timer is pending".
constexpr time_point never = time_point::max();

/// Source of the time. The node passes the system's clock, tests pass one that they move by hand.
class time_source {
 public:
  time_source() = default;
  time_source(const time_source&) = delete;
  time_source& operator=(const time_source&) = delete;
  virtual ~time_source() = default;

  /// The present moment. Any thread may call it.
  virtual time_point now() const = 0;
};

/// The monotonic clock of the operating system. It counts the time during which the machine was suspended,
/// so that deadlines pass meanwhile.
class system_time_source final : public time_source {
 public:
  time_point now() const override {
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + duration(read.tv_nsec));
  }
};

/// Seconds as a floating-point number, for rates and averages.
inline double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

/// The duration of a floating-point number of seconds.
inline duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

}  // namespace nutmegarch
