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
  const int held = now < found.tokens_expire ? found.tokens : 0;
  const int expected =
      static_cast<int>(std::min(1e6, found.rate * to_seconds(settings_.lease) * settings_.ahead_share));
  // Ahead of time only when half of what is expected is used up.
  if (waiting == 0 && held * 2 > expected) {
    return 0;
  }
  const int wanted = waiting + std::max(0, expected - held);
  found.is_question_open = wanted > 0;
  return wanted;
}

void allowance_cache::on_answer(const std::string& organisation, int granted, duration retry_after,
                                time_point asked, time_point now) {
  entry& found = entries_[organisation];
  found.is_question_open = false;
  found.refused_until = now + retry_after;
  if (granted <= 0) {
    return;
  }
  const int held = now < found.tokens_expire ? found.tokens : 0;
  found.tokens = held + granted;
  // What was held before expires earlier. It is not worth an entry of its own: the earlier time holds for
  // all.
  found.tokens_expire =
      held > 0 ? std::min(found.tokens_expire, asked + settings_.lease) : asked + settings_.lease;
}

void allowance_cache::on_no_answer(const std::string& organisation) {
  entries_[organisation].is_question_open = false;
}

bool allowance_cache::take(const std::string& organisation, time_point now) {
  auto found = entries_.find(organisation);
  if (found == entries_.end() || found->second.tokens <= 0 || now >= found->second.tokens_expire) {
    return false;
  }
  --found->second.tokens;
  return true;
}

void allowance_cache::give_back(const std::string& organisation, time_point granted_until, time_point now) {
  auto found = entries_.find(organisation);
  if (found == entries_.end() || now >= granted_until) {
    return;
  }
  entry& back = found->second;
  const bool holds_any = back.tokens > 0 && now < back.tokens_expire;
  back.tokens_expire = holds_any ? std::min(back.tokens_expire, granted_until) : granted_until;
  back.tokens = holds_any ? back.tokens + 1 : 1;
}

time_point allowance_cache::expiry(const std::string& organisation) const {
  auto found = entries_.find(organisation);
  return found == entries_.end() ? time_point{} : found->second.tokens_expire;
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
