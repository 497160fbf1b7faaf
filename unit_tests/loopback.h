#pragma once

#include <atomic>
#include <string>
#include <unistd.h>

namespace nutmegarch {

/// Returns a loopback address that nothing listens on. Each has an IP address of its own, so that the
/// ephemeral ports of outgoing connections do not collide with it; the process id is part of it to keep
/// concurrent test runs apart.
inline std::string free_address() {
  static std::atomic<int> last_number{0};
  constexpr int addresses_per_octet = 250;
  const int number = ++last_number;
  return "127." + std::to_string(64 + number / addresses_per_octet) + '.' +
         std::to_string(1 + getpid() % addresses_per_octet) + '.' +
         std::to_string(1 + number % addresses_per_octet) + ":20000";
}

}  // namespace nutmegarch
