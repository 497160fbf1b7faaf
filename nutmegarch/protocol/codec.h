#pragma once

#include "nutmegarch/protocol/peer.capnp.h"
#include "nutmegarch/protocol/peer_messages.h"

namespace nutmegarch::protocol {

/// Convert messages to and from their Cap'n Proto form. When read, enumerators, shed ranks and remaining
/// times out of range are clamped, and a load that is negative or not finite becomes 0.
/// True if the message refers to the body of the request, which must then outlive it.
bool write(const peer_call& from, wire::CallContext::Builder context, wire::Request::Builder request);
void write_context(const call_context& from, std::uint64_t stamp, wire::CallContext::Builder to);
peer_call read(wire::CallContext::Reader context, wire::Request::Reader request);
/// Reads a call without its request, which stays null.
peer_call read_context(wire::CallContext::Reader context);
void write(const peer_answer& from, wire::Answer::Builder to);
peer_answer read(wire::Answer::Reader from);
void write(const peer_exchange& from, wire::Exchange::Builder to);
peer_exchange read(wire::Exchange::Reader from);

}  // namespace nutmegarch::protocol
