#include "nutmegarch/node/allowance_path.h"

#include <algorithm>
#include <utility>

#include "nutmegarch/observe/log.h"

namespace nutmegarch::node {

namespace {

/// Time between two lines about the same organisation.
constexpr duration log_interval = std::chrono::seconds(1);
/// Number of organisations that are logged at all.
constexpr std::size_t max_logged_organisations = 1024;

}  // namespace

allowance_path::allowance_path(node_state& state, protocol::peer_network& peers)
    : state_(state),
      peers_(peers),
      cache_(state.settings.organisations.cache),
      ledger_(state.settings.organisations.ledger) {}

void allowance_path::set_nodes(std::vector<std::string> addresses) {
  if (owners_.set_nodes(std::move(addresses))) {
    ledger_.on_nodes_changed(state_.clock.now());
  }
}

void allowance_path::acquire(std::uint64_t key, const std::string& organisation, decision_callback decided) {
  int wanted = 0;
  std::optional<decision> known;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    std::size_t waiting = 0;
    switch (cache_.on_request(organisation, now)) {
      case organisations::allowance_verdict::granted:
        known = decision(cache_.expiry(organisation));
        break;
      case organisations::allowance_verdict::refused:
        known = decision(call_reason::over_allowance);
        break;
      case organisations::allowance_verdict::waiting: {
        std::deque<waiting_request>& queue = waiting_[organisation];
        queue.push_back({key, decided});
        waiting = queue.size();
        break;
      }
    }
    wanted = cache_.next_question(organisation, static_cast<int>(waiting), now);
  }
  if (known) {
    decided(*known);
  }
  if (wanted > 0) {
    ask(organisation, wanted, 0);
  }
}

bool allowance_path::cancel(std::uint64_t key) {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    std::deque<waiting_request>& queue = entry->second;
    auto found = std::find_if(queue.begin(), queue.end(),
                              [key](const waiting_request& request) { return request.key == key; });
    if (found != queue.end()) {
      queue.erase(found);
      if (queue.empty()) {
        waiting_.erase(entry);
      }
      return true;
    }
  }
  return false;
}

void allowance_path::give_back(const std::string& organisation, time_point granted_until) {
  cache_.give_back(organisation, granted_until, state_.clock.now());
}

protocol::allowance_reply allowance_path::on_request(const std::string& organisation, int wanted) {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  return reply_to(organisation, wanted, state_.clock.now());
}

protocol::allowance_reply allowance_path::reply_to(const std::string& organisation, int wanted,
                                                   time_point now) {
  const organisations::organisation* const holder =
      state_.routes ? state_.routes->organisations().find_by_name(organisation) : nullptr;
  // A keeper that is cut off would grant beside the one that stands in for it.
  if (holder == nullptr || state_.leaving || !state_.configuration_age.is_in_touch(now)) {
    return {};
  }
  if (holder->limit.rate <= 0) {
    return {true, wanted, duration{}};
  }
  const bool is_stand_in = owners_.find(organisation).front() != state_.settings.listen.peers;
  const organisations::allowance_grant grant =
      ledger_.spend(organisation, holder->limit, is_stand_in, wanted, now);
  if (grant.granted < wanted) {
    log_used_up(*holder, grant, is_stand_in, now);
  }
  return {true, grant.granted, grant.retry_after};
}

void allowance_path::log_used_up(const organisations::organisation& holder,
                                 const organisations::allowance_grant& grant, bool is_stand_in,
                                 time_point now) {
  state_.metrics.add("allowances_used_up");
  time_point& next_line = next_lines_[holder.name];
  if (now < next_line || next_lines_.size() > max_logged_organisations) {
    return;
  }
  next_line = now + log_interval;
  observe::log_event(observe::log_level::info, "allowance-used-up",
                     {{"organisation", holder.name},
                      {"rate", std::to_string(holder.limit.rate)},
                      {"burst", std::to_string(holder.limit.burst)},
                      {"granted_in_window", std::to_string(grant.total)},
                      {"allowed", std::to_string(grant.allowed)},
                      {"stand_in", is_stand_in ? "true" : "false"},
                      {"retry_after_ms", observe::to_milliseconds_text(grant.retry_after)}});
}

void allowance_path::on_tick() {
  std::vector<std::uint64_t> overdue;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    if (!state_.configuration_age.is_in_touch(now)) {
      ledger_.on_lost_touch(now);
    }
    for (const std::pair<const std::uint64_t, question>& open : questions_) {
      if (now - open.second.asked > state_.settings.organisations.keeper_timeout) {
        overdue.push_back(open.first);
      }
    }
  }
  for (const std::uint64_t id : overdue) {
    on_no_reply(id);
  }
}

bool allowance_path::is_idle() const {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  return waiting_.empty();
}

void allowance_path::ask(const std::string& organisation, int wanted, std::size_t rank) {
  question asked;
  std::uint64_t id = 0;
  bool is_own = false;
  std::optional<protocol::allowance_reply> own_reply;
  deferred_decisions deferred;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    const organisations::owner_table::keepers& keepers = owners_.find(organisation);
    while (rank < keepers.size() && (keepers.at(rank).empty() || now < paused_until_[keepers.at(rank)])) {
      ++rank;
    }
    if (rank >= keepers.size()) {
      cache_.on_no_answer(organisation);
      refuse_waiting(organisation, call_reason::unknown_allowance, deferred);
    } else {
      asked = {organisation, wanted, rank, keepers.at(rank), now};
      id = ++last_question_;
      questions_[id] = asked;
      is_own = asked.address == state_.settings.listen.peers;
      if (is_own) {
        own_reply = reply_to(organisation, wanted, now);
      }
      state_.metrics.add("allowance_questions");
    }
  }
  for (const std::function<void()>& decide : deferred) {
    decide();
  }
  if (id == 0) {
    return;
  }
  if (is_own) {
    on_reply(id, *own_reply);
    return;
  }
  peers_.spend_allowance(asked.address, organisation, wanted,
                         [self = shared_from_this(),
                          id](const result<protocol::allowance_reply, protocol::peer_error>& outcome) {
                           self->on_reply(id, outcome);
                         });
}

void allowance_path::on_reply(std::uint64_t id,
                              const result<protocol::allowance_reply, protocol::peer_error>& outcome) {
  if (!succeeded(outcome) || !std::get<protocol::allowance_reply>(outcome).is_keeper) {
    on_no_reply(id);
    return;
  }
  const protocol::allowance_reply& reply = std::get<protocol::allowance_reply>(outcome);
  deferred_decisions deferred;
  question answered;
  int wanted = 0;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = questions_.find(id);
    if (found == questions_.end()) {
      return;
    }
    const time_point now = state_.clock.now();
    answered = std::move(found->second);
    questions_.erase(found);
    cache_.on_answer(answered.organisation, reply.granted, reply.retry_after, answered.asked, now);
    wanted = settle(answered.organisation, deferred, now);
  }
  for (const std::function<void()>& decide : deferred) {
    decide();
  }
  if (wanted > 0) {
    ask(answered.organisation, wanted, 0);
  }
}

void allowance_path::on_no_reply(std::uint64_t id) {
  question unanswered;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = questions_.find(id);
    if (found == questions_.end()) {
      return;
    }
    unanswered = std::move(found->second);
    questions_.erase(found);
    paused_until_[unanswered.address] = state_.clock.now() + state_.settings.organisations.keeper_pause;
    state_.metrics.add("allowance_questions_unanswered");
  }
  ask(unanswered.organisation, unanswered.wanted, unanswered.rank + 1);
}

int allowance_path::settle(const std::string& organisation, deferred_decisions& deferred, time_point now) {
  auto found = waiting_.find(organisation);
  if (found == waiting_.end()) {
    return 0;
  }
  std::deque<waiting_request>& queue = found->second;
  while (!queue.empty() && cache_.take(organisation, now)) {
    const decision granted(cache_.expiry(organisation));
    deferred.emplace_back([decided = std::move(queue.front().decided), granted]() { decided(granted); });
    queue.pop_front();
  }
  if (queue.empty()) {
    waiting_.erase(found);
    return 0;
  }
  // Requests that came after the question are asked for again, unless the allowance is used up.
  const int wanted = cache_.next_question(organisation, static_cast<int>(queue.size()), now);
  if (wanted == 0) {
    refuse_waiting(organisation, call_reason::over_allowance, deferred);
  }
  return wanted;
}

void allowance_path::refuse_waiting(const std::string& organisation, call_reason reason,
                                    deferred_decisions& deferred) {
  auto found = waiting_.find(organisation);
  if (found == waiting_.end()) {
    return;
  }
  for (waiting_request& request : found->second) {
    deferred.emplace_back([decided = std::move(request.decided), reason]() { decided(decision(reason)); });
  }
  waiting_.erase(found);
}

}  // namespace nutmegarch::node
