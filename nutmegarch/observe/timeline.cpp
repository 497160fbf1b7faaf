#include "nutmegarch/observe/timeline.h"

#include <array>
#include <cstdio>
#include <utility>

#include "nutmegarch/observe/log.h"

namespace nutmegarch::observe {

namespace {

/// Lines about changed beliefs: in the long run, and at once. Under overload a level changes 20 times a
/// second.
constexpr double lines_per_second = 20;
constexpr double lines_at_once = 100;

}  // namespace

const char* name_of(event_kind kind) {
  constexpr std::array<const char*, 21> names = {
      "rules-in-force", "rules-refused",  "level-changed",        "call-queued",    "call-started",
      "call-answered",  "call-shed",      "call-retried",         "call-hedged",    "ticket-issued",
      "order-unknown",  "target-ejected", "target-back",          "target-crashed", "quarantine",
      "leaving",        "pause-found",    "configuration-silent", "bad-request",    "node-started",
      "target-limit"};
  return names.at(static_cast<std::size_t>(kind));
}

bool changes_belief(event_kind kind) {
  switch (kind) {
    case event_kind::level_changed:
    case event_kind::target_ejected:
    case event_kind::target_back:
    case event_kind::target_crashed:
    case event_kind::quarantine:
    case event_kind::pause_found:
    case event_kind::configuration_silent:
    case event_kind::target_limit:
      return true;
    default:
      return false;
  }
}

timeline::timeline(std::size_t capacity, hybrid_clock& clock)
    : capacity_(capacity), clock_(clock), lines_(lines_per_second, lines_at_once) {}

void timeline::add(event_kind kind, const request_id& request, std::string subject, std::string detail) {
  timeline_event event{clock_.next(), kind, request, std::move(subject), std::move(detail)};
  const std::lock_guard<std::mutex> lock(mutex_);
  if (changes_belief(kind)) {
    log_change(event);
  }
  if (ring_.size() < capacity_) {
    ring_.push_back(std::move(event));
    return;
  }
  ring_.at(next_) = std::move(event);
  next_ = (next_ + 1) % capacity_;
}

void timeline::log_change(const timeline_event& event) {
  if (!lines_.take(time_.now())) {
    return;
  }
  log_fields fields = {{"subject", event.subject}, {"detail", event.detail}};
  const std::uint64_t suppressed = lines_.take_suppressed();
  if (suppressed > 0) {
    fields.emplace_back("suppressed_before", std::to_string(suppressed));
  }
  log_event(log_level::info, name_of(event.kind), fields);
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
