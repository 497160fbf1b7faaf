#pragma once

#include <atomic>
#include <string>
#include <unistd.h>

namespace nutmegarch {

/// An address on loopback that nobody listens on. Each has an IP number of its own, so that the ports of
/// outgoing connections can't take it, and the process id keeps test runs apart.
inline std::string free_address() {
  static std::atomic<int> last{0};
  constexpr int numbers = 250;
  const int number = ++last;
  return "127." + std::to_string(64 + number / numbers) + '.' + std::to_string(1 + getpid() % numbers) + '.' +
         std::to_string(1 + number % numbers) + ":20000";
}

}  // namespace nutmegarch
