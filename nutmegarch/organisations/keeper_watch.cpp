#include "nutmegarch/organisations/keeper_watch.h"

#include <iterator>

namespace nutmegarch::organisations {

void keeper_watch::on_question(const question& asked, time_point now) {
  entry& watched = entries_[asked.address];
  watched.organisation = asked.organisation;
  watched.last_question = now;
}

std::vector<keeper_watch::question> keeper_watch::take_due(time_point now) {
  std::vector<question> due;
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& watched = it->second;
    if (now - watched.last_question > settings_.memory) {
      it = entries_.erase(it);
      continue;
    }
    if (watched.is_asked && now - watched.last_asked > settings_.timeout) {
      set_away(watched, now);
    }
    if (!watched.is_asked && now - watched.last_asked >= settings_.interval) {
      watched.is_asked = true;
      watched.last_asked = now;
      due.push_back({it->first, watched.organisation});
    }
    it = std::next(it);
  }
  return due;
}

void keeper_watch::on_answer(const std::string& address, bool grants, time_point now) {
  auto found = entries_.find(address);
  if (found == entries_.end() || !found->second.is_asked) {
    return;
  }
  if (!grants) {
    set_away(found->second, now);
    return;
  }
  found->second.is_asked = false;
  found->second.last_granting = now;
  found->second.away_since = time_point{};
}

bool keeper_watch::grants(const std::string& address, time_point now) const {
  auto found = entries_.find(address);
  return found != entries_.end() && found->second.last_granting != time_point{} &&
         found->second.away_since == time_point{} &&
         now - found->second.last_granting <= settings_.interval + settings_.timeout;
}

time_point keeper_watch::away_since(const std::string& address, time_point now) const {
  auto found = entries_.find(address);
  const bool is_known = found != entries_.end() && found->second.away_since != time_point{} &&
                        now - found->second.last_away <= 2 * (settings_.interval + settings_.timeout);
  return is_known ? found->second.away_since : now;
}

void keeper_watch::set_away(entry& found, time_point now) const {
  found.is_asked = false;
  if (found.away_since == time_point{} ||
      now - found.last_away > 2 * (settings_.interval + settings_.timeout)) {
    // It has not granted since it was asked.
    found.away_since = found.last_asked;
  }
  found.last_away = now;
}

}  // namespace nutmegarch::organisations
