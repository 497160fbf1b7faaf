#pragma once

#include <string>

#include "nutmegarch/core/call.h"
#include "nutmegarch/core/message.h"

namespace nutmegarch::http {

/// An answer in the form of RFC 9457 (application/problem+json).
answer_message make_problem(int status, const std::string& title, const std::string& detail);

/// The answer for a call that was not answered by its target. It has the members "outcome" and "reason", and
/// "rule" when a rule refused the call.
answer_message make_problem(call_outcome outcome, call_reason reason, const std::string& rule);

/// The status for a call that was not answered by its target.
int status_of(call_outcome outcome, call_reason reason);

/// The standard phrase of a status, as "Not Found".
std::string phrase_of(int status);

}  // namespace nutmegarch::http
