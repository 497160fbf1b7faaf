#include "nutmegarch/command/command_line.h"

#include <array>
#include <fstream>
#include <iostream>

#include "nutmegarch/command/commands.h"
#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"

namespace nutmegarch::command {

namespace {

constexpr duration http_get_timeout = std::chrono::seconds(3);
/// Bytes of a file that one read call asks for.
constexpr std::size_t chunk_bytes = 16U << 10U;

}  // namespace

std::optional<int> parse(TCLAP::CmdLine& line, const std::string& name,
                         const std::vector<std::string>& args) {
  line.setExceptionHandling(false);
  std::vector<std::string> tclap_args = {"nutmegarch " + name};
  tclap_args.insert(tclap_args.end(), args.begin(), args.end());
  try {
    line.parse(tclap_args);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? done : bad_usage;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "nutmegarch " << name << ": " << error.error() << ' ' << error.argId() << '\n';
    return bad_usage;
  }
  return std::nullopt;
}

std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string content;
  std::array<char, chunk_bytes> chunk{};
  while (file.read(chunk.data(), chunk.size()) || file.gcount() > 0) {
    content.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    if (content.size() > max_bytes) {
      return std::nullopt;
    }
  }
  return content;
}

std::optional<std::string> http_get(const std::string& address, const std::string& path) {
  const std::optional<boost::asio::ip::tcp::endpoint> endpoint = http::parse_address(address);
  if (!endpoint) {
    return std::nullopt;
  }
  boost::asio::io_context context;
  http::client_settings settings;
  settings.max_body_bytes = 64U << 20U;
  http::client_pool pool(context, *endpoint, settings);
  request_message request;
  request.method = "GET";
  request.target = path;
  std::optional<std::string> body;
  pool.send(request, http_get_timeout, [&body](const result<answer_message, http::client_error>& outcome) {
    if (succeeded(outcome) && std::get<answer_message>(outcome).status == 200) {
      body = std::get<answer_message>(outcome).body;
    }
  });
  context.run();
  return body;
}

}  // namespace nutmegarch::command
