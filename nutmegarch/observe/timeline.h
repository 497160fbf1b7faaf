#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "nutmegarch/core/call.h"
#include "nutmegarch/observe/hybrid_clock.h"
#include "nutmegarch/observe/line_budget.h"

namespace nutmegarch::observe {

/// What an event of the time line tells.
enum class event_kind : std::uint8_t {
  rules_in_force,
  rules_refused,
  level_changed,
  call_queued,
  call_started,
  call_answered,
  call_shed,
  call_retried,
  call_hedged,
  ticket_issued,
  order_unknown,
  target_ejected,
  target_back,
  target_crashed,
  quarantine,
  leaving,
  pause_found,
  configuration_silent,
  bad_request,
  node_started,
  target_limit
};

/// One event of the time line.
struct timeline_event {
  /// Of the node's hybrid clock.
  std::uint64_t stamp = 0;
  event_kind kind = event_kind::node_started;
  /// The request that it is about; zero for none.
  request_id request;
  /// What it is about: a service, a host, a rule.
  std::string subject;
  std::string detail;
};

/// The name of a kind, as "rules-in-force".
const char* name_of(event_kind kind);

/// True for events that change what the node believes of its targets, its peers or itself.
bool changes_belief(event_kind kind);

/// The newest events of one node. Any thread may call it.
class timeline {
 public:
  timeline(std::size_t capacity, hybrid_clock& clock);

  /// Adds an event, in place of the oldest when the ring is full. Events that change what the node believes
  /// are logged as well, within a budget of lines.
  void add(event_kind kind, const request_id& request, std::string subject, std::string detail);

  /// Events with a stamp larger than `after`, the oldest first.
  std::vector<timeline_event> read(std::uint64_t after) const;

 private:
  /// Holds the lock.
  void log_change(const timeline_event& event);

  std::size_t capacity_;
  hybrid_clock& clock_;
  system_time_source time_;
  /// Guards the ring and the budget; only the log's own lock is taken while it is held.
  mutable std::mutex mutex_;
  std::vector<timeline_event> ring_;
  std::size_t next_ = 0;
  line_budget lines_;
};

/// A request id in hexadecimal, as in traceparent.
std::string to_text(const request_id& id);

}  // namespace nutmegarch::observe
