#include "nutmegarch/policy/service_state.h"

#include <algorithm>
#include <cmath>

namespace nutmegarch::policy {

namespace {

/// Maximum number of routes of one service whose latencies and levels are tracked.
constexpr std::size_t max_tracked_routes = 256;
/// Latency that is assumed for a route before its first answers.
constexpr duration default_latency = std::chrono::milliseconds(200);
/// Weight of one answer in the moving average of the relative latency of its endpoint.
constexpr double relative_latency_weight = 0.05;
/// Weight of one answer in the moving average of the latency of its endpoint.
constexpr double mean_latency_weight = 0.05;
/// Upper bound of the latency ratio of a single answer.
constexpr double max_latency_ratio = 8;
/// Weight of one answer in the moving average of the size of a route's answers.
constexpr double answer_size_weight = 0.1;
/// Size in bytes that is assumed for the answers of a route before the first one.
constexpr double default_answer_size = 1'000;
/// Weight of one answer in the moving averages of the levels of its route.
constexpr double level_weight = 0.2;
/// How long a route counts as an inner one after an answer told so. A node that has just started can't tell
/// yet, so its answers don't shorten it.
constexpr duration inner_route_lifetime = std::chrono::seconds(10);
/// Lower bound of the median latency in latency ratios.
constexpr duration min_latency = std::chrono::milliseconds(1);

admission_level to_level(double cutoff) { return {static_cast<std::uint16_t>(std::lround(cutoff))}; }

}  // namespace

service_state::service_state(const sender_settings& settings)
    : retries(settings.retries),
      hedges(settings.hedges),
      settings_(settings),
      pace_(settings.pace),
      balancer_(make_load_balancer(settings.pass_through ? routing_kind::round_robin : settings.routing,
                                   settings.score)) {}

void service_state::set_endpoints(std::vector<endpoint_ptr> endpoints) {
  endpoints_ = std::move(endpoints);
  for (const endpoint_ptr& listed : endpoints_) {
    if (listed->is_new) {
      listed->is_new = false;
      pace_.begin(*listed);
    }
  }
}

bool service_state::is_usable(const endpoint& candidate, const std::string& route, time_point now) const {
  return now >= candidate.ejected_until && !is_stalled(candidate, route, now);
}

bool service_state::is_stalled(const endpoint& candidate, const std::string& route, time_point now) const {
  if (candidate.outstanding == 0) {
    return false;
  }
  const duration median = latency_of(route, 0.5);
  const duration max_silence =
      median + from_seconds(settings_.stall_gaps * to_seconds(median) / candidate.outstanding);
  return now - candidate.awaiting_since > std::max(max_silence, settings_.min_stall_time);
}

void service_state::record_report(endpoint& from, const std::string& route, const attempt_answer& answer,
                                  time_point now) {
  from.awaiting_since = now;
  from.consecutive_losses = 0;
  from.ejections = 0;
  from.ejected_until = time_point{};
  from.reported_load = answer.report->load;
  from.load_reported_at = now;
  from.outstanding_at_report = from.outstanding;
  from.level = answer.report->level;
  from.level_expires = now + settings_.level_lifetime;
  from.reported_leaving = answer.report->leaving;
  from.max_request_rate = answer.report->rate ? answer.report->rate->per_second : 0;
  from.rate_named_at = answer.report->rate ? now - answer.report->rate->age : time_point{};
  if (answer.report->incarnation != 0) {
    from.incarnation = answer.report->incarnation;
  }
  route_state* const state = find_or_add_route(route);
  if (state != nullptr) {
    if (now >= state->level_expires) {
      state->cutoff = admit_all_level.cutoff;
      state->downstream_cutoff = admit_all_level.cutoff;
    }
    const std::uint16_t cutoff = std::min(answer.report->level.cutoff, answer.route_level.cutoff);
    state->cutoff += level_weight * (cutoff - state->cutoff);
    state->downstream_cutoff += level_weight * (answer.route_level.cutoff - state->downstream_cutoff);
    state->level_expires = now + settings_.level_lifetime;
    state->has_downstream_calls = answer.has_downstream_calls;
    if (answer.is_inner_route) {
      state->inner_until = now + inner_route_lifetime;
    }
  }
}

void service_state::record_success(endpoint& from, const std::string& route, duration latency,
                                   std::size_t size) {
  from.mean_latency =
      from.mean_latency == duration{}
          ? latency
          : from.mean_latency + from_seconds(mean_latency_weight * to_seconds(latency - from.mean_latency));
  route_state* const state = find_or_add_route(route);
  if (state != nullptr) {
    const double median = to_seconds(state->latency.quantile(0.5, latency));
    const double ratio = to_seconds(latency) / std::max(median, to_seconds(min_latency));
    from.relative_latency +=
        relative_latency_weight * (std::min(ratio, max_latency_ratio) - from.relative_latency);
    state->latency.add(latency);
    pace_.on_answer(from, ratio);
    const double bytes = static_cast<double>(size);
    state->answer_size = state->answer_size == 0
                             ? bytes
                             : state->answer_size + answer_size_weight * (bytes - state->answer_size);
  }
  retries.on_success();
  hedges.on_success();
}

void service_state::record_loss(endpoint& from, time_point now) {
  ++from.consecutive_losses;
  pace_.on_loss(from);
  // An endpoint that has not answered since its last ejection is ejected again after a single loss.
  const int allowed = from.ejections > 0 ? 1 : settings_.losses_to_eject;
  if (from.consecutive_losses < allowed || now < from.ejected_until) {
    return;
  }

  // Limit the share of ejected endpoints, even if more of them appear to have failed.
  const std::size_t ejected_count = static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(),
                    [&](const endpoint_ptr& candidate) { return now < candidate->ejected_until; }));
  if (static_cast<double>(ejected_count + 1) >
      settings_.max_ejected_share * static_cast<double>(endpoints_.size())) {
    return;
  }
  const duration length =
      settings_.base_ejection_time * (1U << static_cast<unsigned>(std::min(from.ejections, 5)));
  from.ejected_until = now + std::min(length, settings_.max_ejection_time);
  ++from.ejections;
  from.consecutive_losses = 0;
  pace_.begin(from);
}

void service_state::forget_reports() {
  for (std::pair<const std::string, route_state>& route : routes_) {
    route.second.level_expires = time_point{};
  }
  for (const endpoint_ptr& candidate : endpoints_) {
    candidate->level_expires = time_point{};
    candidate->load_reported_at = time_point{};
    candidate->ejected_until = time_point{};
    candidate->consecutive_losses = 0;
  }
}

admission_level service_state::level_of(const std::string& route, time_point now) const {
  const route_state* const state = find_route(route);
  return state != nullptr && now < state->level_expires ? to_level(state->cutoff) : admit_all_level;
}

bool service_state::is_shed_downstream(const call_context& context, time_point now) const {
  const route_state* const route = find_route(context.route);
  return route != nullptr && now < route->level_expires &&
         !admits(to_level(route->downstream_cutoff), context.cls, context.shed_rank);
}

bool service_state::has_downstream_calls(const std::string& route) const {
  const route_state* const state = find_route(route);
  return state == nullptr || state->has_downstream_calls;
}

bool service_state::is_inner_route(const std::string& route, time_point now) const {
  const route_state* const state = find_route(route);
  return state != nullptr && now < state->inner_until;
}

double service_state::answer_size(const std::string& route) const {
  const route_state* const state = find_route(route);
  return state == nullptr || state->answer_size == 0 ? default_answer_size : state->answer_size;
}

duration service_state::hedge_delay(const std::string& route) const {
  return std::max(latency_of(route, settings_.hedge_quantile), settings_.min_hedge_delay);
}

const service_state::route_state* service_state::find_route(const std::string& route) const {
  auto found = routes_.find(route);
  return found == routes_.end() ? nullptr : &found->second;
}

service_state::route_state* service_state::find_or_add_route(const std::string& route) {
  auto found = routes_.find(route);
  if (found == routes_.end() && routes_.size() < max_tracked_routes) {
    found = routes_.emplace(route, route_state{}).first;
  }
  return found == routes_.end() ? nullptr : &found->second;
}

duration service_state::latency_of(const std::string& route, double q) const {
  const route_state* const state = find_route(route);
  return state == nullptr ? default_latency : state->latency.quantile(q, default_latency);
}

}  // namespace nutmegarch::policy
