// Crowds of callers that stay inside the limits on a single request, but not inside the memory of the
// machine.

#include <list>

#include "unit_tests/command/served_node.h"

namespace nutmegarch::command {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t mebibyte = 1U << 20U;
/// Memory of the machine that the node is told of.
constexpr std::size_t machine_bytes = 128 * mebibyte;
constexpr std::size_t max_body_bytes = 4 * mebibyte;
constexpr int max_connections = 200;
/// Descriptors of the node beside those of its callers.
constexpr std::size_t other_descriptors = 100;
/// The crowd takes this long at most to do what it does; what the node does not take by then, it has not
/// taken.
constexpr std::chrono::seconds crowd_time{60};

/// Limit of a head where the crowd sends long ones.
constexpr std::size_t long_head_bytes = mebibyte;

served_node_options crowd_options(std::size_t answer_bytes, std::size_t max_head_bytes) {
  served_node_options options;
  options.settings = R"(, "callers": {"most_body_bytes": 4194304, "most_connections": 200},
      "memory": {"limit_mb": 128})";
  options.target_settings = R"(, "most_answer_bytes": 16777216)";
  options.resources = R"(, {"ResourceType": "Limits", "Metadata": {}, "Spec": {"MaxHeaderBytes": )" +
                      std::to_string(max_head_bytes) + R"(,
      "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 60000, "IdleTimeoutMs": 60000}})";
  options.target.max_head_bytes = 2 * max_head_bytes;
  options.answer_bytes = answer_bytes;
  options.target.max_body_bytes = max_body_bytes;
  return options;
}

/// A caller of the crowd: writes what it is told and keeps its connection open. It stops when the node closes
/// it.
class crowd_member {
 public:
  explicit crowd_member(const node_files& files) : socket_(io_) {
    const tcp::endpoint address = *http::parse_address(files.callers());
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

 private:
  boost::asio::io_context io_;
  tcp::socket socket_;
  boost::system::error_code error_;
  /// False once the node has closed the connection or taken nothing for crowd_time.
  bool is_open_ = false;
};

std::string head_of(const std::string& method, const std::string& framing) {
  static std::atomic<int> last{0};
  return method + " /look HTTP/1.1\r\nHost: shop.example\r\nNutmegarch-Attempt-Id: c" +
         std::to_string(++last) + "\r\nNutmegarch-Deadline-Ms: 20000\r\n" + framing + "\r\n";
}

std::string chunk_of(std::size_t size) {
  char length[20];
  std::snprintf(length, sizeof(length), "%zx\r\n", size);
  return length + std::string(size, 'b') + "\r\n";
}

std::size_t open_descriptors(const child_process& process) {
  std::size_t count = 0;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process.pid()) + "/fd")) {
    count += entry.path().empty() ? 0 : 1;
  }
  return count;
}

/// A node and the crowd that besets it.
class beset_node : public served_node {
 public:
  explicit beset_node(std::size_t answer_bytes = 5000, std::size_t max_head_bytes = 16384)
      : served_node(crowd_options(answer_bytes, max_head_bytes)) {}

  crowd_member& add_member() {
    members_.emplace_back(*this);
    return members_.back();
  }

  /// What must hold while the crowd stays.
  void check() {
    wait_until_settled();
    BOOST_REQUIRE(process->is_running());
    BOOST_TEST_MESSAGE("most memory " << process->most_memory());
    BOOST_TEST(process->most_memory() <= machine_bytes);
    BOOST_TEST(open_descriptors(*process) <= max_connections + other_descriptors);
    // An ordinary caller comes again when it is refused.
    BOOST_TEST(wait_for([this]() {
      caller_connection ordinary(*this);
      ordinary.ask(1);
      return ordinary.last_status == 200;
    }));
    BOOST_TEST(process->is_running());
  }

 private:
  /// Waits until the node has taken what it takes: its memory has not grown for a while.
  void wait_until_settled() {
    constexpr int quiet_looks = 10;
    std::size_t most = 0;
    int quiet = 0;
    BOOST_TEST(wait_for([&]() {
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      const std::size_t now = process->is_running() ? process->most_memory() : 0;
      quiet = now == most ? quiet + 1 : 0;
      most = now;
      return quiet >= quiet_looks;
    }));
  }

  std::list<crowd_member> members_;
};

/// A node whose answers are long.
class node_with_long_answers : public beset_node {
 public:
  node_with_long_answers() : beset_node(8 * mebibyte) {}
};

/// A node whose callers may send long heads.
class node_with_long_heads : public beset_node {
 public:
  node_with_long_heads() : beset_node(5000, long_head_bytes) {}
};

constexpr int large_crowd = 64;

}  // namespace

BOOST_AUTO_TEST_SUITE(crowds)

BOOST_FIXTURE_TEST_CASE(large_bodies_at_once, beset_node) {
  const std::string body(max_body_bytes, 'b');
  std::vector<std::thread> senders;
  for (int i = 0; i < large_crowd; ++i) {
    crowd_member& member = add_member();
    senders.emplace_back([&member, &body]() {
      member.write(head_of("POST", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
    });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  check();
}

BOOST_FIXTURE_TEST_CASE(large_bodies_piece_by_piece_that_stop_short, beset_node) {
  constexpr int pieces = 16;
  const std::string piece(max_body_bytes / pieces, 'b');
  std::vector<crowd_member*> crowd;
  for (int i = 0; i < large_crowd; ++i) {
    crowd.push_back(&add_member());
    crowd.back()->write(head_of("POST", "Content-Length: " + std::to_string(max_body_bytes) + "\r\n"));
  }
  for (int i = 0; i < pieces; ++i) {
    for (crowd_member* const member : crowd) {
      member->write(i + 1 < pieces ? piece : piece.substr(1));
    }
  }
  check();
}

BOOST_FIXTURE_TEST_CASE(large_chunks_that_stop_short, beset_node) {
  constexpr int pieces = 15;
  const std::string piece = chunk_of(max_body_bytes / 16);
  std::vector<crowd_member*> crowd;
  for (int i = 0; i < large_crowd; ++i) {
    crowd.push_back(&add_member());
    crowd.back()->write(head_of("POST", "Transfer-Encoding: chunked\r\n"));
  }
  for (int i = 0; i < pieces; ++i) {
    for (crowd_member* const member : crowd) {
      member->write(piece);
    }
  }
  check();
}

BOOST_FIXTURE_TEST_CASE(small_chunks_that_stop_short, beset_node) {
  constexpr std::size_t chunk_bytes = 16;
  constexpr int pieces = 16;
  std::string piece;
  for (std::size_t i = 0; i < mebibyte / pieces / chunk_bytes; ++i) {
    piece += chunk_of(chunk_bytes);
  }
  std::vector<crowd_member*> crowd;
  for (int i = 0; i < max_connections - 10; ++i) {
    crowd.push_back(&add_member());
    crowd.back()->write(head_of("POST", "Transfer-Encoding: chunked\r\n"));
  }
  for (int i = 0; i < pieces; ++i) {
    for (crowd_member* const member : crowd) {
      member->write(piece);
    }
  }
  check();
}

BOOST_FIXTURE_TEST_CASE(long_answers_that_nobody_reads, node_with_long_answers) {
  constexpr int readers = 40;
  for (int i = 0; i < readers; ++i) {
    crowd_member& member = add_member();
    member.write(head_of("GET", ""));
    member.read_some();
  }
  check();
}

BOOST_FIXTURE_TEST_CASE(connections_that_send_nothing_or_half_a_head, beset_node) {
  for (int i = 0; i < 2 * max_connections; ++i) {
    crowd_member& member = add_member();
    if (i % 2 == 0) {
      member.write("GET /look HTTP/1.1\r\nHost: shop.exam");
    }
  }
  check();
}

// Heads count like bodies: one field of each member is as long as the limit bears.
BOOST_FIXTURE_TEST_CASE(long_heads_that_stop_short, node_with_long_heads) {
  constexpr int pieces = 16;
  const std::string piece(long_head_bytes / pieces, 'h');
  std::vector<crowd_member*> crowd;
  for (int i = 0; i < max_connections - 10; ++i) {
    crowd.push_back(&add_member());
    crowd.back()->write("GET /look HTTP/1.1\r\nHost: shop.example\r\nCookie: ");
  }
  for (int i = 0; i + 1 < pieces; ++i) {
    for (crowd_member* const member : crowd) {
      member->write(piece);
    }
  }
  check();
}

BOOST_FIXTURE_TEST_CASE(long_heads_of_many_fields_at_once, node_with_long_heads) {
  std::string fields;
  while (fields.size() < long_head_bytes - 1024) {
    fields += "X-A: " + std::string(100, 'h') + "\r\n";
  }
  std::vector<std::thread> senders;
  for (int i = 0; i < max_connections - 10; ++i) {
    crowd_member& member = add_member();
    senders.emplace_back([&member, &fields]() { member.write(head_of("GET", fields)); });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::command
