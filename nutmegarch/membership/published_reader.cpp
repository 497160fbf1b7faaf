#include "nutmegarch/membership/published_reader.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace nutmegarch::membership {

namespace {

/// Limits the doublings of the pause after failures, so that the multiplication does not overflow.
constexpr int max_doublings = 8;

/// Width of the random part of a watch's length, in steps of the fleet.
constexpr double jitter_steps = 0.4;

}  // namespace

store_request published_reader::next(time_point now) {
  if (is_open_ || now < next_request_time_) {
    return {};
  }
  is_open_ = true;
  sent_ = now;
  store_request request;
  request.request_id = ++last_request_id_;
  request.about = reads_configuration_ ? store_request::subject::all : store_request::subject::targets;
  if (is_listing_) {
    request.what = store_request::kind::read_page;
    request.after_key = after_key_;
    request.may_be_stale = may_be_stale_;
  } else {
    request.what = store_request::kind::watch;
    request.position = watched_position_;
    request.wait = is_current_ ? choose_watch() : settings_.confirming_watch;
    watch_length_ = request.wait;
  }
  return request;
}

bool published_reader::set_reads_configuration(bool reads, const store_position& configuration) {
  const bool begins = reads && !reads_configuration_;
  reads_configuration_ = reads;
  if (!begins) {
    return false;
  }
  // Changes of the configuration after its position have not been read.
  if (is_listing_ || configuration.era != watched_position_.era) {
    restart_listing(is_listing_ && may_be_stale_);
  } else {
    watched_position_ = std::min(watched_position_, configuration);
  }
  const bool was_open = is_open_;
  is_open_ = false;
  next_request_time_ = time_point{};
  return was_open;
}

bool published_reader::on_page(const std::vector<published_item>& items, const std::string& next_key,
                               const store_position& position, time_point now) {
  assert(is_listing_ && (after_key_.empty() || position.era == listing_position_.era));
  on_answer(now);
  newest_era_ = position.era;
  // The pages are read at different positions. Watching from the lowest one misses no change.
  listing_position_ = after_key_.empty() ? position : std::min(listing_position_, position);
  newest_page_position_ = std::max(newest_page_position_, position);
  listing_.insert(listing_.end(), items.begin(), items.end());
  if (!next_key.empty()) {
    after_key_ = next_key;
    return false;
  }
  const bool changed = state_.replace(listing_, listing_position_, now);
  watched_position_ = listing_position_;
  if (now < suspicion_end_) {
    set_notice(watched_position_, suspicion_end_);
  }
  // A change between two pages may concern the first one.
  is_current_ = !may_be_stale_ && newest_page_position_ == listing_position_;
  has_listed_ = true;
  restart_listing(false);
  is_listing_ = false;
  return changed;
}

bool published_reader::on_changes(const std::vector<published_item>& changes, const store_position& position,
                                  time_point now) {
  has_watch_ended_ = changes.empty() && is_current_;
  assert(!starts_era(position));
  on_answer(now);
  is_current_ = true;
  watched_position_ = std::max(watched_position_, position);
  if (sent_ >= behind_since_ && peer_position_ > watched_position_) {
    denied_position_ = std::max(denied_position_, peer_position_);
    peer_position_ = watched_position_;
  }
  if (now < suspicion_end_) {
    set_notice(watched_position_, suspicion_end_);
  }
  if (!changes.empty()) {
    next_request_time_ = now + gather();
  }
  return state_.apply(changes, position, now);
}

bool published_reader::starts_era(const store_position& position) const {
  if (is_listing_) {
    return !after_key_.empty() && position.era > listing_position_.era;
  }
  return position.era > watched_position_.era;
}

void published_reader::on_history_lost(time_point now) {
  on_answer(now);
  is_current_ = false;
  next_request_time_ = now + repeat_pause();
  // A stale listing may be older than the oldest change that the store still has.
  restart_listing(false);
}

void published_reader::on_failure(time_point now) {
  is_open_ = false;
  is_current_ = false;
  if (failures_ == 0) {
    failing_since_ = sent_;
  }
  const int doublings = std::min(failures_, max_doublings);
  const duration pause =
      std::min(settings_.longest_pause, settings_.first_pause * (std::int64_t{1} << doublings));
  next_request_time_ = now + from_seconds(to_seconds(pause) * (0.5 + random_.uniform()));
  ++failures_;
  if (is_listing_) {
    restart_listing(!has_listed_);
  }
}

void published_reader::on_connection_lost(time_point now) {
  if (was_silent_ || failures_ > 0) {
    on_failure(now);
    return;
  }
  on_silence(now);
  next_request_time_ = now + repeat_pause();
}

void published_reader::on_peer_change(const store_position& position, time_point now) {
  if (position <= std::max(watched_position_, denied_position_)) {
    return;
  }
  if (peer_position_ <= watched_position_) {
    behind_since_ = now;
  }
  if (position > peer_position_ && failures_ > 0) {
    next_request_time_ = std::min(next_request_time_, now + repeat_pause());
  }
  peer_position_ = std::max(peer_position_, position);
}

bool published_reader::on_notice(const store_position& position, time_point now) {
  on_peer_change(position, now);
  return position > std::max(watched_position_, denied_position_) &&
         set_notice(position, now + settings_.notice_lifetime);
}

bool published_reader::is_silent(time_point now) const {
  return is_open_ && !is_listing_ && !was_silent_ && peer_position_ > watched_position_ &&
         now - std::max({sent_, behind_since_, last_progress_}) >= settings_.silence_patience;
}

bool published_reader::is_overdue(time_point now) const {
  return is_open_ && !is_listing_ && !was_silent_ && failures_ == 0 &&
         now - std::max(sent_ + watch_length_, last_progress_) >= settings_.answer_patience;
}

void published_reader::on_silence(time_point now) {
  was_silent_ = true;
  is_open_ = false;
  is_current_ = false;
  next_request_time_ = now;
}

void published_reader::on_pause() {
  is_open_ = false;
  is_current_ = false;
  next_request_time_ = time_point{};
  if (is_listing_) {
    restart_listing(may_be_stale_);
  }
}

void published_reader::on_answer(time_point now) {
  if (failures_ > 0 && has_listed_ && now - failing_since_ >= settings_.shortest_lapse) {
    state_.on_store_recovered(now);
  }
  if (failures_ > 0 || was_silent_) {
    suspicion_end_ = now + settings_.suspicion;
  }
  failures_ = 0;
  was_silent_ = false;
  is_open_ = false;
}

bool published_reader::set_notice(const store_position& position, time_point end) {
  if (position <= notice_position_) {
    return false;
  }
  notice_position_ = position;
  notice_end_ = end;
  return true;
}

duration published_reader::gather() const {
  const double growth = static_cast<double>(fleet_size_) / settings_.gather_fleet_size;
  const duration grown = from_seconds(to_seconds(settings_.gather) * std::sqrt(std::max(1.0, growth)));
  return std::min(grown, settings_.max_gather);
}

duration published_reader::repeat_pause() {
  return from_seconds(to_seconds(gather()) / 2 * random_.uniform());
}

duration published_reader::choose_watch() {
  const duration step =
      std::min(settings_.watch_per_node, settings_.watch / static_cast<std::int64_t>(fleet_size_));
  std::size_t steps = fleet_size_;
  if (!has_watch_ended_) {
    // All nodes begin anew with each change. The revision changes who is the first one.
    const std::size_t place = place_ ? *place_ + watched_position_.revision : random_.below(fleet_size_);
    steps = 1 + place % fleet_size_;
  }
  // The jitter keeps nodes whose places changed from ending together for ever.
  const double jittered_steps = static_cast<double>(steps) + jitter_steps * (random_.uniform() - 0.5);
  return std::clamp(from_seconds(to_seconds(step) * jittered_steps),
                    std::min(settings_.confirming_watch, settings_.watch), settings_.watch);
}

void published_reader::restart_listing(bool may_be_stale) {
  is_listing_ = true;
  may_be_stale_ = may_be_stale;
  listing_.clear();
  listing_position_ = {};
  newest_page_position_ = {};
  after_key_.clear();
}

}  // namespace nutmegarch::membership
