#include "nutmegarch/node/node.h"

#include <algorithm>
#include <utility>

namespace nutmegarch::node {

namespace {

/// Requests on connections that were taken last come within this time.
constexpr duration last_requests = std::chrono::milliseconds(300);

}  // namespace

node::node(const node_settings& settings, std::uint64_t incarnation, std::uint64_t seed,
           const std::optional<platform_adapter>& adapter)
    : state_(settings, adapter ? adapter->dialect : nullptr, incarnation, seed),
      pool_io_(settings.identity.workers),
      work_(pool_io_.get_executor()),
      workers_(settings.identity.workers == 1 ? network_io_ : pool_io_),
      peers_(network_io_, settings.peers),
      inbound_(std::make_shared<inbound_path>(state_, workers_)),
      outbound_(std::make_shared<outbound_path>(state_, inbound_, peers_)),
      published_(adapter ? std::make_shared<store_synchronizer>(state_, adapter->make_source(workers_))
                         : nullptr),
      control_(std::make_shared<control_path>(state_, workers_, peers_, published_)),
      admin_(state_, *inbound_, *outbound_),
      callers_server_(workers_, settings.callers, *outbound_),
      admin_server_(workers_, {}, admin_),
      readiness_(state_),
      ready_server_(workers_, {}, readiness_),
      timer_(workers_) {
  inbound_->set_crash_listener([this]() { control_->announce_update(); });
  if (published_) {
    published_->set_listener([this]() { apply_limits(); });
  }
}

node::~node() {
  peers_.request_stop();
  pool_io_.stop();
  wait();
}

std::string node::start() {
  const listen_settings& listen = state_.settings.listen;
  if (!peers_.start(listen.peers, *this)) {
    return "can't listen for peers on " + listen.peers;
  }
  if (!callers_server_.start(listen.callers)) {
    return "can't listen for callers on " + listen.callers;
  }
  if (!admin_server_.start(listen.admin)) {
    return "can't listen for administration on " + listen.admin;
  }
  if (!listen.ready.empty() && !ready_server_.start(listen.ready)) {
    return "can't listen for readiness on " + listen.ready;
  }
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.revalidating_until = state_.clock.now() + state_.settings.lifecycle.revalidation;
  }
  state_.events.add(observe::event_kind::node_started, {}, state_.settings.identity.host, "");
  last_tick_ = state_.clock.now();
  control_->start();
  schedule_tick();
  for (int i = 0; i < state_.settings.identity.workers && &workers_ == &pool_io_; ++i) {
    threads_.emplace_back([this]() { pool_io_.run(); });
  }
  return {};
}

void node::leave() { leave_requested_ = true; }

void node::wait() {
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  peers_.join();
}

void node::on_call(std::uint64_t exchange, protocol::peer_call call) {
  // The reply may come before offer() returns; then the exchange is not kept.
  const std::shared_ptr<std::atomic<bool>> is_answered = std::make_shared<std::atomic<bool>>(false);
  const std::uint64_t key =
      inbound_->offer(std::move(call), [this, exchange, is_answered](protocol::peer_answer content) {
        *is_answered = true;
        {
          const std::lock_guard<std::mutex> lock(exchanges_mutex_);
          exchanges_.erase(exchange);
        }
        peers_.answer(exchange, std::move(content));
      });
  const std::lock_guard<std::mutex> lock(exchanges_mutex_);
  if (!*is_answered) {
    exchanges_[exchange] = key;
  }
}

void node::on_cancel(std::uint64_t exchange) {
  std::uint64_t key = 0;
  {
    const std::lock_guard<std::mutex> lock(exchanges_mutex_);
    auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
      return;
    }
    key = found->second;
    exchanges_.erase(found);
  }
  inbound_->cancel(key);
}

void node::on_ticket_request(std::uint64_t exchange, protocol::peer_call call) {
  peers_.answer(exchange, inbound_->issue_ticket(call));
}

protocol::peer_exchange node::on_exchange(protocol::peer_exchange offer) {
  return control_->on_exchange(offer);
}

void node::apply_limits() {
  routes::request_limits limits;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    if (!state_.routes) {
      return;
    }
    limits = state_.routes->limits();
  }
  callers_server_.set_limits(limits.max_head_bytes, limits.max_body_bytes, limits.idle_timeout);
}

void node::schedule_tick() {
  bool is_busy = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    is_busy = inbound_->size() + outbound_->size() > 0;
  }
  timer_.expires_after(is_busy ? state_.settings.lifecycle.busy_tick : state_.settings.lifecycle.idle_tick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void node::tick() {
  // A timer that fires late means that the process stood still, and its view is old.
  const time_point now = state_.clock.now();
  const duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap > state_.settings.lifecycle.pause_bound) {
    on_pause(gap);
  }
  inbound_->on_tick();
  outbound_->on_time();
  control_->on_tick();
  if (published_) {
    published_->on_tick();
  }
  step_leaving(now);
  observe::flush_log();
  if (!finished_) {
    schedule_tick();
  }
}

void node::on_pause(duration length) {
  state_.events.add(
      observe::event_kind::pause_found, {}, state_.settings.identity.host,
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(length).count()) + " ms");
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.sender.forget_reports();
    state_.revalidating_until = state_.clock.now() + state_.settings.lifecycle.revalidation;
  }
  inbound_->close_idle_connections();
  peers_.drop_connections();
  control_->revalidate();
}

void node::step_leaving(time_point now) {
  if (!leave_requested_) {
    return;
  }
  if (leave_began_ == time_point{}) {
    leave_began_ = now;
    {
      const std::lock_guard<std::mutex> lock(state_.mutex);
      state_.leaving = true;
      state_.receiver.start_leaving();
    }
    state_.events.add(observe::event_kind::leaving, {}, state_.settings.identity.host, "");
    observe::log_event(observe::log_level::info, "leaving", {{"host", state_.settings.identity.host}});
    callers_server_.disable_keep_alive();
    control_->announce_leaving();
    return;
  }

  // Senders know by now and nothing runs: take the last connections, and give their requests time to come.
  const bool is_late = now - leave_began_ >= state_.settings.lifecycle.longest_leave;
  if (accept_ended_ == time_point{}) {
    const bool has_grace_passed = now - leave_began_ >= state_.settings.lifecycle.leave_grace;
    if (is_late || (has_been_idle(now, duration{}) && has_grace_passed)) {
      accept_ended_ = now;
      callers_server_.stop();
      admin_server_.stop();
      ready_server_.stop();
    }
    return;
  }
  const bool is_done = has_been_idle(now, last_requests) && now - accept_ended_ >= last_requests &&
                       callers_server_.has_no_pending_writes();
  if (is_late || is_done) {
    finished_ = true;
    peers_.request_stop();
    pool_io_.stop();
  }
}

bool node::has_been_idle(time_point now, duration length) {
  // A call may begin and end between two ticks, and its answer takes a moment to leave.
  const std::uint64_t begun = outbound_->begun();
  if (!inbound_->is_idle() || !outbound_->is_idle() || begun != calls_seen_) {
    last_busy_ = now;
  }
  calls_seen_ = begun;
  return now - last_busy_ >= length;
}

}  // namespace nutmegarch::node
