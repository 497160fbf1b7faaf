#include "nutmegarch/node/outbound_path.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/http/problem.h"
#include "nutmegarch/node/departure_log.h"
#include "nutmegarch/node/header_names.h"
#include "nutmegarch/node/routed_call.h"

namespace nutmegarch::node {

namespace {

/// Approximate size in bytes of headers and framing, added to the body size for the link's byte budget.
constexpr std::size_t message_overhead_bytes = 400;
/// Retry delay for requests that could not be routed, for example before the first configuration is read.
constexpr duration unrouted_retry_after = std::chrono::milliseconds(500);
/// Upper bound of the retry delay sent to a refused caller.
constexpr duration max_retry_after = std::chrono::milliseconds(1500);

policy::attempt_answer make_error_answer(protocol::peer_error error) {
  policy::attempt_answer answer;
  const bool is_unsent = error != protocol::peer_error::lost;
  answer.outcome = is_unsent ? call_outcome::not_run : call_outcome::unknown;
  answer.reached_target = !is_unsent;
  answer.reason = error == protocol::peer_error::queue_full    ? call_reason::queue_full
                  : error == protocol::peer_error::unreachable ? call_reason::no_target
                                                               : call_reason::connection_lost;
  return answer;
}

policy::attempt_answer to_attempt_answer(const protocol::peer_answer& from) {
  policy::attempt_answer answer;
  answer.outcome = from.outcome;
  answer.reason = from.reason;
  answer.tokens_back = from.tokens_back;
  answer.report = from.report;
  answer.route_level = from.route_level;
  answer.has_downstream_calls = from.has_downstream_calls;
  answer.is_inner_route = from.is_inner_route;
  answer.reached_target = from.reached_target;
  answer.size = from.message.body.size() + message_overhead_bytes;
  return answer;
}

}  // namespace

outbound_path::outbound_path(node_state& state, std::shared_ptr<inbound_path> local,
                             std::shared_ptr<allowance_path> allowances, protocol::peer_network& peers)
    : state_(state), local_(std::move(local)), allowances_(std::move(allowances)), peers_(peers) {}

void outbound_path::on_request(std::uint64_t exchange, request_message request, answer_callback answer) {
  ++started_calls_;
  pending_call pending;
  pending.key = exchange;
  pending.answer = std::move(answer);
  if (state_.dialect) {
    const caller_fields caller = state_.dialect->read_caller(request.fields);
    state_.dialect->remove_identity(request.fields);
    pending.request = std::make_shared<const request_message>(std::move(request));
    start_routed(std::move(pending), caller);
    return;
  }
  pending.request = std::make_shared<const request_message>(std::move(request));
  built_call& built = pending.built;
  bool needs_ticket = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    const std::optional<request_id> caller_request_id = request_id_of(pending.request->fields);
    const std::optional<parent_call> parent =
        caller_request_id ? local_->find_parent(*caller_request_id) : std::nullopt;
    built = build_call(state_, *pending.request, parent, now);
    if (parent) {
      local_->record_child(*caller_request_id, built.context.service, built.context.route);
    }

    // An order made by the target while it runs another order gets a child ticket of that order's ticket.
    needs_ticket = built.is_order && !built.context.ticket && !state_.settings.pass_through;
    if (needs_ticket && parent && parent->context.ticket) {
      built.context.ticket = state_.orders.child_ticket(
          *parent->context.ticket, child_key(built, *pending.request), std::nullopt, now);
      needs_ticket = !built.context.ticket;
    }
  }
  if (needs_ticket) {
    fetch_ticket(std::move(pending));
  } else {
    start_call(std::move(pending));
  }
}

void outbound_path::on_disconnect(std::uint64_t exchange) {
  if (allowances_->cancel(exchange)) {
    return;
  }
  policy::sender_actions actions;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(exchange);
    if (found == calls_.end()) {
      return;
    }
    state_.sender.cancel(found->second.call, state_.clock.now(), actions);
  }
  run_actions(actions);
}

void outbound_path::on_bad_request(int status, const std::string& error) {
  state_.metrics.add("bad_requests");
  state_.events.add(observe::event_kind::bad_request, {}, std::to_string(status), error);
}

void outbound_path::on_tick() {
  policy::sender_actions actions;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.sender.on_tick(state_.clock.now(), actions);
  }
  run_actions(actions);
  limit_earlier_attempts();
}

void outbound_path::abort_calls() {
  policy::sender_actions actions;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    for (const std::pair<const std::uint64_t, open_call>& entry : calls_) {
      state_.sender.abort(entry.second.call, state_.clock.now(), actions);
    }
  }
  run_actions(actions);
}

void outbound_path::limit_earlier_attempts() {
  std::map<std::string, std::vector<request_id>> calls_by_peer;
  duration within{};
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    if (!state_.stop.started()) {
      return;
    }
    within = state_.stop.answers_due() - state_.clock.now();
    for (std::pair<const std::uint64_t, open_call>& entry : calls_) {
      const policy::outbound_call& call = *entry.second.call;
      for (std::pair<const std::size_t, attempt_handle>& handle : entry.second.handles) {
        if (!handle.second.knows_answer_limit && !handle.second.is_local) {
          calls_by_peer[call.attempts.at(handle.first).to->address].push_back(call.context.id);
        }
        handle.second.knows_answer_limit = true;
      }
    }
  }
  for (std::pair<const std::string, std::vector<request_id>>& entry : calls_by_peer) {
    peers_.limit_answers(entry.first, std::move(entry.second), within);
  }
}

bool outbound_path::is_idle() const {
  if (!allowances_->is_idle()) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(state_.mutex);
  return calls_.empty();
}

std::size_t outbound_path::size_in_bytes() const {
  std::size_t total = 0;
  for (const std::pair<const std::uint64_t, open_call>& entry : calls_) {
    total += nutmegarch::size_in_bytes(*entry.second.request);
    for (const std::pair<const std::size_t, protocol::peer_answer>& answer : entry.second.answers) {
      total += nutmegarch::size_in_bytes(answer.second.message);
    }
  }
  return total;
}

void outbound_path::start_routed(pending_call pending, const caller_fields& caller) {
  call_reason reject_reason = call_reason::none;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    std::variant<built_call, call_reason> built = build_routed_call(state_, caller, *pending.request, now);
    if (std::holds_alternative<built_call>(built)) {
      pending.built = std::get<built_call>(std::move(built));
      assign_parent(pending.built, now);
    } else {
      reject_reason = std::get<call_reason>(built);
    }
  }
  if (reject_reason != call_reason::none) {
    reject(pending, reject_reason, unrouted_retry_after);
    return;
  }
  if (pending.built.allowance.rate > 0) {
    const std::string organisation = pending.built.context.organisation;
    const std::uint64_t key = pending.key;
    allowances_->acquire(
        key, organisation,
        [self = shared_from_this(), pending = std::move(pending)](const allowance_path::decision& decided) {
          self->on_allowance_decided(pending, decided);
        });
    return;
  }
  start_call(std::move(pending));
}

void outbound_path::on_allowance_decided(pending_call pending, const allowance_path::decision& decided) {
  if (std::holds_alternative<time_point>(decided)) {
    pending.granted_until = std::get<time_point>(decided);
    start_call(std::move(pending));
    return;
  }
  duration retry_after{};
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    retry_after = choose_retry_after(pending.built.caller_deadline, state_.clock.now());
  }
  reject(pending, std::get<call_reason>(decided), retry_after);
}

void outbound_path::reject(const pending_call& pending, call_reason reason, duration retry_after) {
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.metrics.on_outbound(call_class::browse, call_outcome::not_run, reason, duration{});
    state_.requests.on_rejected(state_.dialect->read_caller(pending.request->fields).attempt_id,
                                pending.request->target, reason, state_.configuration_version(),
                                state_.clock.now());
  }
  pending.answer(make_routed_refusal(call_outcome::not_run, reason, retry_after));
}

void outbound_path::assign_parent(built_call& built, time_point now) {
  call_context& context = built.context;
  context.inner = state_.sender.is_inner_route(context.service, context.route, now);
  if (!context.inner) {
    return;
  }
  std::optional<parent_call> parent = local_->find_parent_by_deadline(built.caller_deadline);
  if (!parent) {
    parent = local_->find_likely_parent(context.service, context.route, built.caller_deadline);
  }
  if (!parent) {
    return;
  }
  built.likely_parent_key = parent->key;
  local_->on_child_began(parent->key);
  // With class and rank of the parent, every hop sheds the same requests, so that a chain is served or shed
  // as a whole.
  context.cls = parent->context.cls;
  context.shed_rank = parent->context.shed_rank;
  context.depth = static_cast<std::uint8_t>(std::min(255, parent->context.depth + 1));
  state_.downstream.on_downstream_call(parent->context.route, context.service, context.route);
}

duration outbound_path::choose_retry_after(time_point caller_deadline, time_point now) {
  const duration time_left = caller_deadline == never ? max_retry_after : caller_deadline - now;
  const duration max_delay = std::min(max_retry_after, time_left / 3);
  return from_seconds(to_seconds(std::max(max_delay, duration{})) * (0.4 + 0.6 * state_.random.uniform()));
}

void outbound_path::start_call(pending_call pending) {
  policy::sender_actions actions;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const policy::outbound_call_ptr call(new policy::outbound_call());
    call->key = pending.key;
    call->deadline = pending.built.deadline;
    call->size = pending.request->body.size() + message_overhead_bytes;
    call->may_hedge = pending.built.may_hedge;
    call->max_attempts = pending.built.max_attempts;
    call->caller_deadline = pending.built.caller_deadline;
    if (pending.built.parent) {
      call->token_pool = pending.built.parent->token_pool;
    } else if (pending.built.retry_budget) {
      call->token_pool =
          policy::retry_token_pool_ptr(new policy::retry_token_pool(*pending.built.retry_budget));
    }
    call->context = std::move(pending.built.context);
    open_call added;
    added.call = call;
    added.parent_key = pending.built.likely_parent_key;
    added.request = std::move(pending.request);
    added.answer = std::move(pending.answer);
    added.granted_until = pending.granted_until;
    calls_.emplace(pending.key, std::move(added));
    const bool has_running_parent = pending.built.parent || pending.built.likely_parent_key != 0;
    const time_point now = state_.clock.now();
    const std::optional<time_point> admitted = state_.stop.admit(call->deadline, has_running_parent, now);
    if (admitted) {
      call->deadline = *admitted;
      state_.sender.start(call, now, actions);
    } else {
      state_.sender.refuse(call, call_reason::leaving, now, actions);
    }
  }
  run_actions(actions);
}

void outbound_path::fetch_ticket(pending_call pending) {
  policy::endpoint_ptr issuer;
  protocol::peer_call ticket_request;
  ticket_request.context = pending.built.context;
  ticket_request.stamp = state_.stamps.next();
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    issuer = state_.sender.choose_ticket_issuer(pending.built.context, now);
    ticket_request.context.remaining = pending.built.deadline - now;
  }
  if (!issuer) {
    pending.answer(http::make_problem(call_outcome::not_run, call_reason::no_target, ""));
    return;
  }
  if (issuer->distance == policy::proximity::same_host) {
    on_ticket(std::move(pending), issuer->host, local_->issue_ticket(ticket_request));
    return;
  }
  peers_.request_ticket(
      issuer->address, std::move(ticket_request),
      [self = shared_from_this(), pending = std::move(pending),
       host = issuer->host](const result<protocol::peer_answer, protocol::peer_error>& outcome) {
        const bool is_answered = succeeded(outcome);
        self->on_ticket(pending, host,
                        is_answered ? std::get<protocol::peer_answer>(outcome) : protocol::peer_answer{});
      });
}

void outbound_path::on_ticket(pending_call pending, const std::string& issuer,
                              const protocol::peer_answer& ticket_answer) {
  if (!ticket_answer.ticket) {
    // The outcome is not_run: the order itself has not been sent.
    const call_reason reason =
        ticket_answer.reason == call_reason::none ? call_reason::no_target : ticket_answer.reason;
    pending.answer(http::make_problem(call_outcome::not_run, reason, ""));
    return;
  }

  bool has_child_ticket = false;
  {
    // The endpoint table must know the issuing incarnation, since the order with the ticket is sent there.
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.endpoints.on_report({issuer, ticket_answer.report.incarnation, ticket_answer.report.leaving});
    // An order made by the local target continues at once; an outside caller has to repeat its request with
    // the ticket.
    if (pending.built.parent && pending.built.parent->context.ticket) {
      pending.built.context.ticket = state_.orders.child_ticket(*pending.built.parent->context.ticket,
                                                                child_key(pending.built, *pending.request),
                                                                ticket_answer.ticket, state_.clock.now());
      has_child_ticket = pending.built.context.ticket.has_value();
    }
  }
  if (has_child_ticket) {
    start_call(std::move(pending));
    return;
  }
  answer_message problem = http::make_problem(call_outcome::not_run, call_reason::ticket_required, "");
  set_header(problem.fields, header_names::ticket, policy::to_text(*ticket_answer.ticket));
  set_header(problem.fields, header_names::outcome, name_of(call_outcome::not_run));
  pending.answer(std::move(problem));
}

void outbound_path::run_actions(const policy::sender_actions& actions) {
  for (const policy::sender_action& action : actions) {
    switch (action.what) {
      case policy::sender_action::kind::send:
        send(action);
        break;
      case policy::sender_action::kind::abandon:
        abandon(action);
        break;
      case policy::sender_action::kind::complete:
        complete(action);
        break;
    }
  }
}

void outbound_path::send(const policy::sender_action& action) {
  policy::attempt sent_attempt;
  protocol::peer_call call;
  attempt_handle handle;
  call.context = action.context;
  call.stamp = state_.stamps.next();
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(action.call->key);
    if (found == calls_.end()) {
      return;
    }
    call.request = found->second.request;
    if (state_.stop.started()) {
      call.context.answer_within = std::max(duration{}, state_.stop.answers_due() - state_.clock.now());
      handle.knows_answer_limit = true;
    }
    sent_attempt = action.call->attempts.at(action.attempt);
    if (action.attempt > 0) {
      state_.events.add(
          sent_attempt.is_hedge ? observe::event_kind::call_hedged : observe::event_kind::call_retried,
          action.context.id, sent_attempt.to->host, name_of(action.call->last_refusal));
    }
  }

  const std::uint64_t key = action.call->key;
  const std::size_t attempt = action.attempt;
  handle.is_local = sent_attempt.to->distance == policy::proximity::same_host;
  if (handle.is_local) {
    handle.exchange_id = local_->offer(
        std::move(call), [self = shared_from_this(), key, attempt](const protocol::peer_answer& content) {
          self->on_attempt_ended(key, attempt, content);
        });
  } else {
    handle.exchange_id = peers_.call(sent_attempt.to->address, std::move(call),
                                     [self = shared_from_this(), key, attempt](
                                         const result<protocol::peer_answer, protocol::peer_error>& outcome) {
                                       self->on_attempt_ended(key, attempt, outcome);
                                     });
  }
  const std::lock_guard<std::mutex> lock(state_.mutex);
  auto found = calls_.find(key);
  if (found != calls_.end()) {
    found->second.handles[attempt] = handle;
  }
}

void outbound_path::abandon(const policy::sender_action& action) {
  attempt_handle handle;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(action.call->key);
    if (found == calls_.end() || found->second.handles.count(action.attempt) == 0) {
      return;
    }
    handle = found->second.handles.at(action.attempt);
  }
  if (handle.is_local) {
    local_->cancel(handle.exchange_id);
  } else {
    peers_.cancel(handle.exchange_id);
  }
}

void outbound_path::complete(const policy::sender_action& action) {
  open_call completed;
  answer_message message;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(action.call->key);
    if (found == calls_.end()) {
      return;
    }
    completed = std::move(found->second);
    calls_.erase(found);
    local_->on_child_ended(completed.parent_key, state_.clock.now());
    if (completed.granted_until && action.outcome == call_outcome::not_run) {
      allowances_->give_back(action.call->context.organisation, *completed.granted_until);
    }
    if (state_.dialect) {
      state_.requests.on_completed(*action.call, action.outcome, action.reason,
                                   state_.configuration_version(), state_.clock.now());
    }
  }
  const call_context& context = action.call->context;
  const bool is_from_target = action.outcome == call_outcome::ok || action.outcome == call_outcome::failed;
  auto content = completed.answers.find(action.attempt);
  if (is_from_target && content != completed.answers.end()) {
    message = std::move(content->second.message);
  } else {
    if (state_.dialect) {
      const std::lock_guard<std::mutex> lock(state_.mutex);
      message = make_routed_refusal(action.outcome, action.reason,
                                    choose_retry_after(action.call->caller_deadline, state_.clock.now()));
    } else {
      message = http::make_problem(action.outcome, action.reason, completed.last_rule);
    }
    if (action.attempt == 0 && action.call->attempts.empty()) {
      state_.events.add(observe::event_kind::call_shed, context.id, context.service, name_of(action.reason));
    }
  }
  if (!state_.dialect) {
    set_header(message.fields, header_names::outcome, name_of(action.outcome));
  }
  state_.metrics.on_outbound(context.cls, action.outcome, action.reason,
                             state_.clock.now() - action.call->started);
  completed.answer(std::move(message));
}

void outbound_path::on_attempt_ended(std::uint64_t key, std::size_t attempt,
                                     const result<protocol::peer_answer, protocol::peer_error>& outcome) {
  policy::sender_actions actions;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    auto found = calls_.find(key);
    if (found == calls_.end()) {
      return;
    }
    const policy::endpoint_ptr to = found->second.call->attempts.at(attempt).to;
    policy::attempt_answer answer;
    if (succeeded(outcome)) {
      const protocol::peer_answer& content = std::get<protocol::peer_answer>(outcome);
      state_.stamps.merge(content.stamp);
      answer = to_attempt_answer(content);
      // Before the answer is passed on: from then on the caller may rely on this node's knowing it.
      answer.target_leaving = take_departure(content, *to, found->second.call->context);
      state_.configuration_age.on_peer(found->second.call->attempts.at(attempt).sent,
                                       content.configuration.age,
                                       content.configuration.version > state_.configuration_version());
      found->second.last_rule = content.rule;
      found->second.answers[attempt] = content;
    } else {
      answer = make_error_answer(std::get<protocol::peer_error>(outcome));
    }
    const bool was_ejected = state_.clock.now() < to->ejected_until;
    const int paced_before = to->paced_calls;
    const policy::outbound_call_ptr call = found->second.call;
    state_.sender.on_answer(call, attempt, answer, state_.clock.now(), actions);
    log_pace(*to, paced_before);
    const bool is_ejected = state_.clock.now() < to->ejected_until;
    if (is_ejected != was_ejected) {
      state_.events.add(is_ejected ? observe::event_kind::target_ejected : observe::event_kind::target_back,
                        call->context.id, to->host, name_of(answer.reason));
    }
  }
  run_actions(actions);
}

void outbound_path::log_pace(const policy::endpoint& at, int paced_before) {
  const bool has_ended = paced_before > 0 && at.paced_calls == 0;
  if (!has_ended && (paced_before > 0 || at.paced_calls == 0)) {
    return;
  }
  state_.metrics.add(has_ended ? "paces_ended" : "paces_begun");
  observe::log_event(observe::log_level::info, "target-paced",
                     {{"host", at.host},
                      {"instance", at.instance},
                      {"service", at.service},
                      {"state", has_ended ? "ended" : "begun"},
                      {"slots", std::to_string(at.slots)},
                      {"outstanding", std::to_string(at.outstanding)}});
}

bool outbound_path::take_departure(const protocol::peer_answer& content, const policy::endpoint& from,
                                   const call_context& context) {
  if (!content.leaving_process_started_ms || from.instance.empty() || state_.settings.pass_through) {
    return false;
  }
  // The node beside the target may not know yet that a newer process has replaced the one that left, so that
  // only a start that it does not know at all is taken from here.
  const std::int64_t told_ms = *content.leaving_process_started_ms;
  const std::int64_t started_ms = told_ms == 0 ? from.process_started_ms : told_ms;
  take_departure_sign(state_, from.host, {from.instance, started_ms}, policy::departure_sign::answered,
                      context.attempt_id, state_.clock.now());
  return from.process_started_ms <= started_ms;
}

std::uint64_t outbound_path::child_key(const built_call& built, const request_message& request) const {
  // An idempotency key set by the target identifies the child order; otherwise its body does.
  const std::string order_key = find_header(request.fields, header_names::idempotency_key);
  const std::string content = order_key.empty() ? request.body : order_key;
  return hash_text(built.context.service + ' ' + request.method + ' ' + request.target + ' ' + content);
}

}  // namespace nutmegarch::node
