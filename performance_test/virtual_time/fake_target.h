#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "nutmegarch/core/random.h"

#include "performance_test/virtual_time/event_queue.h"

namespace nutmegarch::performance_test {

/// Shape of a target's service times.
struct service_shape {
  int slots = 55;
  /// Mean time of a call's own work.
  duration mean = std::chrono::milliseconds(100);
  /// Spread of the log-normal distribution.
  double sigma = 0.5;
  /// Calls on the route "long" take this many times the mean.
  double long_factor = 50;
  /// From this many running calls on, each further one slows all; 0: never.
  int contention_from = 0;
};

/// A target with a fixed number of slots and a first-come queue of its own for what is beyond them.
class fake_target {
 public:
  /// Runs after the call's own work is done, while it still holds its slot. Calls the argument to free the
  /// slot.
  using work_done = std::function<void(std::uint64_t handle)>;

  fake_target(event_queue& events, random_source& random, const service_shape& shape)
      : events_(events), random_(random), shape_(shape) {}

  /// Starts a call or queues it; its work is `factor` times the usual. `done` is told when it is over.
  std::uint64_t run(double factor, work_done done);

  /// The call has ended: frees its slot. Returns the time for which it held it.
  duration release(std::uint64_t handle);

  /// All work takes `factor` times as long from now on.
  void set_slowdown(double factor) { slowdown_ = factor; }

  /// Nothing makes progress until `length` has passed.
  void stall(duration length);

  /// Calls running and queued over the slots: the load that the target reports.
  double load() const { return static_cast<double>(jobs_.size()) / shape_.slots; }

 private:
  struct job {
    work_done done;
    double factor = 1;
    bool running = false;
    time_point started{};
  };

  void start(std::uint64_t handle);
  void end_work(std::uint64_t handle);
  duration sample(double factor);

  event_queue& events_;
  random_source& random_;
  service_shape shape_;
  std::unordered_map<std::uint64_t, job> jobs_;
  std::deque<std::uint64_t> queue_;
  int running_ = 0;
  double slowdown_ = 1;
  time_point stalled_until_{};
  std::uint64_t next_handle_ = 1;
};

}  // namespace nutmegarch::performance_test
