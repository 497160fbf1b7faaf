#include "performance_test/virtual_time/fake_node.h"

#include <algorithm>
#include <utility>

#include "nutmegarch/core/hash.h"

namespace nutmegarch::performance_test {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(1);
constexpr double request_bytes = 600;
constexpr double answer_bytes = 2'000;
constexpr double refusal_bytes = 200;

double work_factor(const fake_node_settings& settings, const std::string& route) {
  auto found = settings.routes.find(route);
  if (found != settings.routes.end()) {
    return to_seconds(found->second.mean) / to_seconds(settings.shape.mean);
  }
  return route == "long" ? settings.shape.long_factor : 1;
}

}  // namespace

fake_node::fake_node(event_queue& events, random_source& random, fake_network& network,
                     const fake_node_settings& settings)
    : events_(events),
      network_(network),
      settings_(settings),
      target_(events, random, settings.shape),
      receiver_(settings.receiver),
      sender_(settings.sender, random),
      orders_(hash_text(settings.host), policy::order_settings{}) {
  network.add(*this);
  events_.after(tick_interval, [this]() { tick(); });
}

std::uint64_t fake_node::call(call_context context, duration patience,
                              const policy::retry_token_pool_ptr& ledger, const tracked_request_ptr& request,
                              completion done) {
  // An order gets its ticket first, from the node that is to run it.
  if (settings_.uses_tickets && context.cls == call_class::order && !context.ticket) {
    const policy::endpoint_ptr home = sender_.choose_ticket_issuer(context, events_.now());
    if (home) {
      const result<order_ticket, policy::ticket_error> ticket =
          network_.at(home->host).orders().issue(events_.now());
      if (succeeded(ticket)) {
        context.ticket = std::get<order_ticket>(ticket);
      }
    }
  }

  const std::uint64_t key = next_key_++;
  const policy::outbound_call_ptr made(new policy::outbound_call());
  made->key = key;
  made->context = std::move(context);
  made->deadline = patience == duration::max() ? never : events_.now() + patience;
  made->size = static_cast<std::size_t>(request_bytes + answer_bytes);
  made->token_pool = ledger;
  outbound_[key] = outbound{made, request, std::move(done), {}};
  policy::sender_actions actions;
  sender_.start(made, events_.now(), actions);
  apply(actions);
  return key;
}

std::uint64_t fake_node::receive(const call_context& context, const tracked_request_ptr& request,
                                 reply answer) {
  const std::uint64_t key = next_key_++;
  const policy::inbound_call_ptr call(new policy::inbound_call());
  call->key = key;
  call->context = context;
  call->arrived = events_.now();
  call->deadline = context.remaining == duration::max() ? never : events_.now() + context.remaining;
  const policy::retry_token_pool_ptr ledger(new policy::retry_token_pool(context.retry_tokens));
  inbound_[key] = inbound{call, request, std::move(answer), ledger, 0, 0, 0};

  // A ticket decides first whether the order may run at all.
  if (context.ticket &&
      orders_.on_arrival(*context.ticket, events_.now()).type != policy::order_decision::kind::run) {
    const inbound ended = inbound_.at(key);
    inbound_.erase(key);
    respond(ended, call_outcome::unknown, call_reason::ticket_sealed);
    return key;
  }
  if (context.known_target_rate) {
    receiver_.on_peer_rate(*context.known_target_rate, events_.now());
  }
  policy::receiver_actions actions;
  receiver_.offer(call, events_.now(), actions);
  apply(actions);
  return key;
}

void fake_node::cancel_inbound(std::uint64_t key) {
  auto found = inbound_.find(key);
  if (found == inbound_.end() || settings_.receiver.pass_through) {
    return;
  }
  if (found->second.call->phase == policy::inbound_phase::running) {
    finish(key, policy::target_result::lost, call_outcome::unknown, call_reason::cancelled);
    return;
  }
  policy::receiver_actions actions;
  receiver_.cancel(found->second.call, events_.now(), actions);
  apply(actions);
}

void fake_node::restart_receiver() {
  receiver_ = policy::receiver(settings_.receiver);
  const std::unordered_map<std::uint64_t, inbound> lost = std::move(inbound_);
  inbound_.clear();
  for (const std::pair<const std::uint64_t, inbound>& call : lost) {
    target_.release(call.second.handle);
    respond(call.second, call_outcome::unknown, call_reason::connection_lost);
  }
}

void fake_node::tick() {
  policy::receiver_actions inbound_actions;
  receiver_.on_tick(events_.now(), inbound_actions);
  apply(inbound_actions);
  policy::sender_actions outbound_actions;
  sender_.on_tick(events_.now(), outbound_actions);
  apply(outbound_actions);
  events_.after(tick_interval, [this]() { tick(); });
}

void fake_node::apply(const policy::sender_actions& actions) {
  for (const policy::sender_action& action : actions) {
    switch (action.what) {
      case policy::sender_action::kind::send:
        send(action);
        break;
      case policy::sender_action::kind::abandon:
        abandon(action);
        break;
      case policy::sender_action::kind::complete: {
        const completion done = std::move(outbound_.at(action.call->key).done);
        outbound_.erase(action.call->key);
        done(action.outcome, action.reason);
        break;
      }
    }
  }
}

void fake_node::send(const policy::sender_action& action) {
  fake_node& peer = network_.at(action.call->attempts.at(action.attempt).to->host);
  outbound& made = outbound_.at(action.call->key);
  const std::shared_ptr<std::uint64_t> remote_key = std::make_shared<std::uint64_t>(0);
  made.remote_keys[action.attempt] = remote_key;
  const tracked_request_ptr request = made.request;
  const bool crosses = peer.settings().region != settings_.region;
  const bool avoidable = crosses && network_.has_near_target(*this, action.context);

  const reply answer = [this, call = action.call, index = action.attempt, &peer,
                        avoidable](const policy::attempt_answer& content) {
    const double bytes = content.outcome == call_outcome::ok ? answer_bytes : refusal_bytes;
    if (peer.settings().region != settings_.region) {
      network_.count(bytes, avoidable);
    }
    network_.deliver(peer, *this, bytes, [this, call, index, content]() {
      policy::sender_actions actions;
      sender_.on_answer(call, index, content, events_.now(), actions);
      apply(actions);
    });
  };
  if (crosses) {
    network_.count(request_bytes, avoidable);
  }
  network_.deliver(*this, peer, request_bytes,
                   [&peer, context = action.context, request, answer, remote_key]() {
                     *remote_key = peer.receive(context, request, answer);
                   });
}

void fake_node::abandon(const policy::sender_action& action) {
  auto found = outbound_.find(action.call->key);
  if (found == outbound_.end() || found->second.remote_keys.count(action.attempt) == 0) {
    return;
  }
  fake_node& peer = network_.at(action.call->attempts.at(action.attempt).to->host);
  const std::shared_ptr<std::uint64_t> remote_key = found->second.remote_keys.at(action.attempt);
  network_.deliver(*this, peer, refusal_bytes, [&peer, remote_key]() { peer.cancel_inbound(*remote_key); });
}

void fake_node::apply(const policy::receiver_actions& actions) {
  for (const policy::receiver_action& action : actions) {
    const std::uint64_t key = action.call->key;
    if (action.what == policy::receiver_action::kind::start) {
      downstream_.on_call_started(action.call->context.route);
      const double factor = work_factor(settings_, action.call->context.route);
      arrivals_.push_back(events_.now());
      inbound_.at(key).handle = target_.run(factor, [this, key](std::uint64_t) { work_done(key); });
      continue;
    }
    const inbound ended = inbound_.at(key);
    inbound_.erase(key);
    if (ended.call->context.ticket) {
      orders_.seal(*ended.call->context.ticket, events_.now());
    }
    respond(ended, call_outcome::not_run, action.reason);
  }
}

void fake_node::work_done(std::uint64_t key) {
  inbound& running = inbound_.at(key);
  if (!settings_.routes.empty()) {
    call_next(key);
    return;
  }
  if (settings_.calls.empty()) {
    finish(key, policy::target_result::answered, call_outcome::ok, call_reason::none);
    return;
  }

  // The target calls the next service while it holds its slot.
  call_context context = running.call->context;
  downstream_.on_downstream_call(context.route, settings_.calls, context.route);
  context.service = settings_.calls;
  context.ticket.reset();
  ++context.depth;
  const duration patience =
      running.call->deadline == never ? duration::max() : running.call->deadline - events_.now();
  call_child(key, context, patience, [this, key](call_outcome outcome, call_reason reason) {
    const bool is_ok = outcome == call_outcome::ok;
    finish(key, policy::target_result::answered, is_ok ? call_outcome::ok : call_outcome::failed,
           is_ok ? call_reason::none : reason);
  });
}

void fake_node::call_next(std::uint64_t key) {
  inbound& running = inbound_.at(key);
  const call_context& own = running.call->context;
  const route_work& work = settings_.routes.at(own.route);
  if (running.children >= work.calls.size()) {
    finish(key, policy::target_result::answered, call_outcome::ok, call_reason::none);
    return;
  }
  const std::string& route = work.calls.at(running.children);
  ++running.children;
  const route_work& below = settings_.routes.at(route);
  downstream_.on_downstream_call(own.route, below.service, route);
  call_context context = own;
  context.route = route;
  context.service = below.service;
  context.ticket.reset();
  context.inner = true;
  context.idempotent = true;
  ++context.depth;
  const duration patience = std::min(below.patience, running.call->deadline - events_.now());
  call_child(key, context, patience, [this, key](call_outcome outcome, call_reason reason) {
    if (outcome != call_outcome::ok) {
      finish(key, policy::target_result::answered, call_outcome::failed, reason);
    } else if (inbound_.count(key) != 0) {
      call_next(key);
    }
  });
}

void fake_node::call_child(std::uint64_t key, call_context context, duration patience, completion done) {
  const inbound& running = inbound_.at(key);
  const std::uint64_t child =
      call(std::move(context), patience, running.ledger, running.request, std::move(done));
  auto still_running = inbound_.find(key);
  if (still_running != inbound_.end()) {
    still_running->second.child = child;
  }
}

void fake_node::finish(std::uint64_t key, policy::target_result result, call_outcome outcome,
                       call_reason reason) {
  auto found = inbound_.find(key);
  if (found == inbound_.end()) {
    return;
  }
  const inbound ended = found->second;
  inbound_.erase(found);
  ended.request->target_time += target_.release(ended.handle);

  // A cancelled call takes its child calls with it.
  auto child = outbound_.find(ended.child);
  if (result == policy::target_result::lost && child != outbound_.end()) {
    policy::sender_actions cancels;
    sender_.cancel(child->second.call, events_.now(), cancels);
    apply(cancels);
  }
  if (result == policy::target_result::answered) {
    receiver_.on_named_rate(*ended.call, named_rate_, events_.now());
  }
  respond(ended, outcome, reason);
  policy::receiver_actions actions;
  receiver_.finish(ended.call, result, events_.now(), actions);
  apply(actions);
}

void fake_node::respond(const inbound& to, call_outcome outcome, call_reason reason) {
  policy::attempt_answer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.tokens_back = to.ledger->tokens();
  answer.report = node_report{receiver_.load(), receiver_.level(), receiver_.leaving(), orders_.incarnation(),
                              receiver_.rate(events_.now())};
  auto work = settings_.routes.find(to.call->context.route);
  answer.has_downstream_calls =
      work == settings_.routes.end() ? !settings_.calls.empty() : !work->second.calls.empty();
  answer.route_level = downstream_.lowest_downstream_level(to.call->context.route, sender_, events_.now());
  to.answer(answer);
}

void fake_network::deliver(const fake_node& from, const fake_node& to, double bytes,
                           std::function<void()> arrival) {
  duration wait = delay(from, to);
  if (from.settings().region != to.settings().region) {
    // The link sends one message after the other.
    const time_point begin = std::max(events_.now(), link_free_);
    link_free_ = begin + from_seconds(bytes / link_bytes_per_second);
    wait += link_free_ - events_.now();
  }
  events_.after(wait, std::move(arrival));
}

duration fake_network::delay(const fake_node& from, const fake_node& to) const {
  if (&from == &to) {
    return {};
  }
  return from.settings().region == to.settings().region ? domain_delay : region_delay;
}

void fake_network::count(double bytes, bool avoidable) {
  link_bytes_ += bytes;
  avoidable_link_bytes_ += avoidable ? bytes : 0;
}

bool fake_network::has_near_target(const fake_node& from, const call_context& context) const {
  return std::any_of(nodes_.begin(), nodes_.end(),
                     [&](const std::pair<const std::string, fake_node*>& known) {
                       const fake_node& node = *known.second;
                       const policy::receiver& receiver = const_cast<fake_node&>(node).receiver();  // NOLINT
                       return node.settings().service == context.service &&
                              node.settings().region == from.settings().region &&
                              receiver.running() + receiver.waiting() < receiver.limit() &&
                              admits(receiver.level(), context.cls, context.shed_rank);
                     });
}

}  // namespace nutmegarch::performance_test
