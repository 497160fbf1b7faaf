#pragma once

#include <array>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Settings of level_controller.
struct level_settings {
  /// Time between two adjustments of the level.
  duration interval = std::chrono::milliseconds(50);
  /// Factor in [0, 1] on the offered counts at the end of each interval.
  double retention = 0.95;
  /// Share of the admitted calls that one step down sheds.
  double decrease_share = 0.05;
  /// Share of the admitted calls that one step up adds.
  double increase_share = 0.1;
  /// Largest step in positions on the scale of admission_level; a class has shed_rank_count of them.
  int max_step_down = 3;
  int max_step_up = 8;
};

/// Controls the admission level of one target, by the calls offered in the last intervals.
///
/// A queue is standing when it held at least a threshold of calls throughout an interval. A class has a
/// standing queue when its calls and the more important ones do together. The level steps down while the
/// standing queue of the most important such class does not shrink, and up after an interval in which no
/// queue was standing and nothing waited at some moment. Classes more important than the first with a
/// standing queue are served before it, so shedding them would not help: the level does not step below the
/// first position of that class, and steps up towards it when it is lower. Not thread-safe.
class level_controller {
 public:
  explicit level_controller(const level_settings& settings) : settings_(settings) {}

  /// A call was offered, whether or not it was admitted.
  void on_offer(call_class cls, std::uint8_t shed_rank);

  /// For each class: number of waiting calls of it and of all more important classes.
  using waiting_counts = std::array<int, call_class_count>;

  /// Reports the waiting calls after each change, and the number of them that makes a queue standing. The
  /// smallest number within an interval decides whether a queue is standing.
  void on_waiting_changed(const waiting_counts& waiting, int standing_threshold);

  /// Adjusts the level when an interval has ended. Returns true when the level has changed.
  bool on_tick(time_point now);

  admission_level level() const { return level_; }

 private:
  void step_down(int min_cutoff);
  void step_up(int max_cutoff);

  static constexpr int position_count = call_class_count * shed_rank_count;

  level_settings settings_;
  admission_level level_;
  /// Calls offered at each position of the level's scale, with exponential decay.
  std::array<double, position_count> offered_counts_{};
  waiting_counts waiting_{};
  waiting_counts waiting_at_interval_start_{};
  /// For each class: its queue has been standing since the start of the interval.
  std::array<bool, call_class_count> standing_{};
  /// The queue was empty at some moment of the interval.
  bool emptied_ = true;
  time_point interval_end_{};
};

}  // namespace nutmegarch::policy
