#include "nutmegarch/policy/level_controller.h"

#include <algorithm>
#include <numeric>

namespace nutmegarch::policy {

void level_controller::on_offer(call_class cls, std::uint8_t shed_rank) {
  offered_counts_.at(level_position(cls, shed_rank)) += 1;
}

void level_controller::on_waiting_changed(const waiting_counts& waiting, int standing_threshold) {
  waiting_ = waiting;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    standing_.at(i) = standing_.at(i) && waiting.at(i) >= standing_threshold;
  }
  emptied_ = emptied_ || waiting.back() == 0;
}

bool level_controller::on_tick(time_point now) {
  if (now < interval_end_) {
    return false;
  }
  const admission_level before = level_;
  auto first_standing = std::find(standing_.begin(), standing_.end(), true);
  if (first_standing != standing_.end()) {
    // More important classes are served before the first standing one, so shedding them would not help.
    const std::size_t standing_class = static_cast<std::size_t>(first_standing - standing_.begin());
    const int boundary = static_cast<int>(standing_class) * shed_rank_count;
    if (level_.cutoff < boundary) {
      step_up(boundary);
    } else if (waiting_.at(standing_class) >= waiting_at_interval_start_.at(standing_class)) {
      step_down(boundary);
    }
  } else if (emptied_) {
    step_up(position_count);
  }

  // Start the next interval.
  for (double& count : offered_counts_) {
    count *= settings_.retention;
  }
  waiting_at_interval_start_ = waiting_;
  standing_.fill(true);
  emptied_ = false;
  interval_end_ = now + settings_.interval;
  return !(level_ == before);
}

void level_controller::step_down(int min_cutoff) {
  const double admitted =
      std::accumulate(offered_counts_.begin(), offered_counts_.begin() + level_.cutoff, 0.0);
  double to_shed = admitted * settings_.decrease_share;
  int cutoff = level_.cutoff;
  const int lowest = std::max({1, min_cutoff, cutoff - settings_.max_step_down});
  while (cutoff > lowest && to_shed > 0) {
    --cutoff;
    to_shed -= offered_counts_.at(static_cast<std::size_t>(cutoff));
  }
  level_.cutoff = static_cast<std::uint16_t>(cutoff);
}

void level_controller::step_up(int max_cutoff) {
  const double admitted =
      std::accumulate(offered_counts_.begin(), offered_counts_.begin() + level_.cutoff, 0.0);
  double to_admit = std::max(1.0, admitted * settings_.increase_share);
  int cutoff = level_.cutoff;
  const int highest = std::min(max_cutoff, cutoff + settings_.max_step_up);
  // Calls that other nodes shed are not counted here, so a position counts as at least the average.
  const double average = admitted / std::max<double>(1, level_.cutoff);
  while (cutoff < highest && to_admit > 0) {
    to_admit -= std::max(offered_counts_.at(static_cast<std::size_t>(cutoff)), average);
    ++cutoff;
  }
  level_.cutoff = static_cast<std::uint16_t>(cutoff);
}

}  // namespace nutmegarch::policy
