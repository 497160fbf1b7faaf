#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "nutmegarch/core/result.h"
#include "nutmegarch/policy/buffer_budget.h"
#include "nutmegarch/policy/queue_share_limit.h"
#include "nutmegarch/protocol/peer_messages.h"

namespace nutmegarch::protocol {

/// Handles the requests of peers. All functions are called on the network's thread and must not block.
class peer_service {
 public:
  peer_service() = default;
  peer_service(const peer_service&) = delete;
  peer_service& operator=(const peer_service&) = delete;
  virtual ~peer_service() = default;

  /// Handles a call. The answer is given later to peer_network::answer(), with the same `exchange_id`.
  virtual void on_call(std::uint64_t exchange_id, peer_call call) = 0;
  /// Called when the peer has cancelled an exchange or its connection was lost. An answer is then ignored.
  virtual void on_cancel(std::uint64_t exchange_id) = 0;
  /// Handles a request for an order ticket. It is answered like a call; `call.request` is null.
  virtual void on_ticket_request(std::uint64_t exchange_id, peer_call call) = 0;
  /// The peer that sent `calls` stops, and takes their answers only for the time `within`.
  virtual void on_answer_limit(const std::vector<request_id>& calls, duration within) = 0;
  /// Answers a request for a part of an organisation's allowance.
  virtual allowance_reply on_allowance_request(const std::string& organisation, int wanted) = 0;
  /// Merges the gossip message of a peer, and returns the reply.
  virtual peer_exchange on_exchange(peer_exchange offer) = 0;
};

/// Settings of peer_network.
struct peer_network_settings {
  /// Longest time to establish a connection.
  duration connect_timeout = std::chrono::milliseconds(800);
  /// A ping is sent when a request is pending and nothing was received for this long.
  duration ping_after = std::chrono::milliseconds(300);
  /// The connection is closed when nothing was received for this long after a ping.
  duration ping_timeout = std::chrono::milliseconds(700);
  /// A connection without pending requests is closed when nothing was received for this long.
  duration idle_timeout = std::chrono::seconds(60);
  /// Limit of the requests that wait to be written to peers. A request beyond it fails as queue_full.
  policy::queue_share_limit_settings queues;
  /// Limit of the answers that wait to be written to peers, in bytes. Beyond it, the connection on which most
  /// of them wait is closed.
  std::size_t max_answer_bytes = 64U << 20U;
  /// Byte budget of the messages that are being received from all peers. One message may have 64 MiB.
  policy::buffer_budget_settings unfinished = {64U << 20U, 64U << 10U};
};

/// What is held for peers.
struct peer_queues {
  /// Calls, ticket requests and gossip, on connections that this node has opened.
  std::size_t request_bytes = 0;
  /// Answers, on connections that peers have opened.
  std::size_t answer_bytes = 0;
  /// Messages that are being received.
  std::size_t unfinished_bytes = 0;
  /// Connections closed so far because such messages exceeded their budget; a count, not bytes.
  std::size_t closed_for_size = 0;
  /// Connections that this node has closed so far because their peers were silent; a count, not bytes.
  std::size_t closed_as_silent = 0;
  /// Connections closed so far because their peers took too few of their answers; a count, not bytes.
  std::size_t closed_for_answers = 0;
};

/// Incoming and outgoing connections between peers, with Cap'n Proto RPC. The network has its own thread,
/// which also runs the handlers of the given io_context. All functions may be called from any thread, except
/// start() and join(), which belong to the owner. Callbacks run on the network's thread and must not block.
class peer_network {
 public:
  using answer_callback = std::function<void(const result<peer_answer, peer_error>&)>;
  using allowance_callback = std::function<void(const result<allowance_reply, peer_error>&)>;
  using exchange_callback = std::function<void(const result<peer_exchange, peer_error>&)>;

  /// `io` must outlive the network, and no other thread may run it.
  peer_network(boost::asio::io_context& io, const peer_network_settings& settings);
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;
  ~peer_network();

  /// Listens on `address` ("IP:PORT") and starts the thread. `service` must live until join() has returned.
  /// Returns false when the address is malformed or can't be bound.
  bool start(const std::string& address, peer_service& service);
  /// Asks the thread to end, and does not wait for it. May also be called on the network's thread.
  void request_stop();
  /// Waits until the thread has ended and all connections are closed. No callback runs afterwards. Must not
  /// be called on the network's thread.
  void join();

  /// @name Requests to peers
  /// Each opens a connection to `address` ("IP:PORT") when there is none, and returns a request id for
  /// cancel(). `done` runs once, unless the request is cancelled or the network stops first.
  /// @{
  std::uint64_t call(const std::string& address, peer_call call, answer_callback done);
  std::uint64_t request_ticket(const std::string& address, peer_call call, answer_callback done);
  std::uint64_t exchange(const std::string& address, peer_exchange offer, exchange_callback done);
  /// Asks the node that keeps the organisation's allowance for `wanted` requests.
  std::uint64_t spend_allowance(const std::string& address, const std::string& organisation, int wanted,
                                allowance_callback done);
  /// Cancels a request, also at the peer. The callback does not run afterwards, unless it is already running.
  void cancel(std::uint64_t request_id);
  /// Tells a peer that this node stops, and takes the answers to `calls`, which it has sent there before,
  /// only for the time `within`. Calls that wait at the peer and can't end in time are then answered as not
  /// run.
  void limit_answers(const std::string& address, std::vector<request_id> calls, duration within);
  /// Closes all connections to peers; pending requests fail. Used after the process was paused, because peers
  /// may have closed the connections meanwhile.
  void drop_connections();
  /// @}

  /// What is held for peers, as of the last tick or request.
  peer_queues queues() const;

  /// Answers a call or a ticket request of a peer. Does nothing when the exchange was cancelled.
  void answer(std::uint64_t exchange_id, peer_answer content);

 private:
  class impl;

  std::unique_ptr<impl> impl_;
};

}  // namespace nutmegarch::protocol
