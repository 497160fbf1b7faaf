#include "nutmegarch/node/call_builder.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/node/header_names.h"

namespace nutmegarch::node {

namespace {

/// Highest value of the urgency parameter that makes a call important. RFC 9218 defines 0 (most urgent) to 7.
constexpr char max_important_urgency = '1';
/// Length in bytes of a traceparent field: "00-", 32 digits, "-", 16 digits, "-", 2 digits.
constexpr std::size_t traceparent_length = 55;

std::string path_of(const request_message& request) {
  return request.target.substr(0, request.target.find('?'));
}

bool is_idempotent_method(const std::string& method) {
  constexpr std::array<const char*, 5> methods = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

std::uint64_t fingerprint_of(const request_message& request) {
  return hash_text(request.body, hash_text(request.method + ' ' + request.target));
}

/// The call class that the caller's Priority field requests.
call_class class_by_priority(const headers& fields) {
  const std::string priority = find_header(fields, header_names::priority);
  const std::size_t urgency = priority.find("u=");
  if (urgency == std::string::npos || urgency + 2 >= priority.size()) {
    return call_class::browse;
  }
  return priority.at(urgency + 2) <= max_important_urgency ? call_class::important : call_class::browse;
}

duration timeout_of(const node_state& state, const headers& fields) {
  const std::optional<duration> requested = rules::parse_duration(find_header(fields, header_names::timeout));
  return std::min(requested.value_or(state.settings.calls.timeout), state.settings.calls.max_timeout);
}

void inherit_from_parent(const parent_call& parent, built_call& call) {
  call.context.depth = static_cast<std::uint8_t>(std::min(255, parent.context.depth + 1));
  call.context.repeated = parent.context.repeated;
  call.context.cls = std::min(call.context.cls, parent.context.cls);
  call.deadline = std::min(call.deadline, parent.deadline);
  call.parent = parent;
}

void apply_rules(const node_state& state, const request_message& request, built_call& call, time_point now) {
  const rules::call_rules found =
      state.rules.table()->find({call.context.service, path_of(request), call.context.caller});
  if (found.cls != nullptr) {
    call.context.cls = *found.cls->cls;
  }
  if (found.order != nullptr && !call.context.idempotent) {
    call.is_order = true;
    call.context.cls = call_class::order;
  }
  if (found.timeout != nullptr) {
    call.deadline = std::min(call.deadline, now + found.timeout->after);
  }
  if (found.retry != nullptr) {
    call.retry_budget = static_cast<std::uint16_t>(found.retry->budget);
  }
  call.may_hedge = found.hedge == nullptr || found.hedge->enabled;
}

}  // namespace

std::optional<request_id> request_id_of(const headers& fields) {
  const std::string text = find_header(fields, header_names::traceparent);
  if (text.size() != traceparent_length) {
    return std::nullopt;
  }
  request_id id;
  const char* const digits = text.data() + 3;
  const std::from_chars_result high = std::from_chars(digits, digits + 16, id.high, 16);
  const std::from_chars_result low = std::from_chars(digits + 16, digits + 32, id.low, 16);
  const bool is_valid = high.ptr == digits + 16 && low.ptr == digits + 32 && (id.high != 0 || id.low != 0);
  return is_valid ? std::optional<request_id>(id) : std::nullopt;
}

std::string route_of(const request_message& request) {
  const std::string path = path_of(request);
  return request.method + ' ' + path.substr(0, path.find('/', 1));
}

built_call build_call(node_state& state, const request_message& request,
                      const std::optional<parent_call>& parent, time_point now) {
  built_call built;
  call_context& context = built.context;
  const std::optional<request_id> given_id = request_id_of(request.fields);
  context.id = given_id.value_or(request_id{state.random.bits(), state.random.bits()});
  const std::string service = find_header(request.fields, header_names::service);
  context.service = service.empty() ? state.settings.identity.service : service;
  context.route = route_of(request);
  context.caller =
      parent ? state.settings.identity.service : find_header(request.fields, header_names::caller);
  context.cls = class_by_priority(request.fields);
  context.shed_rank = shed_rank_of(context.id);
  context.idempotent = is_idempotent_method(request.method);
  context.fingerprint = fingerprint_of(request);
  context.ticket = policy::parse_ticket(find_header(request.fields, header_names::ticket));
  context.crash_count =
      static_cast<std::uint8_t>(std::min(255, state.crashes.crashes(context.fingerprint, now)));
  built.deadline = now + timeout_of(state, request.fields);
  apply_rules(state, request, built, now);
  if (parent) {
    inherit_from_parent(*parent, built);
  }
  return built;
}

}  // namespace nutmegarch::node
