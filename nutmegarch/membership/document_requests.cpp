#include "nutmegarch/membership/document_requests.h"

#include <algorithm>
#include <utility>

namespace nutmegarch::membership {

namespace {

/// Limits the doublings of the pause, so that the multiplication does not overflow.
constexpr int max_doublings = 8;

}  // namespace

void document_requests::set_peers(const std::vector<document_peer>& peers) {
  std::map<std::string, known_peer> next;
  for (const document_peer& peer : peers) {
    auto known = peers_by_host_.find(peer.host);
    const std::uint64_t version = known == peers_by_host_.end() ? 0 : known->second.version;
    next[peer.host] = {peer.address, peer.is_near, version};
  }
  peers_by_host_ = std::move(next);
}

void document_requests::on_peer_version(const std::string& host, std::uint64_t version) {
  // A peer that was restarted may have an older one than before.
  auto known = peers_by_host_.find(host);
  if (known != peers_by_host_.end()) {
    known->second.version = version;
  }
}

std::string document_requests::next(const document_need& need, time_point now) {
  if (need.is_lag_lasting && !is_lag_lasting_) {
    crossing_ = now + from_seconds(to_seconds(settings_.crossing_jitter) * random_.uniform());
  }
  is_lag_lasting_ = need.is_lag_lasting;
  if (need.own_version != own_version_) {
    own_version_ = need.own_version;
    vain_requests_ = 0;
  }
  const bool is_waiting = !asked_.empty() && now - asked_at_ < settings_.answer_patience;
  if (is_waiting) {
    return {};
  }

  std::string chosen = now >= next_request_ ? pick_holder(need.own_version + 1, now) : std::string();
  has_asked_holder_ = !chosen.empty();
  if (chosen.empty() && need.is_store_away && now >= next_inquiry_) {
    const bool is_far = random_.below(static_cast<std::size_t>(settings_.far_share)) == 0;
    chosen = pick(!is_far, 0);
    if (chosen.empty()) {
      chosen = pick(is_far, 0);
    }
    next_inquiry_ = now + settings_.interval;
  }
  asked_ = chosen;
  asked_at_ = now;
  return chosen;
}

void document_requests::on_ended(const std::string& address, time_point now) {
  if (address != asked_) {
    return;
  }
  asked_.clear();
  if (has_asked_holder_) {
    next_request_ =
        now + std::min(settings_.longest_pause,
                       settings_.pause * (std::int64_t{1} << std::min(vain_requests_, max_doublings)));
    ++vain_requests_;
  }
}

std::string document_requests::pick_holder(std::uint64_t version, time_point now) {
  const std::string near = pick(true, version);
  return near.empty() && is_lag_lasting_ && now >= crossing_ ? pick(false, version) : near;
}

std::string document_requests::pick(bool is_near, std::uint64_t version) {
  std::vector<const std::string*> holders;
  for (const std::pair<const std::string, known_peer>& peer : peers_by_host_) {
    if (peer.second.is_near == is_near && peer.second.version >= version) {
      holders.push_back(&peer.second.address);
    }
  }
  return holders.empty() ? std::string() : *holders.at(random_.below(holders.size()));
}

}  // namespace nutmegarch::membership
