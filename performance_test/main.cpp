#include <algorithm>
#include <cstdio>
#include <future>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "performance_test/virtual_time/measure.h"
#include "performance_test/virtual_time/studies.h"

namespace {

using nutmegarch::performance_test::all_measures;
using nutmegarch::performance_test::is_met;
using nutmegarch::performance_test::measure;
using nutmegarch::performance_test::measured;

/// Runs a measure for all seeds and returns the result whose value is worst.
measured worst_of(const measure& row, int first_seed, int seeds) {
  measured worst = row.run(static_cast<std::uint64_t>(first_seed));
  for (int seed = first_seed + 1; seed < first_seed + seeds; ++seed) {
    const measured next = row.run(static_cast<std::uint64_t>(seed));
    const bool is_worse = row.at_most ? next.value > worst.value : next.value < worst.value;
    worst = is_worse ? next : worst;
  }
  return worst;
}

bool is_chosen(const std::vector<std::string>& names, const std::string& name) {
  return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

/// Prints one row for each measure in virtual time. The rows depend on the seed alone.
int main(int argc, char** argv) {
  TCLAP::CmdLine command("Measures the decisions in virtual time against a pass-through baseline.");
  TCLAP::ValueArg<int> seed("", "seed", "Seed of the random numbers.", false, 1, "number", command);
  TCLAP::ValueArg<int> seeds("", "seeds", "Runs seeds 1 to N and prints the worst.", false, 1, "N", command);
  TCLAP::UnlabeledMultiArg<std::string> names("names", "Measures to run; all when none is given.", false,
                                              "name", command);
  TCLAP::SwitchArg studies("", "studies", "Prints the alternatives of the decisions instead.", command);
  command.parse(argc, argv);
  if (studies.getValue()) {
    nutmegarch::performance_test::run_studies(static_cast<std::uint64_t>(seed.getValue()));
    return 0;
  }

  // The measures share nothing, so each gets a thread; rows print in their fixed order.
  std::vector<std::future<measured>> results;
  std::vector<const measure*> rows;
  for (const measure& row : all_measures()) {
    if (!is_chosen(names.getValue(), row.name)) {
      continue;
    }
    rows.push_back(&row);
    results.push_back(std::async(std::launch::async, [&row, &seed, &seeds]() {
      return worst_of(row, seed.getValue(), seeds.getValue());
    }));
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const measured found = results.at(i).get();
    const measure& row = *rows.at(i);
    std::printf("measure %s baseline %.4f value %.4f target %g unit %s %s\n", row.name.c_str(),
                found.baseline, found.value, row.target, row.unit.c_str(),
                is_met(row, found.value) ? "met" : "missed");
    std::fflush(stdout);
  }
  return 0;
}
