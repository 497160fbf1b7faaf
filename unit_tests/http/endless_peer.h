#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "nutmegarch/core/time.h"

namespace nutmegarch::http {

/// What an endless_peer writes on each connection.
struct endless_script {
  /// Written once, after some of the request has come.
  std::string prefix;
  /// Written again and again until the other end closes.
  std::string filler;
  /// Pause before each filler.
  duration pause{};
  /// Writes without having been asked.
  bool starts_unasked = false;
  /// Written in pieces on the first connection, instead of the rest, which is then closed.
  std::string first_answer = {};
  /// Most bytes on one connection, so that a reader without bounds doesn't take all memory. The connection
  /// then stays open.
  std::size_t most_bytes = 64U << 20U;
};

/// Accepts connections and writes on each of them until the other end closes it.
class endless_peer {
 public:
  explicit endless_peer(
      endless_script script,
      const boost::asio::ip::tcp::endpoint& address = {boost::asio::ip::address_v4::loopback(), 0})
      : script_(std::move(script)), acceptor_(context_, address) {
    thread_ = std::thread([this]() { accept(); });
  }
  endless_peer(const endless_peer&) = delete;
  endless_peer& operator=(const endless_peer&) = delete;
  ~endless_peer() {
    is_over_ = true;
    tcp::socket waker(context_);
    boost::system::error_code ignored;
    waker.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (connection& open : connections_) {
      open.socket.shutdown(tcp::socket::shutdown_both, ignored);
      open.thread.join();
    }
  }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t written() const { return written_; }
  int closed() const { return closed_; }

  /// True when the other end has closed this many connections in time.
  bool wait_for_closed(int count) const {
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (closed_ < count && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return closed_ >= count;
  }

 private:
  using tcp = boost::asio::ip::tcp;

  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::thread thread;
  };

  void accept() {
    while (!is_over_) {
      boost::system::error_code error;
      tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      if (error || is_over_) {
        return;
      }
      // Little room in the system, so that what was written is about what was read.
      socket.set_option(boost::asio::socket_base::send_buffer_size(16 << 10), error);
      socket.set_option(tcp::no_delay(true), error);
      connections_.emplace_back(std::move(socket));
      connection& made = connections_.back();
      made.thread = std::thread([this, &made]() { serve(made.socket); });
    }
  }

  void write_whole(tcp::socket& socket) {
    constexpr std::size_t piece = 64U << 10U;
    boost::system::error_code error;
    for (std::size_t begin = 0; begin < script_.first_answer.size() && !error; begin += piece) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const std::size_t size = std::min(piece, script_.first_answer.size() - begin);
      boost::asio::write(socket, boost::asio::buffer(script_.first_answer.data() + begin, size), error);
    }
    socket.shutdown(tcp::socket::shutdown_send, error);
  }

  void serve(tcp::socket& socket) {
    boost::system::error_code error;
    std::array<char, 4096> buffer{};
    if (!script_.starts_unasked) {
      socket.read_some(boost::asio::buffer(buffer), error);
    }
    if (!script_.first_answer.empty() && !has_answered_.exchange(true)) {
      write_whole(socket);
      return;
    }
    std::size_t size = boost::asio::write(socket, boost::asio::buffer(script_.prefix), error);
    written_ += size;
    while (!error && !is_over_ && !script_.filler.empty() && size < script_.most_bytes) {
      std::this_thread::sleep_for(script_.pause);
      const std::size_t done = boost::asio::write(socket, boost::asio::buffer(script_.filler), error);
      size += done;
      written_ += done;
    }
    while (!error) {
      socket.read_some(boost::asio::buffer(buffer), error);
    }
    closed_ += is_over_ ? 0 : 1;
  }

  endless_script script_;
  std::atomic<bool> is_over_{false};
  std::atomic<bool> has_answered_{false};
  std::atomic<std::size_t> written_{0};
  std::atomic<int> closed_{0};
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::list<connection> connections_;
  std::thread thread_;
};

}  // namespace nutmegarch::http
