#pragma once

#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of view_confirmation.
struct view_confirmation_settings {
  /// Time since the start after which a view that nothing has confirmed is used all the same, because serving
  /// by an old view is better than not serving.
  duration max_refusal = std::chrono::seconds(2);
  /// Time since the start that the store has to itself. Only then a peer may confirm the first view: a peer's
  /// view is up to a second older than the store's answer.
  duration store_patience = std::chrono::milliseconds(300);
  /// How long a peer's confirmation lasts. Together with the peer's own delay it stays below the 2.5 s within
  /// which a change must be in force.
  duration peer_validity = std::chrono::seconds(1);
};

/// Decides whether this node's view of the platform's store, its routes and targets, may be used, and whether
/// it may be used to deny that a route exists. A view is confirmed while the store answers reads that are not
/// stale, and for a while after a peer has confirmed it whose own view is confirmed by the store. No I/O; not
/// thread-safe.
class view_confirmation {
 public:
  explicit view_confirmation(const view_confirmation_settings& settings) : settings_(settings) {}

  /// The process has started. Without this call, as in a fleet without a platform's store, the view counts as
  /// usable and not as confirmed.
  void on_start(time_point now);
  /// The store has answered a read that is not stale.
  void on_store_answer(time_point now);
  /// The store has failed or lost its history, or the process was suspended: the store may have changes that
  /// this node has not seen.
  void on_store_doubtful() { is_store_current_ = false; }
  /// This node has all that a peer has whose view the store confirms.
  void on_peer_view(time_point now);

  /// True if the node may say that it is ready and may pass requests on by its view.
  bool may_serve(time_point now) const { return was_confirmed_ || now - start_ >= settings_.max_refusal; }
  /// True if the view is current, so that a route that is not in it does not exist.
  bool is_confirmed(time_point now) const {
    return is_store_current_ || (was_confirmed_ && now < peer_confirmation_end_);
  }
  /// True if the store itself confirms the view, so that peers may rely on it.
  bool is_confirmed_by_store() const { return is_store_current_; }
  /// When the view was confirmed last, or the start.
  time_point last_confirmed() const { return last_confirmed_; }

 private:
  view_confirmation_settings settings_;
  time_point start_{};
  time_point last_confirmed_{};
  time_point peer_confirmation_end_{};
  bool is_store_current_ = false;
  /// True if the view has been confirmed since the start.
  bool was_confirmed_ = false;
};

}  // namespace nutmegarch::membership
