#include "nutmegarch/organisations/allowance_cache.h"

#include <algorithm>
#include <iterator>

namespace nutmegarch::organisations {

namespace {

/// Number of entries above which unused ones are dropped.
constexpr std::size_t max_entries = 20'000;
/// An entry is unused if no request came for this long.
constexpr duration unused_time = std::chrono::seconds(10);

}  // namespace

allowance_verdict allowance_cache::on_request(const std::string& organisation, time_point now) {
  if (entries_.size() >= max_entries && entries_.count(organisation) == 0) {
    prune(now);
  }
  entry& found = entries_[organisation];
  count_arrival(found, now);
  if (take(organisation, now)) {
    return allowance_verdict::granted;
  }
  return now < found.refused_until ? allowance_verdict::refused : allowance_verdict::waiting;
}

int allowance_cache::next_question(const std::string& organisation, int waiting, time_point now) {
  entry& found = entries_[organisation];
  if (found.is_question_open || now < found.refused_until) {
    return 0;
  }
  const int held = count_held(found, now);
  const int expected =
      static_cast<int>(std::min(1e6, found.rate * to_seconds(settings_.lease) * settings_.ahead_share));
  // Ahead of time only when half of what is expected is used up.
  const bool asks_ahead = now >= found.no_ahead_until;
  if (waiting == 0 && (!asks_ahead || held * 2 > expected)) {
    return 0;
  }
  const int wanted = waiting + (asks_ahead ? std::max(0, expected - held) : 0);
  found.is_question_open = wanted > 0;
  found.waiting = waiting;
  return wanted;
}

void allowance_cache::on_answer(const std::string& organisation, int granted, duration retry_after,
                                time_point asked, time_point now) {
  entry& found = entries_[organisation];
  found.is_question_open = false;
  if (granted < found.waiting) {
    found.refused_until = now + retry_after;
  }
  found.no_ahead_until = now + retry_after;
  if (granted > 0) {
    add(found, {granted, asked + settings_.lease});
  }
}

void allowance_cache::on_no_answer(const std::string& organisation) {
  entries_[organisation].is_question_open = false;
}

bool allowance_cache::take(const std::string& organisation, time_point now) {
  auto found = entries_.find(organisation);
  if (found == entries_.end() || count_held(found->second, now) == 0) {
    return false;
  }
  entry& from = found->second;
  from.taken_expiry = from.granted.front().expiry;
  if (--from.granted.front().count == 0) {
    from.granted.pop_front();
  }
  return true;
}

void allowance_cache::give_back(const std::string& organisation, time_point granted_until, time_point now) {
  auto found = entries_.find(organisation);
  if (found != entries_.end() && now < granted_until) {
    add(found->second, {1, granted_until});
  }
}

time_point allowance_cache::expiry(const std::string& organisation) const {
  auto found = entries_.find(organisation);
  return found == entries_.end() ? time_point{} : found->second.taken_expiry;
}

int allowance_cache::count_held(entry& counted, time_point now) {
  while (!counted.granted.empty() && now >= counted.granted.front().expiry) {
    counted.granted.pop_front();
  }
  int held = 0;
  for (const batch& part : counted.granted) {
    held += part.count;
  }
  return held;
}

void allowance_cache::add(entry& to, const batch& added) {
  auto later = std::find_if(to.granted.begin(), to.granted.end(),
                            [&added](const batch& other) { return other.expiry >= added.expiry; });
  if (later != to.granted.end() && later->expiry == added.expiry) {
    later->count += added.count;
  } else {
    to.granted.insert(later, added);
  }
}

void allowance_cache::count_arrival(entry& counted, time_point now) const {
  const duration elapsed = now - counted.counted_from;
  if (elapsed >= settings_.lease) {
    const double measured = counted.arrivals / std::max(to_seconds(elapsed), to_seconds(settings_.lease));
    counted.rate += settings_.rate_weight * (measured - counted.rate);
    counted.arrivals = 0;
    counted.counted_from = now;
  }
  ++counted.arrivals;
}

void allowance_cache::prune(time_point now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool is_unused = !it->second.is_question_open && now - it->second.counted_from > unused_time;
    it = is_unused ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace nutmegarch::organisations
