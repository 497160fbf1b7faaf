#include "performance_test/virtual_time/fake_callers.h"

#include <algorithm>
#include <utility>

namespace nutmegarch::performance_test {

struct fake_callers::request {
  call_context context;
  tracked_request_ptr tracked = std::make_shared<tracked_request>();
  time_point first_sent{};
  int resends_left = 0;
  bool done = false;
  int attempt_number = 0;
};

fake_callers::fake_callers(deployment& fleet, const caller_settings& settings)
    : fleet_(fleet), settings_(settings), begin_(fleet.events().now()) {
  const std::vector<fake_node*> nodes = fleet.nodes(0);
  if (settings_.entries.empty()) {
    entries_ = nodes;
  }
  for (const std::size_t entry : settings_.entries) {
    entries_.push_back(nodes.at(entry));
  }
}

void fake_callers::run(duration settle) {
  steps_.resize(static_cast<std::size_t>((settings_.length + settle) / step_length) + 2);
  arrive();
  fleet_.events().run_until(begin_ + settings_.length + settle);
}

double fake_callers::answered_rate(duration begin, duration end, bool orders_only) const {
  double count = 0;
  for (std::size_t i = step_at(begin_ + begin); i < step_at(begin_ + end); ++i) {
    count += steps_.at(i).answered.at(0);
    if (!orders_only) {
      count += steps_.at(i).answered.at(1) + steps_.at(i).answered.at(2);
    }
  }
  return count / to_seconds(end - begin);
}

double fake_callers::answered_share(duration begin, duration end, call_class cls) const {
  const double count = offered(begin, end, cls);
  return count == 0 ? 1 : answered_of_offered(begin, end, cls) / count;
}

double fake_callers::offered(duration begin, duration end, call_class cls) const {
  double count = 0;
  for (std::size_t i = step_at(begin_ + begin); i < step_at(begin_ + end); ++i) {
    count += steps_.at(i).offered.at(static_cast<std::size_t>(cls));
  }
  return count;
}

double fake_callers::answered_of_offered(duration begin, duration end, call_class cls) const {
  double count = 0;
  for (std::size_t i = step_at(begin_ + begin); i < step_at(begin_ + end); ++i) {
    count += steps_.at(i).answered_of_offered.at(static_cast<std::size_t>(cls));
  }
  return count;
}

double fake_callers::wasted_share() const {
  duration all{};
  duration wasted{};
  for (const tracked_request_ptr& tracked : tracked_) {
    all += tracked->target_time;
    wasted += tracked->in_time ? duration{} : tracked->target_time;
  }
  return all == duration{} ? 0 : to_seconds(wasted) / to_seconds(all);
}

duration fake_callers::latency_quantile(double q) const {
  if (latencies_.empty()) {
    return {};
  }
  std::vector<duration> sorted = latencies_;
  const std::size_t index =
      std::min(sorted.size() - 1, static_cast<std::size_t>(q * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
  return sorted.at(index);
}

void fake_callers::arrive() {
  event_queue& events = fleet_.events();
  const duration elapsed = events.now() - begin_;
  if (elapsed >= settings_.length) {
    return;
  }

  // Draw the request.
  random_source& random = fleet_.random();
  const request_ptr made = std::make_shared<request>();
  const double kind = random.uniform();
  made->context.cls = kind < settings_.order_share                               ? call_class::order
                      : kind < settings_.order_share + settings_.important_share ? call_class::important
                                                                                 : call_class::browse;
  made->context.service = fleet_.plan().services.front().name;
  made->context.route = random.uniform() < settings_.long_share ? "long" : "short";
  made->context.idempotent = made->context.cls != call_class::order && settings_.idempotent;
  made->resends_left = settings_.resends;
  made->first_sent = events.now();
  ++steps_.at(step_at(events.now())).offered.at(static_cast<std::size_t>(made->context.cls));
  tracked_.push_back(made->tracked);
  attempt(made);

  // Draw the time to the next one.
  const double rate = std::max(1e-3, settings_.rate(elapsed));
  std::exponential_distribution<double> gap(rate);
  events.after(from_seconds(gap(random.engine())), [this]() { arrive(); });
}

void fake_callers::attempt(const request_ptr& made) {
  event_queue& events = fleet_.events();
  random_source& random = fleet_.random();
  made->context.id = {random.bits(), random.bits()};
  made->context.shed_rank = shed_rank_of(made->context.id);
  made->context.ticket.reset();
  const int number = ++made->attempt_number;
  const time_point sent = events.now();
  fake_node& entry = *entries_.at(next_entry_++ % entries_.size());

  events.after(settings_.client_delay, [this, made, number, sent, &entry]() {
    const duration patience = settings_.patience - 2 * settings_.client_delay;
    entry.call(made->context, fleet_.plan().baseline ? duration::max() : patience, nullptr, made->tracked,
               [this, made, number, sent](call_outcome outcome, call_reason) {
                 fleet_.events().after(settings_.client_delay, [this, made, number, sent, outcome]() {
                   if (made->attempt_number == number) {
                     on_answer(made, outcome, sent);
                   }
                 });
               });
  });
  events.after(settings_.patience, [this, made, number]() {
    if (!made->done && made->attempt_number == number) {
      give_up_or_resend(made);
    }
  });
}

void fake_callers::on_answer(const request_ptr& made, call_outcome outcome, time_point sent) {
  if (made->done) {
    return;
  }
  if (outcome != call_outcome::ok) {
    give_up_or_resend(made);
    return;
  }
  made->done = true;
  made->tracked->in_time = true;
  const std::size_t cls = static_cast<std::size_t>(made->context.cls);
  ++steps_.at(step_at(fleet_.events().now())).answered.at(cls);
  ++steps_.at(step_at(made->first_sent)).answered_of_offered.at(cls);
  if (settings_.keep_latencies && made->context.route == "short") {
    latencies_.push_back(fleet_.events().now() - sent);
  }
}

void fake_callers::give_up_or_resend(const request_ptr& made) {
  ++made->attempt_number;
  if (made->resends_left == 0) {
    made->done = true;
    return;
  }
  --made->resends_left;
  fleet_.events().after(settings_.resend_delay, [this, made]() { attempt(made); });
}

std::size_t fake_callers::step_at(time_point moment) const {
  return std::min(steps_.size() - 1, static_cast<std::size_t>((moment - begin_) / step_length));
}

}  // namespace nutmegarch::performance_test
