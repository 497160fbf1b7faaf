#include <fstream>
#include <iostream>
#include <unistd.h>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"
#include "nutmegarch/load/load_generator.h"

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

}  // namespace

int run_load(const std::vector<std::string>& words) {
  TCLAP::CmdLine line("Sends open-loop load with classes, a demand curve and hard retries.", ' ', version());
  TCLAP::ValueArg<std::string> file("", "settings", "Settings file, JSON with comments.", true, "", "FILE",
                                    line);
  TCLAP::SwitchArg json("", "json", "Prints JSON instead of a table.", line);
  const std::optional<int> ended = parse(line, "load", words);
  if (ended) {
    return *ended;
  }
  const std::optional<std::string> text = read_file(file.getValue());
  if (!text) {
    std::cerr << file.getValue() << ": can't be read\n";
    return bad_usage;
  }
  const std::variant<load::load_settings, std::vector<settings::settings_error>> read =
      load::read_load_settings(*text);
  if (std::holds_alternative<std::vector<settings::settings_error>>(read)) {
    for (const settings::settings_error& error : std::get<std::vector<settings::settings_error>>(read)) {
      std::cerr << settings::to_text(error, file.getValue()) << '\n';
    }
    return bad_usage;
  }
  const bool is_terminal = isatty(STDERR_FILENO) != 0;
  const load::load_result found =
      load::run_load(std::get<load::load_settings>(read),
                     is_terminal ? print_progress : std::function<void(int, const load::load_result&)>());
  if (is_terminal) {
    std::cerr << '\n';
  }
  std::cout << (json.getValue() ? load::to_json(found) + '\n' : load::to_table(found));
  return done;
}

}  // namespace nutmegarch::command
