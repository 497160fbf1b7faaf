#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include "nutmegarch/node/admin_api.h"
#include "nutmegarch/node/control_path.h"
#include "nutmegarch/node/readiness_api.h"

namespace nutmegarch::node {

/// Platform-specific parts of a node. Made by the platform's adapter.
struct platform_adapter {
  std::shared_ptr<const edge_dialect> dialect;
  /// Creates the reader of the platform's store; its callbacks run on the given worker threads.
  std::function<std::unique_ptr<membership::published_source>(boost::asio::io_context& workers)> make_source;
};

/// One node: its shared state, HTTP servers, peer connections and periodic timer. A process may contain
/// several nodes.
class node final : public protocol::peer_service {
 public:
  /// `incarnation` must differ for every start of a node.
  /// Without an adapter, HTTP edges and configuration service use the product's own dialect.
  node(const node_settings& settings, std::uint64_t incarnation, std::uint64_t seed,
       const std::optional<platform_adapter>& adapter = std::nullopt);
  ~node() override;

  /// Listens on all addresses and starts to serve. Returns an error message; empty on success.
  std::string start();
  /// Starts a graceful stop: new calls are refused, running calls finish. Any thread may call it. Returns at
  /// once.
  void leave();
  /// Blocks until the graceful stop is complete.
  void wait();

  void on_call(std::uint64_t exchange, protocol::peer_call call) override;
  void on_cancel(std::uint64_t exchange) override;
  void on_ticket_request(std::uint64_t exchange, protocol::peer_call call) override;
  void on_answer_limit(const std::vector<request_id>& calls, duration within) override;
  protocol::allowance_reply on_allowance_request(const std::string& organisation, int wanted) override;
  protocol::peer_exchange on_exchange(protocol::peer_exchange offer) override;

 private:
  void apply_request_limits();
  void schedule_tick();
  void tick();
  void on_pause(duration length);
  void advance_leaving(time_point now);
  bool has_been_idle(time_point now, duration length);

  node_state state_;
  /// Runs on the thread of the peer network. With one worker, that thread also serves the HTTP connections.
  boost::asio::io_context network_io_{1};
  /// Runs on the threads of the pool. Unused with one worker.
  boost::asio::io_context pool_io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::io_context& workers_;
  protocol::peer_network peers_;
  std::shared_ptr<inbound_path> inbound_;
  std::shared_ptr<allowance_path> allowances_;
  std::shared_ptr<outbound_path> outbound_;
  /// Null where the node reads the product's own configuration service.
  std::shared_ptr<store_synchronizer> published_;
  std::shared_ptr<control_path> control_;
  http::server callers_server_;
  memory_monitor memory_;
  admin_api admin_;
  http::server admin_server_;
  readiness_api readiness_;
  http::server ready_server_;
  boost::asio::steady_timer timer_;
  std::vector<std::thread> threads_;

  /// These members are used by the timer's handlers only, which never run concurrently.
  time_point last_tick_{};
  time_point accept_stopped_at_{};
  time_point last_busy_{};
  std::uint64_t last_started_calls_ = 0;
  std::atomic<bool> leave_requested_{false};
  bool has_begun_leaving_ = false;
  bool has_left_ = false;

  /// Guards the map below. No other lock is taken while it is held.
  std::mutex inbound_keys_mutex_;
  /// Key at the inbound path of each open exchange with a peer.
  std::unordered_map<std::uint64_t, std::uint64_t> inbound_keys_;
};

}  // namespace nutmegarch::node
