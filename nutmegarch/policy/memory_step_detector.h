#pragma once

#include <cstddef>
#include <optional>

namespace nutmegarch::policy {

/// Detects that the memory of the process has passed a step. Steps are first_step_bytes and each doubling of
/// it. A step is reported again only after the memory has fallen below half of it. No I/O; not thread-safe.
class memory_step_detector {
 public:
  /// The lowest step, in bytes.
  static constexpr std::size_t first_step_bytes = 32U << 20U;

  /// Takes the present memory, in bytes. Returns the highest step that it has passed since the last call.
  std::optional<std::size_t> update(std::size_t resident_bytes) {
    while (next_step_ > first_step_bytes && resident_bytes < next_step_ / 4) {
      next_step_ /= 2;
    }
    std::optional<std::size_t> passed;
    while (resident_bytes >= next_step_ && next_step_ <= last_step_bytes) {
      passed = next_step_;
      next_step_ *= 2;
    }
    return passed;
  }

 private:
  static constexpr std::size_t last_step_bytes = std::size_t{1} << 40U;

  /// The lowest step that has not been passed.
  std::size_t next_step_ = first_step_bytes;
};

}  // namespace nutmegarch::policy
