#include "nutmegarch/node/inbound_path.h"

#include <algorithm>
#include <utility>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/http/address.h"
#include "nutmegarch/node/departure_log.h"
#include "nutmegarch/node/routed_call.h"
#include "nutmegarch/node/target_message.h"

namespace nutmegarch::node {

namespace {

/// Largest difference between the deadline of a call and that of its child calls. The remaining time is
/// passed on in whole milliseconds, and a child call takes two transfers on one host: node to target and
/// back.
constexpr duration deadline_tolerance = std::chrono::milliseconds(4);

/// While the bodies of all calls take less than this part of their limit, a call of any size is accepted.
constexpr std::size_t small_part = 8;

/// Time between two checks of the idle connections to the target.
constexpr duration idle_check_interval = std::chrono::seconds(1);

/// Calls that wait for a leaving target process may still start for this long, because other targets have
/// queues, too. Together with the time until the node learns of the departure it stays below the 2.5 s after
/// which a leaving process must get no requests.
constexpr duration departure_wait = std::chrono::seconds(1);

/// Time between two checks of the waiting calls for leaving target processes.
constexpr duration departure_check_interval = std::chrono::milliseconds(100);

/// Key of a request id in lookup tables.
std::uint64_t hash_of(const request_id& id) { return hash_number(id.low, id.high); }

http::client_settings client_settings_for(http::client_settings settings, const edge_dialect* dialect) {
  if (dialect != nullptr) {
    settings.echoed_field = dialect->echoed_field();
    settings.allow_close_delimited = true;
  }
  return settings;
}

}  // namespace

inbound_path::inbound_path(node_state& state, boost::asio::io_context& workers)
    : state_(state),
      target_(workers, *http::parse_address(state.settings.target.address),
              client_settings_for(state.settings.target.connections, state.dialect.get())) {}

std::uint64_t inbound_path::offer(protocol::peer_call call, answer_callback answer) {
  state_.stamps.merge(call.stamp);
  deferred_work deferred;
  std::uint64_t key = 0;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    key = next_key_++;
    if (state_.dialect) {
      state_.inner_routes.on_call(call.context.route, call.context.caller);
      // A caller that has just started does not know yet.
      call.context.inner = call.context.inner || state_.inner_routes.is_inner(call.context.route);
    }
    call_entry new_entry;
    new_entry.held_bytes = nutmegarch::size_in_bytes(*call.request);
    new_entry.request = call.request;
    if (call.context.known_target_rate) {
      const policy::rate_change change = state_.receiver.on_peer_rate(*call.context.known_target_rate, now);
      record_rate_change(change, std::nullopt, call.context, now);
    }
    std::optional<protocol::peer_answer> refused = refuse_early(call, answer, new_entry, now);
    if (refused) {
      fill_report(*refused, call.context.route);
      state_.metrics.on_inbound(call.context.cls, refused->outcome, refused->reason, duration{});
      if (refused->outcome != call_outcome::ok) {
        state_.events.add(
            observe::event_kind::call_shed, call.context.id, call.context.route,
            std::string(name_of(refused->reason)) + (refused->rule.empty() ? "" : " by " + refused->rule));
      }
      deferred.answers.push_back({answer, std::move(*refused)});
    } else if (!new_entry.is_duplicate) {
      new_entry.call = policy::inbound_call_ptr(new policy::inbound_call());
      new_entry.call->key = key;
      new_entry.call->context = call.context;
      new_entry.call->arrived = now;
      new_entry.call->deadline =
          call.context.remaining >= state_.settings.calls.max_timeout ? never : now + call.context.remaining;
      if (call.context.answer_within < state_.settings.calls.max_timeout) {
        new_entry.call->answer_due = now + call.context.answer_within;
      }
      new_entry.token_pool =
          policy::retry_token_pool_ptr(new policy::retry_token_pool(call.context.retry_tokens));
      new_entry.answer = std::move(answer);
      const policy::inbound_call_ptr offered = new_entry.call;
      key_by_request_[hash_of(call.context.id)] = key;
      hold(new_entry.held_bytes);
      calls_.emplace(key, std::move(new_entry));
      policy::receiver_actions actions;
      state_.receiver.offer(offered, now, actions);
      if (offered->phase == policy::inbound_phase::waiting) {
        state_.events.add(observe::event_kind::call_queued, call.context.id, call.context.route, "");
      }
      apply_actions(actions, deferred);
    }
  }
  run_deferred(deferred);
  return key;
}

void inbound_path::cancel(std::uint64_t key) {
  deferred_work deferred;
  std::uint64_t exchange_id = 0;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(key);
    if (found == calls_.end()) {
      return;
    }
    found->second.is_cancelled = true;
    if (found->second.call->phase == policy::inbound_phase::running) {
      exchange_id = found->second.exchange_id;
    } else {
      policy::receiver_actions actions;
      state_.receiver.cancel(found->second.call, state_.clock.now(), actions);
      apply_actions(actions, deferred);
    }
  }
  run_deferred(deferred);
  if (exchange_id != 0) {
    target_.cancel(exchange_id);
    on_target_answer(key, http::client_error::timed_out);
  }
}

void inbound_path::limit_answers(const std::vector<request_id>& calls, duration within) {
  deferred_work deferred;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    const time_point due = now + std::clamp(within, duration{}, state_.settings.calls.max_timeout);
    policy::receiver_actions actions;
    for (const request_id& id : calls) {
      auto key = key_by_request_.find(hash_of(id));
      auto found = key == key_by_request_.end() ? calls_.end() : calls_.find(key->second);
      if (found != calls_.end()) {
        state_.receiver.limit_answer(found->second.call, due, now, actions);
      }
    }
    apply_actions(actions, deferred);
  }
  run_deferred(deferred);
}

protocol::peer_answer inbound_path::issue_ticket(const protocol::peer_call& call) {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  const time_point now = state_.clock.now();
  protocol::peer_answer content = make_refusal(call_outcome::not_run, call_reason::ticket_required);
  if (state_.receiver.leaving() || state_.is_revalidating(now)) {
    content.reason = state_.receiver.leaving() ? call_reason::leaving : call_reason::revalidating;
  } else {
    const result<order_ticket, policy::ticket_error> issued = state_.orders.issue(now);
    if (succeeded(issued)) {
      content.ticket = std::get<order_ticket>(issued);
      state_.events.add(observe::event_kind::ticket_issued, call.context.id, call.context.route,
                        policy::to_text(*content.ticket));
    } else {
      content.reason = call_reason::registry_full;
    }
  }
  fill_report(content, call.context.route);
  return content;
}

void inbound_path::on_tick() {
  deferred_work deferred;
  const time_point now = state_.clock.now();
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const admission_level before = state_.receiver.level();
    policy::receiver_actions actions;
    state_.receiver.on_tick(now, actions);
    withdraw_from_leaving_targets(now, actions);
    apply_actions(actions, deferred);
    const admission_level after = state_.receiver.level();
    if (!(before == after)) {
      state_.events.add(observe::event_kind::level_changed, {}, state_.settings.identity.service,
                        std::to_string(before.cutoff) + " to " + std::to_string(after.cutoff));
    }
  }
  run_deferred(deferred);
  if (now >= next_idle_check_) {
    next_idle_check_ = now + idle_check_interval;
    target_.prune_idle_connections();
  }
}

void inbound_path::withdraw_from_leaving_targets(time_point now, policy::receiver_actions& actions) {
  if (now < next_departure_check_ || state_.receiver.waiting() == 0) {
    return;
  }
  next_departure_check_ = now + departure_check_interval;
  for (const std::pair<const std::uint64_t, call_entry>& entry : calls_) {
    const policy::inbound_call_ptr& call = entry.second.call;
    if (call->phase == policy::inbound_phase::waiting && !call->context.instance.empty() &&
        state_.departures.leaving_for(call->context.instance, now).value_or(duration{}) >= departure_wait) {
      state_.receiver.withdraw(call, call_reason::leaving, now, actions);
    }
  }
}

std::optional<parent_call> inbound_path::find_parent(const request_id& id) const {
  auto key = key_by_request_.find(hash_of(id));
  if (key == key_by_request_.end()) {
    return std::nullopt;
  }
  auto found = calls_.find(key->second);
  if (found == calls_.end() || found->second.call->phase != policy::inbound_phase::running) {
    return std::nullopt;
  }
  return to_parent_call(key->second, found->second);
}

parent_call inbound_path::to_parent_call(std::uint64_t key, const call_entry& running) {
  return {key, running.call->context, running.token_pool, running.call->deadline};
}

std::optional<parent_call> inbound_path::find_parent_by_deadline(time_point deadline) const {
  auto position = keys_by_deadline_.lower_bound({deadline - deadline_tolerance, 0});
  std::optional<parent_call> nearest;
  duration min_distance = deadline_tolerance;
  for (; position != keys_by_deadline_.end() && position->first <= deadline + deadline_tolerance;
       ++position) {
    const duration distance =
        position->first > deadline ? position->first - deadline : deadline - position->first;
    auto found = calls_.find(position->second);
    if (found != calls_.end() && distance <= min_distance) {
      min_distance = distance;
      nearest = to_parent_call(position->second, found->second);
    }
  }
  return nearest;
}

std::optional<parent_call> inbound_path::find_likely_parent(const std::string& service,
                                                            const std::string& route,
                                                            time_point deadline) const {
  const call_entry* likeliest = nullptr;
  std::uint64_t likeliest_key = 0;
  auto position = keys_by_deadline_.lower_bound({deadline - deadline_tolerance, 0});
  for (; position != keys_by_deadline_.end(); ++position) {
    auto found = calls_.find(position->second);
    if (found == calls_.end() || found->second.open_children > 0) {
      continue;
    }
    const call_entry& running = found->second;
    const bool is_later = likeliest == nullptr || running.last_resumed > likeliest->last_resumed;
    if (is_later && state_.downstream.has_called(running.call->context.route, service, route)) {
      likeliest = &running;
      likeliest_key = position->second;
    }
  }
  return likeliest == nullptr ? std::nullopt
                              : std::optional<parent_call>(to_parent_call(likeliest_key, *likeliest));
}

void inbound_path::on_child_began(std::uint64_t parent) {
  auto found = calls_.find(parent);
  if (found != calls_.end()) {
    ++found->second.open_children;
  }
}

void inbound_path::on_child_ended(std::uint64_t parent, time_point now) {
  auto found = calls_.find(parent);
  if (found != calls_.end()) {
    --found->second.open_children;
    found->second.last_resumed = now;
  }
}

void inbound_path::record_child(const request_id& parent, const std::string& service,
                                const std::string& route) {
  const std::optional<parent_call> found = find_parent(parent);
  if (found) {
    state_.downstream.on_downstream_call(found->context.route, service, route);
  }
}

bool inbound_path::is_idle() const {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  return calls_.empty();
}

void inbound_path::hold(std::size_t bytes) {
  held_bytes_ += bytes;
  if (state_.settings.held) {
    state_.settings.held->add(bytes);
  }
}

void inbound_path::let_go(std::size_t bytes) {
  held_bytes_ -= bytes;
  if (state_.settings.held) {
    state_.settings.held->remove(bytes);
  }
}

bool inbound_path::is_too_large_now(std::size_t request_bytes) const {
  const std::size_t limit = state_.settings.max_inbound_bytes;
  // A single large request passes while little else is held.
  return held_bytes_ + request_bytes > limit && held_bytes_ > limit / small_part;
}

std::optional<protocol::peer_answer> inbound_path::refuse_early(const protocol::peer_call& call,
                                                                const answer_callback& answer,
                                                                call_entry& new_entry, time_point now) {
  if (state_.settings.pass_through) {
    return std::nullopt;
  }
  const call_context& context = call.context;
  const std::string path = context.route.substr(context.route.find(' ') + 1);
  const std::shared_ptr<const rules::rule_table> table = state_.rules.table();
  const rules::call_rules found = table->find({context.service, path, context.caller});

  // An order runs only with a ticket that this incarnation of the node issued.
  if (found.order != nullptr && !context.ticket && !context.idempotent) {
    return make_refusal(call_outcome::not_run, call_reason::ticket_required);
  }
  if (context.ticket) {
    std::optional<protocol::peer_answer> decided = check_ticket(context, answer, new_entry, now);
    if (decided || new_entry.is_duplicate) {
      return decided;
    }
  }

  // From here on the ticket, if any, is in use by this call, so a refusal must seal it: the order then can't
  // run under this ticket later.
  const std::function<protocol::peer_answer(call_reason)> refuse = [&](call_reason reason) {
    if (context.ticket) {
      state_.orders.seal(*context.ticket, now);
    }
    return make_refusal(call_outcome::not_run, reason);
  };
  if (state_.is_revalidating(now)) {
    return refuse(call_reason::revalidating);
  }
  if (is_too_large_now(new_entry.held_bytes)) {
    state_.metrics.add("calls_refused_for_memory");
    return refuse(call_reason::queue_full);
  }
  // The caller learns of the departure from the refusal, and sends the call to another target at once.
  if (!context.instance.empty() && state_.departures.is_leaving({context.instance, 0})) {
    protocol::peer_answer content = refuse(call_reason::leaving);
    content.leaving_process_started_ms = state_.departures.announced_start({context.instance, 0});
    return content;
  }
  const rules::rule* const quarantine = table->find_quarantine(context.fingerprint);
  if (quarantine != nullptr) {
    protocol::peer_answer content = refuse(call_reason::quarantined);
    content.rule = describe(*quarantine);
    ++state_.rule_match_counts[quarantine->line];
    return content;
  }
  state_.crashes.merge({context.fingerprint, context.crash_count}, now);
  if (state_.crashes.is_quarantined(context.fingerprint, now)) {
    return refuse(call_reason::quarantined);
  }
  const policy::rule_decision enforced =
      state_.enforcer.admit(found, context.cls, state_.receiver.load(), count_active_targets(), now);
  if (enforced.refused_by != nullptr) {
    protocol::peer_answer content = refuse(enforced.reason);
    content.rule = describe(*enforced.refused_by);
    ++state_.rule_match_counts[enforced.refused_by->line];
    return content;
  }
  new_entry.table = table;
  new_entry.rules = found;
  return std::nullopt;
}

std::optional<protocol::peer_answer> inbound_path::check_ticket(const call_context& context,
                                                                const answer_callback& answer,
                                                                call_entry& new_entry, time_point now) {
  policy::order_decision decision = state_.orders.on_arrival(*context.ticket, now);
  switch (decision.type) {
    case policy::order_decision::kind::run:
      return std::nullopt;
    case policy::order_decision::kind::wait:
      // The duplicate is answered when the first copy ends.
      order_waiters_[context.ticket->sequence].push_back(answer);
      new_entry.is_duplicate = true;
      return std::nullopt;
    case policy::order_decision::kind::answered: {
      if (decision.answer->body_dropped) {
        return make_refusal(call_outcome::unknown, call_reason::registry_full);
      }
      protocol::peer_answer content = make_refusal(call_outcome::ok, call_reason::none);
      content.message.status = decision.answer->status;
      content.message.fields = {{"Content-Type", decision.answer->content_type}};
      content.message.body = decision.answer->body;
      return content;
    }
    case policy::order_decision::kind::sealed:
      return make_refusal(call_outcome::not_run, decision.reason);
    case policy::order_decision::kind::unknown:
    case policy::order_decision::kind::invalid_ticket:
      break;
  }
  return make_refusal(call_outcome::unknown, decision.reason);
}

void inbound_path::apply_actions(const policy::receiver_actions& actions, deferred_work& deferred) {
  for (const policy::receiver_action& action : actions) {
    if (action.what == policy::receiver_action::kind::start) {
      state_.downstream.on_call_started(action.call->context.route);
      deferred.starts.push_back(action.call);
      continue;
    }
    if (action.call->context.ticket) {
      state_.orders.seal(*action.call->context.ticket, state_.clock.now());
    }
    state_.events.add(observe::event_kind::call_shed, action.call->context.id, action.call->context.route,
                      name_of(action.reason));
    if (state_.dialect) {
      state_.requests.on_refused(*action.call, action.reason, state_.receiver, state_.clock.now());
    }
    protocol::peer_answer content = make_refusal(call_outcome::not_run, action.reason);
    if (action.reason == call_reason::leaving && !action.call->context.instance.empty()) {
      content.leaving_process_started_ms =
          state_.departures.announced_start({action.call->context.instance, 0});
    }
    end_call(action.call->key, std::move(content), deferred);
  }
}

void inbound_path::end_call(std::uint64_t key, protocol::peer_answer content, deferred_work& deferred) {
  auto found = calls_.find(key);
  call_entry ended = std::move(found->second);
  calls_.erase(found);
  let_go(ended.held_bytes);
  keys_by_deadline_.erase({ended.call->deadline, key});
  auto by_request = key_by_request_.find(hash_of(ended.call->context.id));
  if (by_request != key_by_request_.end() && by_request->second == key) {
    key_by_request_.erase(by_request);
  }
  if (ended.table && ended.table == state_.rules.table()) {
    state_.enforcer.release(ended.rules);
  }
  const call_context& context = ended.call->context;
  content.tokens_back = ended.token_pool->tokens();
  fill_report(content, context.route);
  state_.metrics.on_inbound(context.cls, content.outcome, content.reason,
                            state_.clock.now() - ended.call->arrived);

  // Duplicates of an order get the same answer.
  if (context.ticket) {
    auto waiters = order_waiters_.find(context.ticket->sequence);
    if (waiters != order_waiters_.end()) {
      for (answer_callback& waiter : waiters->second) {
        deferred.answers.push_back({std::move(waiter), content});
      }
      order_waiters_.erase(waiters);
    }
  }
  deferred.answers.push_back({std::move(ended.answer), std::move(content)});
}

void inbound_path::run_deferred(deferred_work& deferred) {
  if (deferred.needs_target_check) {
    check_target();
  }
  if (deferred.has_crash && crash_listener_) {
    crash_listener_();
  }
  for (const policy::inbound_call_ptr& call : deferred.starts) {
    start_call(call);
  }
  for (deferred_answer& answer : deferred.answers) {
    answer.content.stamp = state_.stamps.next();
    answer.callback(std::move(answer.content));
  }
}

void inbound_path::start_call(const policy::inbound_call_ptr& call) {
  request_message request;
  duration timeout{};
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(call->key);
    if (found == calls_.end()) {
      return;
    }
    const time_point now = state_.clock.now();
    request = state_.dialect ? make_routed_target_request(*state_.dialect, *found->second.request, *call, now)
                             : make_target_request(*found->second.request, *call, now);
    found->second.request.reset();
    if (call->deadline != never) {
      keys_by_deadline_.insert({call->deadline, call->key});
    }
    found->second.last_resumed = now;
    found->second.process_started_ms = state_.departures.newest_start(call->context.instance);
    timeout = call->deadline == never ? state_.settings.calls.max_timeout : call->deadline - now;
    state_.events.add(observe::event_kind::call_started, call->context.id, call->context.route, "");
  }
  const std::uint64_t exchange_id = target_.send(
      std::move(request), timeout,
      [self = shared_from_this(), key = call->key](result<answer_message, http::client_error> outcome) {
        self->on_target_answer(key, std::move(outcome));
      });

  // The call may have been cancelled before the exchange id was stored.
  bool is_cancelled = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(call->key);
    if (found != calls_.end()) {
      found->second.exchange_id = exchange_id;
      is_cancelled = found->second.is_cancelled;
    }
  }
  if (is_cancelled) {
    cancel(call->key);
  }
}

void inbound_path::on_target_answer(std::uint64_t key, result<answer_message, http::client_error> outcome) {
  deferred_work deferred;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(key);
    if (found == calls_.end() || found->second.call->phase != policy::inbound_phase::running) {
      return;
    }
    const time_point now = state_.clock.now();
    const char* const error = succeeded(outcome) ? "" : http::name_of(std::get<http::client_error>(outcome));
    if (!succeeded(outcome) && !found->second.is_cancelled) {
      state_.metrics.add(std::string("target_answers_") + error);
    }
    target_answer answered =
        state_.dialect
            ? interpret_routed_target_answer(*state_.dialect, std::move(outcome), found->second.is_cancelled)
            : interpret_target_answer(std::move(outcome), found->second.call->context.idempotent,
                                      found->second.is_cancelled);
    protocol::peer_answer& content = answered.content;
    take_departure(found->second, answered, now);
    record_order_result(found->second, content, now);

    // A connection that is lost during a call may mean that the call crashed the target.
    const call_context& context = found->second.call->context;
    if (content.outcome == call_outcome::ok) {
      state_.crashes.on_success(context.fingerprint, now);
    }
    if (content.reason == call_reason::connection_lost && !found->second.is_cancelled) {
      state_.suspects.on_connection_lost(context.fingerprint, now);
      deferred.needs_target_check = state_.suspects.begin_check(now);
    }
    state_.events.add(observe::event_kind::call_answered, context.id, context.route,
                      name_of(content.outcome));
    if (state_.dialect && content.outcome != call_outcome::ok) {
      state_.requests.on_target_failure(*found->second.call, content.outcome, content.reason,
                                        content.message.status, error, now);
    }
    if (answered.max_request_rate || answered.names_no_rate) {
      const std::optional<target_rate> before = state_.receiver.rate(now);
      const policy::rate_change change =
          state_.receiver.on_named_rate(*found->second.call, answered.max_request_rate, now);
      record_rate_change(change, before, context, now);
    }
    policy::receiver_actions actions;
    state_.receiver.finish(found->second.call, answered.result, now, actions);
    end_call(key, std::move(content), deferred);
    apply_actions(actions, deferred);
  }
  run_deferred(deferred);
}

void inbound_path::take_departure(const call_entry& ended, target_answer& answered, time_point now) {
  const call_context& context = ended.call->context;
  if (context.instance.empty() || !answered.content.reached_target ||
      answered.content.reason == call_reason::other_instance || state_.settings.pass_through) {
    return;
  }
  const policy::target_process process = {context.instance, ended.process_started_ms};
  if (answered.closes_connection) {
    take_departure_sign(state_, state_.settings.identity.host, process,
                        policy::departure_sign::closed_connection, context.attempt_id, now);
  }
  if (answered.is_leaving) {
    take_departure_sign(state_, state_.settings.identity.host, process, policy::departure_sign::answered,
                        context.attempt_id, now);
    answered.content.leaving_process_started_ms = process.started_ms;
  } else {
    answered.content.leaving_process_started_ms = state_.departures.announced_start(process);
  }
}

void inbound_path::check_target() {
  target_.preconnect([self = shared_from_this()](bool is_reachable) {
    deferred_work deferred;
    {
      const std::lock_guard<std::mutex> lock(self->state_.mutex);
      const time_point now = self->state_.clock.now();
      for (const std::uint64_t fingerprint : self->state_.suspects.on_check_done(is_reachable)) {
        self->state_.crashes.on_crash(fingerprint, now);
        deferred.has_crash = true;
        self->state_.events.add(
            observe::event_kind::target_crashed, {}, std::to_string(fingerprint),
            "crashes of this request: " + std::to_string(self->state_.crashes.crashes(fingerprint, now)));
      }
      deferred.needs_target_check = self->state_.suspects.begin_check(now);
    }
    self->run_deferred(deferred);
  });
}

void inbound_path::record_order_result(const call_entry& ended, const protocol::peer_answer& content,
                                       time_point now) {
  if (!ended.call->context.ticket) {
    return;
  }
  const order_ticket& ticket = *ended.call->context.ticket;
  switch (content.outcome) {
    case call_outcome::ok:
    case call_outcome::failed:
      state_.orders.set_answer(ticket,
                               {content.message.status, find_header(content.message.fields, "Content-Type"),
                                content.message.body, false},
                               now);
      break;
    case call_outcome::not_run:
      state_.orders.seal(ticket, now);
      break;
    case call_outcome::unknown:
      state_.orders.set_unknown(ticket, now);
      state_.events.add(observe::event_kind::order_unknown, ended.call->context.id, policy::to_text(ticket),
                        name_of(content.reason));
      break;
  }
}

void inbound_path::record_rate_change(policy::rate_change change, const std::optional<target_rate>& before,
                                      const call_context& cause, time_point now) {
  if (change == policy::rate_change::none) {
    return;
  }
  const std::optional<target_rate> after = state_.receiver.rate(now);
  std::string detail = (before ? std::to_string(before->per_second) : std::string("none")) + " to " +
                       (after ? std::to_string(after->per_second) : std::string("none"));
  if (change == policy::rate_change::adopted) {
    detail += " from " + cause.caller + ", named ms ago: " + observe::to_milliseconds_text(after->age);
  }
  state_.events.add(observe::event_kind::target_limit, cause.id, cause.instance, detail);
}

void inbound_path::fill_report(protocol::peer_answer& content, const std::string& route) const {
  const time_point now = state_.clock.now();
  content.report = {state_.receiver.load(), state_.receiver.level(), state_.receiver.leaving(),
                    state_.incarnation, state_.receiver.rate(now)};
  content.configuration = state_.configuration(now);
  content.route_level = state_.downstream.lowest_downstream_level(route, state_.sender, now);
  content.has_downstream_calls = state_.dialect ? state_.downstream.has_downstream_calls(route)
                                                : !state_.settings.identity.called_services.empty();
  content.is_inner_route = state_.inner_routes.is_inner(route);
}

int inbound_path::count_active_targets() const {
  const std::vector<policy::endpoint_ptr>* const endpoints =
      state_.sender.endpoints(state_.settings.identity.service);
  if (endpoints == nullptr) {
    return 1;
  }
  return static_cast<int>(std::count_if(endpoints->begin(), endpoints->end(),
                                        [](const policy::endpoint_ptr& known) { return !known->leaving(); }));
}

}  // namespace nutmegarch::node
