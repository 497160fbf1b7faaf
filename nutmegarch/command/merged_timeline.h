#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegarch::command {

/// Which events to fetch, and from whom.
struct timeline_query {
  /// Administration addresses.
  std::vector<std::string> nodes;
  /// Only later stamps.
  std::uint64_t after = 0;
  /// Empty: any.
  std::string kind;
  std::string request;
};

/// An event with the host that it happened at.
struct merged_event {
  std::uint64_t stamp = 0;
  std::string host;
  std::string kind;
  std::string request;
  std::string subject;
  std::string detail;
};

/// Events of several nodes in one order.
struct merged_timeline {
  std::vector<merged_event> events;
  /// Nodes that gave no answer.
  std::vector<std::string> silent;
};

/// Fetches and merges the events.
merged_timeline fetch_timeline(const timeline_query& query);

/// Forms of a time line: lines of text, a JSON array, the trace event format of Chrome, and an SVG picture.
std::string to_text(const std::vector<merged_event>& events);
std::string to_json(const std::vector<merged_event>& events);
std::string to_chrome_trace(const std::vector<merged_event>& events);
std::string to_svg(const std::vector<merged_event>& events);

}  // namespace nutmegarch::command
