#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

#include <boost/json.hpp>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"
#include "nutmegarch/command/merged_timeline.h"
#include "nutmegarch/observe/hybrid_clock.h"
#include "nutmegarch/rules/rule_file.h"

namespace nutmegarch::command {

namespace {

constexpr std::chrono::milliseconds follow_interval{500};

/// Prints the events in the given format. Only text can be continued by a later call; the other formats are
/// whole documents.
void print(const std::string& format, const std::vector<merged_event>& events) {
  if (format == "json") {
    std::cout << to_json(events) << '\n';
  } else if (format == "chrome") {
    std::cout << to_chrome_trace(events) << '\n';
  } else if (format == "svg") {
    std::cout << to_svg(events) << '\n';
  } else {
    std::cout << to_text(events) << std::flush;
  }
}

/// Smallest stamp of the time `age` ago. A stamp has the milliseconds since the Unix epoch above its 16
/// lowest bits, which are a counter.
std::uint64_t stamp_before(duration age) {
  const std::chrono::milliseconds wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      (std::chrono::system_clock::now() - age).time_since_epoch());
  return static_cast<std::uint64_t>(wall.count()) << 16U;
}

}  // namespace

int run_timeline(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Merges the events of nodes into one order.", ' ', version());
  TCLAP::MultiArg<std::string> nodes("", "node", "Administration address of a node.", true, "ADDRESS", line);
  TCLAP::ValueArg<std::string> since("", "since", "Only events of this long ago and later, as 5min.", false,
                                     "", "DURATION", line);
  TCLAP::ValueArg<std::string> kind("", "kind", "Only events of this kind.", false, "", "KIND", line);
  TCLAP::ValueArg<std::string> request("", "request", "Only events of this request id.", false, "", "ID",
                                       line);
  TCLAP::SwitchArg follow("", "follow", "Goes on with new events; text only.", line);
  std::vector<std::string> formats = {"text", "json", "chrome", "svg"};
  TCLAP::ValuesConstraint<std::string> known_formats(formats);
  TCLAP::ValueArg<std::string> format("", "format", "Form of the output.", false, "text", &known_formats,
                                      line);
  const std::optional<int> early_exit = parse(line, "timeline", args);
  if (early_exit) {
    return *early_exit;
  }
  timeline_query query{nodes.getValue(), 0, kind.getValue(), request.getValue()};
  if (!since.getValue().empty()) {
    const std::optional<duration> age = rules::parse_duration(since.getValue());
    if (!age) {
      std::cerr << "nutmegarch timeline: --since: expected a duration with its unit, as 5min\n";
      return bad_usage;
    }
    query.after = stamp_before(*age);
  }
  const bool keeps_following = follow.getValue() && format.getValue() == "text";
  while (true) {
    const merged_timeline merged = fetch_timeline(query);
    for (const std::string& address : merged.unreachable_nodes) {
      std::cerr << address << ": no answer\n";
    }
    const bool any_answered = merged.unreachable_nodes.size() < nodes.getValue().size();
    print(format.getValue(), merged.events);
    if (!merged.events.empty()) {
      query.after = merged.events.back().stamp;
    }
    if (!keeps_following) {
      return any_answered ? done : failed;
    }
    std::this_thread::sleep_for(follow_interval);
  }
}

}  // namespace nutmegarch::command
