#pragma once

#include <memory>
#include <string>
#include <vector>

#include "nutmegarch/core/call.h"
#include "nutmegarch/core/message.h"
#include "nutmegarch/membership/document_table.h"
#include "nutmegarch/membership/endpoint_table.h"
#include "nutmegarch/policy/crash_registry.h"
#include "nutmegarch/policy/order_registry.h"

namespace nutmegarch::protocol {

/// A call on its way to a peer. The request is shared by all attempts.
struct peer_call {
  call_context context;
  std::shared_ptr<const request_message> request;
  /// Hybrid logical clock of the sender.
  std::uint64_t stamp = 0;
};

/// A peer's answer to a call or to a ticket request.
struct peer_answer {
  call_outcome outcome = call_outcome::unknown;
  call_reason reason = call_reason::none;
  answer_message message;
  std::uint16_t tokens_back = 0;
  node_report report;
  admission_level route_level;
  bool calls_on = true;
  std::optional<order_ticket> ticket;
  /// Text of the rule that refused the call, with who and why; empty when none did.
  std::string rule;
  /// The call was written to the target, whatever came of it there.
  bool reached_target = false;
  std::uint64_t stamp = 0;
};

/// What two peers tell each other in an exchange.
struct peer_exchange {
  membership::self_report self;
  std::vector<membership::document_stamp> digest;
  std::vector<membership::document> documents;
  std::vector<policy::crash_mark> marks;
  std::uint64_t stamp = 0;
};

/// Errors of the inner protocol.
enum class peer_error : std::uint8_t {
  /// No connection came about: nothing was written.
  unreachable,
  /// The connection broke or went silent after the message may have been written.
  lost
};

}  // namespace nutmegarch::protocol
