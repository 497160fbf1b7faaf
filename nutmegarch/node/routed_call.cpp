#include "nutmegarch/node/routed_call.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/http/problem.h"

namespace nutmegarch::node {

namespace {

/// Priority from which on all calls are of the least important class.
constexpr int least_priority = 2;

call_class class_of(int priority) { return static_cast<call_class>(std::clamp(priority, 0, least_priority)); }

/// Names of attempts are unique, so their hash serves as the request's id.
request_id id_of(const std::string& attempt_id) { return {hash_text(attempt_id), hash_text(attempt_id, 1)}; }

int status_for(call_outcome outcome, call_reason reason) {
  switch (reason) {
    case call_reason::no_route:
      return 404;
    case call_reason::malformed:
      return 400;
    case call_reason::too_large:
      return 413;
    default:
      break;
  }
  if (outcome == call_outcome::not_run) {
    return 503;
  }
  return reason == call_reason::deadline || reason == call_reason::cancelled ? 504 : 502;
}

/// Seconds with milliseconds, as in "0.250".
std::string to_seconds_text(duration value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", to_seconds(value));
  return text;
}

}  // namespace

std::variant<built_call, call_reason> build_routed_call(node_state& state, const edge_dialect& dialect,
                                                        const request_message& request, time_point now) {
  if (!state.routes) {
    return call_reason::not_configured;
  }
  const routes::route* const route = state.routes->find(request.authority, request.target);
  if (route == nullptr) {
    return call_reason::no_route;
  }
  const caller_fields told = dialect.read_caller(request.fields);
  if (told.is_malformed) {
    return call_reason::malformed;
  }

  built_call built;
  call_context& context = built.context;
  context.attempt_id = told.attempt_id;
  context.id =
      told.attempt_id.empty() ? request_id{state.random.bits(), state.random.bits()} : id_of(told.attempt_id);
  context.service = state.splits.choose(*route);
  context.route = route->name;
  context.caller = state.settings.identity.service;
  context.cls = class_of(route->priority);
  context.shed_rank = shed_rank_of(context.id);
  context.idempotent = route->idempotent;
  context.fingerprint = hash_text(request.body, hash_text(context.caller + ' ' + request.method + ' ' +
                                                          request.authority + request.target));
  context.crash_count =
      static_cast<std::uint8_t>(std::min(255, state.crashes.crashes(context.fingerprint, now)));
  duration wait = told.timeout.value_or(state.settings.calls.timeout);
  if (route->timeout > duration{}) {
    wait = std::min(wait, route->timeout);
  }
  built.deadline = now + wait;
  built.caller_deadline = now + told.timeout.value_or(wait);
  built.most_attempts = static_cast<std::size_t>(std::max(1, route->most_attempts));
  built.retry_budget = static_cast<std::uint16_t>(built.most_attempts);
  return built;
}

request_message to_routed_target(const edge_dialect& dialect, const request_message& request,
                                 const policy::inbound_call& call, time_point now) {
  request_message sent = request;
  const duration remaining = call.deadline == never ? duration::max() : call.deadline - now;
  dialect.write_target_fields({std::max(duration{}, remaining), call.context.instance, call.context.caller},
                              sent.fields);
  return sent;
}

target_answer interpret_routed(const edge_dialect& dialect,
                               result<answer_message, http::client_error> outcome, bool is_cancelled) {
  if (!succeeded(outcome)) {
    const bool is_unwritten = std::get<http::client_error>(outcome) == http::client_error::unreachable;
    target_answer lost = interpret(std::move(outcome), true, is_cancelled);
    lost.content.reached_target = !is_unwritten;
    return lost;
  }
  answer_message& message = std::get<answer_message>(outcome);
  const target_answer_fields verdict = dialect.read_target_answer(message);
  target_answer answer;
  answer.load = verdict.load;
  answer.content.reached_target = true;
  if (verdict.is_other_instance || verdict.is_not_run) {
    answer.result = policy::target_result::refused;
    answer.content.outcome = call_outcome::not_run;
    answer.content.reason =
        verdict.is_other_instance ? call_reason::other_instance : call_reason::target_refused;
    return answer;
  }
  if (!verdict.is_from_target) {
    answer.content.outcome = call_outcome::unknown;
    answer.content.reason = call_reason::target_error;
    return answer;
  }
  const bool is_good = message.status < 500;
  answer.content.outcome = is_good ? call_outcome::ok : call_outcome::failed;
  answer.content.reason = is_good ? call_reason::none : call_reason::target_error;
  answer.content.message = std::move(message);
  return answer;
}

answer_message make_routed_refusal(call_outcome outcome, call_reason reason, duration come_back) {
  const int status = status_for(outcome, reason);
  answer_message answer = http::make_problem(status, http::reason_phrase_of(status), name_of(reason));
  if (status == 503) {
    set_header(answer.fields, "Retry-After", to_seconds_text(come_back));
  }
  return answer;
}

}  // namespace nutmegarch::node
