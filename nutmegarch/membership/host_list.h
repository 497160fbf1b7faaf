#pragma once

#include <string>
#include <vector>

#include "nutmegarch/core/result.h"
#include "nutmegarch/core/time.h"
#include "nutmegarch/membership/store_position.h"

namespace nutmegarch::membership {

/// A host as published by the platform.
struct published_host {
  std::string host;
  std::string service;
  std::string domain;
  std::string region;
  /// IP address and port of the node, for connections from its peers.
  std::string peer_address;
  int slots = 64;
  bool leaving = false;
  /// Load as last published; may be out of date or wrong.
  double load = 0;
  /// Name of the target process; empty when the platform does not publish it.
  std::string instance;
  /// IP address and port of the target itself; empty when the platform does not publish it.
  std::string address;
  /// Start of the target process on the platform's clock, in milliseconds; 0 when unknown. Larger is newer.
  std::int64_t process_started_ms = 0;
  /// Time left until the target has warmed up after its start.
  duration cold_remaining{};
  /// Position of the platform's store that wrote the entry; not known if the store does not tell it.
  store_position position;
};

/// The hosts of one service. Published as JSON under the key "hosts/SERVICE":
/// {"revision": 5, "hosts": [{"host": "h1", "service": "s", "domain": "d", "region": "r",
///   "peers": "127.0.0.1:7002", "slots": 64, "state": "live", "load": 0.5}]}
struct host_list {
  std::uint64_t revision = 0;
  std::vector<published_host> hosts;
};

/// Reason why a host list could not be parsed, for people.
struct host_list_error {
  std::string message;
};

/// Removes all but one of the hosts with the same target address, since an address belongs to one process at
/// a time. Keeps the host whose process started last or, when the start times are equal or unknown, the entry
/// that was written last. Sorts the hosts by address.
void keep_newest_by_address(std::vector<published_host>& hosts);

/// Parses the published JSON form.
result<host_list, host_list_error> parse_host_list(const std::string& text);

}  // namespace nutmegarch::membership
