#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/result.h"
#include "nutmegarch/membership/host_list.h"
#include "nutmegarch/membership/published_reader.h"
#include "nutmegarch/routes/route.h"

namespace nutmegarch::membership {

/// What came of a request to the platform's store.
struct store_answer {
  std::vector<published_item> items;
  /// Key after which the next page begins; empty after the last page.
  std::string next_key;
  std::uint64_t revision = 0;
};

/// Errors of the platform's store.
enum class store_error : std::uint8_t {
  /// No answer came, or one that makes no sense.
  unavailable,
  /// The store turned this node away, or did nothing.
  refused,
  /// The history that was asked for is gone.
  history_lost
};

/// Why a published value could not be read.
struct published_value_error {
  std::string message;
};

/// The platform's store, and how its entries are written. Implemented by the platform's adapter.
class published_source {
 public:
  using callback = std::function<void(const result<store_answer, store_error>&)>;

  published_source() = default;
  published_source(const published_source&) = delete;
  published_source& operator=(const published_source&) = delete;
  virtual ~published_source() = default;

  /// Sends a request; the callback runs once, on a worker.
  virtual void send(const store_request& request, callback done) = 0;
  /// Closes connections, since they may be dead. Open requests fail.
  virtual void drop_connections() = 0;

  /// True for the key of the operator's configuration.
  virtual bool is_configuration(const std::string& key) const = 0;
  /// Reads the operator's configuration.
  virtual result<routes::route_configuration, published_value_error> read_configuration(
      const std::string& value) const = 0;
  /// Reads the entry of a target. Its region and its peers' port are not published.
  virtual result<published_host, published_value_error> read_host(const published_item& item) const = 0;
};

}  // namespace nutmegarch::membership
