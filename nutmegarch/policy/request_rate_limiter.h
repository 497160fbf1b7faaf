#pragma once

#include <algorithm>
#include <optional>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Settings of request_rate_limiter.
struct request_rate_settings {
  /// Lowest rate at which calls are sent, per second, also to a target that takes none: only an answer can
  /// tell that its limit has ended.
  double min_rate = 0.25;
  /// Calls that may be sent at once after a pause, as the time in which the rate allows them; always one
  /// more.
  duration burst = std::chrono::milliseconds(100);
  /// Oldest rate that is taken over from a peer.
  duration max_peer_age = std::chrono::seconds(30);
};

/// How an event has changed the rate of a request_rate_limiter.
enum class rate_change : std::uint8_t { none, begun, changed, ended, adopted };

/// Token bucket for the rate of calls that a target names in its answers. Without a named rate it limits
/// nothing.
///
/// The rate holds until the target answers, to a call that was sent after its last naming answer had arrived,
/// without naming one. A limiter that has seen no answer of the target yet, because its process has just
/// started, takes over what peers have learned from earlier answers. No I/O; not thread-safe.
class request_rate_limiter {
 public:
  request_rate_limiter() : request_rate_limiter(request_rate_settings{}) {}
  explicit request_rate_limiter(const request_rate_settings& settings) : settings_(settings) {}

  /// The target has named `rate` calls per second, at least 0.
  rate_change on_named(double rate, time_point now) {
    has_own_answer_ = true;
    return set_rate(rate, now, now, rate_change::begun);
  }

  /// The target has answered a call that was sent at `sent`, and has named no rate.
  rate_change on_not_named(time_point sent) {
    has_own_answer_ = true;
    // The target may have made the answer to an earlier call before the one that named the rate.
    if (!rate_ || sent <= named_at_) {
      return rate_change::none;
    }
    rate_.reset();
    return rate_change::ended;
  }

  /// A peer passes on the rate that it has learned.
  rate_change on_peer_rate(const target_rate& learned, time_point now) {
    const time_point named_at = now - learned.age;
    if (has_own_answer_ || learned.age > settings_.max_peer_age || (rate_ && named_at <= named_at_)) {
      return rate_change::none;
    }
    return set_rate(learned.per_second, named_at, now, rate_change::adopted);
  }

  /// True when a call may be sent now.
  bool has_token(time_point now) {
    refill(now);
    return !rate_ || tokens_ >= 1;
  }

  /// Records that a call is sent.
  void on_sent(time_point now) {
    refill(now);
    tokens_ -= rate_ ? 1 : 0;
  }

  /// Time until `count` more calls can have been sent.
  duration time_for(int count, time_point now) {
    refill(now);
    return rate_ ? from_seconds(std::max(0.0, count - tokens_) / *rate_) : duration{};
  }

  /// Calls per second in force; nullopt when there is no limit.
  std::optional<double> rate() const { return rate_; }

  /// The rate in force, for peers.
  std::optional<target_rate> report(time_point now) const {
    return rate_ ? std::optional<target_rate>({*rate_, now - named_at_}) : std::nullopt;
  }

 private:
  rate_change set_rate(double rate, time_point named_at, time_point now, rate_change first_change) {
    refill(now);
    const std::optional<double> before = rate_;
    rate_ = std::max(rate, settings_.min_rate);
    named_at_ = named_at;
    // The target has been receiving calls until now, so nothing is due to it.
    tokens_ = before ? std::min(tokens_, capacity()) : 0;
    if (!before) {
      return first_change;
    }
    return *before == *rate_ ? rate_change::none : rate_change::changed;
  }

  void refill(time_point now) {
    if (now > last_refill_) {
      tokens_ = rate_ ? std::min(capacity(), tokens_ + *rate_ * to_seconds(now - last_refill_)) : 0;
      last_refill_ = now;
    }
  }

  double capacity() const { return 1 + *rate_ * to_seconds(settings_.burst); }

  request_rate_settings settings_;
  std::optional<double> rate_;
  /// When the answer that last named the rate arrived.
  time_point named_at_{};
  bool has_own_answer_ = false;
  double tokens_ = 0;
  time_point last_refill_{};
};

}  // namespace nutmegarch::policy
