#pragma once

#include <algorithm>
#include <optional>

#include "nutmegarch/core/random.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of configuration_age.
struct configuration_age_settings {
  /// Requests with keys are taken only if the configuration in force was the newest one this long ago or
  /// less: the time after which a key that was taken away must not be used any more. Zero: at any age.
  duration max_age{};
  /// Kept free of `max_age` for the inaccuracy of clocks.
  duration margin = std::chrono::milliseconds(100);
  /// Time between two questions of a reader to the store, as a share of `max_age`.
  double reader_interval_share = 0.2;
  /// Age, as a share of `max_age`, from which a node asks its peers, and time between two such questions.
  double peer_age_share = 0.25;
  double peer_interval_share = 0.1;
  /// Age, as a share of `max_age`, from which a node asks the store itself, because no peer could tell.
  double store_age_share = 0.55;
};

/// Whom to ask whether the configuration in force is still the newest one.
enum class confirmation_source : std::uint8_t { none, store, peer };

/// Knows for how long the configuration in force may have been replaced without this node's knowledge, so
/// that keys that were taken away are refused in time, also at a node that is cut off. The load it answers:
/// changes that a node can't hear of.
///
/// The age counts from when a question was asked that was answered with nothing newer: an answer may have
/// been on its way for any time, and a watch that waits says nothing. A few readers ask the store; the others
/// learn the age from peers, with each answer and in exchanges. No I/O; not thread-safe.
class configuration_age {
 public:
  explicit configuration_age(const configuration_age_settings& settings) : settings_(settings) {}

  /// The question asked at `asked` was answered, by the store or with a peer's age added: there was no
  /// configuration newer than the one that is in force now.
  void on_confirmed(time_point asked) {
    if (!confirmed_ || asked > *confirmed_) {
      confirmed_ = asked;
    }
  }
  /// A peer, asked at `asked`, has told the age of its configuration. `is_newer`: it is newer than the one in
  /// force here.
  void on_peer(time_point asked, std::optional<duration> peer_age, bool is_newer) {
    if (peer_age && !is_newer && *peer_age >= duration{}) {
      on_confirmed(asked - *peer_age);
    }
  }
  /// Readers ask the store at regular intervals.
  void set_reader(bool is_reader) { is_reader_ = is_reader; }

  /// Time since the configuration in force was the newest one for certain; nullopt if it never was.
  std::optional<duration> age(time_point now) const {
    return confirmed_ ? std::optional<duration>(now - *confirmed_) : std::nullopt;
  }
  /// True if no key that was taken away more than max_age ago is valid here.
  bool may_take_keys(time_point now) const {
    return !is_limited() || is_younger(now, settings_.max_age - settings_.margin);
  }
  /// True if the node is in touch with the store, directly or by its peers, as far as can be told. Without
  /// a limit of the age that is always so.
  bool is_in_touch(time_point now) const { return !is_limited() || is_younger(now, share(in_touch_share)); }
  bool is_limited() const { return settings_.max_age > duration{}; }

  /// Whom to ask now. `is_store_failing`: the store does not answer, and is asked again anyway.
  confirmation_source next(bool is_store_failing, random_source& random, time_point now) {
    if (!is_limited()) {
      return confirmation_source::none;
    }
    const bool wants_store = is_reader_ || !is_younger(now, share(settings_.store_age_share));
    if (wants_store && !is_store_failing && now >= next_store_question_) {
      next_store_question_ = now + from_seconds(to_seconds(share(settings_.reader_interval_share)) *
                                                (min_jitter + (1 - min_jitter) * random.uniform()));
      return confirmation_source::store;
    }
    if (!is_younger(now, share(settings_.peer_age_share)) && now >= next_peer_question_) {
      next_peer_question_ = now + share(settings_.peer_interval_share);
      return confirmation_source::peer;
    }
    return confirmation_source::none;
  }

 private:
  /// Smallest part of an interval between two questions to the store.
  static constexpr double min_jitter = 0.8;
  /// A node whose configuration is younger than this share of max_age counts as in touch.
  static constexpr double in_touch_share = 0.6;

  bool is_younger(time_point now, duration limit) const { return confirmed_ && now - *confirmed_ <= limit; }
  duration share(double part) const { return from_seconds(to_seconds(settings_.max_age) * part); }

  configuration_age_settings settings_;
  std::optional<time_point> confirmed_;
  bool is_reader_ = false;
  time_point next_store_question_{};
  time_point next_peer_question_{};
};

}  // namespace nutmegarch::membership
