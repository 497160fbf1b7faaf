#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

namespace nutmegarch {

namespace {

/// Words of the users' platform that only its adapter may use.
constexpr std::array<const char*, 20> platform_names = {
    "Attempt-Id",   "Deadline-Ms",   "Response-Signature", "Target-Instance", "Caller-Service", "Server-Load",
    "Not-Executed", "kv-range",      "kv-watch",           "kv-key",          "op/config",      "\"servers/",
    "MaxAttempts",  "ColdRemaining", "TargetLatencyMs",    "SeedLagS",        "Tenant",         "ApiKeys",
    "RatePerS",     "AuthExempt"};

std::string read_text(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::size_t lines_below(const std::filesystem::path& folder) {
  std::size_t lines = 0;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    const std::string name = entry.path().string();
    if (!entry.is_regular_file() || name.find(".capnp.") != std::string::npos) {
      continue;
    }
    const std::string text = read_text(entry.path());
    lines += static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  }
  return lines;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_folder)

BOOST_AUTO_TEST_CASE(the_platforms_names_stay_in_its_folder) {
  const std::filesystem::path root = SOURCE_FOLDER;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::recursive_directory_iterator(root / "nutmegarch")) {
    if (!entry.is_regular_file()) {
      continue;
    }
    const std::string text = read_text(entry.path());
    for (const char* const name : platform_names) {
      BOOST_TEST(text.find(name) == std::string::npos, entry.path().string() << " names " << name);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_platforms_folder_is_small) {
  const std::filesystem::path root = SOURCE_FOLDER;
  BOOST_TEST(lines_below(root / "platform") * 10 < lines_below(root / "nutmegarch"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch
