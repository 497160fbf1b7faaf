#include "nutmegarch/command/merged_timeline.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <optional>
#include <sstream>

#include <boost/json.hpp>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/observe/hybrid_clock.h"

namespace nutmegarch::command {

namespace {

/// Time of a stamp, in milliseconds since the Unix epoch.
std::int64_t unix_ms(std::uint64_t stamp) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             observe::hybrid_clock::time_of(stamp).time_since_epoch())
      .count();
}

/// Time of day of a stamp in UTC, as in "12:34:56.789".
std::string time_of_day(std::uint64_t stamp) {
  const std::int64_t milliseconds = unix_ms(stamp);
  const std::time_t whole_seconds = static_cast<std::time_t>(milliseconds / 1000);
  std::tm parts{};
  gmtime_r(&whole_seconds, &parts);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%H:%M:%S", &parts);
  const std::string fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
  return std::string(text.data()) + '.' + fraction;
}

merged_event read_event(const boost::json::object& from, const std::string& host) {
  merged_event event;
  event.stamp = from.at("stamp").to_number<std::uint64_t>();
  event.host = host;
  event.kind = std::string(from.at("kind").as_string());
  event.request = std::string(from.at("request").as_string());
  event.subject = std::string(from.at("subject").as_string());
  event.detail = std::string(from.at("detail").as_string());
  return event;
}

std::string escape_xml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

}  // namespace

merged_timeline fetch_timeline(const timeline_query& query) {
  merged_timeline merged;
  for (const std::string& node : query.nodes) {
    const std::optional<std::string> body =
        http_get(node, "/timeline?after=" + std::to_string(query.after) + "&kind=" + query.kind +
                           "&request=" + query.request);
    if (!body) {
      merged.unreachable_nodes.push_back(node);
      continue;
    }
    const boost::json::object content = boost::json::parse(*body).as_object();
    const std::string host(content.at("host").as_string());
    for (const boost::json::value& event : content.at("events").as_array()) {
      merged.events.push_back(read_event(event.as_object(), host));
    }
  }
  std::sort(merged.events.begin(), merged.events.end(),
            [](const merged_event& left, const merged_event& right) {
              return left.stamp != right.stamp ? left.stamp < right.stamp : left.host < right.host;
            });
  return merged;
}

std::string to_text(const std::vector<merged_event>& events) {
  std::ostringstream out;
  for (const merged_event& event : events) {
    out << time_of_day(event.stamp) << ' ' << event.host << ' ' << event.kind;
    for (const std::string* const part : {&event.subject, &event.detail, &event.request}) {
      if (!part->empty()) {
        out << "  " << *part;
      }
    }
    out << '\n';
  }
  return out.str();
}

std::string to_json(const std::vector<merged_event>& events) {
  boost::json::array listed;
  for (const merged_event& event : events) {
    listed.push_back(boost::json::object{{"stamp", event.stamp},
                                         {"time", time_of_day(event.stamp)},
                                         {"host", event.host},
                                         {"kind", event.kind},
                                         {"request", event.request},
                                         {"subject", event.subject},
                                         {"detail", event.detail}});
  }
  return boost::json::serialize(listed);
}

std::string to_chrome_trace(const std::vector<merged_event>& events) {
  // Each host is shown as a process, and each event as an instant event (phase "i") of its process.
  std::map<std::string, int> processes;
  boost::json::array trace_events;
  for (const merged_event& event : events) {
    auto process = processes.emplace(event.host, static_cast<int>(processes.size()) + 1);
    if (process.second) {
      trace_events.push_back(boost::json::object{{"name", "process_name"},
                                                 {"ph", "M"},
                                                 {"pid", process.first->second},
                                                 {"tid", 0},
                                                 {"args", boost::json::object{{"name", event.host}}}});
    }
    trace_events.push_back(boost::json::object{
        {"name", event.kind},
        {"ph", "i"},
        {"s", "p"},
        {"ts", unix_ms(event.stamp) * 1000},
        {"pid", process.first->second},
        {"tid", 0},
        {"args", boost::json::object{
                     {"subject", event.subject}, {"detail", event.detail}, {"request", event.request}}}});
  }
  return boost::json::serialize(
      boost::json::object{{"traceEvents", trace_events}, {"displayTimeUnit", "ms"}});
}

std::string to_svg(const std::vector<merged_event>& events) {
  constexpr int width = 1200;
  constexpr int row_height = 28;
  constexpr int left = 160;
  std::map<std::string, int> rows;
  for (const merged_event& event : events) {
    rows.emplace(event.host, static_cast<int>(rows.size()));
  }
  const std::int64_t begin = events.empty() ? 0 : unix_ms(events.front().stamp);
  const std::int64_t span =
      events.empty() ? 1 : std::max<std::int64_t>(1, unix_ms(events.back().stamp) - begin);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\""
      << row_height * (rows.size() + 1) << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  for (const std::pair<const std::string, int>& row : rows) {
    const int y = row_height * (row.second + 1);
    out << "<text x=\"4\" y=\"" << y << "\">" << escape_xml(row.first) << "</text><line x1=\"" << left
        << "\" y1=\"" << y << "\" x2=\"" << width << "\" y2=\"" << y << "\" stroke=\"#ddd\"/>\n";
  }
  for (const merged_event& event : events) {
    const std::int64_t x = left + (unix_ms(event.stamp) - begin) * (width - left - 8) / span;
    out << "<circle cx=\"" << x << "\" cy=\"" << row_height * (rows.at(event.host) + 1)
        << "\" r=\"3\" fill=\"#36c\"><title>" << time_of_day(event.stamp) << ' ' << escape_xml(event.kind)
        << ' ' << escape_xml(event.subject) << ' ' << escape_xml(event.detail) << "</title></circle>\n";
  }
  out << "</svg>";
  return out.str();
}

}  // namespace nutmegarch::command
