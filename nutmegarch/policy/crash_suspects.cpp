#include "nutmegarch/policy/crash_suspects.h"

#include <algorithm>
#include <cassert>

namespace nutmegarch::policy {

void crash_suspects::on_lost(std::uint64_t fingerprint, time_point now) {
  if (suspects_.size() < capacity_) {
    suspects_.push_back({fingerprint, now});
  }
}

bool crash_suspects::begin_check(time_point now) {
  if (is_checking_ || suspects_.empty()) {
    return false;
  }
  is_checking_ = true;
  check_began_ = now;
  return true;
}

std::vector<std::uint64_t> crash_suspects::on_checked(bool is_reachable) {
  assert(is_checking_);
  is_checking_ = false;
  std::vector<std::uint64_t> blamed;
  if (is_reachable) {
    suspects_.erase(std::remove_if(suspects_.begin(), suspects_.end(),
                                   [&](const suspect& held) { return held.lost <= check_began_; }),
                    suspects_.end());
    return blamed;
  }
  for (const suspect& held : suspects_) {
    blamed.push_back(held.fingerprint);
  }
  suspects_.clear();
  return blamed;
}

}  // namespace nutmegarch::policy
