#include "nutmegarch/node/routed_call.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/http/problem.h"

namespace nutmegarch::node {

namespace {

/// Route priorities from this value on all map to the least important call class.
constexpr int lowest_priority = 2;

call_class class_of(int priority) {
  return static_cast<call_class>(std::clamp(priority, 0, lowest_priority));
}

/// Attempt ids are unique, so the hash of one serves as the request id.
request_id request_id_for_attempt(const std::string& attempt_id) {
  return {hash_text(attempt_id), hash_text(attempt_id, 1)};
}

int status_for(call_outcome outcome, call_reason reason) {
  switch (reason) {
    case call_reason::no_route:
      return 404;
    case call_reason::malformed:
      return 400;
    case call_reason::too_large:
      return 413;
    case call_reason::unknown_key:
      return 401;
    case call_reason::over_allowance:
      return 429;
    default:
      break;
  }
  if (outcome == call_outcome::not_run) {
    return 503;
  }
  return reason == call_reason::deadline || reason == call_reason::cancelled ? 504 : 502;
}

/// True if what is not in the view does not exist: no peer is known to have a newer configuration.
bool is_view_certain(const node_state& state) {
  return state.view.is_confirmed() && !state.configuration_lag.is_behind(state.configuration_version());
}

/// The organisation of a request by its key, null if the request needs none, or why the request is rejected.
std::variant<const organisations::organisation*, call_reason> identify(const node_state& state,
                                                                       const routes::route& route,
                                                                       const std::string& key,
                                                                       time_point now) {
  using identity = std::variant<const organisations::organisation*, call_reason>;
  if (!state.routes->has_organisations()) {
    return identity(nullptr);
  }
  const bool may_take_keys = state.configuration_age.may_take_keys(now);
  const organisations::organisation* const holder =
      key.empty() || !may_take_keys ? nullptr : state.routes->organisations().find_by_key(key);
  if (holder != nullptr || route.key_exempt) {
    return identity(holder);
  }
  if (!may_take_keys) {
    return call_reason::unconfirmed_key;
  }
  // An old view may lack a key that was added since.
  const bool is_certain = is_view_certain(state) && !state.routes->may_lack_organisations();
  return is_certain ? call_reason::unknown_key : call_reason::not_configured;
}

/// Formats a duration as seconds with three decimals, for example "0.250".
std::string to_seconds_text(duration value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", to_seconds(value));
  return text;
}

}  // namespace

std::variant<built_call, call_reason> build_routed_call(node_state& state, const caller_fields& caller_info,
                                                        const request_message& request, time_point now) {
  if (!state.routes || !state.view.may_serve(now)) {
    return call_reason::not_configured;
  }
  const routes::route* const route = state.routes->find(request.authority, request.target);
  if (route == nullptr) {
    // An old view may lack a route that was added since.
    const bool is_certain = is_view_certain(state) && !state.routes->may_lack_routes();
    return is_certain ? call_reason::no_route : call_reason::not_configured;
  }
  if (!route->is_readable) {
    return call_reason::not_configured;
  }
  if (caller_info.is_malformed) {
    return call_reason::malformed;
  }

  const std::variant<const organisations::organisation*, call_reason> identified =
      identify(state, *route, caller_info.key, now);
  if (std::holds_alternative<call_reason>(identified)) {
    return std::get<call_reason>(identified);
  }
  const organisations::organisation* const caller = std::get<const organisations::organisation*>(identified);

  built_call built;
  call_context& context = built.context;
  if (caller != nullptr) {
    context.organisation = caller->name;
    built.allowance = caller->limit;
  }
  context.attempt_id = caller_info.attempt_id;
  context.id = caller_info.attempt_id.empty() ? request_id{state.random.bits(), state.random.bits()}
                                              : request_id_for_attempt(caller_info.attempt_id);
  context.service = state.splits.choose(*route);
  context.route = route->name;
  context.caller = state.settings.identity.service;
  context.cls = class_of(caller != nullptr ? caller->priority.value_or(route->priority) : route->priority);
  context.shed_rank = shed_rank_of(context.id);
  context.idempotent = route->idempotent;
  context.fingerprint = hash_text(request.body, hash_text(context.caller + ' ' + request.method + ' ' +
                                                          request.authority + request.target));
  context.crash_count =
      static_cast<std::uint8_t>(std::min(255, state.crashes.crashes(context.fingerprint, now)));
  duration call_timeout = caller_info.timeout.value_or(state.settings.calls.timeout);
  if (route->timeout > duration{}) {
    call_timeout = std::min(call_timeout, route->timeout);
  }
  built.deadline = now + call_timeout;
  built.caller_deadline = now + caller_info.timeout.value_or(call_timeout);
  built.max_attempts = static_cast<std::size_t>(std::max(1, route->max_attempts));
  built.retry_budget = static_cast<std::uint16_t>(built.max_attempts);
  return built;
}

request_message make_routed_target_request(const edge_dialect& dialect, const request_message& request,
                                           const policy::inbound_call& call, time_point now) {
  request_message target_request = request;
  const duration remaining = call.deadline == never ? duration::max() : call.deadline - now;
  dialect.write_target_fields({std::max(duration{}, remaining), call.context.instance, call.context.caller,
                               call.context.organisation},
                              target_request.fields);
  return target_request;
}

target_answer interpret_routed_target_answer(const edge_dialect& dialect,
                                             result<answer_message, http::client_error> outcome,
                                             bool is_cancelled) {
  if (!succeeded(outcome)) {
    const bool is_unsent = std::get<http::client_error>(outcome) == http::client_error::unreachable;
    target_answer lost = interpret_target_answer(std::move(outcome), true, is_cancelled);
    lost.content.reached_target = !is_unsent;
    return lost;
  }
  answer_message& message = std::get<answer_message>(outcome);
  const target_answer_fields verdict = dialect.read_target_answer(message);
  target_answer answer;
  answer.load = verdict.load;
  answer.is_leaving = verdict.is_leaving;
  answer.closes_connection = message.closes_connection;
  answer.max_request_rate = verdict.max_request_rate;
  answer.names_no_rate = verdict.names_no_rate;
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
  const bool is_success = message.status < 500;
  answer.content.outcome = is_success ? call_outcome::ok : call_outcome::failed;
  answer.content.reason = is_success ? call_reason::none : call_reason::target_error;
  answer.content.message = std::move(message);
  return answer;
}

answer_message make_routed_refusal(call_outcome outcome, call_reason reason, duration retry_after) {
  const int status = status_for(outcome, reason);
  answer_message answer = http::make_problem(status, http::reason_phrase_of(status), name_of(reason));
  if (status == 503 || status == 429) {
    set_header(answer.fields, "Retry-After", to_seconds_text(retry_after));
  }
  return answer;
}

}  // namespace nutmegarch::node
