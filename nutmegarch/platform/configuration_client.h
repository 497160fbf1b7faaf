#pragma once

#include <functional>
#include <string>

#include "nutmegarch/core/result.h"
#include "nutmegarch/http/client_pool.h"

namespace nutmegarch::platform {

/// One value of the configuration service.
struct configuration_value {
  std::string body;
  /// Revision of the service at which the value was written.
  std::uint64_t revision = 0;
  /// The value is the one that the reader named; `body` is empty.
  bool is_unchanged = false;
};

/// Errors of the configuration service.
enum class configuration_error : std::uint8_t {
  /// No answer came, or one that makes no sense.
  unavailable,
  /// There is no value under the key.
  absent
};

/// Reads and watches values of the platform's configuration service: GET /v1/values/KEY with the revision as
/// ETag; a watch is a GET with If-None-Match and "Prefer: wait=SECONDS". Nothing is ever written.
class configuration_client {
 public:
  using callback = std::function<void(const result<configuration_value, configuration_error>&)>;

  configuration_client(boost::asio::io_context& workers, const boost::asio::ip::tcp::endpoint& address);

  /// Reads a value once.
  void read(const std::string& key, callback done);

  /// Waits up to `patience` for a value that is not of `revision`.
  void watch(const std::string& key, std::uint64_t revision, duration patience, callback done);

 private:
  void get(const std::string& key, headers fields, duration timeout, callback done);

  http::client_pool pool_;
};

}  // namespace nutmegarch::platform
