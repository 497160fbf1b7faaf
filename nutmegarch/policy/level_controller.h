#pragma once

#include <array>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Settings of level_controller.
struct level_settings {
  /// Time between two changes of the level.
  duration interval = std::chrono::milliseconds(50);
  /// Part of the offered counts that is kept from one interval to the next.
  double memory = 0.95;
  /// Share of the admitted calls that one step sheds.
  double decrease = 0.05;
  /// Share of the admitted calls that one step adds.
  double increase = 0.1;
  /// Most positions (a class has shed_rank_count) by which one step moves down, and up.
  int largest_step_down = 3;
  int largest_step_up = 8;
};

/// Finds the admission level of one target by what was offered in the last intervals.
/// Steps the level down while a standing queue does not drain, and up while nothing waits. Calls of a class
/// that does not wait itself are not shed for what waits behind them.
class level_controller {
 public:
  explicit level_controller(const level_settings& settings) : settings_(settings) {}

  /// A call was offered, whether it was admitted or not.
  void on_offer(call_class cls, std::uint8_t shed_rank);

  /// Calls that wait: those of each class and of all more important ones.
  using waiting_counts = std::array<int, call_class_count>;

  /// Tells how many calls wait, and from which number on that is a standing queue.
  /// Call it after each change; the least value of an interval counts.
  void on_waiting(const waiting_counts& waiting, int standing);

  /// Steps the level when an interval is over. True when the level changed.
  bool on_time(time_point now);

  admission_level level() const { return level_; }

 private:
  void step_down(int least_cutoff);
  void step_up(int most_cutoff);

  static constexpr int position_count = call_class_count * shed_rank_count;

  level_settings settings_;
  admission_level level_;
  /// Calls offered at each position; old ones fade.
  std::array<double, position_count> offered_{};
  waiting_counts waiting_{};
  waiting_counts waiting_at_start_{};
  /// For each class: it and the more important ones stood in the queue during the whole interval.
  std::array<bool, call_class_count> always_standing_{};
  bool was_empty_ = true;
  time_point interval_end_{};
};

}  // namespace nutmegarch::policy
