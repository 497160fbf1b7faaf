#include "performance_test/virtual_time/event_queue.h"

#include <utility>

namespace nutmegarch::performance_test {

void event_queue::after(duration delay, std::function<void()> event) {
  entries_.push({now_ + delay, next_number_++, std::move(event)});
}

void event_queue::run_until(time_point end) {
  while (!entries_.empty() && entries_.top().at <= end) {
    // The entry is about to be removed, so its event may be moved out of the const reference.
    std::function<void()> event = std::move(const_cast<entry&>(entries_.top()).event);  // NOLINT
    now_ = entries_.top().at;
    entries_.pop();
    event();
  }
  now_ = end;
}

}  // namespace nutmegarch::performance_test
