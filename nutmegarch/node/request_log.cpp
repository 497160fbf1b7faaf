#include "nutmegarch/node/request_log.h"

#include <cstdio>

namespace nutmegarch::node {

namespace {

using observe::to_milliseconds_text;

/// One in this many successful requests is logged. The request id selects them, so all nodes log the same
/// ones.
constexpr std::uint64_t success_sample_interval = 256;

std::string number_text(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

/// Formats each attempt as "INSTANCE@ADDRESS sent=MS took=MS outcome=O reason=R load=L age=MS slowness=S",
/// separated by semicolons.
std::string attempts_text(const policy::outbound_call& call) {
  std::string text;
  for (const policy::attempt& sent_attempt : call.attempts) {
    text += text.empty() ? "" : "; ";
    text += (sent_attempt.to->instance.empty() ? sent_attempt.to->host : sent_attempt.to->instance) + '@' +
            sent_attempt.to->address;
    text += " sent=" + to_milliseconds_text(sent_attempt.sent - call.started);
    if (sent_attempt.latency > duration{}) {
      text += " took=" + to_milliseconds_text(sent_attempt.latency) +
              " outcome=" + name_of(sent_attempt.outcome) + " reason=" + name_of(sent_attempt.reason);
    } else {
      text += " open";
    }
    text += " load=" + number_text(sent_attempt.load) + " age=" +
            (sent_attempt.load_age < duration{} ? std::string("none")
                                                : to_milliseconds_text(sent_attempt.load_age)) +
            " slowness=" + number_text(sent_attempt.relative_latency) +
            (sent_attempt.is_hedge ? " hedge" : "");
  }
  return text;
}

/// Formats the counts as "near=N far=N doubtful=N shed=N out=N".
std::string endpoints_text(const policy::endpoint_counts& counts) {
  return "near=" + std::to_string(counts.near) + " far=" + std::to_string(counts.far) +
         " doubtful=" + std::to_string(counts.unhealthy) + " shed=" + std::to_string(counts.shed) +
         " out=" + std::to_string(counts.unavailable);
}

}  // namespace

void request_log::on_completed(const policy::outbound_call& call, call_outcome outcome, call_reason reason,
                               std::uint64_t configuration, time_point now) {
  const bool is_failure = outcome != call_outcome::ok;
  const bool is_sampled = call.context.id.low % success_sample_interval == 0;
  if (!is_failure && !is_sampled) {
    return;
  }
  if (!may_log(now)) {
    return;
  }
  observe::log_event(observe::log_level::info, "request-ended",
                     {{"id", call.context.attempt_id},
                      {"route", call.context.route},
                      {"service", call.context.service},
                      {"class", name_of(call.context.cls)},
                      {"rank", std::to_string(call.context.shed_rank)},
                      {"outcome", name_of(outcome)},
                      {"reason", name_of(reason)},
                      {"took_ms", to_milliseconds_text(now - call.started)},
                      {"allowed_ms", to_milliseconds_text(call.deadline - call.started)},
                      {"configuration", std::to_string(configuration)},
                      {"endpoints", endpoints_text(call.last_selection)},
                      {"attempts", attempts_text(call)}});
}

void request_log::on_rejected(const std::string& attempt_id, const std::string& target, call_reason reason,
                              std::uint64_t configuration, time_point now) {
  if (may_log(now)) {
    observe::log_event(observe::log_level::info, "request-rejected",
                       {{"id", attempt_id},
                        {"target", target.substr(0, target.find('?'))},
                        {"reason", name_of(reason)},
                        {"configuration", std::to_string(configuration)}});
  }
}

void request_log::on_refused(const policy::inbound_call& call, call_reason reason,
                             const policy::receiver& receiver, time_point now) {
  if (may_log(now)) {
    observe::log_event(
        observe::log_level::info, "call-refused",
        {{"id", call.context.attempt_id},
         {"route", call.context.route},
         {"class", name_of(call.context.cls)},
         {"rank", std::to_string(call.context.shed_rank)},
         {"reason", name_of(reason)},
         {"waited_ms", to_milliseconds_text(now - call.arrived)},
         {"left_ms", call.deadline == never ? "none" : to_milliseconds_text(call.deadline - now)},
         {"running", std::to_string(receiver.running())},
         {"waiting", std::to_string(receiver.waiting())},
         {"limit", std::to_string(receiver.limit())},
         {"level", std::to_string(receiver.level().cutoff)}});
  }
}

void request_log::on_target_failure(const policy::inbound_call& call, call_outcome outcome,
                                    call_reason reason, int status, const char* error, time_point now) {
  if (may_log(now)) {
    observe::log_event(observe::log_level::info, "call-failed",
                       {{"id", call.context.attempt_id},
                        {"route", call.context.route},
                        {"instance", call.context.instance},
                        {"outcome", name_of(outcome)},
                        {"reason", name_of(reason)},
                        {"status", std::to_string(status)},
                        {"error", error},
                        {"waited_ms", to_milliseconds_text(call.started - call.arrived)},
                        {"ran_ms", to_milliseconds_text(now - call.started)}});
  }
}

bool request_log::may_log(time_point now) {
  if (!line_budget_.take(now)) {
    return false;
  }
  const std::uint64_t suppressed = line_budget_.take_suppressed();
  if (suppressed > 0) {
    observe::log_event(observe::log_level::warning, "request-lines-suppressed",
                       {{"lines", std::to_string(suppressed)}});
  }
  return true;
}

}  // namespace nutmegarch::node
