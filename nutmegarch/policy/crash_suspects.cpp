#include "nutmegarch/policy/crash_suspects.h"

#include <algorithm>
#include <cassert>

namespace nutmegarch::policy {

void crash_suspects::on_connection_lost(std::uint64_t fingerprint, time_point now) {
  if (suspects_.size() < capacity_) {
    suspects_.push_back({fingerprint, now});
  }
}

bool crash_suspects::begin_check(time_point now) {
  if (is_checking_ || suspects_.empty()) {
    return false;
  }
  is_checking_ = true;
  check_start_ = now;
  return true;
}

std::vector<std::uint64_t> crash_suspects::on_check_done(bool is_reachable) {
  assert(is_checking_);
  is_checking_ = false;
  std::vector<std::uint64_t> fingerprints;
  if (is_reachable) {
    suspects_.erase(
        std::remove_if(suspects_.begin(), suspects_.end(),
                       [&](const suspect& candidate) { return candidate.lost_at <= check_start_; }),
        suspects_.end());
    return fingerprints;
  }
  for (const suspect& candidate : suspects_) {
    fingerprints.push_back(candidate.fingerprint);
  }
  suspects_.clear();
  return fingerprints;
}

}  // namespace nutmegarch::policy
