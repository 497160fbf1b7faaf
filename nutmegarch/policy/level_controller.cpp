#include "nutmegarch/policy/level_controller.h"

#include <algorithm>
#include <numeric>

namespace nutmegarch::policy {

void level_controller::on_offer(call_class cls, std::uint8_t shed_rank) {
  offered_.at(level_position(cls, shed_rank)) += 1;
}

void level_controller::on_waiting(const waiting_counts& waiting, int standing) {
  waiting_ = waiting;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    always_standing_.at(i) = always_standing_.at(i) && waiting.at(i) >= standing;
  }
  was_empty_ = was_empty_ || waiting.back() == 0;
}

bool level_controller::on_time(time_point now) {
  if (now < interval_end_) {
    return false;
  }
  const admission_level before = level_;
  auto first_standing = std::find(always_standing_.begin(), always_standing_.end(), true);
  if (first_standing != always_standing_.end()) {
    // Classes before the first that stands go ahead of it in the queue, so shedding them would not help.
    const std::size_t standing_class = static_cast<std::size_t>(first_standing - always_standing_.begin());
    const int boundary = static_cast<int>(standing_class) * shed_rank_count;
    if (level_.cutoff < boundary) {
      step_up(boundary);
    } else if (waiting_.at(standing_class) >= waiting_at_start_.at(standing_class)) {
      step_down(boundary);
    }
  } else if (was_empty_) {
    step_up(position_count);
  }

  // Start the next interval.
  for (double& count : offered_) {
    count *= settings_.memory;
  }
  waiting_at_start_ = waiting_;
  always_standing_.fill(true);
  was_empty_ = false;
  interval_end_ = now + settings_.interval;
  return !(level_ == before);
}

void level_controller::step_down(int least_cutoff) {
  const double admitted = std::accumulate(offered_.begin(), offered_.begin() + level_.cutoff, 0.0);
  double to_shed = admitted * settings_.decrease;
  int cutoff = level_.cutoff;
  const int lowest = std::max({1, least_cutoff, cutoff - settings_.largest_step_down});
  while (cutoff > lowest && to_shed > 0) {
    --cutoff;
    to_shed -= offered_.at(static_cast<std::size_t>(cutoff));
  }
  level_.cutoff = static_cast<std::uint16_t>(cutoff);
}

void level_controller::step_up(int most_cutoff) {
  const double admitted = std::accumulate(offered_.begin(), offered_.begin() + level_.cutoff, 0.0);
  double to_admit = std::max(1.0, admitted * settings_.increase);
  int cutoff = level_.cutoff;
  const int highest = std::min(most_cutoff, cutoff + settings_.largest_step_up);
  // Calls that are shed before they reach this node do not show, so a position counts as at least the
  // average.
  const double average = admitted / std::max<double>(1, level_.cutoff);
  while (cutoff < highest && to_admit > 0) {
    to_admit -= std::max(offered_.at(static_cast<std::size_t>(cutoff)), average);
    ++cutoff;
  }
  level_.cutoff = static_cast<std::uint16_t>(cutoff);
}

}  // namespace nutmegarch::policy
