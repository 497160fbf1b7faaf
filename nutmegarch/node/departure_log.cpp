#include "nutmegarch/node/departure_log.h"

#include <functional>

#include "nutmegarch/observe/log.h"

namespace nutmegarch::node {

void take_departure_sign(node_state& state, const std::string& host, const policy::target_process& process,
                         policy::departure_sign sign, const std::string& request, time_point now) {
  if (!state.departures.add_sign(process, sign, now)) {
    return;
  }
  // Closed connections decide nothing, and occur without a departure.
  if (sign == policy::departure_sign::closed_connection) {
    return;
  }
  const std::int64_t started_ms = state.departures.newest_start(process.instance);
  state.endpoints.on_target_leaving(host, {process.instance, started_ms});
  state.metrics.add("departure_signs");
  const std::function<std::string(policy::departure_sign)> age = [&](policy::departure_sign other) {
    return departure_age_text(state.departures, process.instance, other, now);
  };
  observe::log_event(observe::log_level::info, "departure-sign",
                     {{"instance", process.instance},
                      {"started", std::to_string(started_ms)},
                      {"host", host},
                      {"sign", policy::name_of(sign)},
                      {"id", request},
                      {"published_ms", age(policy::departure_sign::published)},
                      {"answered_ms", age(policy::departure_sign::answered)},
                      {"unlisted_ms", age(policy::departure_sign::unlisted)},
                      {"closed_ms", age(policy::departure_sign::closed_connection)}});
}

std::string departure_age_text(const policy::departure_registry& departures, const std::string& instance,
                               policy::departure_sign sign, time_point now) {
  const std::optional<duration> age = departures.age_of(instance, sign, now);
  return age ? observe::to_milliseconds_text(*age) : std::string();
}

}  // namespace nutmegarch::node
