#include "nutmegarch/node/target_message.h"

#include <algorithm>
#include <utility>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/node/header_names.h"
#include "nutmegarch/observe/timeline.h"

namespace nutmegarch::node {

protocol::peer_answer make_refusal(call_outcome outcome, call_reason reason) {
  protocol::peer_answer content;
  content.outcome = outcome;
  content.reason = reason;
  return content;
}

target_answer interpret_target_answer(result<answer_message, http::client_error> outcome, bool is_idempotent,
                                      bool is_cancelled) {
  target_answer answer;
  protocol::peer_answer& content = answer.content;
  if (succeeded(outcome)) {
    content.message = std::get<answer_message>(std::move(outcome));
    const int status = content.message.status;
    content.outcome = status < 500 ? call_outcome::ok : call_outcome::failed;
    content.reason = status < 500 ? call_reason::none : call_reason::target_error;
    if (status == 503) {
      // The target is shedding load. It has received the call, so the outcome can't be not_run.
      answer.result = policy::target_result::refused;
      content.outcome = is_idempotent ? call_outcome::unknown : call_outcome::failed;
    }
    return answer;
  }
  answer.result = policy::target_result::lost;
  switch (std::get<http::client_error>(outcome)) {
    case http::client_error::unreachable:
      content = make_refusal(call_outcome::not_run, call_reason::no_target);
      return answer;
    case http::client_error::lost:
      content = make_refusal(call_outcome::unknown, call_reason::connection_lost);
      return answer;
    case http::client_error::timed_out:
      content =
          make_refusal(call_outcome::unknown, is_cancelled ? call_reason::cancelled : call_reason::deadline);
      return answer;
    case http::client_error::too_large:
    case http::client_error::malformed:
    case http::client_error::over_budget:
      break;
  }
  content = make_refusal(call_outcome::unknown, call_reason::target_error);
  return answer;
}

request_message make_target_request(const request_message& request, const policy::inbound_call& call,
                                    time_point now) {
  request_message target_request = request;
  const call_context& context = call.context;
  set_header(target_request.fields, header_names::traceparent,
             "00-" + observe::to_text(context.id) + "-" +
                 observe::to_text({0, hash_number(call.key)}).substr(16) + "-01");
  if (call.deadline != never) {
    const duration remaining = std::max(duration{}, call.deadline - now);
    set_header(
        target_request.fields, header_names::timeout,
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()) + "ms");
  }
  return target_request;
}

std::string describe(const rules::rule& rule) {
  return rule.text + " (line " + std::to_string(rule.line) + ", who: " + rule.who + ", why: " + rule.why +
         ")";
}

}  // namespace nutmegarch::node
