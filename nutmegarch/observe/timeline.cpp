#include "nutmegarch/observe/timeline.h"

#include <array>
#include <cstdio>
#include <utility>

namespace nutmegarch::observe {

const char* name_of(event_kind kind) {
  constexpr std::array<const char*, 20> names = {
      "rules-in-force", "rules-refused",  "level-changed",        "call-queued",    "call-started",
      "call-answered",  "call-shed",      "call-retried",         "call-hedged",    "ticket-issued",
      "order-unknown",  "target-ejected", "target-back",          "target-crashed", "quarantine",
      "leaving",        "pause-found",    "configuration-silent", "bad-request",    "node-started"};
  return names.at(static_cast<std::size_t>(kind));
}

void timeline::add(event_kind kind, const request_id& request, std::string subject, std::string detail) {
  timeline_event event{clock_.next(), kind, request, std::move(subject), std::move(detail)};
  const std::lock_guard<std::mutex> lock(mutex_);
  if (ring_.size() < capacity_) {
    ring_.push_back(std::move(event));
    return;
  }
  ring_.at(next_) = std::move(event);
  next_ = (next_ + 1) % capacity_;
}

std::vector<timeline_event> timeline::read(std::uint64_t after) const {
  std::vector<timeline_event> events;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::size_t i = 0; i < ring_.size(); ++i) {
    const timeline_event& event = ring_.at((next_ + i) % ring_.size());
    if (event.stamp > after) {
      events.push_back(event);
    }
  }
  return events;
}

std::string to_text(const request_id& id) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(id.high),
                static_cast<unsigned long long>(id.low));
  return text.data();
}

}  // namespace nutmegarch::observe
