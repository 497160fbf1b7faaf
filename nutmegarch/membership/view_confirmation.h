#pragma once

#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of view_confirmation.
struct view_confirmation_settings {
  /// Time since the start after which a view that nothing has confirmed is used all the same, because serving
  /// by an old view is better than not serving.
  duration max_refusal = std::chrono::seconds(2);
  /// Time since the start that the store has to itself. Only then a peer may make the first view usable: a
  /// peer's view is up to a second older than the store's answer.
  duration store_patience = std::chrono::milliseconds(300);
};

/// Decides whether this node's view of the platform's store, its routes and targets, may be used, and whether
/// it may be used to deny that a route exists. A view is confirmed while the store answers reads that are not
/// stale. A peer that reads the store makes a view usable, but does not confirm it: the peer may not have
/// noticed yet that its own watch is dead. No I/O; not thread-safe.
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
  bool may_serve(time_point now) const { return is_usable_ || now - start_ >= settings_.max_refusal; }
  /// True if the view is current, so that a route that is not in it does not exist.
  bool is_confirmed() const { return is_store_current_; }
  /// When the view was confirmed last, or the start.
  time_point last_confirmed() const { return last_confirmed_; }

 private:
  view_confirmation_settings settings_;
  time_point start_{};
  time_point last_confirmed_{};
  bool is_store_current_ = false;
  /// True if the store has confirmed the view since the start, or a peer has made it usable.
  bool is_usable_ = false;
};

}  // namespace nutmegarch::membership
