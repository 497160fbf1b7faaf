#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::performance_test {

/// Virtual clock with the events that are due on it. Events of one moment run in the order they were added.
class event_queue final : public time_source {
 public:
  time_point now() const override { return now_; }

  /// Runs `event` after `delay`.
  void after(duration delay, std::function<void()> event);

  /// Runs events until the clock stands at `end`.
  void run_until(time_point end);

 private:
  struct entry {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> event;

    bool operator>(const entry& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  std::priority_queue<entry, std::vector<entry>, std::greater<>> entries_;
  time_point now_ = time_point(std::chrono::seconds(1));
  std::uint64_t next_number_ = 0;
};

}  // namespace nutmegarch::performance_test
