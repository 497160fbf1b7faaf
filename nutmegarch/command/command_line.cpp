#include "nutmegarch/command/command_line.h"

#include <array>
#include <fstream>
#include <iostream>

#include "nutmegarch/command/commands.h"
#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"

namespace nutmegarch::command {

namespace {

constexpr duration get_timeout = std::chrono::seconds(3);
/// Bytes of a file that are read at once.
constexpr std::size_t read_piece = 16U << 10U;

}  // namespace

std::optional<int> parse(TCLAP::CmdLine& line, const std::string& name,
                         const std::vector<std::string>& words) {
  line.setExceptionHandling(false);
  std::vector<std::string> arguments = {"nutmegarch " + name};
  arguments.insert(arguments.end(), words.begin(), words.end());
  try {
    line.parse(arguments);
  } catch (const TCLAP::ExitException& ended) {
    return ended.getExitStatus() == 0 ? done : bad_usage;
  } catch (const TCLAP::ArgException& mistake) {
    std::cerr << "nutmegarch " << name << ": " << mistake.error() << ' ' << mistake.argId() << '\n';
    return bad_usage;
  }
  return std::nullopt;
}

std::optional<std::string> read_file(const std::string& path, std::size_t most_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string content;
  std::array<char, read_piece> piece{};
  while (file.read(piece.data(), piece.size()) || file.gcount() > 0) {
    content.append(piece.data(), static_cast<std::size_t>(file.gcount()));
    if (content.size() > most_bytes) {
      return std::nullopt;
    }
  }
  return content;
}

std::optional<std::string> get(const std::string& address, const std::string& path) {
  const std::optional<boost::asio::ip::tcp::endpoint> endpoint = http::parse_address(address);
  if (!endpoint) {
    return std::nullopt;
  }
  boost::asio::io_context workers;
  http::client_settings settings;
  settings.max_body_bytes = 64U << 20U;
  http::client_pool pool(workers, *endpoint, settings);
  request_message request;
  request.method = "GET";
  request.target = path;
  std::optional<std::string> body;
  pool.send(request, get_timeout, [&body](const result<answer_message, http::client_error>& outcome) {
    if (succeeded(outcome) && std::get<answer_message>(outcome).status == 200) {
      body = std::get<answer_message>(outcome).body;
    }
  });
  workers.run();
  return body;
}

}  // namespace nutmegarch::command
