#pragma once

#include <algorithm>
#include <cstdint>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Retry tokens that one hop holds for a call and all its downstream calls. Tokens are transferred and never
/// created: those sent with a child call leave the pool until its answer returns the unused ones. Not
/// thread-safe, except for its reference count.
class retry_token_pool : public boost::intrusive_ref_counter<retry_token_pool, boost::thread_safe_counter> {
 public:
  explicit retry_token_pool(std::uint16_t tokens) : tokens_(tokens) {}

  std::uint16_t tokens() const { return tokens_; }

  /// Withdraws one token for a retry or a hedge. Returns false when the pool is empty.
  bool withdraw() {
    if (tokens_ == 0) {
      return false;
    }
    --tokens_;
    return true;
  }

  /// Withdraws half of the tokens, rounded up, for a call that makes downstream calls, and returns their
  /// number.
  std::uint16_t take_share() {
    const std::uint16_t share = static_cast<std::uint16_t>((tokens_ + 1) / 2);
    tokens_ = static_cast<std::uint16_t>(tokens_ - share);
    return share;
  }

  /// Adds the unused tokens that an answer returned, limited to the number that was sent with the attempt.
  void return_unused(std::uint16_t returned, std::uint16_t given) {
    tokens_ = static_cast<std::uint16_t>(tokens_ + std::min(returned, given));
  }

 private:
  std::uint16_t tokens_;
};

using retry_token_pool_ptr = boost::intrusive_ptr<retry_token_pool>;

/// Settings of `retry_bucket`.
struct retry_bucket_settings {
  /// Number of tokens that each success adds.
  double tokens_per_success = 0.1;
  /// Maximum and initial number of tokens.
  double capacity = 20;
  /// Share of the capacity that is reserved for orders.
  double reserved_for_orders = 0.25;
};

/// Token bucket that limits the retries or hedges to one service to a share of its successes. Not
/// thread-safe.
class retry_bucket {
 public:
  explicit retry_bucket(const retry_bucket_settings& settings)
      : settings_(settings), tokens_(settings.capacity) {}

  /// Replaces the settings. Keeps the current tokens, up to the new capacity.
  void set(const retry_bucket_settings& settings) {
    settings_ = settings;
    tokens_ = std::min(tokens_, settings.capacity);
  }

  /// Adds tokens for one successful call.
  void on_success() { tokens_ = std::min(settings_.capacity, tokens_ + settings_.tokens_per_success); }

  /// True when a call of class `cls` may withdraw a token. Other calls than orders leave the reserve for
  /// orders untouched.
  bool has_token(call_class cls) const {
    const double reserved = cls == call_class::order ? 0 : settings_.reserved_for_orders * settings_.capacity;
    // In a large fleet a node has a bucket of about one token. It reserves nothing, since otherwise only
    // orders could ever use it.
    return tokens_ >= std::min(1 + reserved, std::max(1.0, settings_.capacity));
  }

  /// Withdraws one token for a retry or a hedge. Returns false when has_token() is false.
  bool withdraw(call_class cls) {
    if (!has_token(cls)) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  retry_bucket_settings settings_;
  double tokens_;
};

}  // namespace nutmegarch::policy
