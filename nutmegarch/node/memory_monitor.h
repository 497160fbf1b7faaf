#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "nutmegarch/http/server.h"
#include "nutmegarch/node/inbound_path.h"
#include "nutmegarch/node/outbound_path.h"
#include "nutmegarch/observe/process_memory.h"
#include "nutmegarch/policy/memory_step_detector.h"
#include "nutmegarch/protocol/peer_network.h"

namespace nutmegarch::node {

/// Memory of the process and of the queues that others fill.
struct memory_usage {
  /// Nothing where the system does not tell it.
  std::optional<observe::process_memory> process;
  /// Name of each queue and the bytes that it holds.
  std::vector<std::pair<std::string, std::size_t>> queues;
};

/// Measures the node's memory and logs when it passes a step. All references must outlive the object.
class memory_monitor {
 public:
  memory_monitor(node_state& state, const inbound_path& inbound, const outbound_path& outbound,
                 const protocol::peer_network& peers, const http::server& callers)
      : state_(state), inbound_(inbound), outbound_(outbound), peers_(peers), callers_(callers) {}

  /// Measures now. Locks the state. Any thread may call it.
  memory_usage measure() const;
  /// Measures once a second and logs a step that was passed. Called on each tick.
  void on_tick(time_point now);

 private:
  /// Logs that connections to peers were closed because of their unfinished messages, if some were.
  void report_closed_peers();

  node_state& state_;
  const inbound_path& inbound_;
  const outbound_path& outbound_;
  const protocol::peer_network& peers_;
  const http::server& callers_;
  policy::memory_step_detector steps_;
  time_point next_sample_{};
  std::size_t reported_closed_peers_ = 0;
  std::size_t reported_silent_peers_ = 0;
  std::size_t reported_slow_peers_ = 0;
};

}  // namespace nutmegarch::node
