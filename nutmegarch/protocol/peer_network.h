#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "nutmegarch/core/result.h"
#include "nutmegarch/protocol/peer_messages.h"

namespace nutmegarch::protocol {

/// What a node does for its peers. Called on the network's thread; must not block.
class peer_service {
 public:
  peer_service() = default;
  peer_service(const peer_service&) = delete;
  peer_service& operator=(const peer_service&) = delete;
  virtual ~peer_service() = default;

  /// A call has arrived. It is answered by peer_network::answer() with this number.
  virtual void on_call(std::uint64_t exchange, peer_call call) = 0;
  /// The peer no longer waits for the answer.
  virtual void on_cancel(std::uint64_t exchange) = 0;
  /// A peer asks for a ticket. Answered like a call.
  virtual void on_ticket_request(std::uint64_t exchange, peer_call call) = 0;
  /// A peer compares what it knows; the result goes back to it.
  virtual peer_exchange on_exchange(peer_exchange offer) = 0;
};

/// Settings of peer_network.
struct peer_network_settings {
  /// A connection must come about within this time.
  duration connect_timeout = std::chrono::milliseconds(800);
  /// Nothing heard for this long while an answer is due: ping.
  duration ping_after = std::chrono::milliseconds(300);
  /// No answer to the ping for this long: the connection is silent and is closed.
  duration ping_timeout = std::chrono::milliseconds(700);
  /// A connection without calls is closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
};

/// Connections to peers and from peers: Cap'n Proto RPC on a thread of its own, which also runs the handlers
/// of the io_context that it was given. All functions may be called from any thread; callbacks run on the
/// network's thread and must not block.
class peer_network {
 public:
  using answer_callback = std::function<void(const result<peer_answer, peer_error>&)>;
  using exchange_callback = std::function<void(const result<peer_exchange, peer_error>&)>;

  /// Nobody else may run `io`.
  peer_network(boost::asio::io_context& io, const peer_network_settings& settings);
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;
  ~peer_network();

  /// Starts to listen on "IP:PORT". The service must live until join(). False when the address can't be had.
  bool start(const std::string& address, peer_service& service);
  /// Ends the thread soon. Any thread may call it, the network's own included.
  void request_stop();
  /// Waits until the thread has ended and all connections are closed. No callback runs afterwards.
  void join();

  /// @name Towards peers
  /// Each returns a number for cancel().
  /// @{
  std::uint64_t call(const std::string& address, peer_call call, answer_callback done);
  std::uint64_t request_ticket(const std::string& address, peer_call call, answer_callback done);
  std::uint64_t exchange(const std::string& address, peer_exchange offer, exchange_callback done);
  /// Tells the peer that nobody waits. The callback does not run any more, unless it runs just now.
  void cancel(std::uint64_t number);
  /// Closes all connections to peers, since they may be dead: after a pause.
  void drop_connections();
  /// @}

  /// Answers a call or ticket request from a peer.
  void answer(std::uint64_t exchange, peer_answer content);

 private:
  class impl;

  std::unique_ptr<impl> impl_;
};

}  // namespace nutmegarch::protocol
