#include "nutmegarch/policy/service_state.h"

#include <algorithm>
#include <cmath>

namespace nutmegarch::policy {

namespace {

/// Most routes of one service whose latencies and levels are kept.
constexpr std::size_t most_routes = 256;
/// Latency of a route before its first answers.
constexpr duration assumed_latency = std::chrono::milliseconds(200);
/// Weight of one answer in the slowness of its endpoint, and the largest ratio that one answer counts for.
constexpr double slowness_weight = 0.05;
constexpr double most_slowness = 8;
/// Weight of one answer in the mean size of a route's answers, and the size that is expected before the
/// first.
constexpr double size_weight = 0.1;
constexpr double assumed_answer_size = 1'000;
/// Weight of one answer in the mean levels of its route.
constexpr double level_weight = 0.2;
/// Latencies below it are taken as equal.
constexpr duration least_latency = std::chrono::milliseconds(1);

admission_level to_level(double cutoff) { return {static_cast<std::uint16_t>(std::lround(cutoff))}; }

}  // namespace

service_state::service_state(const sender_settings& settings)
    : retries(settings.retries),
      hedges(settings.hedges),
      settings_(settings),
      choice_(make_routing_choice(settings.pass_through ? routing_kind::round_robin : settings.routing,
                                  settings.score)) {}

bool service_state::is_usable(const endpoint& candidate, const std::string& route, time_point now) const {
  return now >= candidate.ejected_until && !is_stalled(candidate, route, now);
}

bool service_state::is_stalled(const endpoint& candidate, const std::string& route, time_point now) const {
  if (candidate.outstanding == 0) {
    return false;
  }
  const duration usual = latency_of(route, 0.5);
  const duration patience =
      usual + from_seconds(settings_.stall_gaps * to_seconds(usual) / candidate.outstanding);
  return now - candidate.awaiting_since > std::max(patience, settings_.stall_least);
}

void service_state::note_report(endpoint& from, const std::string& route, const attempt_answer& answer,
                                time_point now) {
  from.awaiting_since = now;
  from.consecutive_losses = 0;
  from.ejections = 0;
  from.ejected_until = time_point{};
  from.carried_load = answer.report->load;
  from.carried_at = now;
  from.outstanding_at_report = from.outstanding;
  from.level = answer.report->level;
  from.level_expires = now + settings_.level_lifetime;
  from.said_leaving = answer.report->leaving;
  if (answer.report->incarnation != 0) {
    from.incarnation = answer.report->incarnation;
  }
  route_state* const known = find_or_add_route(route);
  if (known != nullptr) {
    if (now >= known->level_expires) {
      known->cutoff = admit_all_level.cutoff;
      known->cutoff_below = admit_all_level.cutoff;
    }
    const std::uint16_t cutoff = std::min(answer.report->level.cutoff, answer.route_level.cutoff);
    known->cutoff += level_weight * (cutoff - known->cutoff);
    known->cutoff_below += level_weight * (answer.route_level.cutoff - known->cutoff_below);
    known->level_expires = now + settings_.level_lifetime;
    known->calls_on = answer.calls_on;
  }
}

void service_state::note_success(endpoint& from, const std::string& route, duration latency,
                                 std::size_t size) {
  route_state* const known = find_or_add_route(route);
  if (known != nullptr) {
    const double usual = to_seconds(known->latency.quantile(0.5, latency));
    const double ratio = to_seconds(latency) / std::max(usual, to_seconds(least_latency));
    from.slowness += slowness_weight * (std::min(ratio, most_slowness) - from.slowness);
    known->latency.add(latency);
    const double bytes = static_cast<double>(size);
    known->answer_size =
        known->answer_size == 0 ? bytes : known->answer_size + size_weight * (bytes - known->answer_size);
  }
  retries.on_success();
  hedges.on_success();
}

void service_state::note_loss(endpoint& from, time_point now) {
  ++from.consecutive_losses;
  // One that was out is on probation: its next loss takes it out again.
  const int allowed = from.ejections > 0 ? 1 : settings_.losses_to_eject;
  if (from.consecutive_losses < allowed || now < from.ejected_until) {
    return;
  }

  // Keep enough endpoints in, whatever they look like from here.
  const std::size_t out = static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(),
                    [&](const endpoint_ptr& known) { return now < known->ejected_until; }));
  if (static_cast<double>(out + 1) > settings_.most_ejected_share * static_cast<double>(endpoints_.size())) {
    return;
  }
  const duration length = settings_.ejection * (1U << static_cast<unsigned>(std::min(from.ejections, 5)));
  from.ejected_until = now + std::min(length, settings_.longest_ejection);
  ++from.ejections;
  from.consecutive_losses = 0;
}

void service_state::forget_reports() {
  for (std::pair<const std::string, route_state>& route : routes_) {
    route.second.level_expires = time_point{};
  }
  for (const endpoint_ptr& known : endpoints_) {
    known->level_expires = time_point{};
    known->carried_at = time_point{};
    known->ejected_until = time_point{};
    known->consecutive_losses = 0;
  }
}

admission_level service_state::level_of(const std::string& route, time_point now) const {
  const route_state* const known = find_route(route);
  return known != nullptr && now < known->level_expires ? to_level(known->cutoff) : admit_all_level;
}

bool service_state::is_shed_below(const call_context& context, time_point now) const {
  const route_state* const route = find_route(context.route);
  return route != nullptr && now < route->level_expires &&
         !admits(to_level(route->cutoff_below), context.cls, context.shed_rank);
}

bool service_state::calls_on(const std::string& route) const {
  const route_state* const known = find_route(route);
  return known == nullptr || known->calls_on;
}

double service_state::answer_size(const std::string& route) const {
  const route_state* const known = find_route(route);
  return known == nullptr || known->answer_size == 0 ? assumed_answer_size : known->answer_size;
}

duration service_state::hedge_delay(const std::string& route) const {
  return std::max(latency_of(route, settings_.hedge_quantile), settings_.hedge_least_delay);
}

const service_state::route_state* service_state::find_route(const std::string& route) const {
  auto found = routes_.find(route);
  return found == routes_.end() ? nullptr : &found->second;
}

service_state::route_state* service_state::find_or_add_route(const std::string& route) {
  auto found = routes_.find(route);
  if (found == routes_.end() && routes_.size() < most_routes) {
    found = routes_.emplace(route, route_state{}).first;
  }
  return found == routes_.end() ? nullptr : &found->second;
}

duration service_state::latency_of(const std::string& route, double q) const {
  const route_state* const known = find_route(route);
  return known == nullptr ? assumed_latency : known->latency.quantile(q, assumed_latency);
}

}  // namespace nutmegarch::policy
