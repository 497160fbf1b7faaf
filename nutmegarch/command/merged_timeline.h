#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegarch::command {

/// Selects the nodes and the events to fetch.
struct timeline_query {
  /// Administration addresses of the nodes, as IP:PORT.
  std::vector<std::string> nodes;
  /// Only events with a later stamp, in the format of hybrid_clock.
  std::uint64_t after = 0;
  /// Only events of this kind; empty for all kinds.
  std::string kind;
  /// Only events of the request with this id; empty for all events.
  std::string request;
};

/// An event with the host of the node that recorded it.
struct merged_event {
  std::uint64_t stamp = 0;
  std::string host;
  std::string kind;
  std::string request;
  std::string subject;
  std::string detail;
};

/// Events of several nodes.
struct merged_timeline {
  /// Sorted by stamp, then by host.
  std::vector<merged_event> events;
  /// Addresses of the nodes that did not answer.
  std::vector<std::string> unreachable_nodes;
};

/// Fetches the events of all nodes and merges them. Blocks the calling thread; throws when an answer is not a
/// timeline.
merged_timeline fetch_timeline(const timeline_query& query);

/// @name Output formats of a timeline: lines of text, a JSON array, Chrome's trace event format, and an SVG
/// image
/// @{
std::string to_text(const std::vector<merged_event>& events);
std::string to_json(const std::vector<merged_event>& events);
std::string to_chrome_trace(const std::vector<merged_event>& events);
std::string to_svg(const std::vector<merged_event>& events);
/// @}

}  // namespace nutmegarch::command
