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

/// What a node needs to run on a platform. Made by the platform's adapter.
struct platform_adapter {
  std::shared_ptr<const edge_dialect> dialect;
  /// Makes the reader of the platform's store; its callbacks run on the given workers.
  std::function<std::unique_ptr<membership::published_source>(boost::asio::io_context& workers)> make_source;
};

/// One node: its tables, its edges, its peers, and the timer that lets time pass. Many fit in one process.
class node final : public protocol::peer_service {
 public:
  /// `incarnation` must be new for every start.
  /// Without an adapter, the edges and the configuration service speak the product's own dialect.
  node(const node_settings& settings, std::uint64_t incarnation, std::uint64_t seed,
       const std::optional<platform_adapter>& adapter = std::nullopt);
  ~node() override;

  /// Listens and begins to serve. Returns what went wrong; empty when all is well.
  std::string start();
  /// Begins a planned stop: no new work, what runs ends. Any thread may call it.
  void leave();
  /// Waits until the planned stop is over.
  void wait();

  void on_call(std::uint64_t exchange, protocol::peer_call call) override;
  void on_cancel(std::uint64_t exchange) override;
  void on_ticket_request(std::uint64_t exchange, protocol::peer_call call) override;
  protocol::peer_exchange on_exchange(protocol::peer_exchange offer) override;

 private:
  void apply_limits();
  void schedule_tick();
  void tick();
  void on_pause(duration length);
  void step_leaving(time_point now);
  bool has_been_idle(time_point now, duration length);

  node_state state_;
  /// Runs on the network's thread. With one worker, that thread serves the HTTP connections too.
  boost::asio::io_context network_io_{1};
  /// Runs on the threads of the pool; without handlers when there is one worker.
  boost::asio::io_context pool_io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::io_context& workers_;
  protocol::peer_network peers_;
  std::shared_ptr<inbound_path> inbound_;
  std::shared_ptr<outbound_path> outbound_;
  /// Null where the node reads the product's own configuration service.
  std::shared_ptr<store_synchronizer> published_;
  std::shared_ptr<control_path> control_;
  admin_api admin_;
  http::server callers_server_;
  http::server admin_server_;
  readiness_api readiness_;
  http::server ready_server_;
  boost::asio::steady_timer timer_;
  std::vector<std::thread> threads_;

  /// Used by the timer's handlers only, which run one after the other.
  time_point last_tick_{};
  time_point leave_began_{};
  time_point accept_ended_{};
  time_point last_busy_{};
  std::uint64_t calls_seen_ = 0;
  std::atomic<bool> leave_requested_{false};
  bool finished_ = false;

  /// Keys at the inbound path of the exchanges with peers. Guards the map; taken before no other lock.
  std::mutex exchanges_mutex_;
  std::unordered_map<std::uint64_t, std::uint64_t> exchanges_;
};

}  // namespace nutmegarch::node
