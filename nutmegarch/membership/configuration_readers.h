#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"
#include "nutmegarch/membership/host_list.h"

namespace nutmegarch::membership {

/// Settings of configuration_readers.
struct configuration_readers_settings {
  /// Number of nodes of a failure domain that read configurations from the store; a second one, in case the
  /// first is away.
  std::size_t per_domain = 2;
  /// A node that has not heard for this long of a reader that the store answers reads configurations itself.
  duration patience = std::chrono::seconds(2);
};

/// Decides whether this node reads configurations from the platform's store itself, or gets them from a peer
/// that does. The load it answers: a large configuration that every node of a region reads across a narrow
/// path at once. No I/O; not thread-safe.
class configuration_readers {
 public:
  explicit configuration_readers(const configuration_readers_settings& settings) : settings_(settings) {}

  /// Chooses the readers of this node's failure domain among the published hosts. A domain that is not
  /// published at all has no readers to rely on.
  void set_hosts(const std::vector<published_host>& hosts, const std::string& own_host,
                 const std::string& own_domain);

  /// A peer has heard of a reader this long ago.
  void on_peer(std::optional<duration> age, time_point now);

  /// True if this node reads configurations from the store.
  bool reads(time_point now) const {
    return is_chosen_ || !last_heard_ || now - *last_heard_ > settings_.patience;
  }

  /// How long ago this node has heard of a reader that the store answers; nullopt if never. `is_reading`:
  /// this node is one.
  std::optional<duration> age(bool is_reading, time_point now) const;

 private:
  configuration_readers_settings settings_;
  bool is_chosen_ = true;
  /// When a reader was last known to be answered by the store.
  std::optional<time_point> last_heard_;
};

}  // namespace nutmegarch::membership
