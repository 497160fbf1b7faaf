#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "nutmegarch/load/load_settings.h"
#include "nutmegarch/node/node_settings.h"

namespace nutmegarch::settings {

namespace {

std::string read_sample(const std::string& name) {
  std::ifstream file(std::string(SOURCE_FOLDER) + "/samples/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<settings_error> errors_of(const std::string& text) {
  const std::variant<node::node_settings, std::vector<settings_error>> read = node::read_node_settings(text);
  return std::holds_alternative<node::node_settings>(read) ? std::vector<settings_error>{}
                                                           : std::get<std::vector<settings_error>>(read);
}

constexpr const char* complete_settings = R"({
  // Comments are allowed.
  "node": {"service": "s", "host": "h", "domain": "d", "region": "r"},
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
  "target": {"address": "127.0.0.1:4"},
  "platform": {"address": "127.0.0.1:5"}
})";

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_files)

BOOST_AUTO_TEST_CASE(a_complete_file_is_accepted) { BOOST_TEST(errors_of(complete_settings).empty()); }

BOOST_AUTO_TEST_CASE(limits_of_answers_are_read) {
  std::string text = complete_settings;
  const std::string address = R"("127.0.0.1:4")";
  text.insert(text.find(address) + address.size(),
              R"(, "most_answer_head_bytes": 2048, "most_unfinished_bytes": 1048576)");
  const std::variant<node::node_settings, std::vector<settings_error>> read = node::read_node_settings(text);
  BOOST_REQUIRE(std::holds_alternative<node::node_settings>(read));
  const http::client_settings& connections = std::get<node::node_settings>(read).target.connections;
  BOOST_TEST(connections.answer_limits.max_head_bytes == 2'048U);
  BOOST_TEST(connections.unfinished_answers.max_bytes == 1'048'576U);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_with_their_pointers) {
  const std::vector<settings_error> errors = errors_of(R"({
    "node": {"service": "s", "host": "h", "domain": "d", "region": "r", "workers": "two"},
    "listen": {"callers": "localhost:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
    "target": {"address": "127.0.0.1:4", "slots": 0},
    "platform": {"address": "127.0.0.1:5", "watch": "30"},
    "admision": {"queue_share": 2}
  })");
  std::vector<std::string> pointers;
  pointers.reserve(errors.size());
  for (const settings_error& error : errors) {
    pointers.push_back(error.pointer);
  }
  const std::vector<std::string> expected = {"/node/workers", "/listen/callers", "/target/slots",
                                             "/platform/watch", "/admision"};
  BOOST_TEST(pointers == expected, boost::test_tools::per_element());
  BOOST_TEST(to_text(errors.at(3), "f") ==
             "f: /platform/watch: expected a duration with its unit from 1s to 300s, found \"30\"");
}

BOOST_AUTO_TEST_CASE(sample_files_are_valid) {
  for (const char* const name :
       {"rodopa-catalogue.json", "rodopa-stockyard.json", "shewa-stockdesk.json", "shewa-routes.json"}) {
    const std::vector<settings_error> errors = errors_of(read_sample(name));
    BOOST_TEST(errors.empty(), name << ": " << (errors.empty() ? "" : to_text(errors.front(), name)));
  }
  BOOST_TEST(
      (std::holds_alternative<load::load_settings>(load::read_load_settings(read_sample("load.json")))));
  const result<rules::rule_file, std::vector<rules::rule_error>> rules =
      rules::parse_rule_file(read_sample("rules"));
  BOOST_TEST(succeeded(rules));
}

RC_BOOST_PROP(arbitrary_text_is_rejected, (const std::string& text)) { RC_ASSERT(!errors_of(text).empty()); }

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::settings
