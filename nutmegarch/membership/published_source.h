#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/message.h"
#include "nutmegarch/core/result.h"
#include "nutmegarch/membership/host_list.h"
#include "nutmegarch/membership/published_reader.h"
#include "nutmegarch/routes/route.h"

namespace nutmegarch::membership {

/// Answer of the platform's store to a request.
struct store_answer {
  std::vector<published_item> items;
  /// Key after which the next page begins; empty after the last page.
  std::string next_key;
  /// Position of the store at which the items were read. Its era is 0 if the store did not name one.
  store_position position;
};

/// Errors of a request to the platform's store.
enum class store_error : std::uint8_t {
  /// No connection could be established, or the answer was invalid.
  unavailable,
  /// The connection ended before an answer.
  connection_lost,
  /// No answer came in time.
  timed_out,
  /// The store rejected the request or did not process it.
  refused,
  /// The answer names no valid era.
  era_invalid,
  /// The store no longer has the changes after the requested revision.
  history_lost
};

/// The error's name in logs.
const char* name_of(store_error error);

/// Reason why a published value could not be parsed, for people.
struct published_value_error {
  std::string message;
};

/// Interface to the platform's store and to the format of its entries. Implemented by the platform adapter.
class published_source {
 public:
  using callback = std::function<void(const result<store_answer, store_error>&)>;

  published_source() = default;
  published_source(const published_source&) = delete;
  published_source& operator=(const published_source&) = delete;
  virtual ~published_source() = default;

  /// Sends a request. `done` is called once, on a worker thread, unless drop_connections() is called before.
  virtual void send(const store_request& request, callback done) = 0;
  /// How far the answer to the last request has arrived; nothing once the request has ended.
  virtual answer_progress progress() const = 0;
  /// Closes all connections, for use when they may be dead. The last request is abandoned when it is still in
  /// progress.
  virtual void drop_connections() = 0;

  /// True for the key of the operator's configuration.
  virtual bool is_configuration(const std::string& key) const = 0;
  /// Parses the operator's configuration.
  virtual result<routes::route_configuration, published_value_error> read_configuration(
      const std::string& value) const = 0;
  /// Parses the entry of a target. The entry does not contain the region and the port for peers, so these are
  /// not set.
  virtual result<published_host, published_value_error> read_host(const published_item& item) const = 0;
};

}  // namespace nutmegarch::membership
