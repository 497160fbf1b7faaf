#pragma once

#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// State of an inbound call at its node. `done` means ended or refused.
enum class inbound_phase : std::uint8_t { offered, waiting, running, done };

/// Number of queue priorities: two for each call class.
constexpr int queue_priority_count = 2 * call_class_count;

/// Queue priority of a call; waiting calls with a smaller value are served first. Inner calls have the class
/// of the request from outside that caused them, so those of a less urgent request do not overtake a more
/// urgent request. Within a class inner calls precede requests, because work has been spent on their chain
/// already.
constexpr int queue_priority_of(const call_context& context) {
  return 2 * static_cast<int>(context.cls) + (context.inner ? 0 : 1);
}

/// One call for the local target. The adapter creates it; a wait_queue links it while it waits.
struct inbound_call : boost::intrusive_ref_counter<inbound_call, boost::thread_safe_counter>,
                      boost::intrusive::list_base_hook<> {
  /// The adapter's key for the call; unique within a node.
  std::uint64_t key = 0;
  call_context context;
  inbound_phase phase = inbound_phase::offered;
  time_point arrived{};
  /// Time after which the caller no longer waits for the answer.
  time_point deadline = never;
  /// Time after which the caller's node can't take the answer any more, since it stops.
  time_point answer_due = never;
  time_point started{};
  /// Order of the call among waiting ones, see queue_priority_of().
  int queue_priority = queue_priority_count - 1;
  /// The call's route was long when the call was offered, see receiver. It occupies the share of long calls.
  bool is_long = false;
};

using inbound_call_ptr = boost::intrusive_ptr<inbound_call>;

}  // namespace nutmegarch::policy
