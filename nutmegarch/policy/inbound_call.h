#pragma once

#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Where an inbound call stands at its node.
enum class inbound_phase : std::uint8_t { offered, waiting, running, done };

/// One call that the local target is asked to run. Created by the adapter, linked into the receiver's lists.
struct inbound_call : boost::intrusive_ref_counter<inbound_call, boost::thread_safe_counter>,
                      boost::intrusive::list_base_hook<> {
  /// Key of the call at the adapter; unique in one node.
  std::uint64_t key = 0;
  call_context context;
  inbound_phase phase = inbound_phase::offered;
  time_point arrived{};
  /// After this moment nobody waits for the answer.
  time_point deadline = never;
  time_point started{};
  /// Class by which the call waits for a slot.
  call_class waits_as = call_class::browse;
  /// The call counts against the share of long calls.
  bool is_long = false;
};

using inbound_call_ptr = boost::intrusive_ptr<inbound_call>;

}  // namespace nutmegarch::policy
