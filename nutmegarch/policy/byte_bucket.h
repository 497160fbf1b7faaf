#pragma once

#include <algorithm>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Settings of byte_bucket.
struct byte_bucket_settings {
  /// This node's share of the link between regions, in bytes per second.
  double bytes_per_second = 250'000;
  /// Largest burst, in bytes.
  double capacity = 250'000;
  /// Share of the capacity that only orders may use.
  double reserved_for_orders = 0.3;
};

/// Token bucket that limits the bytes which this node sends over the link between regions, with a reserve for
/// orders. No I/O; not thread-safe.
class byte_bucket {
 public:
  explicit byte_bucket(const byte_bucket_settings& settings)
      : settings_(settings), available_bytes_(settings.capacity) {}

  /// Replaces the settings. The available bytes stay, up to the new capacity.
  void set_settings(const byte_bucket_settings& settings) {
    settings_ = settings;
    available_bytes_ = std::min(available_bytes_, settings.capacity);
  }

  /// Takes `size` bytes for a call of class `cls`. Returns false and takes none when too few are available.
  bool withdraw(double size, call_class cls, time_point now) {
    if (now > last_refill_) {
      available_bytes_ = std::min(
          settings_.capacity, available_bytes_ + settings_.bytes_per_second * to_seconds(now - last_refill_));
      last_refill_ = now;
    }
    const double reserve = cls == call_class::order ? 0 : settings_.reserved_for_orders * settings_.capacity;
    if (available_bytes_ - size < reserve) {
      return false;
    }
    available_bytes_ -= size;
    return true;
  }

 private:
  byte_bucket_settings settings_;
  double available_bytes_;
  time_point last_refill_{};
};

}  // namespace nutmegarch::policy
