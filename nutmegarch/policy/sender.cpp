#include "nutmegarch/policy/sender.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace nutmegarch::policy {

namespace {

/// Maximum number of nodes to which one call is sent, including the nodes that refuse it.
constexpr std::size_t max_sends_per_call = 6;

bool was_tried(const outbound_call& call, const endpoint& candidate) {
  return std::any_of(call.attempts.begin(), call.attempts.end(),
                     [&](const attempt& tried) { return tried.to.get() == &candidate; });
}

/// Outcome of a call whose attempts have returned no answer. Copies of an order with a ticket may be in
/// flight through other nodes, so that only the issuer of the ticket can tell that the order has not run.
call_outcome outcome_without_answer(const outbound_call& call, bool is_open) {
  return call.context.ticket || call.may_have_run || is_open ? call_outcome::unknown : call_outcome::not_run;
}

bool has_open_attempt(const outbound_call& call) {
  return std::any_of(call.attempts.begin(), call.attempts.end(),
                     [](const attempt& tried) { return tried.open; });
}

}  // namespace

sender::sender(const sender_settings& settings, random_source& random)
    : settings_(settings), random_(random), link_(settings.link) {}

void sender::set_endpoints(const std::string& service, std::vector<endpoint_ptr> endpoints) {
  state_of(service).set_endpoints(std::move(endpoints));
}

const std::vector<endpoint_ptr>* sender::endpoints(const std::string& service) const {
  auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second.endpoints();
}

void sender::set_retry_bucket(const retry_bucket_settings& settings) {
  settings_.retries = settings;
  for (std::pair<const std::string, service_state>& entry : services_) {
    entry.second.retries.set(settings);
  }
}

void sender::forget_reports() {
  for (std::pair<const std::string, service_state>& entry : services_) {
    entry.second.forget_reports();
  }
}

void sender::start(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  call->started = now;
  if (!call->token_pool) {
    call->token_pool = retry_token_pool_ptr(new retry_token_pool(settings_.retry_budget));
  }

  // A downstream call of an attempt that may have run before counts as a retry.
  const bool repeated = call->context.repeated && !settings_.pass_through;
  if (repeated && !call->token_pool->withdraw()) {
    complete(call, outcome_without_answer(*call, false), call_reason::retry_budget, 0, now, actions);
    return;
  }
  if (now >= call->deadline) {
    complete(call, outcome_without_answer(*call, false), call_reason::deadline, 0, now, actions);
    return;
  }

  service_state& service = state_of(call->context.service);
  const selection selected = select(service, *call, now);
  if (selected.chosen == nullptr) {
    complete(call, outcome_without_answer(*call, false), selected.reason, 0, now, actions);
    return;
  }
  send(call, *selected.chosen, call->context.repeated, false, now, actions);

  // Start the timers of the deadline and of the hedge.
  if (call->deadline != never) {
    timers_.push({call->deadline, call, true});
  }
  if (call->may_hedge && call->context.idempotent && !settings_.pass_through) {
    timers_.push({now + service.hedge_delay(call->context.route), call, false});
  }
}

void sender::refuse(const outbound_call_ptr& call, call_reason reason, time_point now,
                    sender_actions& actions) {
  call->started = now;
  complete(call, outcome_without_answer(*call, false), reason, 0, now, actions);
}

void sender::on_answer(const outbound_call_ptr& call, std::size_t index, const attempt_answer& answer,
                       time_point now, sender_actions& actions) {
  attempt& answered = call->attempts.at(index);
  if (!answered.open) {
    return;
  }
  close(answered);
  answered.outcome = answer.outcome;
  answered.reason = answer.reason;
  answered.latency = now - answered.sent;
  call->token_pool->return_unused(answer.tokens_back, answered.tokens_given);
  call->arrivals += answer.reached_target ? 1 : 0;

  // Update the state of the endpoint, also when the answer arrives too late for the caller.
  service_state& service = state_of(call->context.service);
  // The baseline uses only the published state.
  if (answer.target_leaving && !settings_.pass_through) {
    answered.to->target_leaving = true;
  }
  if (answer.reason == call_reason::other_instance) {
    answered.to->stale_address_until = now + settings_.stale_address_time;
  }
  if (answer.report) {
    service.record_report(*answered.to, call->context.route, answer, now);
  } else {
    service.record_loss(*answered.to, now);
  }
  if (answer.outcome == call_outcome::ok) {
    service.record_success(*answered.to, call->context.route, now - answered.sent, answer.size);
  }
  if (call->done) {
    return;
  }

  // Pass on the answer of the target; without one, retry the call or report the known outcome.
  if (answer.outcome == call_outcome::ok || answer.outcome == call_outcome::failed) {
    complete(call, answer.outcome, answer.reason, index, now, actions);
    return;
  }
  call->may_have_run = call->may_have_run || answer.outcome == call_outcome::unknown;
  call->last_refusal = answer.reason;
  // A refusal by the issuer of the ticket holds for all copies of the order. Any other refusal holds for one
  // attempt only.
  const bool confirmed_by_issuer =
      call->context.ticket && answer.outcome == call_outcome::not_run && answer.report;
  const call_outcome known_outcome =
      confirmed_by_issuer ? call_outcome::not_run : outcome_without_answer(*call, false);
  retry_or_complete(call, known_outcome, now, actions);
}

void sender::cancel(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  give_up(call, call_reason::cancelled, now, actions);
}

void sender::abort(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  give_up(call, call_reason::leaving, now, actions);
}

void sender::give_up(const outbound_call_ptr& call, call_reason reason, time_point now,
                     sender_actions& actions) {
  if (!call->done) {
    complete(call, outcome_without_answer(*call, has_open_attempt(*call)), reason, 0, now, actions);
  }
}

void sender::on_tick(time_point now, sender_actions& actions) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const timer due = timers_.top();
    timers_.pop();
    if (due.call->done) {
      continue;
    }
    if (!due.is_deadline) {
      hedge(due.call, now, actions);
      continue;
    }
    const call_outcome outcome = outcome_without_answer(*due.call, has_open_attempt(*due.call));
    complete(due.call, outcome, call_reason::deadline, 0, now, actions);
  }
}

endpoint_ptr sender::choose_ticket_issuer(const call_context& order, time_point now) {
  outbound_call probe;
  probe.context = order;
  probe.context.ticket.reset();
  return select(state_of(order.service), probe, now).chosen;
}

time_point sender::next_timer() const { return timers_.empty() ? never : timers_.top().at; }

admission_level sender::level_of(const std::string& service, const std::string& route, time_point now) const {
  auto found = services_.find(service);
  return found == services_.end() ? admit_all_level : found->second.level_of(route, now);
}

bool sender::is_inner_route(const std::string& service, const std::string& route, time_point now) const {
  auto found = services_.find(service);
  return found != services_.end() && found->second.is_inner_route(route, now);
}

service_state& sender::state_of(const std::string& service) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, service_state(settings_)).first;
  }
  return found->second;
}

sender::selection sender::select(service_state& service, outbound_call& call, time_point now) {
  if (call.context.ticket && !settings_.pass_through) {
    return select_ticket_issuer(service, call);
  }

  // The baseline uses only the published state of the endpoints.
  std::vector<endpoint*> near;
  std::vector<endpoint*> far;
  if (settings_.pass_through) {
    for (const endpoint_ptr& candidate : service.endpoints()) {
      if (!candidate->target_leaving) {
        near.push_back(candidate.get());
      }
    }
    return near.empty() ? selection{} : selection{service.choose(near, now, random_), call_reason::none};
  }

  // Shed a call that the services downstream would refuse, before it costs any work or traffic.
  if (!call.context.inner && service.is_shed_downstream(call.context, now)) {
    return {nullptr, call_reason::shed_level};
  }

  // Split the usable endpoints by region, and count the others by the reason why they are not usable.
  endpoint_counts& last_selection = call.last_selection;
  last_selection = endpoint_counts{};
  endpoint* last_resort = nullptr;
  for (const endpoint_ptr& candidate : service.endpoints()) {
    if (candidate->leaving() || now < candidate->stale_address_until || was_tried(call, *candidate)) {
      ++last_selection.unavailable;
      continue;
    }
    if (!call.context.inner && now < candidate->level_expires &&
        !admits(candidate->level, call.context.cls, call.context.shed_rank)) {
      ++last_selection.shed;
      continue;
    }
    if (!service.is_usable(*candidate, call.context.route, now)) {
      if (last_resort == nullptr || candidate->distance < last_resort->distance) {
        last_resort = candidate.get();
      }
      ++last_selection.unhealthy;
      continue;
    }
    if (recovery_pace::is_reached(*candidate) && service.holds_back()) {
      ++last_selection.paced;
      last_resort = candidate.get();
      continue;
    }
    (candidate->distance == proximity::other_region ? far : near).push_back(candidate.get());
  }
  last_selection.near = static_cast<int>(near.size());
  last_selection.far = static_cast<int>(far.size());
  // A call with too little time left for an endpoint in this region has too little for one in another region.
  if (call.last_refusal == call_reason::deadline) {
    far.clear();
  }
  if (!near.empty() || !far.empty()) {
    const selection selected = choose_within_link(service, call, near, far, now);
    if (selected.chosen != nullptr) {
      return selected;
    }
  }
  if (last_selection.shed > 0) {
    return {nullptr, call_reason::shed_level};
  }
  // All other endpoints are unavailable, or the link budget has no room for them. Use an ejected or stalled
  // endpoint rather than none.
  if (last_resort != nullptr && reserve_link_bytes(service, *last_resort, call, now)) {
    return {last_resort, call_reason::none};
  }
  return {};
}

sender::selection sender::select_ticket_issuer(const service_state& service,
                                               const outbound_call& call) const {
  for (const endpoint_ptr& candidate : service.endpoints()) {
    if (candidate->incarnation == call.context.ticket->incarnation) {
      return {candidate.get(), call_reason::none};
    }
  }
  // The issuer may be a node that has not reported its incarnation yet. A node refuses a ticket of another
  // issuer.
  for (const endpoint_ptr& candidate : service.endpoints()) {
    if (candidate->incarnation == 0 && !was_tried(call, *candidate)) {
      return {candidate.get(), call_reason::none};
    }
  }
  return {nullptr, call_reason::ticket_foreign};
}

sender::selection sender::choose_within_link(service_state& service, const outbound_call& call,
                                             const std::vector<endpoint*>& near,
                                             const std::vector<endpoint*>& far, time_point now) {
  std::vector<endpoint*> candidates = near;
  if (near.empty() || settings_.score.cross_region_balancing) {
    candidates.insert(candidates.end(), far.begin(), far.end());
  }
  endpoint* const best = service.choose(candidates, now, random_);
  if (reserve_link_bytes(service, *best, call, now)) {
    return {best, call_reason::none};
  }
  return near.empty() ? selection{} : selection{service.choose(near, now, random_), call_reason::none};
}

bool sender::reserve_link_bytes(const service_state& service, const endpoint& to, const outbound_call& call,
                                time_point now) {
  const double bytes = static_cast<double>(call.size) + service.answer_size(call.context.route);
  return to.distance != proximity::other_region || link_.withdraw(bytes, call.context.cls, now);
}

void sender::send(const outbound_call_ptr& call, endpoint& to, bool repeated, bool is_hedge, time_point now,
                  sender_actions& actions) {
  // Record the attempt.
  attempt made;
  made.to = &to;
  made.sent = now;
  const bool has_downstream_calls = state_of(call->context.service).has_downstream_calls(call->context.route);
  made.tokens_given = has_downstream_calls ? call->token_pool->take_share() : std::uint16_t{0};
  made.is_hedge = is_hedge;
  made.load = to.reported_load;
  made.load_age = to.load_reported_at == time_point{} ? duration(-1) : now - to.load_reported_at;
  made.relative_latency = to.relative_latency;
  call->attempts.push_back(made);
  if (to.first_used_at == time_point{}) {
    to.first_used_at = now;
  }
  if (to.outstanding == 0) {
    to.awaiting_since = now;
  }
  ++to.outstanding;

  // Set up the context that is sent with the attempt.
  sender_action action;
  action.what = sender_action::kind::send;
  action.call = call;
  action.attempt = call->attempts.size() - 1;
  action.context = call->context;
  action.context.repeated = repeated;
  action.context.retry_tokens = made.tokens_given;
  action.context.remaining = call->deadline == never ? duration::max() : call->deadline - now;
  action.context.instance = to.instance;
  // The node beside the target may have restarted, and then knows the limit from its callers only.
  action.context.known_target_rate.reset();
  if (to.max_request_rate > 0) {
    action.context.known_target_rate = target_rate{to.max_request_rate, now - to.rate_named_at};
  }
  actions.push_back(std::move(action));
}

void sender::retry_or_complete(const outbound_call_ptr& call, call_outcome known_outcome, time_point now,
                               sender_actions& actions) {
  // Another attempt is still open and may return the answer.
  if (has_open_attempt(*call)) {
    return;
  }
  if (!may_retry(*call, known_outcome) || now >= call->deadline) {
    complete(call, known_outcome, call->last_refusal, 0, now, actions);
    return;
  }
  service_state& service = state_of(call->context.service);
  const selection selected = select(service, *call, now);
  // A retry is free until an attempt has reached a target: a refusal by the node beside the target has cost
  // the target nothing. A retry of a call with downstream calls repeats those as well, unless the call was
  // refused before it ran.
  const bool is_free = call->arrivals == 0;
  if (settings_.retry_leaf_calls_only && call->may_have_run &&
      service.has_downstream_calls(call->context.route)) {
    complete(call, known_outcome, call->last_refusal, 0, now, actions);
    return;
  }
  const bool paid =
      selected.chosen != nullptr &&
      (is_free || (service.retries.has_token(call->context.cls) && call->token_pool->withdraw()));
  if (!paid) {
    complete(call, known_outcome, call->last_refusal, 0, now, actions);
    return;
  }
  if (!is_free) {
    service.retries.withdraw(call->context.cls);
  }
  send(call, *selected.chosen, call->context.repeated || call->may_have_run, false, now, actions);
}

bool sender::has_attempts_left(const outbound_call& call) const {
  // An open attempt counts as one that has reached its target.
  const std::size_t limit = call.max_attempts == 0 ? settings_.max_attempts : call.max_attempts;
  const std::size_t open = static_cast<std::size_t>(std::count_if(
      call.attempts.begin(), call.attempts.end(), [](const attempt& tried) { return tried.open; }));
  return call.arrivals + open < limit && call.attempts.size() < max_sends_per_call;
}

bool sender::may_retry(const outbound_call& call, call_outcome outcome) const {
  if (settings_.pass_through || !has_attempts_left(call)) {
    return false;
  }
  // An order with a ticket is retried at its issuer only, whose registry repeats the first answer.
  if (call.context.ticket) {
    return outcome == call_outcome::unknown;
  }
  return outcome == call_outcome::not_run || call.context.idempotent;
}

void sender::complete(const outbound_call_ptr& call, call_outcome outcome, call_reason reason,
                      std::size_t index, time_point now, sender_actions& actions) {
  call->done = true;
  for (std::size_t i = 0; i < call->attempts.size(); ++i) {
    attempt& open = call->attempts.at(i);
    if (!open.open) {
      continue;
    }
    // An open attempt at an endpoint that has stopped answering counts as a loss of the endpoint.
    service_state& service = state_of(call->context.service);
    const bool is_silent =
        open.to->awaiting_since <= open.sent && service.is_stalled(*open.to, call->context.route, now);
    if (is_silent) {
      service.record_loss(*open.to, now);
    }
    close(open);
    sender_action action;
    action.what = sender_action::kind::abandon;
    action.call = call;
    action.attempt = i;
    actions.push_back(std::move(action));
  }
  sender_action action;
  action.what = sender_action::kind::complete;
  action.call = call;
  action.attempt = index;
  action.outcome = outcome;
  action.reason = reason;
  actions.push_back(std::move(action));
}

void sender::hedge(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  service_state& service = state_of(call->context.service);
  const bool only_first_open = call->attempts.size() == 1 && call->attempts.front().open;
  if (!only_first_open || call->hedged || !has_attempts_left(*call) || call->context.repeated ||
      !service.hedges.has_token(call->context.cls)) {
    return;
  }
  const selection selected = select(service, *call, now);
  if (selected.chosen == nullptr || selected.chosen->distance == proximity::other_region) {
    return;
  }
  if (!call->token_pool->withdraw()) {
    return;
  }
  service.hedges.withdraw(call->context.cls);
  call->hedged = true;
  send(call, *selected.chosen, true, true, now, actions);
}

void sender::close(attempt& ended) {
  ended.open = false;
  assert(ended.to->outstanding > 0);
  --ended.to->outstanding;
}

}  // namespace nutmegarch::policy
