#include "nutmegarch/platform/configuration_client.h"

#include <charconv>
#include <optional>
#include <utility>

namespace nutmegarch::platform {

namespace {

/// Time for an answer beyond the time that a watch waits.
constexpr duration read_timeout = std::chrono::seconds(2);

http::client_settings make_pool_settings() {
  http::client_settings settings;
  settings.max_connections = 16;
  settings.max_idle_connections = 4;
  // A value has up to 1 MiB.
  settings.max_body_bytes = (1U << 20U) + 1024;
  return settings;
}

/// Reads the revision from an ETag: a decimal number in double quotes.
std::optional<std::uint64_t> parse_revision(const std::string& etag) {
  if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') {
    return std::nullopt;
  }
  std::uint64_t revision = 0;
  const std::from_chars_result parsed =
      std::from_chars(etag.data() + 1, etag.data() + etag.size() - 1, revision);
  const bool is_complete = parsed.ec == std::errc() && parsed.ptr == etag.data() + etag.size() - 1;
  return is_complete ? std::optional<std::uint64_t>(revision) : std::nullopt;
}

result<configuration_value, configuration_error> to_value(
    const result<answer_message, http::client_error>& outcome) {
  if (!succeeded(outcome)) {
    return configuration_error::unavailable;
  }
  const answer_message& answer = std::get<answer_message>(outcome);
  if (answer.status == 404) {
    return configuration_error::absent;
  }
  const std::optional<std::uint64_t> revision = parse_revision(find_header(answer.fields, "ETag"));
  if (!revision || (answer.status != 200 && answer.status != 304)) {
    return configuration_error::unavailable;
  }
  return configuration_value{answer.body, *revision, answer.status == 304};
}

}  // namespace

configuration_client::configuration_client(boost::asio::io_context& workers,
                                           const boost::asio::ip::tcp::endpoint& address)
    : pool_(workers, address, make_pool_settings()) {}

void configuration_client::read(const std::string& key, callback done) {
  get(key, {}, read_timeout, std::move(done));
}

void configuration_client::watch(const std::string& key, std::uint64_t revision, duration max_wait,
                                 callback done) {
  const std::int64_t wait_seconds = std::chrono::duration_cast<std::chrono::seconds>(max_wait).count();
  get(key,
      {{"If-None-Match", '"' + std::to_string(revision) + '"'},
       {"Prefer", "wait=" + std::to_string(wait_seconds)}},
      max_wait + read_timeout, std::move(done));
}

void configuration_client::get(const std::string& key, headers fields, duration timeout, callback done) {
  request_message request;
  request.method = "GET";
  request.target = "/v1/values/" + key;
  request.fields = std::move(fields);
  pool_.send(request, timeout,
             [done = std::move(done)](const result<answer_message, http::client_error>& outcome) {
               done(to_value(outcome));
             });
}

}  // namespace nutmegarch::platform
