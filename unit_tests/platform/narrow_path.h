#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace nutmegarch {

/// A path to a server that passes only some bytes per second towards the clients, all connections together.
class narrow_path {
 public:
  narrow_path(const boost::asio::ip::tcp::endpoint& server, double bytes_per_second)
      : server_(server),
        bytes_per_second_(bytes_per_second),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
    thread_ = std::thread([this]() { io_.run(); });
  }
  narrow_path(const narrow_path&) = delete;
  narrow_path& operator=(const narrow_path&) = delete;
  ~narrow_path() {
    io_.stop();
    thread_.join();
  }

  /// "IP:PORT" for the clients.
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  /// Bytes that were passed towards the clients.
  std::size_t passed_bytes() const { return passed_bytes_; }

 private:
  using tcp = boost::asio::ip::tcp;
  using clock = std::chrono::steady_clock;

  /// One direction of a connection.
  struct direction {
    std::shared_ptr<tcp::socket> from;
    std::shared_ptr<tcp::socket> to;
    bool is_paced = false;
    boost::asio::steady_timer timer;
    std::array<char, 2048> bytes{};
  };

  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      const std::shared_ptr<tcp::socket> client = std::make_shared<tcp::socket>(std::move(socket));
      const std::shared_ptr<tcp::socket> server = std::make_shared<tcp::socket>(io_);
      server->async_connect(server_, [this, client, server](const boost::system::error_code& failure) {
        if (!failure) {
          pass(make_direction(client, server, false));
          pass(make_direction(server, client, true));
        }
      });
      accept();
    });
  }

  std::shared_ptr<direction> make_direction(const std::shared_ptr<tcp::socket>& from,
                                            const std::shared_ptr<tcp::socket>& to, bool is_paced) {
    return std::make_shared<direction>(direction{from, to, is_paced, boost::asio::steady_timer(io_)});
  }

  void pass(const std::shared_ptr<direction>& way) {
    way->from->async_read_some(
        boost::asio::buffer(way->bytes),
        [this, way](const boost::system::error_code& error, std::size_t size) {
          if (error) {
            boost::system::error_code ignored;
            way->to->close(ignored);
            way->from->close(ignored);
            return;
          }
          const std::chrono::duration<double> length(
              way->is_paced ? static_cast<double>(size) / bytes_per_second_ : 0);
          next_ = std::max(next_, clock::now()) + std::chrono::duration_cast<clock::duration>(length);
          way->timer.expires_at(way->is_paced ? next_ : clock::now());
          way->timer.async_wait([this, way, size](const boost::system::error_code&) { write(way, size); });
        });
  }

  void write(const std::shared_ptr<direction>& way, std::size_t size) {
    boost::asio::async_write(*way->to, boost::asio::buffer(way->bytes.data(), size),
                             [this, way, size](const boost::system::error_code& error, std::size_t) {
                               passed_bytes_ += way->is_paced ? size : 0;
                               if (!error) {
                                 pass(way);
                               }
                             });
  }

  tcp::endpoint server_;
  double bytes_per_second_;
  std::atomic<std::size_t> passed_bytes_{0};
  /// When the next bytes may pass.
  clock::time_point next_{};
  boost::asio::io_context io_{1};
  tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace nutmegarch
