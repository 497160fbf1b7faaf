#include "nutmegarch/policy/receiver.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace nutmegarch::policy {

namespace {

/// Most routes whose service times are kept; further routes use the times of all calls.
constexpr std::size_t most_routes = 1024;
/// Room to wait, and size of a standing queue, at targets with few slots: there a short queue comes by
/// chance.
constexpr int least_capacity = 4;
constexpr int least_standing = 3;

void refuse(const inbound_call_ptr& call, call_reason reason, receiver_actions& actions) {
  call->phase = inbound_phase::done;
  actions.push_back({receiver_action::kind::refuse, call, reason});
}

}  // namespace

receiver::receiver(const receiver_settings& settings)
    : settings_(settings),
      limit_(make_concurrency_limit(settings.limit, settings.slots)),
      short_queue_(make_wait_queue(settings.queue)),
      long_queue_(make_wait_queue(settings.queue)),
      levels_(settings.level) {}

void receiver::offer(const inbound_call_ptr& call, time_point now, receiver_actions& actions) {
  assert(call->phase == inbound_phase::offered);
  if (settings_.pass_through) {
    start(call, now, actions);
    return;
  }

  call->wait_place = wait_place_of(call->context);

  // Refuse what the level, the deadline or a planned stop rules out.
  levels_.on_offer(call->context.cls, call->context.shed_rank);
  const call_reason reason = reason_to_refuse(*call, now);
  if (reason != call_reason::none) {
    refuse(call, reason, actions);
    return;
  }

  // Run it at once where a slot is free and nobody is before it.
  call->is_long = is_long_route(call->context.route);
  const bool slot_free = running_ < limit_->value() && (!call->is_long || may_start_long());
  wait_queue& queue = call->is_long ? *long_queue_ : *short_queue_;
  if (slot_free && queue.empty()) {
    start(call, now, actions);
    return;
  }

  // Else let it wait, in the place of a less important call when the queue is full.
  if (!make_room(*call, actions)) {
    refuse(call, call_reason::queue_full, actions);
    return;
  }
  call->phase = inbound_phase::waiting;
  queue.push(call);
  note_waiting();
}

void receiver::finish(const inbound_call_ptr& call, target_result result, time_point now,
                      receiver_actions& actions) {
  assert(call->phase == inbound_phase::running);
  call->phase = inbound_phase::done;
  const duration latency = now - call->started;
  limit_->on_finish(latency, result == target_result::refused, running_, now);
  --running_;
  running_long_ -= call->is_long ? 1 : 0;

  // Refused calls say nothing about the service time; lost ones took at least as long as they did.
  if (result != target_result::refused) {
    all_routes_.add(latency);
    auto route = routes_.find(call->context.route);
    if (route == routes_.end() && routes_.size() < most_routes) {
      route = routes_.emplace(call->context.route, latency_tracker()).first;
    }
    if (route != routes_.end()) {
      route->second.add(latency);
    }
  }
  start_waiting(now, actions);
}

void receiver::cancel(const inbound_call_ptr& call, time_point now, receiver_actions& actions) {
  if (call->phase != inbound_phase::waiting) {
    return;
  }
  (call->is_long ? *long_queue_ : *short_queue_).remove(*call);
  refuse(call, call_reason::cancelled, actions);
  start_waiting(now, actions);
}

void receiver::on_time(time_point now, receiver_actions& actions) {
  // Drop what nobody waits for any more.
  std::vector<inbound_call_ptr> expired;
  short_queue_->take_expired(now, expired);
  long_queue_->take_expired(now, expired);
  for (const inbound_call_ptr& call : expired) {
    refuse(call, call_reason::deadline, actions);
  }

  // Adapt the level, and the order of the queue to the level.
  note_waiting();
  levels_.on_time(now);
  const bool overloaded = waiting() >= standing_size();
  short_queue_->set_overloaded(overloaded);
  long_queue_->set_overloaded(overloaded);
  start_waiting(now, actions);
}

void receiver::set_slots(int slots) {
  if (slots == settings_.slots) {
    return;
  }
  settings_.slots = slots;
  limit_ = make_concurrency_limit(settings_.limit, slots);
}

double receiver::load() const {
  return static_cast<double>(running_ + waiting()) / static_cast<double>(std::max(1, limit_->value()));
}

duration receiver::service_time(const std::string& route, double q) const {
  const duration any_route = all_routes_.quantile(q, settings_.assumed_service_time);
  auto found = routes_.find(route);
  return found == routes_.end() ? any_route : found->second.quantile(q, any_route);
}

bool receiver::is_long_route(const std::string& route) const {
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    return false;
  }
  // The median of all calls is that of the short ones while long ones are few.
  const duration usual = all_routes_.quantile(0.5, duration::max());
  return to_seconds(found->second.mean()) > settings_.long_factor * to_seconds(usual);
}

call_reason receiver::reason_to_refuse(const inbound_call& call, time_point now) const {
  if (leaving_) {
    return call_reason::leaving;
  }
  // The level sheds at the entry of a chain, before any work was spent on it.
  if (!call.context.inner && !admits(levels_.level(), call.context.cls, call.context.shed_rank)) {
    return call_reason::shed_level;
  }

  // The wait is estimated from the calls that go before this one.
  const int ahead = short_queue_->size_up_to(call.wait_place);
  const duration wait = from_seconds(to_seconds(all_routes_.mean()) * ahead / std::max(1, limit_->value()));
  const duration service = service_time(call.context.route, settings_.finish_quantile);
  if (call.deadline != never && now + wait + service > call.deadline) {
    return call_reason::deadline;
  }
  return call_reason::none;
}

bool receiver::make_room(const inbound_call& call, receiver_actions& actions) {
  if (waiting() < queue_capacity()) {
    return true;
  }
  inbound_call_ptr evicted = short_queue_->evict_for(call);
  if (!evicted) {
    evicted = long_queue_->evict_for(call);
  }
  if (!evicted) {
    // Orders and calls below requests fill the queue: they may wait longer, as far as their deadlines allow.
    const bool may_wait_longer = call.context.inner || call.context.cls == call_class::order;
    return may_wait_longer && waiting() < order_capacity();
  }
  refuse(evicted, call_reason::queue_full, actions);
  return true;
}

void receiver::start(const inbound_call_ptr& call, time_point now, receiver_actions& actions) {
  call->phase = inbound_phase::running;
  call->started = now;
  ++running_;
  running_long_ += call->is_long ? 1 : 0;
  actions.push_back({receiver_action::kind::start, call, call_reason::none});
}

void receiver::start_waiting(time_point now, receiver_actions& actions) {
  while (running_ < limit_->value()) {
    wait_queue* const queue = next_queue();
    if (queue == nullptr) {
      break;
    }
    const inbound_call_ptr call = queue->pop();
    const duration service = service_time(call->context.route, settings_.finish_quantile);
    if (call->deadline != never && now + service > call->deadline) {
      refuse(call, call_reason::deadline, actions);
      continue;
    }
    start(call, now, actions);
  }
  note_waiting();
}

wait_queue* receiver::next_queue() {
  const bool long_ready = !long_queue_->empty() && may_start_long();
  if (short_queue_->empty()) {
    return long_ready ? long_queue_.get() : nullptr;
  }
  if (long_ready && long_queue_->next_place() < short_queue_->next_place()) {
    return long_queue_.get();
  }
  return short_queue_.get();
}

bool receiver::may_start_long() const {
  const int share = std::max(1, static_cast<int>(settings_.long_share * limit_->value()));
  return running_long_ < share;
}

int receiver::queue_capacity() const {
  return std::max(least_capacity, static_cast<int>(settings_.queue_share * settings_.slots));
}

int receiver::order_capacity() const {
  return std::max(queue_capacity(), static_cast<int>(settings_.order_queue_share * settings_.slots));
}

int receiver::standing_size() const {
  return std::max(least_standing, static_cast<int>(settings_.standing_share * settings_.slots));
}

void receiver::note_waiting() {
  level_controller::waiting_counts waiting{};
  for (int cls = 0; cls < call_class_count; ++cls) {
    const int last_place = 2 * cls + 1;
    waiting.at(static_cast<std::size_t>(cls)) =
        short_queue_->size_up_to(last_place) + long_queue_->size_up_to(last_place);
  }
  levels_.on_waiting(waiting, standing_size());
}

}  // namespace nutmegarch::policy
