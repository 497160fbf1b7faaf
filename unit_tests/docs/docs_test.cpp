#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/observe/timeline.h"
#include "nutmegarch/rules/rule.h"

namespace nutmegarch {

namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(std::string(SOURCE_FOLDER) + '/' + path);
  std::ostringstream text;
  text << file.rdbuf();
  BOOST_REQUIRE_MESSAGE(!text.str().empty(), path << " is empty or missing");
  return text.str();
}

/// First groups of all matches.
std::set<std::string> matches(const std::string& text, const std::string& pattern) {
  const std::regex expression(pattern);
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), expression); it != std::sregex_iterator(); ++it) {
    found.insert((*it)[1].str());
  }
  return found;
}

constexpr int rule_kind_count = 10;
constexpr int event_kind_count = 21;

}  // namespace

BOOST_AUTO_TEST_SUITE(docs)

BOOST_AUTO_TEST_CASE(every_setting_is_on_its_page_and_the_other_way_round) {
  const std::set<std::string> in_code =
      matches(read_file("nutmegarch/node/node_settings.cpp"), "\"(/[a-z_]+/[a-z_]+)\"");
  const std::set<std::string> on_page = matches(read_file("docs/SETTINGS.md"), "[ *](/[a-z_]+/[a-z_]+)");
  BOOST_TEST(in_code == on_page, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(every_rule_has_an_example_and_the_other_way_round) {
  std::set<std::string> in_code;
  for (int i = 0; i < rule_kind_count; ++i) {
    in_code.insert(rules::name_of(static_cast<rules::rule_kind>(i)));
  }
  const std::set<std::string> on_page =
      matches(read_file("docs/OPERATING.md"), "\\n\\| [a-z]+ \\| `([a-z]+) [a-z]+=");
  BOOST_TEST(in_code == on_page, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(every_kind_of_event_is_on_the_page_of_the_administration) {
  const std::string page = read_file("docs/ADMIN.md");
  for (int i = 0; i < event_kind_count; ++i) {
    const std::string name = observe::name_of(static_cast<observe::event_kind>(i));
    BOOST_TEST(page.find(name) != std::string::npos, name);
  }
}

BOOST_AUTO_TEST_CASE(every_log_line_is_on_its_page) {
  const std::string page = read_file("docs/LOGS.md");
  const std::filesystem::path folder = std::filesystem::path(SOURCE_FOLDER) / "nutmegarch";
  std::set<std::string> in_code;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() == ".cpp") {
      const std::string path = std::filesystem::relative(entry.path(), SOURCE_FOLDER);
      in_code.merge(matches(read_file(path), "log_event\\([^\"]*\"([a-z-]+)\""));
    }
  }
  for (int i = 0; i < event_kind_count; ++i) {
    const observe::event_kind kind = static_cast<observe::event_kind>(i);
    if (observe::changes_belief(kind)) {
      in_code.insert(observe::name_of(kind));
    }
  }
  BOOST_TEST(in_code.size() > 20U);
  for (const std::string& name : in_code) {
    BOOST_TEST(page.find('`' + name + '`') != std::string::npos, name);
  }
}

BOOST_AUTO_TEST_CASE(every_metric_of_memory_is_on_the_page_of_operations) {
  const std::string page = read_file("docs/OPERATIONS.md");
  std::set<std::string> in_code =
      matches(read_file("nutmegarch/node/memory_monitor.cpp"), "\"([a-z_]+_bytes)\", (?!std)");
  in_code.merge(matches(read_file("nutmegarch/node/admin_api.cpp"), "gauges\\[\"([a-z_]+_bytes)\"\\]"));
  BOOST_TEST(in_code.size() >= 11U);
  for (const std::string& name : in_code) {
    BOOST_TEST(page.find("`nutmegarch_" + name + '`') != std::string::npos, name);
  }
}

BOOST_AUTO_TEST_CASE(every_page_of_the_index_exists) {
  for (const std::string& page : matches(read_file("docs/README.md"), "\\(([A-Za-z/]+\\.md)\\)")) {
    read_file("docs/" + page);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch
