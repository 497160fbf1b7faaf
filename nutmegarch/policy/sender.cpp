#include "nutmegarch/policy/sender.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace nutmegarch::policy {

namespace {

/// Nodes that are asked for one call, those that refuse it included.
constexpr std::size_t most_sends = 6;

bool was_tried(const outbound_call& call, const endpoint& candidate) {
  return std::any_of(call.attempts.begin(), call.attempts.end(),
                     [&](const attempt& tried) { return tried.to.get() == &candidate; });
}

/// What is known of a call whose attempts have brought no answer. Other copies of a ticketed order may be
/// under way by other nodes, so only its home can say that it has not run.
call_outcome outcome_without_answer(const outbound_call& call, bool is_open) {
  return call.context.ticket || call.may_have_run || is_open ? call_outcome::unknown : call_outcome::not_run;
}

bool has_open_attempt(const outbound_call& call) {
  return std::any_of(call.attempts.begin(), call.attempts.end(),
                     [](const attempt& tried) { return tried.open; });
}

}  // namespace

sender::sender(const sender_settings& settings, random_source& random)
    : settings_(settings), random_(random), link_(settings.link) {}

void sender::set_endpoints(const std::string& service, std::vector<endpoint_ptr> endpoints) {
  state_of(service).set_endpoints(std::move(endpoints));
}

const std::vector<endpoint_ptr>* sender::endpoints(const std::string& service) const {
  auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second.endpoints();
}

void sender::set_retry_bucket(const bucket_settings& settings) {
  settings_.retries = settings;
  for (std::pair<const std::string, service_state>& entry : services_) {
    entry.second.retries.set(settings);
  }
}

void sender::forget_reports() {
  for (std::pair<const std::string, service_state>& entry : services_) {
    entry.second.forget_reports();
  }
}

void sender::start(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  call->started = now;
  if (!call->ledger) {
    call->ledger = retry_ledger_ptr(new retry_ledger(settings_.retry_budget));
  }

  // A call below an attempt that may have run before is itself an extra attempt.
  const bool repeated = call->context.repeated && !settings_.pass_through;
  if (repeated && !call->ledger->withdraw()) {
    complete(call, outcome_without_answer(*call, false), call_reason::retry_budget, 0, now, actions);
    return;
  }
  if (now >= call->deadline) {
    complete(call, outcome_without_answer(*call, false), call_reason::deadline, 0, now, actions);
    return;
  }

  service_state& service = state_of(call->context.service);
  const selection selected = select(service, *call, now);
  if (selected.chosen == nullptr) {
    complete(call, outcome_without_answer(*call, false), selected.reason, 0, now, actions);
    return;
  }
  send(call, *selected.chosen, call->context.repeated, false, now, actions);

  // Watch the deadline, and the moment at which a hedge may help.
  if (call->deadline != never) {
    timers_.push({call->deadline, call, true});
  }
  if (call->may_hedge && call->context.idempotent && !settings_.pass_through) {
    timers_.push({now + service.hedge_delay(call->context.route), call, false});
  }
}

void sender::on_answer(const outbound_call_ptr& call, std::size_t index, const attempt_answer& answer,
                       time_point now, sender_actions& actions) {
  attempt& answered = call->attempts.at(index);
  if (!answered.open) {
    return;
  }
  close(answered);
  answered.outcome = answer.outcome;
  answered.reason = answer.reason;
  answered.latency = now - answered.sent;
  call->ledger->put_back(answer.tokens_back, answered.tokens_given);
  call->arrivals += answer.reached_target ? 1 : 0;

  // Learn from the answer, also when it comes too late for the caller.
  service_state& service = state_of(call->context.service);
  if (answer.reason == call_reason::other_instance) {
    answered.to->gone_until = now + settings_.gone_time;
  }
  if (answer.report) {
    service.note_report(*answered.to, call->context.route, answer, now);
  } else {
    service.note_loss(*answered.to, now);
  }
  if (answer.outcome == call_outcome::ok) {
    service.note_success(*answered.to, call->context.route, now - answered.sent, answer.size);
  }
  if (call->done) {
    return;
  }

  // Pass on what the target itself said; otherwise try again or tell what is known.
  if (answer.outcome == call_outcome::ok || answer.outcome == call_outcome::failed) {
    complete(call, answer.outcome, answer.reason, index, now, actions);
    return;
  }
  call->may_have_run = call->may_have_run || answer.outcome == call_outcome::unknown;
  call->last_refusal = answer.reason;
  // The home of a ticket vouches for all its copies; any other refusal speaks for one attempt only.
  const bool is_vouched = call->context.ticket && answer.outcome == call_outcome::not_run && answer.report;
  const call_outcome known = is_vouched ? call_outcome::not_run : outcome_without_answer(*call, false);
  retry_or_complete(call, known, now, actions);
}

void sender::cancel(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  if (!call->done) {
    complete(call, outcome_without_answer(*call, has_open_attempt(*call)), call_reason::cancelled, 0, now,
             actions);
  }
}

void sender::on_time(time_point now, sender_actions& actions) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const timer due = timers_.top();
    timers_.pop();
    if (due.call->done) {
      continue;
    }
    if (!due.is_deadline) {
      hedge(due.call, now, actions);
      continue;
    }
    const call_outcome outcome = outcome_without_answer(*due.call, has_open_attempt(*due.call));
    complete(due.call, outcome, call_reason::deadline, 0, now, actions);
  }
}

endpoint_ptr sender::choose_ticket_home(const call_context& order, time_point now) {
  outbound_call question;
  question.context = order;
  question.context.ticket.reset();
  return select(state_of(order.service), question, now).chosen;
}

time_point sender::next_timer() const { return timers_.empty() ? never : timers_.top().at; }

admission_level sender::level_of(const std::string& service, const std::string& route, time_point now) const {
  auto found = services_.find(service);
  return found == services_.end() ? admit_all_level : found->second.level_of(route, now);
}

service_state& sender::state_of(const std::string& service) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, service_state(settings_)).first;
  }
  return found->second;
}

sender::selection sender::select(service_state& service, outbound_call& call, time_point now) {
  if (call.context.ticket && !settings_.pass_through) {
    return select_ticket_home(service, call);
  }

  // The baseline knows only who is published as live.
  std::vector<endpoint*> near;
  std::vector<endpoint*> far;
  if (settings_.pass_through) {
    for (const endpoint_ptr& known : service.endpoints()) {
      if (!known->published_leaving) {
        near.push_back(known.get());
      }
    }
    return near.empty() ? selection{} : selection{service.choose(near, now, random_), call_reason::none};
  }

  // Shed here what lies below would refuse, before any work or byte is spent on it.
  if (!call.context.inner && service.is_shed_below(call.context, now)) {
    return {nullptr, call_reason::shed_level};
  }

  // Split the usable endpoints by region; remember whether levels alone ruled some out.
  endpoint_view& view = call.view;
  view = endpoint_view{};
  endpoint* last_resort = nullptr;
  for (const endpoint_ptr& known : service.endpoints()) {
    if (known->leaving() || now < known->gone_until || was_tried(call, *known)) {
      ++view.out;
      continue;
    }
    if (!call.context.inner && now < known->level_expires &&
        !admits(known->level, call.context.cls, call.context.shed_rank)) {
      ++view.shed;
      continue;
    }
    if (!service.is_usable(*known, call.context.route, now)) {
      if (last_resort == nullptr || known->distance < last_resort->distance) {
        last_resort = known.get();
      }
      ++view.doubtful;
      continue;
    }
    (known->distance == proximity::other_region ? far : near).push_back(known.get());
  }
  view.near = static_cast<int>(near.size());
  view.far = static_cast<int>(far.size());
  // Too little time for a near endpoint is too little for one behind a longer way.
  if (call.last_refusal == call_reason::deadline) {
    far.clear();
  }
  if (!near.empty() || !far.empty()) {
    const selection selected = choose_within_link(service, call, near, far, now);
    if (selected.chosen != nullptr) {
      return selected;
    }
  }
  if (view.shed > 0) {
    return {nullptr, call_reason::shed_level};
  }
  // Everything else is out, or behind a link without room: a doubtful endpoint is better than none.
  if (last_resort != nullptr && link_allows(service, *last_resort, call, now)) {
    return {last_resort, call_reason::none};
  }
  return {};
}

sender::selection sender::select_ticket_home(const service_state& service, const outbound_call& call) const {
  for (const endpoint_ptr& known : service.endpoints()) {
    if (known->incarnation == call.context.ticket->incarnation) {
      return {known.get(), call_reason::none};
    }
  }
  // It may be one that has not spoken yet. Any other node refuses a ticket that is not its own.
  for (const endpoint_ptr& known : service.endpoints()) {
    if (known->incarnation == 0 && !was_tried(call, *known)) {
      return {known.get(), call_reason::none};
    }
  }
  return {nullptr, call_reason::ticket_foreign};
}

sender::selection sender::choose_within_link(service_state& service, const outbound_call& call,
                                             const std::vector<endpoint*>& near,
                                             const std::vector<endpoint*>& far, time_point now) {
  std::vector<endpoint*> candidates = near;
  if (near.empty() || settings_.score.compares_regions) {
    candidates.insert(candidates.end(), far.begin(), far.end());
  }
  endpoint* const best = service.choose(candidates, now, random_);
  if (link_allows(service, *best, call, now)) {
    return {best, call_reason::none};
  }
  return near.empty() ? selection{} : selection{service.choose(near, now, random_), call_reason::none};
}

bool sender::link_allows(const service_state& service, const endpoint& to, const outbound_call& call,
                         time_point now) {
  const double bytes = static_cast<double>(call.size) + service.answer_size(call.context.route);
  return to.distance != proximity::other_region || link_.withdraw(bytes, call.context.cls, now);
}

void sender::send(const outbound_call_ptr& call, endpoint& to, bool repeated, bool is_hedge, time_point now,
                  sender_actions& actions) {
  // Record the attempt.
  attempt made;
  made.to = &to;
  made.sent = now;
  const bool calls_on = state_of(call->context.service).calls_on(call->context.route);
  made.tokens_given = calls_on ? call->ledger->take_share() : std::uint16_t{0};
  made.is_hedge = is_hedge;
  made.load = to.carried_load;
  made.load_age = to.carried_at == time_point{} ? duration(-1) : now - to.carried_at;
  made.slowness = to.slowness;
  call->attempts.push_back(made);
  if (to.joined == time_point{}) {
    to.joined = now;
  }
  if (to.outstanding == 0) {
    to.awaiting_since = now;
  }
  ++to.outstanding;

  // Write what travels with it.
  sender_action action;
  action.what = sender_action::kind::send;
  action.call = call;
  action.attempt = call->attempts.size() - 1;
  action.context = call->context;
  action.context.repeated = repeated;
  action.context.retry_tokens = made.tokens_given;
  action.context.remaining = call->deadline == never ? duration::max() : call->deadline - now;
  action.context.instance = to.instance;
  actions.push_back(std::move(action));
}

void sender::retry_or_complete(const outbound_call_ptr& call, call_outcome known, time_point now,
                               sender_actions& actions) {
  // Another attempt is still open, and may bring the answer.
  if (has_open_attempt(*call)) {
    return;
  }
  if (!may_retry(*call, known) || now >= call->deadline) {
    complete(call, known, call->last_refusal, 0, now, actions);
    return;
  }
  service_state& service = state_of(call->context.service);
  const selection selected = select(service, *call, now);
  // Only a target's second arrival is paid for: a refusal by the node beside it has cost the target nothing.
  // A call that makes calls of its own repeats them, too, unless it was refused before it ran.
  const bool is_free = call->arrivals == 0;
  if (settings_.retries_leaves_only && call->may_have_run && service.calls_on(call->context.route)) {
    complete(call, known, call->last_refusal, 0, now, actions);
    return;
  }
  const bool paid = selected.chosen != nullptr &&
                    (is_free || (service.retries.has_token(call->context.cls) && call->ledger->withdraw()));
  if (!paid) {
    complete(call, known, call->last_refusal, 0, now, actions);
    return;
  }
  if (!is_free) {
    service.retries.withdraw(call->context.cls);
  }
  send(call, *selected.chosen, call->context.repeated || call->may_have_run, false, now, actions);
}

bool sender::may_reach_another(const outbound_call& call) const {
  // An open attempt may have reached its target by now.
  const std::size_t most = call.most_attempts == 0 ? settings_.most_attempts : call.most_attempts;
  const std::size_t open = static_cast<std::size_t>(std::count_if(
      call.attempts.begin(), call.attempts.end(), [](const attempt& tried) { return tried.open; }));
  return call.arrivals + open < most && call.attempts.size() < most_sends;
}

bool sender::may_retry(const outbound_call& call, call_outcome outcome) const {
  if (settings_.pass_through || !may_reach_another(call)) {
    return false;
  }
  // A ticket is asked for again at the same home only; its registry gives the first answer again.
  if (call.context.ticket) {
    return outcome == call_outcome::unknown;
  }
  return outcome == call_outcome::not_run || call.context.idempotent;
}

void sender::complete(const outbound_call_ptr& call, call_outcome outcome, call_reason reason,
                      std::size_t index, time_point now, sender_actions& actions) {
  call->done = true;
  for (std::size_t i = 0; i < call->attempts.size(); ++i) {
    attempt& open = call->attempts.at(i);
    if (!open.open) {
      continue;
    }
    // An attempt that waits while its endpoint answers nothing at all counts against the endpoint.
    service_state& service = state_of(call->context.service);
    const bool is_silent =
        open.to->awaiting_since <= open.sent && service.is_stalled(*open.to, call->context.route, now);
    if (is_silent) {
      service.note_loss(*open.to, now);
    }
    close(open);
    sender_action action;
    action.what = sender_action::kind::abandon;
    action.call = call;
    action.attempt = i;
    actions.push_back(std::move(action));
  }
  sender_action action;
  action.what = sender_action::kind::complete;
  action.call = call;
  action.attempt = index;
  action.outcome = outcome;
  action.reason = reason;
  actions.push_back(std::move(action));
}

void sender::hedge(const outbound_call_ptr& call, time_point now, sender_actions& actions) {
  service_state& service = state_of(call->context.service);
  const bool first_only = call->attempts.size() == 1 && call->attempts.front().open;
  if (!first_only || call->hedged || !may_reach_another(*call) || call->context.repeated ||
      !service.hedges.has_token(call->context.cls)) {
    return;
  }
  const selection selected = select(service, *call, now);
  if (selected.chosen == nullptr || selected.chosen->distance == proximity::other_region) {
    return;
  }
  if (!call->ledger->withdraw()) {
    return;
  }
  service.hedges.withdraw(call->context.cls);
  call->hedged = true;
  send(call, *selected.chosen, true, true, now, actions);
}

void sender::close(attempt& ended) {
  ended.open = false;
  assert(ended.to->outstanding > 0);
  --ended.to->outstanding;
}

}  // namespace nutmegarch::policy
