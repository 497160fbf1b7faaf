#include "nutmegarch/policy/receiver.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <limits>

namespace nutmegarch::policy {

namespace {

/// Routes with service times of their own; further routes use those of all calls.
constexpr std::size_t max_tracked_routes = 1024;
/// Lower bounds, in calls, for targets with few slots, where a short queue also forms by chance.
constexpr int min_queue_capacity = 4;
constexpr int min_standing_queue = 3;

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
      level_controller_(settings.level),
      rate_limiter_(settings.rate) {}

void receiver::offer(const inbound_call_ptr& call, time_point now, receiver_actions& actions) {
  assert(call->phase == inbound_phase::offered);
  if (settings_.pass_through) {
    start(call, now, actions);
    return;
  }

  call->queue_priority = queue_priority_of(call->context);

  // Refuse the call when the admission level, its deadline or a planned stop of the node requires it.
  level_controller_.on_offer(call->context.cls, call->context.shed_rank);
  const call_reason reason = reason_to_refuse(*call, now);
  if (reason != call_reason::none) {
    refuse(call, reason, actions);
    return;
  }

  // Start the call when a slot is free and no other call of its queue waits.
  call->is_long = is_long_route(call->context.route);
  const bool slot_free =
      running_ < limit_->value() && rate_limiter_.has_token(now) && (!call->is_long || can_start_long_call());
  wait_queue& queue = call->is_long ? *long_queue_ : *short_queue_;
  if (slot_free && queue.empty()) {
    start(call, now, actions);
    return;
  }

  // Otherwise queue it. When the queue is full, a less important call is evicted.
  if (!make_queue_space(*call, actions)) {
    refuse(call, full_reason(), actions);
    return;
  }
  call->phase = inbound_phase::waiting;
  queue.push(call);
  report_waiting_counts();
}

void receiver::finish(const inbound_call_ptr& call, target_result result, time_point now,
                      receiver_actions& actions) {
  assert(call->phase == inbound_phase::running);
  call->phase = inbound_phase::done;
  const duration latency = now - call->started;
  limit_->on_finish(latency, result == target_result::refused, running_, now);
  --running_;
  running_long_ -= call->is_long ? 1 : 0;

  // A refused call gives no service time. For a lost call the time until the loss is a lower bound.
  if (result != target_result::refused) {
    all_service_times_.add(latency);
    auto route = route_service_times_.find(call->context.route);
    if (route == route_service_times_.end() && route_service_times_.size() < max_tracked_routes) {
      route = route_service_times_.emplace(call->context.route, latency_tracker()).first;
    }
    if (route != route_service_times_.end()) {
      route->second.add(latency);
    }
  }
  start_waiting_calls(now, actions);
}

rate_change receiver::on_named_rate(const inbound_call& call, std::optional<double> rate, time_point now) {
  return rate ? rate_limiter_.on_named(*rate, now) : rate_limiter_.on_not_named(call.started);
}

rate_change receiver::on_peer_rate(const target_rate& learned, time_point now) {
  return rate_limiter_.on_peer_rate(learned, now);
}

void receiver::cancel(const inbound_call_ptr& call, time_point now, receiver_actions& actions) {
  withdraw(call, call_reason::cancelled, now, actions);
}

void receiver::withdraw(const inbound_call_ptr& call, call_reason reason, time_point now,
                        receiver_actions& actions) {
  if (call->phase != inbound_phase::waiting) {
    return;
  }
  (call->is_long ? *long_queue_ : *short_queue_).remove(*call);
  refuse(call, reason, actions);
  start_waiting_calls(now, actions);
}

void receiver::start_leaving(time_point answers_due) {
  leaving_ = true;
  answers_due_ = answers_due;
}

void receiver::limit_answer(const inbound_call_ptr& call, time_point due, time_point now,
                            receiver_actions& actions) {
  call->answer_due = std::min(call->answer_due, due);
  if (is_answer_too_late(*call, now)) {
    withdraw(call, call_reason::leaving, now, actions);
  }
}

void receiver::on_tick(time_point now, receiver_actions& actions) {
  // Refuse calls whose deadline has passed, and those whose answer could not be delivered.
  std::vector<inbound_call_ptr> ended;
  const std::function<bool(const inbound_call&)> has_ended = [this, now](const inbound_call& call) {
    return call.deadline < now || is_answer_too_late(call, now);
  };
  short_queue_->take_if(has_ended, ended);
  long_queue_->take_if(has_ended, ended);
  for (const inbound_call_ptr& call : ended) {
    refuse(call, call->deadline < now ? call_reason::deadline : call_reason::leaving, actions);
  }

  trim_queues(actions);

  // Adapt the level, and the order within the queues.
  report_waiting_counts();
  level_controller_.on_tick(now);
  const bool overloaded = waiting() >= standing_queue_threshold();
  short_queue_->set_overloaded(overloaded);
  long_queue_->set_overloaded(overloaded);
  start_waiting_calls(now, actions);
}

void receiver::set_slots(int slots) {
  if (slots == settings_.slots) {
    return;
  }
  settings_.slots = slots;
  limit_ = make_concurrency_limit(settings_.limit, slots);
}

double receiver::load() const {
  return static_cast<double>(running_ + waiting()) /
         static_cast<double>(std::max(1, std::min(limit_->value(), usable_slots())));
}

duration receiver::service_time(const std::string& route, double q) const {
  const duration overall = all_service_times_.quantile(q, settings_.assumed_service_time);
  auto found = route_service_times_.find(route);
  return found == route_service_times_.end() ? overall : found->second.quantile(q, overall);
}

bool receiver::is_long_route(const std::string& route) const {
  auto found = route_service_times_.find(route);
  if (found == route_service_times_.end()) {
    return false;
  }
  // The median over all calls is that of short calls as long as long ones are few.
  const duration overall_median = all_service_times_.quantile(0.5, duration::max());
  return to_seconds(found->second.mean()) > settings_.long_factor * to_seconds(overall_median);
}

call_reason receiver::reason_to_refuse(const inbound_call& call, time_point now) {
  if (leaving_) {
    return call_reason::leaving;
  }
  // The level applies to requests from outside only: inner calls belong to chains that work was spent on.
  if (!call.context.inner && !admits(level_controller_.level(), call.context.cls, call.context.shed_rank)) {
    return call_reason::shed_level;
  }

  // Estimate the wait from the number of short calls that are served before this one.
  const int ahead = short_queue_->size_up_to(call.queue_priority);
  const duration wait =
      from_seconds(to_seconds(all_service_times_.mean()) * ahead / std::max(1, limit_->value()));
  const duration service = service_time(call.context.route, settings_.finish_quantile);
  const call_reason by_end = reason_against_end(call, now + wait + service);
  if (by_end != call_reason::none) {
    return by_end;
  }
  const duration rate_wait = rate_limiter_.time_for(ahead + 1, now);
  if (call.deadline != never && now + rate_wait + service > call.deadline) {
    return call_reason::target_limit;
  }
  return call_reason::none;
}

call_reason receiver::reason_against_end(const inbound_call& call, time_point end) const {
  if (end > call.deadline) {
    return call_reason::deadline;
  }
  return end > answer_due_of(call) ? call_reason::leaving : call_reason::none;
}

time_point receiver::answer_due_of(const inbound_call& call) const {
  return std::min(call.answer_due, answers_due_);
}

bool receiver::is_answer_too_late(const inbound_call& call, time_point now) const {
  const time_point due = answer_due_of(call);
  return due != never && now + service_time(call.context.route, settings_.finish_quantile) > due;
}

bool receiver::make_queue_space(const inbound_call& call, receiver_actions& actions) {
  if (waiting() < queue_capacity()) {
    return true;
  }
  inbound_call_ptr evicted = short_queue_->evict_for(call);
  if (!evicted) {
    evicted = long_queue_->evict_for(call);
  }
  if (!evicted) {
    // No waiting call is less important. Orders and inner calls may use the larger capacity, as far as their
    // deadlines allow.
    const bool uses_order_capacity = call.context.inner || call.context.cls == call_class::order;
    return uses_order_capacity && waiting() < order_queue_capacity();
  }
  refuse(evicted, full_reason(), actions);
  return true;
}

void receiver::trim_queues(receiver_actions& actions) {
  // The calls that may use the larger capacity stay.
  inbound_call kept;
  kept.context.cls = call_class::order;
  kept.queue_priority = queue_priority_of(kept.context);
  kept.context.shed_rank = shed_rank_count - 1;
  while (rate_limiter_.rate() && waiting() > order_queue_capacity()) {
    inbound_call_ptr evicted = short_queue_->evict_for(kept);
    if (!evicted) {
      evicted = long_queue_->evict_for(kept);
    }
    if (!evicted) {
      return;
    }
    refuse(evicted, call_reason::target_limit, actions);
  }
}

call_reason receiver::full_reason() const {
  return rate_limiter_.rate() && running_ < limit_->value() ? call_reason::target_limit
                                                            : call_reason::queue_full;
}

int receiver::usable_slots() const {
  const std::optional<double> rate = rate_limiter_.rate();
  if (!rate) {
    return settings_.slots;
  }
  const double running_at_rate = *rate * to_seconds(all_service_times_.mean());
  return static_cast<int>(std::clamp(std::ceil(running_at_rate), 1.0, std::max(1.0, 1.0 * settings_.slots)));
}

void receiver::start(const inbound_call_ptr& call, time_point now, receiver_actions& actions) {
  call->phase = inbound_phase::running;
  call->started = now;
  rate_limiter_.on_sent(now);
  ++running_;
  running_long_ += call->is_long ? 1 : 0;
  actions.push_back({receiver_action::kind::start, call, call_reason::none});
}

void receiver::start_waiting_calls(time_point now, receiver_actions& actions) {
  while (running_ < limit_->value() && rate_limiter_.has_token(now)) {
    wait_queue* const queue = next_queue();
    if (queue == nullptr) {
      break;
    }
    const inbound_call_ptr call = queue->pop();
    const duration service = service_time(call->context.route, settings_.finish_quantile);
    const call_reason by_end = reason_against_end(*call, now + service);
    if (by_end != call_reason::none) {
      refuse(call, by_end, actions);
      continue;
    }
    start(call, now, actions);
  }
  report_waiting_counts();
}

wait_queue* receiver::next_queue() {
  const bool can_take_long = !long_queue_->empty() && can_start_long_call();
  if (short_queue_->empty()) {
    return can_take_long ? long_queue_.get() : nullptr;
  }
  if (can_take_long && long_queue_->next_priority() < short_queue_->next_priority()) {
    return long_queue_.get();
  }
  return short_queue_.get();
}

bool receiver::can_start_long_call() const {
  const int max_long_calls = std::max(1, static_cast<int>(settings_.long_share * limit_->value()));
  return running_long_ < max_long_calls;
}

int receiver::queue_capacity() const {
  const int by_slots = static_cast<int>(settings_.queue_share * usable_slots());
  const std::optional<double> rate = rate_limiter_.rate();
  if (!rate) {
    return std::max(min_queue_capacity, by_slots);
  }
  const double by_time = *rate * to_seconds(settings_.rate_queue_time);
  return std::max({1, by_slots, static_cast<int>(std::min<double>(min_queue_capacity, by_time))});
}

int receiver::order_queue_capacity() const {
  const int by_slots = static_cast<int>(settings_.order_queue_share * usable_slots());
  return std::max({queue_capacity(), by_slots, rate_limiter_.rate() ? min_queue_capacity : 0});
}

int receiver::standing_queue_threshold() const {
  const int by_slots = static_cast<int>(settings_.standing_queue_share * usable_slots());
  // A short queue at a low rate can stand without reaching the usual number.
  return std::min(queue_capacity(), std::max(min_standing_queue, by_slots));
}

void receiver::report_waiting_counts() {
  level_controller::waiting_counts waiting{};
  for (int cls = 0; cls < call_class_count; ++cls) {
    const int last_priority = 2 * cls + 1;
    waiting.at(static_cast<std::size_t>(cls)) =
        short_queue_->size_up_to(last_priority) + long_queue_->size_up_to(last_priority);
  }
  level_controller_.on_waiting_changed(waiting, standing_queue_threshold());
}

}  // namespace nutmegarch::policy
