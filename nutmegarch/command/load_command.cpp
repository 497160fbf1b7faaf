#include <fstream>
#include <iostream>
#include <unistd.h>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"
#include "nutmegarch/command/merged_timeline.h"
#include "nutmegarch/load/load_generator.h"
#include "nutmegarch/load/load_report.h"
#include "nutmegarch/observe/hybrid_clock.h"

namespace nutmegarch::command {

namespace {

void print_progress(int second, const load::load_result& so_far) {
  long offered = 0;
  long answered = 0;
  for (const load::class_result& row : so_far.classes) {
    offered += row.offered;
    answered += row.answered;
  }
  std::cerr << "\rsecond " << second << ": offered " << offered << ", answered " << answered << "   "
            << std::flush;
}

/// Options of the report of a run.
struct report_options {
  /// Existing folder that the report is written to.
  std::string folder;
  /// Administration addresses of the nodes whose events the report shows.
  std::vector<std::string> nodes;
  /// JSON file with the result of an earlier run, for comparison; empty for none.
  std::string compared_file;
};

/// Whether the report shows events of this kind. Events of single calls are left out: they are so many that
/// they would hide the ones that affect the whole run.
bool is_shown(const std::string& kind) { return kind.compare(0, 5, "call-") != 0 && kind != "ticket-issued"; }

/// Fetches the events that the report shows, from all nodes.
std::vector<load::report_event> fetch_report_events(const load::load_result& result,
                                                    const std::vector<std::string>& nodes) {
  std::vector<load::report_event> events;
  for (const merged_event& event : fetch_timeline({nodes, 0, "", ""}).events) {
    const std::int64_t event_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                           observe::hybrid_clock::time_of(event.stamp).time_since_epoch())
                                           .count();
    if (is_shown(event.kind)) {
      events.push_back({static_cast<double>(event_unix_ms - result.began_unix_ms) / 1000, event.host,
                        event.kind + ' ' + event.subject + ' ' + event.detail});
    }
  }
  return events;
}

/// Writes index.html and the run's JSON into the folder, which must exist.
int write_report(const load::load_result& result, const report_options& options) {
  std::vector<load::report_run> runs = {{"This run", result, fetch_report_events(result, options.nodes)}};
  if (!options.compared_file.empty()) {
    const std::optional<std::string> text = read_file(options.compared_file);
    const std::optional<load::load_result> compared = text ? load::from_json(*text) : std::nullopt;
    if (!compared) {
      std::cerr << options.compared_file << ": no result of a load\n";
      return bad_usage;
    }
    runs.push_back({options.compared_file, *compared, {}});
  }
  std::ofstream page(options.folder + "/index.html");
  std::ofstream result_file(options.folder + "/load.json");
  page << load::to_html(runs);
  result_file << load::to_json(result) << '\n';
  if (!page || !result_file) {
    std::cerr << options.folder << ": can't be written\n";
    return failed;
  }
  return done;
}

}  // namespace

int run_load(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Sends open-loop load with classes, a demand curve and hard retries.", ' ', version());
  TCLAP::ValueArg<std::string> file("", "settings", "Settings file, JSON with comments.", true, "", "FILE",
                                    line);
  TCLAP::SwitchArg json("", "json", "Prints JSON instead of a table.", line);
  TCLAP::ValueArg<std::string> report("", "report", "Folder for a page with plots.", false, "", "FOLDER",
                                      line);
  TCLAP::MultiArg<std::string> nodes("", "node", "Administration address whose events the page shows.", false,
                                     "ADDRESS", line);
  TCLAP::ValueArg<std::string> beside("", "beside", "JSON of an earlier run, shown beside this one.", false,
                                      "", "FILE", line);
  const std::optional<int> early_exit = parse(line, "load", args);
  if (early_exit) {
    return *early_exit;
  }
  const std::optional<load::load_settings> settings =
      read_settings(file.getValue(), load::read_load_settings);
  if (!settings) {
    return bad_usage;
  }
  const bool is_terminal = isatty(STDERR_FILENO) != 0;
  const load::load_result result = load::run_load(
      *settings, is_terminal ? print_progress : std::function<void(int, const load::load_result&)>());
  if (is_terminal) {
    std::cerr << '\n';
  }
  std::cout << (json.getValue() ? load::to_json(result) + '\n' : load::to_table(result));
  return report.getValue().empty()
             ? static_cast<int>(done)
             : write_report(result, {report.getValue(), nodes.getValue(), beside.getValue()});
}

}  // namespace nutmegarch::command
