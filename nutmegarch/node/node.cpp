#include "nutmegarch/node/node.h"

#include <algorithm>
#include <utility>

namespace nutmegarch::node {

namespace {

/// Time to wait for requests on the connections that were accepted last, before the node stops.
constexpr duration final_request_wait = std::chrono::milliseconds(300);

}  // namespace

node::node(const node_settings& settings, std::uint64_t incarnation, std::uint64_t seed,
           const std::optional<platform_adapter>& adapter)
    : state_(settings, adapter ? adapter->dialect : nullptr, incarnation, seed),
      pool_io_(settings.identity.workers),
      work_(pool_io_.get_executor()),
      workers_(settings.identity.workers == 1 ? network_io_ : pool_io_),
      peers_(network_io_, settings.peers),
      inbound_(std::make_shared<inbound_path>(state_, workers_)),
      allowances_(std::make_shared<allowance_path>(state_, peers_)),
      outbound_(std::make_shared<outbound_path>(state_, inbound_, allowances_, peers_)),
      published_(adapter ? std::make_shared<store_synchronizer>(state_, adapter->make_source(workers_),
                                                                adapter->make_source(workers_), allowances_)
                         : nullptr),
      control_(std::make_shared<control_path>(state_, workers_, peers_, published_)),
      callers_server_(workers_, settings.callers, *outbound_),
      memory_(state_, *inbound_, *outbound_, peers_, callers_server_),
      admin_(state_, *inbound_, *outbound_, memory_),
      admin_server_(workers_, {}, admin_),
      readiness_(state_),
      ready_server_(workers_, {}, readiness_),
      timer_(workers_) {
  inbound_->set_crash_listener([this]() { control_->announce_update(); });
  if (published_) {
    published_->set_listener([this]() { apply_request_limits(); });
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
  // The answer may arrive before offer() returns. The exchange is then complete and must not be stored.
  const std::shared_ptr<std::atomic<bool>> is_answered = std::make_shared<std::atomic<bool>>(false);
  const std::uint64_t key =
      inbound_->offer(std::move(call), [this, exchange, is_answered](protocol::peer_answer content) {
        *is_answered = true;
        {
          const std::lock_guard<std::mutex> lock(inbound_keys_mutex_);
          inbound_keys_.erase(exchange);
        }
        peers_.answer(exchange, std::move(content));
      });
  const std::lock_guard<std::mutex> lock(inbound_keys_mutex_);
  if (!*is_answered) {
    inbound_keys_[exchange] = key;
  }
}

void node::on_cancel(std::uint64_t exchange) {
  std::uint64_t key = 0;
  {
    const std::lock_guard<std::mutex> lock(inbound_keys_mutex_);
    auto found = inbound_keys_.find(exchange);
    if (found == inbound_keys_.end()) {
      return;
    }
    key = found->second;
    inbound_keys_.erase(found);
  }
  inbound_->cancel(key);
}

void node::on_ticket_request(std::uint64_t exchange, protocol::peer_call call) {
  peers_.answer(exchange, inbound_->issue_ticket(call));
}

void node::on_answer_limit(const std::vector<request_id>& calls, duration within) {
  inbound_->limit_answers(calls, within);
}

protocol::allowance_reply node::on_allowance_request(const std::string& organisation, int wanted) {
  return allowances_->on_request(organisation, wanted);
}

protocol::peer_exchange node::on_exchange(protocol::peer_exchange offer) {
  return control_->on_exchange(offer);
}

void node::apply_request_limits() {
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
  // A late timer means that the process was paused and that its view of the peers is outdated.
  const time_point now = state_.clock.now();
  const duration since_last_tick = now - last_tick_;
  last_tick_ = now;
  if (since_last_tick > state_.settings.lifecycle.pause_threshold) {
    on_pause(since_last_tick);
  }
  inbound_->on_tick();
  outbound_->on_tick();
  allowances_->on_tick();
  control_->on_tick();
  memory_.on_tick(now);
  advance_leaving(now);
  observe::flush_log();
  if (!has_left_) {
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

void node::advance_leaving(time_point now) {
  if (!leave_requested_) {
    return;
  }
  if (!has_begun_leaving_) {
    has_begun_leaving_ = true;
    {
      const std::lock_guard<std::mutex> lock(state_.mutex);
      state_.leaving = true;
      state_.stop.start(now);
      state_.receiver.start_leaving(state_.stop.answers_due());
    }
    state_.events.add(observe::event_kind::leaving, {}, state_.settings.identity.host, "");
    observe::log_event(observe::log_level::info, "leaving", {{"host", state_.settings.identity.host}});
    callers_server_.disable_keep_alive();
    control_->announce_leaving();
    return;
  }

  // Once the notice is over, senders know that the node is leaving. Stop accepting, then wait for requests on
  // the connections that are open.
  bool is_abort_due = false;
  bool is_overdue = false;
  bool is_notice_over = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    is_abort_due = now >= state_.stop.abort_at();
    is_overdue = now >= state_.stop.end();
    is_notice_over = state_.stop.is_notice_over(now);
  }
  if (is_abort_due) {
    outbound_->abort_calls();
  }
  if (accept_stopped_at_ == time_point{}) {
    if (is_overdue || is_notice_over) {
      accept_stopped_at_ = now;
      callers_server_.stop();
      admin_server_.stop();
      ready_server_.stop();
    }
    return;
  }
  const bool is_done = has_been_idle(now, final_request_wait) &&
                       now - accept_stopped_at_ >= final_request_wait &&
                       callers_server_.has_no_pending_writes();
  if (is_overdue || is_done) {
    has_left_ = true;
    peers_.request_stop();
    pool_io_.stop();
  }
}

bool node::has_been_idle(time_point now, duration length) {
  // A call may start and end between two ticks, so the number of started calls is compared, too. `length`
  // leaves time for its answer to be sent.
  const std::uint64_t started_calls = outbound_->started_calls();
  if (!inbound_->is_idle() || !outbound_->is_idle() || started_calls != last_started_calls_) {
    last_busy_ = now;
  }
  last_started_calls_ = started_calls;
  return now - last_busy_ >= length;
}

}  // namespace nutmegarch::node
