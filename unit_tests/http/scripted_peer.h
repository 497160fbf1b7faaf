#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace nutmegarch::http {

/// What a scripted_peer does after it has read a request.
struct scripted_reply {
  enum class next { keep, close, reset };

  /// Written as it is.
  std::string text;
  next then = next::keep;
};

/// A server that answers each request with the bytes that its script returns. Each connection has a thread.
class scripted_peer {
 public:
  using request_type = boost::beast::http::request<boost::beast::http::string_body>;
  /// `connection` and `request` count from 1; `request` counts the requests on its connection.
  using script = std::function<scripted_reply(int connection, int request, const request_type& content)>;

  explicit scripted_peer(
      script replies,
      const boost::asio::ip::tcp::endpoint& address = {boost::asio::ip::address_v4::loopback(), 0})
      : script_(std::move(replies)), acceptor_(context_, address) {
    thread_ = std::thread([this]() { accept(); });
  }
  scripted_peer(const scripted_peer&) = delete;
  scripted_peer& operator=(const scripted_peer&) = delete;
  ~scripted_peer() {
    is_stopping_ = true;
    tcp::socket wakeup_socket(context_);
    boost::system::error_code ignored;
    wakeup_socket.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (connection& open : connections_) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open.socket.shutdown(tcp::socket::shutdown_both, ignored);
      }
      open.thread.join();
    }
  }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  int connection_count() const { return connection_count_; }

 private:
  using tcp = boost::asio::ip::tcp;

  struct connection {
    tcp::socket socket;
    std::thread thread;
  };

  void accept() {
    while (!is_stopping_) {
      boost::system::error_code error;
      tcp::socket socket = acceptor_.accept(error);
      if (error || is_stopping_) {
        continue;
      }
      connection& added = connections_.emplace_back(connection{std::move(socket), {}});
      const int number = ++connection_count_;
      added.thread = std::thread([this, &added, number]() { serve(added.socket, number); });
    }
  }

  void serve(tcp::socket& socket, int number) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (int count = 1; !error; ++count) {
      request_type content;
      boost::beast::http::read(socket, buffer, content, error);
      if (error) {
        break;
      }
      const scripted_reply reply = script_(number, count, content);
      boost::asio::write(socket, boost::asio::buffer(reply.text), error);
      if (reply.then == scripted_reply::next::keep) {
        continue;
      }
      if (reply.then == scripted_reply::next::reset) {
        // A reset discards what the client has not read, so the client gets some time.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      }
      break;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    socket.close(error);
  }

  script script_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> connection_count_{0};
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
  /// Guards the ends of the sockets.
  std::mutex mutex_;
  std::list<connection> connections_;
};

}  // namespace nutmegarch::http
