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
      keeper_(state.settings.organisations.keeper),
      route_(state.settings.organisations.route) {}

void allowance_path::set_nodes(std::vector<std::string> addresses, std::string own_address) {
  keeper_.set_nodes(std::move(addresses), std::move(own_address), state_.clock.now());
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
    ask(organisation, wanted);
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
    return {true, wanted, duration{}, ""};
  }
  const organisations::keeper_answer answer = keeper_.on_question(organisation, holder->limit, wanted, now);
  if (!answer.is_keeper) {
    state_.metrics.add(answer.keeper.empty() ? "allowance_questions_not_kept"
                                             : "allowance_questions_redirected");
    return {false, 0, duration{}, answer.keeper};
  }
  if (answer.is_stand_in) {
    log_standing_in(organisation, now);
  }
  if (answer.grant.granted < wanted) {
    log_used_up(*holder, answer.grant, answer.is_stand_in, now);
  }
  return {true, answer.grant.granted, answer.grant.retry_after, ""};
}

void allowance_path::log_standing_in(const std::string& organisation, time_point now) {
  state_.metrics.add("allowance_questions_stand_in");
  if (now < next_standing_in_line_) {
    return;
  }
  next_standing_in_line_ = now + log_interval;
  observe::log_event(observe::log_level::info, "allowance-stand-in",
                     {{"organisation", organisation}, {"keeper", keeper_.keepers_of(organisation).front()}});
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
                      {"granted", std::to_string(grant.granted)},
                      {"available", std::to_string(grant.available)},
                      {"capacity", std::to_string(grant.capacity)},
                      {"stand_in", is_stand_in ? "true" : "false"},
                      {"retry_after_ms", observe::to_milliseconds_text(grant.retry_after)}});
}

void allowance_path::on_tick() {
  std::vector<std::uint64_t> overdue;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    keeper_.on_tick(now);
    if (!state_.configuration_age.is_in_touch(now)) {
      keeper_.on_lost_touch(now);
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
  watch_keepers(state_.clock.now());
}

void allowance_path::watch_keepers(time_point now) {
  std::vector<organisations::keeper_watch::question> due;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    due = keeper_.take_watch_questions(now);
  }
  for (const organisations::keeper_watch::question& asked : due) {
    peers_.spend_allowance(asked.address, asked.organisation, 0,
                           [self = shared_from_this(), address = asked.address](
                               const result<protocol::allowance_reply, protocol::peer_error>& outcome) {
                             const bool grants =
                                 succeeded(outcome) && std::get<protocol::allowance_reply>(outcome).is_keeper;
                             const std::lock_guard<std::mutex> lock(self->state_.mutex);
                             self->keeper_.on_watch_answer(address, grants, self->state_.clock.now());
                           });
  }
}

bool allowance_path::is_idle() const {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  return waiting_.empty();
}

void allowance_path::ask(const std::string& organisation, int wanted) {
  std::optional<organisations::keeper_route::step> step;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    step = route_.first(keeper_.keepers_of(organisation), state_.clock.now());
  }
  ask(organisation, wanted, step);
}

void allowance_path::ask(const std::string& organisation, int wanted,
                         const std::optional<organisations::keeper_route::step>& step) {
  std::uint64_t id = 0;
  std::optional<protocol::allowance_reply> own_reply;
  deferred_decisions deferred;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    if (!step) {
      cache_.on_no_answer(organisation);
      refuse_waiting(organisation, call_reason::unknown_allowance, deferred);
    } else {
      id = ++last_question_;
      questions_[id] = {organisation, wanted, *step, now};
      if (step->address == keeper_.own_address()) {
        own_reply = reply_to(organisation, wanted, now);
      }
      state_.metrics.add("allowance_questions");
    }
  }
  for (const std::function<void()>& decide : deferred) {
    decide();
  }
  if (!step) {
    return;
  }
  if (own_reply) {
    on_reply(id, *own_reply);
    return;
  }
  peers_.spend_allowance(step->address, organisation, wanted,
                         [self = shared_from_this(),
                          id](const result<protocol::allowance_reply, protocol::peer_error>& outcome) {
                           self->on_reply(id, outcome);
                         });
}

void allowance_path::on_reply(std::uint64_t id,
                              const result<protocol::allowance_reply, protocol::peer_error>& outcome) {
  if (!succeeded(outcome)) {
    on_no_reply(id);
    return;
  }
  const protocol::allowance_reply& reply = std::get<protocol::allowance_reply>(outcome);
  if (!reply.is_keeper && !reply.keeper.empty()) {
    on_redirect(id, reply.keeper);
    return;
  }
  if (!reply.is_keeper) {
    on_no_reply(id);
    return;
  }
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
    route_.on_answer(answered.step);
    cache_.on_answer(answered.organisation, reply.granted, reply.retry_after, answered.asked, now);
    wanted = settle(answered.organisation, deferred, now);
  }
  for (const std::function<void()>& decide : deferred) {
    decide();
  }
  if (wanted > 0) {
    ask(answered.organisation, wanted);
  }
}

void allowance_path::on_no_reply(std::uint64_t id) {
  question unanswered;
  std::optional<organisations::keeper_route::step> next;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = questions_.find(id);
    if (found == questions_.end()) {
      return;
    }
    unanswered = std::move(found->second);
    questions_.erase(found);
    next = route_.after_silence(keeper_.keepers_of(unanswered.organisation), unanswered.step,
                                state_.clock.now());
    state_.metrics.add("allowance_questions_unanswered");
  }
  ask(unanswered.organisation, unanswered.wanted, next);
}

void allowance_path::on_redirect(std::uint64_t id, const std::string& address) {
  question redirected;
  std::optional<organisations::keeper_route::step> next;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = questions_.find(id);
    if (found == questions_.end()) {
      return;
    }
    redirected = std::move(found->second);
    questions_.erase(found);
    next = route_.after_redirect(redirected.step, address);
  }
  ask(redirected.organisation, redirected.wanted, next);
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
