#pragma once

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace nutmegarch::http {

/// When the system breaks a connection whose peer no longer acknowledges anything.
struct liveness_settings {
  /// Time without traffic before the first keep-alive probe.
  std::chrono::seconds probe_after{2};
  /// Time between two keep-alive probes.
  std::chrono::seconds probe_interval{1};
  /// Number of unacknowledged probes after which the connection is broken.
  int max_probes = 3;
  /// The connection is broken when sent data stays unacknowledged for this long. Linux also applies it, in
  /// place of `max_probes`, to an idle connection with an unacknowledged probe.
  std::chrono::milliseconds user_timeout{5000};

  /// Longest time until the system breaks an idle connection whose peer is gone.
  std::chrono::milliseconds longest_idle_silence() const { return probe_after + max_probes * probe_interval; }
};

/// Disables Nagle's algorithm, and enables TCP keep-alive and a user timeout. Errors are ignored.
void set_connection_options(boost::asio::ip::tcp::socket& socket, const liveness_settings& liveness = {});

}  // namespace nutmegarch::http
