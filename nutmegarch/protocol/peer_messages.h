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

/// A call sent to a peer. All attempts of the call share the request.
struct peer_call {
  call_context context;
  std::shared_ptr<const request_message> request;
  /// Hybrid logical clock of the sender.
  std::uint64_t stamp = 0;
};

/// The configuration that a node has in force.
struct configuration_state {
  /// 0 if it has none.
  std::uint64_t version = 0;
  /// This long ago the platform's store had no newer one; nullopt if this is not known.
  std::optional<duration> age;
};

/// Reply of the node that keeps an organisation's allowance.
struct allowance_reply {
  /// False if the node does not keep this allowance now, and the rest means nothing.
  bool is_keeper = false;
  /// Number of requests that may be made.
  int granted = 0;
  /// Time after which it makes sense to ask again if fewer were granted than asked for.
  duration retry_after{};
  /// Address of the node that keeps the allowance now, if this one does not and knows it; else empty.
  std::string keeper = {};
};

/// A peer's answer to a call or to a ticket request.
struct peer_answer {
  call_outcome outcome = call_outcome::unknown;
  call_reason reason = call_reason::none;
  answer_message message;
  /// Unused retry tokens that the answer returns.
  std::uint16_t tokens_back = 0;
  node_report report;
  /// Admission level of the services downstream of the node for calls of this route.
  admission_level route_level;
  /// Calls of this route make calls to other services.
  bool has_downstream_calls = true;
  /// Only targets call this route, while they run other calls.
  bool is_inner_route = false;
  std::optional<order_ticket> ticket;
  /// Text of the rule that refused the call, with its author and reason; empty when no rule refused it.
  std::string rule;
  /// The call was written to the target, whether or not the target answered.
  bool reached_target = false;
  /// Start of the target process that the call names, in milliseconds, if the process has announced that it
  /// leaves; 0 when the start is unknown.
  std::optional<std::int64_t> leaving_process_started_ms;
  configuration_state configuration;
  /// Hybrid logical clock of the sender.
  std::uint64_t stamp = 0;
};

/// Gossip message. Each side of an exchange sends one.
struct peer_exchange {
  membership::self_report self;
  /// Stamps of the documents that the sender has or asks for.
  std::vector<membership::document_stamp> digest;
  /// Documents for the receiver, which takes those that are newer than its own.
  std::vector<membership::document> documents;
  /// Crash counts of request fingerprints.
  std::vector<policy::crash_mark> marks;
  /// Hybrid logical clock of the sender.
  std::uint64_t stamp = 0;
  /// Position of the newest change that the platform's store has told the sender of; not known if the store
  /// does not confirm the sender's view now.
  membership::store_position confirmed;
  /// Position of a change that peers may wait for on dead connections to the store; not known if there is
  /// none.
  membership::store_position notice;
  configuration_state configuration;
  /// This long ago the sender has heard of a node that reads configurations from the platform's store and is
  /// answered by it; nullopt if it never has.
  std::optional<duration> reader_age;
};

/// Errors of the protocol between nodes.
enum class peer_error : std::uint8_t {
  /// No connection could be established, so nothing was written.
  unreachable,
  /// Too many bytes wait to be written to peers, so nothing was written.
  queue_full,
  /// The connection failed or timed out after the message may have been written.
  lost
};

}  // namespace nutmegarch::protocol
