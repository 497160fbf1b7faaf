#include "nutmegarch/node/admin_api.h"

#include <charconv>
#include <utility>

#include <boost/json.hpp>

#include "nutmegarch/http/problem.h"

namespace nutmegarch::node {

namespace {

answer_message make_json_answer(const boost::json::value& body) {
  return {200, {{"Content-Type", "application/json"}}, boost::json::serialize(body) + '\n'};
}

/// Decodes percent-encoding and plus signs of a query.
std::string percent_decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    const bool is_escape =
        text.at(i) == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3;
    if (is_escape) {
      decoded += static_cast<char>(code);
      i += 2;
    } else {
      decoded += text.at(i) == '+' ? ' ' : text.at(i);
    }
  }
  return decoded;
}

std::map<std::string, std::string> parse_query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t begin = target.find('?');
  while (begin != std::string::npos && begin + 1 < target.size()) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
    const std::size_t equals = pair.find('=');
    query[percent_decode(pair.substr(0, equals))] =
        equals == std::string::npos ? "" : percent_decode(pair.substr(equals + 1));
    begin = end;
  }
  return query;
}

std::string value_or(const std::map<std::string, std::string>& query, const std::string& key,
                     const std::string& fallback) {
  auto found = query.find(key);
  return found == query.end() ? fallback : found->second;
}

boost::json::object to_json(const rules::rule& rule) {
  return {{"rule", rule.text}, {"line", rule.line}, {"who", rule.who}, {"why", rule.why}};
}

std::int64_t unix_seconds(std::chrono::system_clock::time_point moment) {
  return std::chrono::duration_cast<std::chrono::seconds>(moment.time_since_epoch()).count();
}

}  // namespace

void admin_api::on_request(std::uint64_t, request_message request, answer_callback answer) {
  answer(dispatch(request));
}

answer_message admin_api::dispatch(const request_message& request) {
  if (request.method != "GET") {
    return http::make_problem(405, "Method Not Allowed",
                              "the admin API is read-only; rules are changed in the rule file");
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  const parameters query = parse_query(request.target);
  if (path == "/metrics") {
    return metrics();
  }
  if (path == "/status") {
    return status();
  }
  if (path == "/rules") {
    return rules();
  }
  if (path == "/timeline") {
    return timeline(query);
  }
  if (path == "/explain") {
    return explain(query);
  }
  return http::make_problem(404, "Not Found",
                            "unknown path; known paths: /metrics, /status, /rules, /timeline, /explain");
}

answer_message admin_api::metrics() const {
  std::map<std::string, double> gauges;
  const memory_usage memory = memory_.measure();
  for (const std::pair<std::string, std::size_t>& queue : memory.queues) {
    gauges[queue.first] = static_cast<double>(queue.second);
  }
  if (memory.process) {
    gauges["resident_bytes"] = static_cast<double>(memory.process->resident_bytes);
    gauges["peak_resident_bytes"] = static_cast<double>(memory.process->peak_bytes);
  }
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    gauges["running"] = state_.receiver.running();
    gauges["waiting"] = state_.receiver.waiting();
    gauges["limit"] = state_.receiver.limit();
    const std::optional<target_rate> rate = state_.receiver.rate(state_.clock.now());
    gauges["target_rate_limit"] = rate ? rate->per_second : 0;
    gauges["level_cutoff"] = state_.receiver.level().cutoff;
    gauges["outbound_open"] = static_cast<double>(outbound_.size());
    gauges["inbound_open"] = static_cast<double>(inbound_.size());
    gauges["rules_version"] = static_cast<double>(state_.rules.order().version);
    gauges["leaving"] = state_.leaving ? 1 : 0;
    if (state_.dialect) {
      const time_point now = state_.clock.now();
      gauges["view_confirmed"] = state_.view.is_confirmed() ? 1 : 0;
      gauges["view_age_seconds"] = to_seconds(now - state_.view.last_confirmed());
      gauges["store_era"] = static_cast<double>(state_.store_position.era);
      gauges["configuration_version"] = static_cast<double>(state_.configuration_version());
    }
  }
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, state_.metrics.to_text(gauges)};
}

answer_message admin_api::status() const {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  const time_point now = state_.clock.now();
  boost::json::array endpoints;
  std::vector<std::string> services = state_.settings.identity.called_services;
  services.push_back(state_.settings.identity.service);
  for (const std::string& service : services) {
    const std::vector<policy::endpoint_ptr>* const known = state_.sender.endpoints(service);
    if (known == nullptr) {
      continue;
    }
    for (const policy::endpoint_ptr& endpoint : *known) {
      endpoints.push_back(boost::json::object{
          {"host", endpoint->host},
          {"service", service},
          {"domain", endpoint->domain},
          {"outstanding", endpoint->outstanding},
          {"load", endpoint->reported_load},
          {"leaving", endpoint->leaving()},
          {"ejected", now < endpoint->ejected_until},
          {"level", now < endpoint->level_expires ? endpoint->level.cutoff : admit_all_level.cutoff}});
    }
  }
  return make_json_answer(boost::json::object{{"host", state_.settings.identity.host},
                                              {"service", state_.settings.identity.service},
                                              {"incarnation", state_.incarnation},
                                              {"leaving", state_.leaving},
                                              {"revalidating", state_.is_revalidating(now)},
                                              {"rules_version", state_.rules.order().version},
                                              {"running", state_.receiver.running()},
                                              {"waiting", state_.receiver.waiting()},
                                              {"limit", state_.receiver.limit()},
                                              {"level", state_.receiver.level().cutoff},
                                              {"live_tickets", state_.orders.live_tickets(now)},
                                              {"peers", state_.gossip.peers().size()},
                                              {"store_era", state_.store_position.era},
                                              {"store_revision", state_.store_position.revision},
                                              {"configuration_version", state_.configuration_version()},
                                              {"endpoints", endpoints}});
}

answer_message admin_api::rules() const {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  const std::shared_ptr<const rules::rule_table> table = state_.rules.table();
  boost::json::array listed;
  for (const rules::rule& rule : table->file().rules) {
    boost::json::object entry = to_json(rule);
    auto touched = state_.rule_match_counts.find(rule.line);
    entry["touched"] = touched == state_.rule_match_counts.end() ? 0 : touched->second;
    listed.push_back(entry);
  }
  return make_json_answer(boost::json::object{{"version", state_.rules.order().version},
                                              {"revision", state_.rules.order().revision},
                                              {"since", unix_seconds(state_.rules_since)},
                                              {"rules", listed}});
}

answer_message admin_api::timeline(const parameters& query) const {
  std::uint64_t after = 0;
  const std::string since = value_or(query, "after", "0");
  if (std::from_chars(since.data(), since.data() + since.size(), after).ptr != since.data() + since.size()) {
    return http::make_problem(400, "Bad Request", "parameter after: expected a stamp, found " + since);
  }
  const std::string kind = value_or(query, "kind", "");
  const std::string request = value_or(query, "request", "");
  boost::json::array listed;
  for (const observe::timeline_event& event : state_.events.read(after)) {
    const std::string id = event.request == request_id{} ? "" : observe::to_text(event.request);
    if ((!kind.empty() && kind != name_of(event.kind)) || (!request.empty() && request != id)) {
      continue;
    }
    listed.push_back(boost::json::object{{"stamp", event.stamp},
                                         {"kind", name_of(event.kind)},
                                         {"request", id},
                                         {"subject", event.subject},
                                         {"detail", event.detail}});
  }
  return make_json_answer(boost::json::object{{"host", state_.settings.identity.host}, {"events", listed}});
}

answer_message admin_api::explain(const parameters& query) const {
  const std::string service = value_or(query, "service", state_.settings.identity.service);
  const std::string path = value_or(query, "route", "/");
  const std::optional<call_class> cls = call_class_of(value_or(query, "class", "browse"));
  if (!cls) {
    return http::make_problem(400, "Bad Request", "parameter class: expected order, important or browse");
  }
  const std::lock_guard<std::mutex> lock(state_.mutex);
  const time_point now = state_.clock.now();
  const std::shared_ptr<const rules::rule_table> table = state_.rules.table();
  const rules::call_rules found = table->find({service, path, value_or(query, "caller", "")});
  const call_class effective_class = found.order != nullptr ? call_class::order
                                     : found.cls != nullptr ? *found.cls->cls
                                                            : *cls;
  const std::string route = "GET " + path.substr(0, path.find('/', 1));
  const admission_level level = state_.sender.level_of(service, route, now);

  // The last shed rule that applies to the class and whose load threshold is reached sets `outcome` and `by`.
  // An admission level that rejects some or all ranks then replaces `outcome`, but `by` keeps the shed rule.
  boost::json::object explanation = {
      {"service", service},
      {"route", path},
      {"class", name_of(effective_class)},
      {"level", level.cutoff},
      {"shed_ranks_admitted",
       std::max(0, std::min(shed_rank_count,
                            level.cutoff - static_cast<int>(effective_class) * shed_rank_count))}};
  boost::json::array applied;
  for (const rules::rule* const rule : {found.cls, found.order, found.timeout, found.retry, found.hedge}) {
    if (rule != nullptr) {
      applied.push_back(to_json(*rule));
    }
  }
  explanation["outcome"] = "admitted";
  for (const rules::rule* const limit : found.limits) {
    applied.push_back(to_json(*limit));
  }
  for (const rules::rule* const shed : found.shed) {
    applied.push_back(to_json(*shed));
    if (rules::applies_to_class(*shed, effective_class) && state_.receiver.load() >= shed->above) {
      explanation["outcome"] = "shed-rule";
      explanation["by"] = to_json(*shed);
    }
  }
  if (!admits(level, effective_class, shed_rank_count - 1)) {
    explanation["outcome"] = admits(level, effective_class, 0) ? "shed-level for some ranks" : "shed-level";
  }
  explanation["rules"] = applied;
  return make_json_answer(explanation);
}

}  // namespace nutmegarch::node
