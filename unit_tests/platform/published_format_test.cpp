#include "platform/published_format.h"

#include <boost/test/unit_test.hpp>

#include "platform/http_dialect.h"
#include "unit_tests/platform/sample_configuration.h"

namespace nutmegarch::platform_adapter {

namespace {

membership::published_item server_item(const std::string& value, const std::string& key = "servers/i-1") {
  return {key, value, 3, false};
}

bool is_read(const std::string& value) { return succeeded(parse_server(server_item(value))); }

}  // namespace

BOOST_AUTO_TEST_SUITE(published_formats)

BOOST_AUTO_TEST_CASE(a_configuration_is_read_into_routes) {
  const result<routes::route_configuration, membership::published_value_error> read =
      parse_configuration(configuration_text);
  BOOST_REQUIRE(succeeded(read));
  const routes::route_configuration& configuration = std::get<routes::route_configuration>(read);
  BOOST_TEST(configuration.version == 7U);
  BOOST_REQUIRE(configuration.routes.size() == 2U);
  const routes::route& first = configuration.routes.at(0);
  BOOST_TEST(!first.idempotent);
  BOOST_TEST((first.timeout == std::chrono::milliseconds(1200)));
  BOOST_TEST((first.objective == std::chrono::milliseconds(1500)));
  BOOST_TEST(first.most_attempts == 2);
  BOOST_TEST(configuration.routes.at(1).services.size() == 2U);
  BOOST_TEST(configuration.services.at("s1").most_connections == 322);
  BOOST_TEST(configuration.limits.most_body_bytes == 2000U);
  BOOST_TEST((configuration.limits.idle_timeout == std::chrono::seconds(15)));
}

BOOST_AUTO_TEST_CASE(a_configuration_that_makes_no_sense_is_refused) {
  for (const char* const text :
       {"", "{", "[]", R"({"Version": "7", "Resources": []})", R"({"Version": 7})",
        R"({"Version": 7, "Resources": [{"ResourceType": "Routes", "Metadata": {"Name": "r"},
            "Spec": {"Host": "a", "Prefix": "/", "Kind": "odd", "Service": "s"}}]})"}) {
    BOOST_TEST(!succeeded(parse_configuration(text)), text);
  }
}

BOOST_AUTO_TEST_CASE(a_server_whose_start_is_no_whole_number_does_not_end_the_node) {
  for (const char* const born : {"1.5", "-1.5", "1e300", "1e999", "18446744073709551615"}) {
    BOOST_TEST(
        is_read(
            R"({"Service": "s", "Address": "127.0.0.1:1", "Zone": "z", "Slots": 4, "State": "ready", "born": )" +
            std::string(born) + "}"),
        born);
  }
}

BOOST_AUTO_TEST_CASE(times_and_counts_beyond_all_bounds_are_kept_within_them) {
  for (const char* const number : {"1e300", "1e999", "9223372036854775808"}) {
    const std::string text =
        R"({"Version": 7, "Resources": [{"ResourceType": "Limits", "Metadata": {}, "Spec": )"
        R"({"IdleTimeoutMs": )" +
        std::string(number) + R"(, "MaxBodyBytes": )" + number + "}}]}";
    const result<routes::route_configuration, membership::published_value_error> read =
        parse_configuration(text);
    BOOST_REQUIRE(succeeded(read));
    const routes::request_limits& limits = std::get<routes::route_configuration>(read).limits;
    BOOST_TEST((limits.idle_timeout > std::chrono::hours(1)));
    BOOST_TEST(limits.most_body_bytes > 1'000'000U);
  }
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_brought_into_it_and_end_no_process) {
  for (const char* const born : {"1000.5", "-7", "1e300", "18446744073709551615"}) {
    const result<membership::published_host, membership::published_value_error> read = parse_server(server_item(
        R"({"Service": "s", "Address": "10.1.0.1:80", "Zone": "z", "Slots": 4, "State": "ready", "born": )" +
        std::string(born) + R"(, "ColdRemainingMs": 1e300})"));
    BOOST_REQUIRE(succeeded(read));
    const membership::published_host& host = std::get<membership::published_host>(read);
    BOOST_TEST(host.process_started_ms >= 0);
    BOOST_TEST((host.cold_remaining > duration{}));
  }
  const result<routes::route_configuration, membership::published_value_error> read = parse_configuration(
      R"({"Version": 7, "Resources": [{"ResourceType": "Routes", "Metadata": {"Name": "r"}, "Spec": {
          "Host": "a", "Prefix": "/", "Kind": "idempotent", "Service": "s", "TimeoutMs": 1e300,
          "MaxAttempts": -1e300, "Priority": 1e300}}]})");
  BOOST_REQUIRE(succeeded(read));
  const routes::route& route = std::get<routes::route_configuration>(read).routes.at(0);
  BOOST_TEST((route.timeout > duration{}));
  BOOST_TEST(route.most_attempts == 0);
  BOOST_TEST(route.priority > 0);
}

BOOST_AUTO_TEST_CASE(a_server_is_read_and_the_start_of_its_process_kept) {
  const result<membership::published_host, membership::published_value_error> read = parse_server(server_item(
      R"({"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "Version": "v1", "Slots": 8,
          "State": "draining", "ColdRemainingMs": 1500, "Sequence": 4, "born": 1700000000123})"));
  BOOST_REQUIRE(succeeded(read));
  const membership::published_host& host = std::get<membership::published_host>(read);
  BOOST_TEST(host.instance == "i-1");
  BOOST_TEST(host.leaving);
  BOOST_TEST(host.process_started_ms == 1700000000123);
  BOOST_TEST((host.cold_remaining == std::chrono::milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(entries_that_cannot_be_trusted_name_no_server) {
  BOOST_TEST(!is_read(""));
  BOOST_TEST(!is_read("\xff\xfe"));
  BOOST_TEST(!is_read("[]"));
  BOOST_TEST(
      !is_read(R"({"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "Slots": "8", "State": "ready"})"));
  BOOST_TEST(
      !is_read(R"({"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "Slots": 8, "State": "odd"})"));
  BOOST_TEST(
      !is_read(R"({"Service": "s", "Address": "nowhere", "Zone": "z", "Slots": 8, "State": "ready"})"));
  BOOST_TEST(!is_read(R"({"Address": "10.0.0.1:80", "Zone": "z", "Slots": 8, "State": "ready"})"));
  BOOST_TEST(!succeeded(parse_server(server_item("{}", "other/i-1"))));
}

BOOST_AUTO_TEST_CASE(pages_and_changes_are_read) {
  const std::optional<membership::store_answer> page = read_store_answer(
      R"({"items": [{"Key": "a", "Value": "bm9kZS0x", "Revision": 4, "CreatedAt": 4, "Lease": 0}],
          "MorePages": true, "AsOf": 9})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->items.at(0).value == "node-1");
  BOOST_TEST(page->next_key == "a");
  BOOST_TEST(page->revision == 9U);
  const std::optional<membership::store_answer> changes =
      read_store_answer(R"({"events": [{"Key": "a", "Revision": 10, "Tombstone": true}], "AsOf": 10})");
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->items.at(0).is_removed);
  BOOST_TEST(!read_store_answer(R"({"items": 3, "AsOf": 10})").has_value());
  BOOST_TEST(!read_store_answer("").has_value());
}

BOOST_AUTO_TEST_CASE(the_fields_of_a_request_are_read_and_replaced) {
  const http_dialect dialect;
  const node::caller_fields told =
      dialect.read_caller({{"nutmegarch-attempt-id", "abc"}, {"Nutmegarch-Deadline-Ms", "600"}});
  BOOST_TEST(told.attempt_id == "abc");
  BOOST_TEST((*told.timeout == std::chrono::milliseconds(600)));
  BOOST_TEST(dialect.read_caller({{"Nutmegarch-Deadline-Ms", "soon"}}).is_malformed);

  // A caller can't claim to be another service.
  headers fields = {{"Nutmegarch-Caller-Service", "false"}, {"Nutmegarch-Deadline-Ms", "600"}};
  dialect.write_target_fields({std::chrono::milliseconds(42), "i-1", "shop"}, fields);
  BOOST_TEST(fields.size() == 3U);
  BOOST_TEST(find_header(fields, "Nutmegarch-Caller-Service") == "shop");
  BOOST_TEST(find_header(fields, "Nutmegarch-Deadline-Ms") == "42");
  BOOST_TEST(find_header(fields, "Nutmegarch-Target-Instance") == "i-1");
}

BOOST_AUTO_TEST_CASE(only_the_servers_own_word_says_that_a_request_has_not_run) {
  const http_dialect dialect;
  BOOST_TEST(dialect.read_target_answer({503, {{"Nutmegarch-Not-Executed", "1"}}, ""}).is_not_run);
  BOOST_TEST(!dialect.read_target_answer({503, {}, ""}).is_not_run);
  BOOST_TEST(dialect.read_target_answer({421, {{"Nutmegarch-Instance-Id", "i-2"}}, ""}).is_other_instance);
  BOOST_TEST(dialect.read_target_answer({200, {{"Nutmegarch-Response-Signature", "x"}}, ""}).is_from_target);
  BOOST_TEST(!dialect.read_target_answer({200, {}, "x"}).is_from_target);
  BOOST_TEST(!dialect
                  .read_target_answer(
                      {200, {{"Nutmegarch-Response-Signature", "x"}, {"Content-Encoding", "gzip"}}, "x"})
                  .is_from_target);
}

BOOST_AUTO_TEST_CASE(the_load_of_a_server_has_a_fourth_figure) {
  const http_dialect dialect;
  const node::target_answer_fields verdict =
      dialect.read_target_answer({200, {{"Nutmegarch-Server-Load", "3,1,8,250"}}, ""});
  BOOST_REQUIRE(verdict.load.has_value());
  BOOST_TEST(verdict.load->running == 3);
  BOOST_TEST(verdict.load->slots == 8);
  BOOST_TEST(verdict.load->slowdown == 2.5);
  BOOST_TEST(dialect.read_target_answer({200, {{"Nutmegarch-Server-Load", "3,0,8"}}, ""}).load->slowdown ==
             1.0);
  BOOST_TEST(!dialect.read_target_answer({200, {{"Nutmegarch-Server-Load", "busy"}}, ""}).load.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
