// Heads within the limits whose parts exceed 64 KiB, which the message containers of Boost.Beast don't hold:
// they throw, and the exception ended the process.

#include <array>
#include <exception>
#include <thread>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/server.h"

namespace nutmegarch::http {

namespace {

using tcp = boost::asio::ip::tcp;

/// Around the largest value that the library's containers hold, 65,533 bytes, and far beyond it.
constexpr std::array<std::size_t, 4> part_sizes = {65'533, 65'534, 65'536, 300'000};
constexpr std::size_t max_head_bytes = 1U << 20U;
constexpr duration timeout = std::chrono::seconds(20);

/// Answers with the sizes of the parts of the request's head. An answer to /wide has a long field itself.
class size_handler final : public request_handler {
 public:
  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    std::size_t largest_name = 0;
    std::size_t largest_value = 0;
    for (const header& field : request.fields) {
      largest_name = std::max(largest_name, field.name.size());
      largest_value = std::max(largest_value, field.value.size());
    }
    const std::string text = std::to_string(request.target.size()) + ' ' +
                             std::to_string(request.authority.size()) + ' ' + std::to_string(largest_name) +
                             ' ' + std::to_string(largest_value) + ' ' +
                             std::to_string(request.fields.size()) + ' ' + request.body;
    headers fields;
    if (request.target == "/wide") {
      fields.push_back({"X-Wide", std::string(largest_value, 'w')});
      fields.push_back({std::string(largest_value, 'n'), "v"});
    }
    answer({200, fields, text});
  }
  void on_bad_request(int status, const std::string&) override { last_bad_status = status; }

  int last_bad_status = 0;
};

/// A server whose thread takes note of an exception that would end the process.
class guarded_server {
 public:
  explicit guarded_server(const server_settings& settings) : tested_(workers_, settings, handler) {
    BOOST_REQUIRE(tested_.start("127.0.0.1:0"));
    thread_ = std::thread([this]() {
      try {
        workers_.run();
      } catch (const std::exception& thrown) {
        failure = thrown.what();
      }
    });
  }
  guarded_server(const guarded_server&) = delete;
  guarded_server& operator=(const guarded_server&) = delete;
  ~guarded_server() { stop(); }

  void stop() {
    workers_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  tcp::endpoint address() const { return *parse_address("127.0.0.1:" + std::to_string(tested_.port())); }
  void set_limits(std::size_t head_bytes) { tested_.set_limits(head_bytes, 1U << 20U, timeout); }

  /// Sends a text, shuts down the sending side and returns all that is received.
  std::string exchange(const std::string& text) const {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(address());
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(text), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string answer;
    std::array<char, 4096> buffer{};
    error = {};
    while (!error) {
      answer.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
    }
    return answer;
  }

  size_handler handler;
  /// Set before the thread ends; read after stop().
  std::string failure;

 private:
  boost::asio::io_context workers_;
  server tested_;
  std::thread thread_;
};

server_settings wide_server_settings() {
  server_settings settings;
  settings.max_head_bytes = max_head_bytes;
  return settings;
}

client_settings wide_client_settings() {
  client_settings settings;
  settings.answer_limits.max_head_bytes = max_head_bytes;
  return settings;
}

/// Sends a request; the answer, or what went wrong. An exception counts as an error of its own.
result<answer_message, std::string> send(const tcp::endpoint& address, const request_message& request) {
  boost::asio::io_context workers;
  client_pool pool(workers, address, wide_client_settings());
  result<answer_message, std::string> got = std::string("no answer");
  try {
    pool.send(request, timeout, [&got](result<answer_message, client_error> outcome) {
      if (succeeded(outcome)) {
        got = std::get<answer_message>(std::move(outcome));
      } else {
        got = std::string(name_of(std::get<client_error>(outcome)));
      }
    });
    workers.run();
  } catch (const std::exception& thrown) {
    return std::string(thrown.what());
  }
  return got;
}

std::string error_text(const result<answer_message, std::string>& got) {
  return succeeded(got) ? std::string() : std::get<std::string>(got);
}

/// A server that reads one head, keeps it, and writes a text.
class one_answer_peer {
 public:
  explicit one_answer_peer(std::string answer)
      : answer_(std::move(answer)),
        acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    thread_ = std::thread([this]() {
      tcp::socket socket = acceptor_.accept();
      boost::system::error_code ignored;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(head_), "\r\n\r\n", ignored);
      boost::asio::write(socket, boost::asio::buffer(answer_), ignored);
      socket.shutdown(tcp::socket::shutdown_send, ignored);
      std::array<char, 4096> rest{};
      while (!ignored) {
        socket.read_some(boost::asio::buffer(rest), ignored);
      }
    });
  }
  one_answer_peer(const one_answer_peer&) = delete;
  one_answer_peer& operator=(const one_answer_peer&) = delete;
  ~one_answer_peer() {
    tcp::socket wakeup_socket(context_);
    boost::system::error_code ignored;
    wakeup_socket.connect(acceptor_.local_endpoint(), ignored);
    wakeup_socket.close(ignored);
    thread_.join();
  }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  std::string answer_;
  std::string head_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

/// Reads the numbers and the body that size_handler has written.
std::string body_of(const std::string& answer) {
  const std::size_t end = answer.find("\r\n\r\n");
  return end == std::string::npos ? answer : answer.substr(end + 4);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(long_heads)

BOOST_AUTO_TEST_CASE(the_server_reads_each_part_of_a_head_up_to_its_limit) {
  for (const std::size_t size : part_sizes) {
    const std::string text(size, 'a');
    const std::string sized = std::to_string(size);
    const std::array<std::pair<std::string, std::string>, 7> cases = {{
        {"GET / HTTP/1.1\r\nHost: h\r\nCookie: " + text + "\r\nConnection: close\r\n\r\n",
         "1 1 6 " + sized + " 1 "},
        {"GET / HTTP/1.1\r\nHost: h\r\n" + text + ": v\r\nConnection: close\r\n\r\n",
         "1 1 " + sized + " 1 1 "},
        {"GET / HTTP/1.1\r\nHost: " + text + "\r\nConnection: close\r\n\r\n", "1 " + sized + " 0 0 0 "},
        {"GET /" + text.substr(1) + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", sized + " 1 0 0 0 "},
        {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, " + text + "\r\n\r\n", "1 1 0 0 0 "},
        {"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\nbody\r\n0\r\nX-T: " +
             text + "\r\n\r\n",
         "1 1 3 " + sized + " 1 body"},
        {"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\nbody\r\n0\r\n" +
             text + ": v\r\n\r\n",
         "1 1 " + sized + " 1 1 body"},
    }};
    for (std::size_t i = 0; i < cases.size(); ++i) {
      guarded_server fixture(wide_server_settings());
      const std::string answer = fixture.exchange(cases.at(i).first);
      fixture.stop();
      BOOST_TEST_CONTEXT("case " << i << ", " << size << " bytes") {
        BOOST_TEST(fixture.failure.empty(), fixture.failure);
        BOOST_TEST(body_of(answer) == cases.at(i).second);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_head_beyond_the_limit_gets_431) {
  guarded_server fixture(server_settings{});
  const std::string answer =
      fixture.exchange("GET / HTTP/1.1\r\nHost: h\r\nCookie: " + std::string(20'000, 'a') + "\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 431 ") == 0U);
}

// A limit that does not fit the library's number was cut to its lower bits.
BOOST_AUTO_TEST_CASE(a_limit_beyond_32_bits_is_not_a_small_one) {
  guarded_server fixture(server_settings{});
  fixture.set_limits(4'294'987'296);
  const std::string answer = fixture.exchange(
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nCookie: " + std::string(50'000, 'a') + "\r\n\r\n");
  BOOST_TEST(answer.find("HTTP/1.1 200 ") == 0U);
}

BOOST_AUTO_TEST_CASE(requests_and_answers_with_long_fields_pass_in_both_directions) {
  for (const std::size_t size : part_sizes) {
    guarded_server fixture(wide_server_settings());
    const std::string text(size, 'a');
    const std::array<request_message, 4> requests = {
        request_message{"GET", "/wide", {{"Cookie", text}}, "", "h"},
        request_message{"GET", "/", {{text, "v"}}, "", "h"}, request_message{"GET", "/", {}, "", text},
        request_message{"POST", '/' + text, {}, "body", "h"}};
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const result<answer_message, std::string> got = send(fixture.address(), requests.at(i));
      BOOST_TEST_CONTEXT("request " << i << ", " << size << " bytes") {
        BOOST_TEST_REQUIRE(error_text(got) == "");
        const answer_message& answer = std::get<answer_message>(got);
        BOOST_TEST(answer.status == 200);
        if (i == 0) {
          BOOST_TEST(find_header(answer.fields, "X-Wide").size() == size);
          BOOST_TEST(find_header(answer.fields, std::string(size, 'n')) == "v");
        }
      }
    }
    fixture.stop();
    BOOST_TEST(fixture.failure.empty(), fixture.failure);
  }
}

BOOST_AUTO_TEST_CASE(answers_of_a_foreign_server_with_long_parts_are_read) {
  for (const std::size_t size : part_sizes) {
    const std::string text(size, 'a');
    const std::array<std::string, 5> answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: " + text + "\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + text + ": v\r\n\r\n",
        "HTTP/1.1 200 " + text + "\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5, x=" + text + "\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-T: " + text + "\r\n\r\n"};
    for (std::size_t i = 0; i < answers.size(); ++i) {
      const one_answer_peer peer(answers.at(i));
      const result<answer_message, std::string> got = send(peer.address(), {"GET", "/", {}, "", "h"});
      BOOST_TEST_CONTEXT("answer " << i << ", " << size << " bytes") {
        BOOST_TEST_REQUIRE(error_text(got) == "");
        BOOST_TEST(std::get<answer_message>(got).status == 200);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
