#pragma once

#include <cstdio>
#include <filesystem>
#include <list>
#include <string>
#include <sys/socket.h>

#include "unit_tests/command/served_node.h"

namespace nutmegarch::command {

inline constexpr std::size_t mebibyte = 1U << 20U;
/// Memory of the machine that the node is told of.
inline constexpr std::size_t machine_bytes = 128 * mebibyte;
inline constexpr std::size_t max_body_bytes = 4 * mebibyte;
inline constexpr int max_connections = 200;
/// Descriptors of the node beside those of its callers.
inline constexpr std::size_t other_descriptors = 100;
/// The crowd takes this long at most to do what it does; what the node does not take by then, it has not
/// taken.
inline constexpr std::chrono::seconds crowd_time{60};

/// Limit of a head where the crowd sends long ones.
inline constexpr std::size_t long_head_bytes = mebibyte;

inline served_node_options crowd_options(std::size_t answer_bytes, std::size_t max_head_bytes,
                                         std::size_t body_bytes = max_body_bytes) {
  served_node_options options;
  options.settings = R"(, "callers": {"most_body_bytes": )" + std::to_string(body_bytes) +
                     R"(, "most_connections": 200}, "memory": {"limit_mb": 128})";
  options.target_settings = R"(, "most_answer_bytes": 16777216)";
  options.resources = R"(, {"ResourceType": "Limits", "Metadata": {}, "Spec": {"MaxHeaderBytes": )" +
                      std::to_string(max_head_bytes) + R"(, "MaxBodyBytes": )" + std::to_string(body_bytes) +
                      R"(, "HeaderTimeoutMs": 60000, "IdleTimeoutMs": 60000}})";
  options.target.max_head_bytes = 2 * max_head_bytes;
  options.answer_bytes = answer_bytes;
  options.target.max_body_bytes = body_bytes;
  return options;
}

/// A caller of the crowd: writes what it is told and keeps its connection open. It stops when the node closes
/// it.
class crowd_member {
 public:
  explicit crowd_member(const node_files& files) : socket_(io_) {
    const boost::asio::ip::tcp::endpoint address = *http::parse_address(files.callers());
    socket_.open(address.protocol(), error_);
    // Takes little of what is sent to it.
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(4096), error_);
    socket_.connect(address, error_);
    is_open_ = !error_;
    const timeval limit = {crowd_time.count(), 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  void write(const std::string& text) {
    std::size_t sent = 0;
    while (is_open_ && sent < text.size()) {
      // Not by the socket's own functions, which know no longest time.
      const ssize_t taken =
          ::send(socket_.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      is_open_ = taken > 0;
      sent += is_open_ ? static_cast<std::size_t>(taken) : 0;
    }
  }
  /// Reads a part of an answer.
  void read_some() {
    char part[16];
    is_open_ = is_open_ && ::recv(socket_.native_handle(), part, sizeof(part), 0) > 0;
  }
  /// The status of an answer that is short; 0 if there is none.
  unsigned read_status() {
    boost::beast::flat_buffer buffer;
    boost::beast::http::response<boost::beast::http::string_body> answer;
    boost::beast::http::read(socket_, buffer, answer, error_);
    return error_ ? 0 : answer.result_int();
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::system::error_code error_;
  /// False once the node has closed the connection or taken nothing for crowd_time.
  bool is_open_ = false;
};

inline std::string head_of(const std::string& method, const std::string& framing) {
  static std::atomic<int> last{0};
  return method + " /look HTTP/1.1\r\nHost: shop.example\r\nNutmegarch-Attempt-Id: c" +
         std::to_string(++last) + "\r\nNutmegarch-Deadline-Ms: 20000\r\n" + framing + "\r\n";
}

inline std::string chunk_of(std::size_t size) {
  char length[20];
  std::snprintf(length, sizeof(length), "%zx\r\n", size);
  return length + std::string(size, 'b') + "\r\n";
}

inline std::size_t open_descriptors(const child_process& process) {
  std::size_t count = 0;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process.pid()) + "/fd")) {
    count += entry.path().empty() ? 0 : 1;
  }
  return count;
}

/// Status of an ordinary request at a node.
inline unsigned ordinary_status(const node_files& files) {
  caller_connection ordinary(files);
  ordinary.ask(1);
  return ordinary.last_status;
}

/// Waits until the node has taken what it takes: its memory has not grown for a while.
inline void wait_until_settled(child_process& process) {
  constexpr int quiet_looks = 10;
  std::size_t most = 0;
  int quiet = 0;
  BOOST_TEST(wait_for([&]() {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const std::size_t now = process.is_running() ? process.most_memory() : 0;
    quiet = now == most ? quiet + 1 : 0;
    most = now;
    return quiet >= quiet_looks;
  }));
}

/// What must hold of a process while the crowd stays.
inline void check_memory_and_descriptors(child_process& process) {
  wait_until_settled(process);
  BOOST_REQUIRE(process.is_running());
  BOOST_TEST_MESSAGE("most memory " << process.most_memory());
  BOOST_TEST(process.most_memory() <= machine_bytes);
  BOOST_TEST(open_descriptors(process) <= max_connections + other_descriptors);
}

/// The same, and callers of its node are answered.
inline void check_process(child_process& process, const node_files& files) {
  check_memory_and_descriptors(process);
  // An ordinary caller comes again when it is refused.
  BOOST_TEST(wait_for([&]() { return ordinary_status(files) == 200; }));
  BOOST_TEST(process.is_running());
}

/// A node and the crowd that besets it.
class beset_node : public served_node {
 public:
  explicit beset_node(std::size_t answer_bytes = 5000, std::size_t max_head_bytes = 16384)
      : beset_node(crowd_options(answer_bytes, max_head_bytes)) {}
  explicit beset_node(const served_node_options& options) : served_node(options) {}

  crowd_member& add_member() { return add_member(*this); }
  crowd_member& add_member(const node_files& files) {
    members_.emplace_back(files);
    return members_.back();
  }

  void check() { check_process(*process, *this); }

 private:
  std::list<crowd_member> members_;
};

}  // namespace nutmegarch::command
