#include "performance_test/virtual_time/fake_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegarch::performance_test {

std::uint64_t fake_target::run(double factor, work_done done) {
  const std::uint64_t handle = next_handle_++;
  jobs_[handle] = job{std::move(done), factor, false, {}};
  if (running_ < shape_.slots) {
    start(handle);
  } else {
    queue_.push_back(handle);
  }
  return handle;
}

duration fake_target::release(std::uint64_t handle) {
  auto found = jobs_.find(handle);
  if (found == jobs_.end()) {
    return {};
  }
  const bool ran = found->second.running;
  const duration held = ran ? events_.now() - found->second.started : duration{};
  jobs_.erase(found);
  if (!ran) {
    return {};
  }
  --running_;

  // Queue entries of released calls are skipped.
  while (!queue_.empty() && running_ < shape_.slots) {
    const std::uint64_t next = queue_.front();
    queue_.pop_front();
    if (jobs_.count(next) != 0) {
      start(next);
    }
  }
  return held;
}

void fake_target::stall(duration length) { stalled_until_ = events_.now() + length; }

void fake_target::start(std::uint64_t handle) {
  job& started = jobs_.at(handle);
  started.running = true;
  started.started = events_.now();
  ++running_;
  const duration work = sample(started.factor);
  const time_point begin = std::max(events_.now(), stalled_until_);
  events_.after(begin + work - events_.now(), [this, handle]() { end_work(handle); });
}

void fake_target::end_work(std::uint64_t handle) {
  if (jobs_.count(handle) == 0) {
    return;
  }
  if (events_.now() < stalled_until_) {
    events_.after(stalled_until_ - events_.now(), [this, handle]() { end_work(handle); });
    return;
  }
  const work_done done = jobs_.at(handle).done;
  done(handle);
}

duration fake_target::sample(double factor) {
  std::normal_distribution<double> normal(-0.5 * shape_.sigma * shape_.sigma, shape_.sigma);
  double work = to_seconds(shape_.mean) * std::exp(normal(random_.engine())) * slowdown_;
  work *= factor;
  if (shape_.contention_from > 0 && running_ > shape_.contention_from) {
    work *= std::pow(static_cast<double>(running_) / shape_.contention_from, 2.0);
  }
  return from_seconds(work);
}

}  // namespace nutmegarch::performance_test
