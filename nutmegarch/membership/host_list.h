#pragma once

#include <string>
#include <vector>

#include "nutmegarch/core/result.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// One host as the platform publishes it.
struct published_host {
  std::string host;
  std::string service;
  std::string domain;
  std::string region;
  /// IP number and port for calls from peers.
  std::string peers;
  int slots = 64;
  bool leaving = false;
  /// Load as last reported; late and at times wrong.
  double load = 0;
  /// Name of the target process; empty where the platform tells none.
  std::string instance;
  /// IP number and port of the target itself; empty where the platform tells none.
  std::string address;
  /// When the target process started, on the platform's clock; 0 when unknown. Larger is newer.
  std::int64_t born = 0;
  /// How much longer the target is slow after its start.
  duration cold{};
  /// Revision of the platform's store at which the entry was written; 0 when unknown.
  std::uint64_t revision = 0;
};

/// The hosts of one service. Published as JSON under the key "hosts/SERVICE":
/// {"revision": 5, "hosts": [{"host": "h1", "service": "s", "domain": "d", "region": "r",
///   "peers": "127.0.0.1:7002", "slots": 64, "state": "live", "load": 0.5}]}
struct host_list {
  std::uint64_t revision = 0;
  std::vector<published_host> hosts;
};

/// Why a host list could not be read.
struct host_list_error {
  std::string message;
};

/// An address belongs to one process at a time: of several hosts with the same, only the one whose process
/// started last stays, and of those that do not say, the one that was written last.
void keep_newest_by_address(std::vector<published_host>& hosts);

/// Reads the published form.
result<host_list, host_list_error> parse_host_list(const std::string& text);

}  // namespace nutmegarch::membership
