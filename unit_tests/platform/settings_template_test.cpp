#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/node/node_settings.h"

namespace nutmegarch::platform_adapter {

namespace {

using field_map = std::map<std::string, std::string>;

/// Fields that every installation gives a process.
field_map promised_fields() {
  return {{"Service", "shop"},
          {"Ip", "10.1.0.8"},
          {"Zone", "a"},
          {"Region", "ra"},
          {"Zones", R"({"a": "ra"})"},
          {"Listen.Outbound", "10.1.0.8:8304"},
          {"Listen.Control", "10.1.0.8:7620"},
          {"Listen.Ready", "10.1.0.8:8302"},
          {"AppAddr", "10.1.0.8:8301"},
          {"Platform.Address", "10.200.1.7:8309"},
          {"Bounds.RetryBudgetRatio", "0.2"},
          {"Bounds.RetrySlack", "49"},
          {"Bounds.GraceS", "6"}};
}

/// Renders the template as the platform does: a section of a field without a value is left out, and a
/// placeholder of such a field leaves nothing.
std::string render(std::string text, const field_map& fields) {
  const std::regex section(R"(\{\{#([\w.]+)\}\}([\s\S]*?)\{\{/\1\}\})");
  std::smatch found;
  while (std::regex_search(text, found, section)) {
    const std::string content = fields.count(found[1].str()) > 0 ? found[2].str() : std::string();
    text = found.prefix().str() + content + found.suffix().str();
  }
  const std::regex placeholder(R"(\{\{([\w.]+)(\|json)?\}\})");
  while (std::regex_search(text, found, placeholder)) {
    auto value = fields.find(found[1].str());
    const std::string content = value != fields.end() ? value->second : std::string();
    text = found.prefix().str() + content + found.suffix().str();
  }
  return text;
}

std::string read_template() {
  std::ifstream file(std::string(SOURCE_FOLDER) + "/deploy/node.json.template");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string errors_of(const std::string& text) {
  const std::variant<node::node_settings, std::vector<settings::settings_error>> read =
      node::read_node_settings(text);
  std::string errors;
  if (const std::vector<settings::settings_error>* const list =
          std::get_if<std::vector<settings::settings_error>>(&read)) {
    for (const settings::settings_error& error : *list) {
      errors += settings::to_text(error, "template") + "; ";
    }
  }
  return errors;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_template)

// A limit that an installation does not name left a gap, and no node could read its settings.
BOOST_AUTO_TEST_CASE(a_node_reads_its_settings_where_an_installation_names_no_memory) {
  BOOST_TEST(errors_of(render(read_template(), promised_fields())) == "");
}

BOOST_AUTO_TEST_CASE(the_memory_that_an_installation_names_is_taken) {
  field_map fields = promised_fields();
  fields["Limits.MemoryMb"] = "260";
  const std::string text = render(read_template(), fields);
  BOOST_TEST(errors_of(text) == "");
  const std::variant<node::node_settings, std::vector<settings::settings_error>> read =
      node::read_node_settings(text);
  const node::node_settings& settings = std::get<node::node_settings>(read);
  BOOST_TEST(settings.callers.held.max_bytes == static_cast<std::size_t>(260.0 * (1U << 20U) * 0.4));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
