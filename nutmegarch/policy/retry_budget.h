#pragma once

#include <algorithm>
#include <cstdint>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Retries that a call and all calls below it may still make, as held by one hop.
/// Tokens are moved, never made: what a child call gets is gone here until its answer brings some back.
class retry_ledger : public boost::intrusive_ref_counter<retry_ledger, boost::thread_safe_counter> {
 public:
  explicit retry_ledger(std::uint16_t tokens) : tokens_(tokens) {}

  std::uint16_t tokens() const { return tokens_; }

  /// Pays for one extra attempt; false when nothing is left.
  bool withdraw() {
    if (tokens_ == 0) {
      return false;
    }
    --tokens_;
    return true;
  }

  /// Takes the share of a call that makes calls of its own out: half, rounded up.
  std::uint16_t take_share() {
    const std::uint16_t share = static_cast<std::uint16_t>((tokens_ + 1) / 2);
    tokens_ = static_cast<std::uint16_t>(tokens_ - share);
    return share;
  }

  /// Puts back what an answer brought, at most what was given to that attempt.
  void put_back(std::uint16_t returned, std::uint16_t given) {
    tokens_ = static_cast<std::uint16_t>(tokens_ + std::min(returned, given));
  }

 private:
  std::uint16_t tokens_;
};

using retry_ledger_ptr = boost::intrusive_ptr<retry_ledger>;

/// Settings of retry_bucket.
struct bucket_settings {
  /// Tokens that each success adds.
  double per_success = 0.1;
  /// Most tokens held, and tokens at the start.
  double capacity = 20;
  /// Share of the capacity that only orders may use.
  double kept_for_orders = 0.25;
};

/// Keeps extra attempts towards one destination to a share of its successes.
class retry_bucket {
 public:
  explicit retry_bucket(const bucket_settings& settings) : settings_(settings), tokens_(settings.capacity) {}

  /// Replaces the settings; what is held stays, up to the new capacity.
  void set(const bucket_settings& settings) {
    settings_ = settings;
    tokens_ = std::min(tokens_, settings.capacity);
  }

  void on_success() { tokens_ = std::min(settings_.capacity, tokens_ + settings_.per_success); }

  /// True when a whole token is there, over what is kept for orders.
  bool has_token(call_class cls) const {
    const double kept = cls == call_class::order ? 0 : settings_.kept_for_orders * settings_.capacity;
    // A small bucket, as nodes of a large fleet have, keeps nothing: else no other call could ever use it.
    return tokens_ >= std::min(1 + kept, std::max(1.0, settings_.capacity));
  }

  /// Pays for one extra attempt; false when there is no token for it.
  bool withdraw(call_class cls) {
    if (!has_token(cls)) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  bucket_settings settings_;
  double tokens_;
};

}  // namespace nutmegarch::policy
