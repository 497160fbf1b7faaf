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
  /// Written once, after a part of the request has been read.
  std::string prefix;
  /// Written repeatedly until the client closes the connection.
  std::string filler;
  /// Delay before each filler.
  duration filler_delay{};
  /// Writes without waiting for a request.
  bool is_unsolicited = false;
  /// If not empty, written in pieces on the first connection instead of prefix and filler; the connection is
  /// then closed.
  std::string first_answer = {};
  /// Maximum number of bytes on one connection, so that a client without limits does not exhaust memory. The
  /// connection stays open after them.
  std::size_t max_bytes = 64U << 20U;
};

/// A server that writes an endless answer on each connection until the client closes it.
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
    is_stopping_ = true;
    tcp::socket wakeup_socket(context_);
    boost::system::error_code ignored;
    wakeup_socket.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (connection& open : connections_) {
      open.socket.shutdown(tcp::socket::shutdown_both, ignored);
      open.thread.join();
    }
  }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t written_bytes() const { return written_bytes_; }
  int closed_connections() const { return closed_connections_; }

  /// Waits up to ten seconds for the client to close this many connections; false if it has not.
  bool wait_for_closed(int count) const {
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (closed_connections_ < count && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return closed_connections_ >= count;
  }

 private:
  using tcp = boost::asio::ip::tcp;

  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::thread thread;
  };

  void accept() {
    while (!is_stopping_) {
      boost::system::error_code error;
      tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      if (error || is_stopping_) {
        return;
      }
      // A small send buffer keeps the number of written bytes close to what the client has read.
      socket.set_option(boost::asio::socket_base::send_buffer_size(16 << 10), error);
      socket.set_option(tcp::no_delay(true), error);
      connections_.emplace_back(std::move(socket));
      connection& added = connections_.back();
      added.thread = std::thread([this, &added]() { serve(added.socket); });
    }
  }

  void write_first_answer(tcp::socket& socket) {
    constexpr std::size_t piece_bytes = 64U << 10U;
    boost::system::error_code error;
    for (std::size_t begin = 0; begin < script_.first_answer.size() && !error; begin += piece_bytes) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const std::size_t size = std::min(piece_bytes, script_.first_answer.size() - begin);
      boost::asio::write(socket, boost::asio::buffer(script_.first_answer.data() + begin, size), error);
    }
    socket.shutdown(tcp::socket::shutdown_send, error);
  }

  void serve(tcp::socket& socket) {
    boost::system::error_code error;
    std::array<char, 4096> buffer{};
    if (!script_.is_unsolicited) {
      socket.read_some(boost::asio::buffer(buffer), error);
    }
    if (!script_.first_answer.empty() && !has_sent_first_answer_.exchange(true)) {
      write_first_answer(socket);
      return;
    }
    std::size_t size = boost::asio::write(socket, boost::asio::buffer(script_.prefix), error);
    written_bytes_ += size;
    while (!error && !is_stopping_ && !script_.filler.empty() && size < script_.max_bytes) {
      std::this_thread::sleep_for(script_.filler_delay);
      const std::size_t done = boost::asio::write(socket, boost::asio::buffer(script_.filler), error);
      size += done;
      written_bytes_ += done;
    }
    while (!error) {
      socket.read_some(boost::asio::buffer(buffer), error);
    }
    closed_connections_ += is_stopping_ ? 0 : 1;
  }

  endless_script script_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> has_sent_first_answer_{false};
  std::atomic<std::size_t> written_bytes_{0};
  std::atomic<int> closed_connections_{0};
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::list<connection> connections_;
  std::thread thread_;
};

}  // namespace nutmegarch::http
