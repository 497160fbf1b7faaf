#include "nutmegarch/membership/gossip_schedule.h"

#include <algorithm>
#include <iterator>

namespace nutmegarch::membership {

void gossip_schedule::set_peers(std::vector<std::string> peers) {
  std::set<std::string> listed(peers.begin(), peers.end());
  const auto is_gone = [&](const std::string& address) { return listed.count(address) == 0; };
  unmet_.erase(std::remove_if(unmet_.begin(), unmet_.end(), is_gone), unmet_.end());
  missed_.erase(std::remove_if(missed_.begin(), missed_.end(), is_gone), missed_.end());
  std::set_difference(listed.begin(), listed.end(), known_.begin(), known_.end(), std::back_inserter(unmet_));
  known_ = std::move(listed);
  peers_ = std::move(peers);
}

std::vector<std::string> gossip_schedule::due_for_greeting(time_point now) {
  if (now >= next_repeat_ && !missed_.empty()) {
    next_repeat_ = now + settings_.greeting_interval;
    const std::size_t count = std::min(missed_.size(), settings_.most_greetings);
    unmet_.insert(unmet_.end(), missed_.begin(), missed_.begin() + static_cast<std::ptrdiff_t>(count));
    missed_.erase(missed_.begin(), missed_.begin() + static_cast<std::ptrdiff_t>(count));
  }
  const std::size_t count = std::min(unmet_.size(), settings_.most_greetings);
  std::vector<std::string> greeted(unmet_.end() - static_cast<std::ptrdiff_t>(count), unmet_.end());
  unmet_.resize(unmet_.size() - count);
  greeted_.insert(greeted.begin(), greeted.end());
  return greeted;
}

void gossip_schedule::on_exchanged(const std::string& address, bool is_reached) {
  const bool was_greeted = greeted_.erase(address) != 0;
  if (was_greeted && !is_reached && known_.count(address) != 0) {
    missed_.push_back(address);
  }
}

std::vector<std::string> gossip_schedule::due(time_point now) {
  if (now < next_exchange_ || peers_.empty()) {
    return {};
  }
  // Jitter of half the interval keeps nodes from moving in step.
  next_exchange_ = now + from_seconds(to_seconds(settings_.interval) * (0.75 + 0.5 * random_.uniform()));
  return {peers_.at(random_.below(peers_.size()))};
}

std::vector<std::string> gossip_schedule::due_for_news(time_point now) {
  if (!has_news_ || now < next_news_) {
    return {};
  }
  has_news_ = false;
  next_news_ = now + settings_.news_interval;
  return pick_peers();
}

std::vector<std::string> gossip_schedule::pick_peers() {
  std::vector<std::string> chosen = peers_;
  std::shuffle(chosen.begin(), chosen.end(), random_.engine());
  chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(settings_.fan_out)));
  return chosen;
}

bool gossip_schedule::should_read(time_point now) {
  if (now - heard_ < settings_.silence || now < next_read_) {
    return false;
  }
  next_read_ = now + from_seconds(to_seconds(settings_.least_read_interval) * (1 + random_.uniform()));
  return true;
}

}  // namespace nutmegarch::membership
