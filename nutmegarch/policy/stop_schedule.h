#pragma once

#include <optional>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Settings of stop_schedule. Both times count from the start of the stop.
struct stop_settings {
  /// In this time every request is taken: callers can't have learned yet that the node leaves.
  duration notice = std::chrono::milliseconds(2500);
  /// Time in which the process must have ended.
  duration limit = std::chrono::seconds(60);
};

/// Decides during a planned stop which requests may still begin, and with which deadline. One that is begun
/// late and can't end in time would be cut off without an answer, so it is refused instead, as one that has
/// not run. No I/O; not thread-safe.
class stop_schedule {
 public:
  explicit stop_schedule(const stop_settings& settings) : settings_(settings) {}

  /// Starts the stop. Further calls have no effect.
  void start(time_point now);

  bool started() const { return started_at_ != time_point{}; }
  /// True when the time in which every request is taken is over.
  bool is_notice_over(time_point now) const;
  /// Time until which answers are sure to be delivered; `never` before the stop.
  time_point answers_due() const;
  /// Time at which calls that are still open are aborted: each is answered with what is known of it, so that
  /// answers that are ready behind it on a connection are delivered, too. `never` before the stop.
  time_point abort_at() const;
  /// Time at which the process ends; `never` before the stop.
  time_point end() const;

  /// The deadline with which a request may begin that expires at `deadline`; nullopt when it must be refused.
  /// `has_running_parent`: the local target makes the call for a call that it is running. Such a call is
  /// taken also when it is late, since the work on its parent would be lost otherwise, but it must end in
  /// time: the answer to the parent can't be delivered later.
  std::optional<time_point> admit(time_point deadline, bool has_running_parent, time_point now) const;

 private:
  stop_settings settings_;
  time_point started_at_{};
};

}  // namespace nutmegarch::policy
