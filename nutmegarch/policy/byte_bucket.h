#pragma once

#include <algorithm>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Settings of byte_bucket.
struct byte_bucket_settings {
  /// This node's part of the link between regions, in bytes a second.
  double rate = 250'000;
  /// Most bytes that a burst may take.
  double capacity = 250'000;
  /// Share of the capacity that is kept for orders.
  double kept_for_orders = 0.3;
};

/// Limits the bytes that this node sends over the link between regions, and keeps room for orders.
class byte_bucket {
 public:
  explicit byte_bucket(const byte_bucket_settings& settings)
      : settings_(settings), bytes_(settings.capacity) {}

  /// Replaces the settings; what is held stays, up to the new capacity.
  void set(const byte_bucket_settings& settings) {
    settings_ = settings;
    bytes_ = std::min(bytes_, settings.capacity);
  }

  /// Takes `size` bytes for a call of class `cls`; false when they are not there.
  bool withdraw(double size, call_class cls, time_point now) {
    if (now > refilled_) {
      bytes_ = std::min(settings_.capacity, bytes_ + settings_.rate * to_seconds(now - refilled_));
      refilled_ = now;
    }
    const double kept = cls == call_class::order ? 0 : settings_.kept_for_orders * settings_.capacity;
    if (bytes_ - size < kept) {
      return false;
    }
    bytes_ -= size;
    return true;
  }

 private:
  byte_bucket_settings settings_;
  double bytes_;
  time_point refilled_{};
};

}  // namespace nutmegarch::policy
