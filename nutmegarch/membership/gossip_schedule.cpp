#include "nutmegarch/membership/gossip_schedule.h"

#include <algorithm>
#include <iterator>

namespace nutmegarch::membership {

void gossip_schedule::set_peers(std::vector<std::string> peers) {
  std::set<std::string> listed(peers.begin(), peers.end());
  const auto is_gone = [&](const std::string& address) { return listed.count(address) == 0; };
  ungreeted_.erase(std::remove_if(ungreeted_.begin(), ungreeted_.end(), is_gone), ungreeted_.end());
  unreached_.erase(std::remove_if(unreached_.begin(), unreached_.end(), is_gone), unreached_.end());
  std::set_difference(listed.begin(), listed.end(), peer_set_.begin(), peer_set_.end(),
                      std::back_inserter(ungreeted_));
  peer_set_ = std::move(listed);
  peers_ = std::move(peers);
}

std::vector<std::string> gossip_schedule::due_for_greeting(time_point now) {
  if (now >= next_regreeting_ && !unreached_.empty()) {
    next_regreeting_ = now + settings_.greeting_interval;
    const std::size_t count = std::min(unreached_.size(), settings_.max_greetings);
    ungreeted_.insert(ungreeted_.end(), unreached_.begin(),
                      unreached_.begin() + static_cast<std::ptrdiff_t>(count));
    unreached_.erase(unreached_.begin(), unreached_.begin() + static_cast<std::ptrdiff_t>(count));
  }
  const std::size_t count = std::min(ungreeted_.size(), settings_.max_greetings);
  std::vector<std::string> greeted(ungreeted_.end() - static_cast<std::ptrdiff_t>(count), ungreeted_.end());
  ungreeted_.resize(ungreeted_.size() - count);
  pending_greetings_.insert(greeted.begin(), greeted.end());
  return greeted;
}

void gossip_schedule::on_exchanged(const std::string& address, bool has_answered) {
  const bool was_greeted = pending_greetings_.erase(address) != 0;
  if (was_greeted && !has_answered && peer_set_.count(address) != 0) {
    unreached_.push_back(address);
  }
}

std::vector<std::string> gossip_schedule::due(time_point now) {
  if (now < next_exchange_ || peers_.empty()) {
    return {};
  }
  // A jitter of a quarter of the interval in both directions keeps the nodes from synchronizing.
  next_exchange_ = now + from_seconds(to_seconds(settings_.interval) * (0.75 + 0.5 * random_.uniform()));
  return {peers_.at(random_.below(peers_.size()))};
}

std::vector<std::string> gossip_schedule::due_for_update(time_point now) {
  if (due_rounds_ == 0 || now < next_update_) {
    return {};
  }
  --due_rounds_;
  next_update_ = now + settings_.update_interval;
  return pick_peers();
}

std::vector<std::string> gossip_schedule::pick_peers() {
  std::vector<std::string> chosen = peers_;
  std::shuffle(chosen.begin(), chosen.end(), random_.engine());
  chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(settings_.fan_out)));
  return chosen;
}

bool gossip_schedule::should_read(time_point now) {
  if (now - last_received_ < settings_.silence || now < next_read_) {
    return false;
  }
  next_read_ = now + from_seconds(to_seconds(settings_.min_read_interval) * (1 + random_.uniform()));
  return true;
}

}  // namespace nutmegarch::membership
