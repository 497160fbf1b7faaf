#include "nutmegarch/http/problem.h"

#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>

namespace nutmegarch::http {

namespace {

constexpr const char* retry_after_seconds = "1";

answer_message make_answer(int status, const boost::json::object& body) {
  answer_message answer;
  answer.status = status;
  answer.fields = {{"Content-Type", "application/problem+json"}};
  answer.body = boost::json::serialize(body);
  return answer;
}

}  // namespace

answer_message make_problem(int status, const std::string& title, const std::string& detail) {
  return make_answer(status,
                     {{"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}});
}

answer_message make_problem(call_outcome outcome, call_reason reason, const std::string& rule) {
  const int status = status_of(outcome, reason);
  boost::json::object body = {{"type", "about:blank"},
                              {"title", reason_phrase_of(status)},
                              {"status", status},
                              {"outcome", name_of(outcome)},
                              {"reason", name_of(reason)}};
  if (!rule.empty()) {
    body["rule"] = rule;
  }
  answer_message answer = make_answer(status, body);
  if (status == 503 || status == 429) {
    answer.fields.push_back({"Retry-After", retry_after_seconds});
  }
  return answer;
}

int status_of(call_outcome outcome, call_reason reason) {
  switch (reason) {
    case call_reason::ticket_required:
      return 428;
    case call_reason::too_large:
      return 413;
    case call_reason::rate_rule:
    case call_reason::concurrency_rule:
      return 429;
    case call_reason::quarantined:
      return 403;
    case call_reason::ticket_foreign:
    case call_reason::ticket_expired:
    case call_reason::ticket_sealed:
      return 409;
    default:
      break;
  }
  return outcome == call_outcome::not_run ? 503 : outcome == call_outcome::unknown ? 504 : 502;
}

std::string reason_phrase_of(int status) {
  const boost::beast::string_view phrase =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  return {phrase.data(), phrase.size()};
}

}  // namespace nutmegarch::http
