#pragma once

#include <functional>
#include <string>

#include "nutmegarch/core/result.h"
#include "nutmegarch/http/client_pool.h"

namespace nutmegarch::platform {

/// One value of the configuration service.
struct configuration_value {
  std::string body;
  /// Revision of the configuration service at which the value was written.
  std::uint64_t revision = 0;
  /// The value still has the revision that the request named; `body` is empty.
  bool is_unchanged = false;
};

/// Errors of the configuration service.
enum class configuration_error : std::uint8_t {
  /// The service did not answer, or the answer was not understood.
  unavailable,
  /// The key has no value.
  absent
};

/// Reads and watches values of the platform's configuration service: GET /v1/values/KEY with the revision as
/// ETag; a watch is a GET with If-None-Match and "Prefer: wait=SECONDS". The client never writes. All
/// functions may be called from any thread; callbacks run once, on a worker.
class configuration_client {
 public:
  using callback = std::function<void(const result<configuration_value, configuration_error>&)>;

  /// `workers` runs the callbacks and must outlive the client.
  configuration_client(boost::asio::io_context& workers, const boost::asio::ip::tcp::endpoint& address);

  /// Reads the current value of `key`.
  void read(const std::string& key, callback done);

  /// Waits up to `max_wait`, in whole seconds, for a value of another revision than `revision`.
  void watch(const std::string& key, std::uint64_t revision, duration max_wait, callback done);

 private:
  void get(const std::string& key, headers fields, duration timeout, callback done);

  http::client_pool pool_;
};

}  // namespace nutmegarch::platform
