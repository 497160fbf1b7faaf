#pragma once

#include <string>

#include "nutmegarch/core/call.h"
#include "nutmegarch/core/message.h"

namespace nutmegarch::http {

/// Makes an answer with a problem document (RFC 9457, application/problem+json).
answer_message make_problem(int status, const std::string& title, const std::string& detail);

/// Makes the problem answer to a call that its target has not answered. The document has the members
/// "outcome" and "reason", and "rule" unless `rule` is empty; `rule` is the rule that rejected the call.
answer_message make_problem(call_outcome outcome, call_reason reason, const std::string& rule);

/// The HTTP status that reports this outcome and reason of a call that its target has not answered.
int status_of(call_outcome outcome, call_reason reason);

/// The standard reason phrase of a status, for example "Not Found".
std::string reason_phrase_of(int status);

}  // namespace nutmegarch::http
