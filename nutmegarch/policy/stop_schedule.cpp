#include "nutmegarch/policy/stop_schedule.h"

namespace nutmegarch::policy {

namespace {

/// Part of the limit, as a divisor, that is left to the end of the process after the last call.
constexpr int exit_divisor = 12;
/// Part of the limit, as a divisor, in which the answers to aborted calls are written before the process
/// ends.
constexpr int abort_divisor = 48;
/// Part of the limit, as a divisor, before whose begin the answers to late requests must have arrived. It is
/// longer than the exit, so that they are delivered before open calls are aborted.
constexpr int delivery_divisor = 6;

}  // namespace

void stop_schedule::start(time_point now) {
  if (!started()) {
    started_at_ = now;
  }
}

bool stop_schedule::is_notice_over(time_point now) const {
  return started() && now - started_at_ >= settings_.notice;
}

time_point stop_schedule::answers_due() const {
  return started() ? started_at_ + settings_.limit - settings_.limit / delivery_divisor : never;
}

time_point stop_schedule::abort_at() const {
  return started() ? end() - settings_.limit / abort_divisor : never;
}

time_point stop_schedule::end() const {
  return started() ? started_at_ + settings_.limit - settings_.limit / exit_divisor : never;
}

std::optional<time_point> stop_schedule::admit(time_point deadline, bool has_running_parent,
                                               time_point now) const {
  if (!is_notice_over(now) || deadline <= answers_due()) {
    return deadline;
  }
  if (has_running_parent && now < answers_due()) {
    return answers_due();
  }
  return std::nullopt;
}

}  // namespace nutmegarch::policy
