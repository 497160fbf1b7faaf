#include "nutmegarch/policy/stop_schedule.h"

namespace nutmegarch::policy {

namespace {

/// Share of the limit that is left to the end of the process after the last call.
constexpr int exit_share = 12;

}  // namespace

void stop_schedule::start(time_point now) {
  if (!started()) {
    started_at_ = now;
  }
}

bool stop_schedule::is_notice_over(time_point now) const {
  return started() && now - started_at_ >= settings_.notice;
}

time_point stop_schedule::end() const {
  return started() ? started_at_ + settings_.limit - settings_.limit / exit_share : never;
}

bool stop_schedule::may_begin(time_point deadline, bool is_inner, time_point now) const {
  return is_inner || !is_notice_over(now) || deadline <= end();
}

}  // namespace nutmegarch::policy
