#pragma once

#include <algorithm>
#include <vector>

#include "nutmegarch/policy/endpoint.h"

namespace nutmegarch::policy {

/// Settings of recovery_pace.
struct recovery_pace_settings {
  bool is_enabled = false;
  /// Calls that a node has open at first at a target that has started or recovered.
  int first_calls = 1;
  /// An answer lets the pace grow if it took at most this multiple of the route's median latency. A target
  /// that has just started works at half of its speed.
  double good_latency_ratio = 3;
  /// Share of a service's slots above which nothing is held back: the others could not take the calls.
  double max_held_share = 0.5;
};

/// Finds how many calls a node may have open at a target that has just started, or was ejected and answers
/// again. The load it answers: all nodes at once see a target without load and send it what they have.
///
/// It begins with a few calls. Each answer that is not slow allows one more, which doubles them with each
/// round of answers; a slow one changes nothing, and a loss halves them. It ends when the node might fill all
/// slots. What the target publishes of its start only begins it. The state is in endpoint::paced_calls. No
/// I/O; not thread-safe.
class recovery_pace {
 public:
  explicit recovery_pace(const recovery_pace_settings& settings) : settings_(settings) {}

  /// The target has started, or was ejected.
  void begin(endpoint& at) const { at.paced_calls = settings_.is_enabled ? settings_.first_calls : 0; }

  /// The target has answered; `latency_ratio` is the time that took, in medians of the route.
  void on_answer(endpoint& at, double latency_ratio) const {
    if (at.paced_calls == 0 || latency_ratio > settings_.good_latency_ratio) {
      return;
    }
    at.paced_calls = at.paced_calls + 1 >= at.slots ? 0 : at.paced_calls + 1;
  }

  /// The target has not answered a call.
  void on_loss(endpoint& at) const {
    at.paced_calls = at.paced_calls == 0 ? 0 : std::max(settings_.first_calls, at.paced_calls / 2);
  }

  /// True if the target has as many calls of this node as the pace allows.
  static bool is_reached(const endpoint& at) {
    return at.paced_calls > 0 && at.outstanding >= at.paced_calls;
  }

  /// True if the targets that are paced are few enough for the others to take their calls.
  bool may_hold_back(const std::vector<endpoint_ptr>& all) const {
    int slots = 0;
    int paced_slots = 0;
    for (const endpoint_ptr& candidate : all) {
      slots += candidate->slots;
      paced_slots += candidate->paced_calls > 0 ? candidate->slots : 0;
    }
    return paced_slots <= settings_.max_held_share * slots;
  }

 private:
  recovery_pace_settings settings_;
};

}  // namespace nutmegarch::policy
