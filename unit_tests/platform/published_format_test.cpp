#include "platform/published_format.h"

#include <boost/test/unit_test.hpp>

#include "platform/http_dialect.h"
#include "unit_tests/platform/sample_configuration.h"

namespace nutmegarch::platform_adapter {

namespace {

membership::published_item server_item(const std::string& value, const std::string& key = "servers/i-1") {
  return {key, value, {0, 3}, false};
}

constexpr const char* server_text = R"({"Service": "shop", "Address": "10.1.0.1:8341", "Zone": "z",
  "Version": "v1", "Slots": 4, "State": "ready", "ColdRemainingMs": 10, "Sequence": 1, "born": 1000})";

bool is_read(const std::string& value) { return succeeded(parse_server(server_item(value))); }

}  // namespace

BOOST_AUTO_TEST_SUITE(published_formats)

BOOST_AUTO_TEST_CASE(configuration_with_routes_services_and_limits_is_read) {
  const result<routes::route_configuration, membership::published_value_error> read =
      parse_configuration(sample_configuration);
  BOOST_REQUIRE(succeeded(read));
  const routes::route_configuration& configuration = std::get<routes::route_configuration>(read);
  BOOST_TEST(configuration.version == 7U);
  BOOST_REQUIRE(configuration.routes.size() == 2U);
  const routes::route& first = configuration.routes.at(0);
  BOOST_TEST(!first.idempotent);
  BOOST_TEST((first.timeout == std::chrono::milliseconds(1200)));
  BOOST_TEST((first.objective == std::chrono::milliseconds(1500)));
  BOOST_TEST(first.max_attempts == 2);
  BOOST_TEST(configuration.routes.at(1).services.size() == 2U);
  BOOST_TEST(configuration.services.at("s1").max_connections == 322);
  BOOST_TEST(configuration.limits.max_body_bytes == 2000U);
  BOOST_TEST((configuration.limits.idle_timeout == std::chrono::seconds(15)));
}

BOOST_AUTO_TEST_CASE(malformed_configuration_is_refused) {
  for (const char* const text : {"", "{", "[]", R"({"Version": "7", "Resources": []})", R"({"Version": 7})",
                                 R"({"Version": 7, "Resources": {}})", R"({"Resources": []})"}) {
    BOOST_TEST(!succeeded(parse_configuration(text)), text);
  }
}

BOOST_AUTO_TEST_CASE(server_entry_with_a_start_time_out_of_range_is_read) {
  for (const char* const start_time : {"1.5", "-1.5", "1e300", "1e999", "18446744073709551615"}) {
    BOOST_TEST(
        is_read(
            R"({"Service": "s", "Address": "127.0.0.1:1", "Zone": "z", "Slots": 4, "State": "ready", "born": )" +
            std::string(start_time) + "}"),
        start_time);
  }
}

BOOST_AUTO_TEST_CASE(limits_out_of_range_are_clamped) {
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
    BOOST_TEST(limits.max_body_bytes > 1'000'000U);
  }
}

BOOST_AUTO_TEST_CASE(numbers_of_servers_and_routes_out_of_range_are_clamped) {
  for (const char* const start_time : {"1000.5", "-7", "1e300", "18446744073709551615"}) {
    const result<membership::published_host, membership::published_value_error> read = parse_server(server_item(
        R"({"Service": "s", "Address": "10.1.0.1:80", "Zone": "z", "Slots": 4, "State": "ready", "born": )" +
        std::string(start_time) + R"(, "ColdRemainingMs": 1e300})"));
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
  BOOST_TEST(route.max_attempts == 0);
  BOOST_TEST(route.priority > 0);
}

BOOST_AUTO_TEST_CASE(server_entry_is_read_with_the_start_time_of_its_process) {
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

BOOST_AUTO_TEST_CASE(malformed_server_entries_are_refused) {
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

BOOST_AUTO_TEST_CASE(listing_pages_and_watch_changes_are_read) {
  const std::optional<membership::store_answer> page = read_store_answer(
      R"({"items": [{"Key": "a", "Value": "bm9kZS0x", "Revision": 4, "CreatedAt": 4, "Lease": 0}],
          "MorePages": true, "AsOf": 9})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->items.at(0).value == "node-1");
  BOOST_TEST(page->next_key == "a");
  BOOST_TEST(page->position.revision == 9U);
  const std::optional<membership::store_answer> changes =
      read_store_answer(R"({"events": [{"Key": "a", "Revision": 10, "Tombstone": true}], "AsOf": 10})");
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->items.at(0).is_removed);
  BOOST_TEST(!read_store_answer(R"({"items": 3, "AsOf": 10})").has_value());
  BOOST_TEST(!read_store_answer("").has_value());
}

// Guards against a fleet that stops following the store because of one item.
BOOST_AUTO_TEST_CASE(one_odd_item_of_an_answer_leaves_the_others_readable) {
  for (const char* const odd :
       {R"({"Key": "o", "Revision": 6})", R"({"Key": "o", "Value": "*", "Revision": 6})",
        R"({"Key": "o", "Value": 7, "Revision": 6})", R"({"Key": "o", "Value": "", "Revision": 6})",
        R"({"Key": "o", "Value": "YQ==", "Revision": "6"})", R"({"Key": "o", "Value": "YQ=="})",
        R"({"Value": "YQ==", "Revision": 6})", R"({"Key": 3, "Value": "YQ==", "Revision": 6})", "7", "null",
        "[]"}) {
    const std::string valid = R"({"Key": "a", "Value": "YQ==", "Revision": 5})";
    for (const char* const list : {"items", "events"}) {
      const std::optional<membership::store_answer> answer = read_store_answer(
          "{\"" + std::string(list) + "\": [" + odd + ", " + valid + R"(], "MorePages": true, "AsOf": 7})");
      BOOST_REQUIRE_MESSAGE(answer.has_value(), odd);
      BOOST_REQUIRE(!answer->items.empty());
      BOOST_TEST(answer->items.back().key == "a");
      BOOST_TEST(answer->items.back().value == "a");
      BOOST_TEST(answer->next_key == (list == std::string("items") ? "a" : answer->next_key));
    }
  }
  // Without a key, the next page is not known, and entries of it must not count as removed.
  BOOST_TEST(!read_store_answer(R"({"items": [{"Key": 3}], "MorePages": true, "AsOf": 7})").has_value());
}

// Guards against a field of a request that another writer adds by a key.
BOOST_AUTO_TEST_CASE(entry_with_a_key_that_is_no_plain_text_names_no_server) {
  const auto is_read_with_key = [](const std::string& key) {
    return succeeded(parse_server(server_item(server_text, key)));
  };
  BOOST_TEST(is_read_with_key("servers/i-1"));
  for (const char* const key : {"servers/a b", "servers/a\r\nX-Odd: 1", "servers/\xC3\xA9", "servers/a\tb",
                                "servers/\x7F", "servers/", "servers"}) {
    BOOST_TEST(!is_read_with_key(key), key);
  }
}

// Guards against calls to, and sums over, figures that no server has.
BOOST_AUTO_TEST_CASE(entry_with_a_number_or_an_address_out_of_range_names_no_server) {
  const auto is_read_with = [](const std::string& before, const std::string& after) {
    std::string value = server_text;
    value.replace(value.find(before), before.size(), after);
    return is_read(value);
  };
  BOOST_TEST(is_read_with("\"Slots\": 4", "\"Slots\": 100000"));
  BOOST_TEST(is_read_with("\"born\": 1000", "\"born\": 1764900000000"));
  for (const char* const slots :
       {"0", "-1", "1.5", "100001", "2147483647", "1e300", "1e999", "99999999999999999999", "\"4\""}) {
    BOOST_TEST(!is_read_with("\"Slots\": 4", std::string("\"Slots\": ") + slots), slots);
  }
  for (const char* const born : {"\"soon\"", "null", "{}", "[1]", "true"}) {
    BOOST_TEST(!is_read_with("\"born\": 1000", std::string("\"born\": ") + born), born);
  }
  for (const char* const address :
       {"10.1.0.1:0", "10.1.0.1:65536", "10.1.0.1:-1", "10.1.0.1:99999999999999999999", "0.0.0.0:8341",
        "255.255.255.255:8341", "224.0.0.1:8341", "[::]:8341", "[ff02::1]:8341", "10.1.0.1"}) {
    BOOST_TEST(!is_read_with("10.1.0.1:8341", address), address);
  }
  BOOST_TEST(is_read_with("10.1.0.1:8341", "[::1]:8341"));
}

// Guards against an entry that displaces the server at its address because it seems to have started later.
BOOST_AUTO_TEST_CASE(start_time_out_of_range_is_not_newer_than_any_other) {
  for (const char* const born : {"-1", "1e300", "1e999", "18446744073709551615", "9007199254740993000"}) {
    std::string value = server_text;
    value.replace(value.find("\"born\": 1000"), 12, std::string("\"born\": ") + born);
    const result<membership::published_host, membership::published_value_error> read =
        parse_server(server_item(value));
    BOOST_REQUIRE_MESSAGE(succeeded(read), value);
    BOOST_TEST(std::get<membership::published_host>(read).process_started_ms == 0, born);
  }
}

BOOST_AUTO_TEST_CASE(request_headers_are_read_and_replaced) {
  const http_dialect dialect;
  const node::caller_fields caller =
      dialect.read_caller({{"nutmegarch-attempt-id", "abc"}, {"Nutmegarch-Deadline-Ms", "600"}});
  BOOST_TEST(caller.attempt_id == "abc");
  BOOST_TEST((*caller.timeout == std::chrono::milliseconds(600)));
  BOOST_TEST(dialect.read_caller({{"Nutmegarch-Deadline-Ms", "soon"}}).is_malformed);

  // The node replaces the service name that the caller sent, so a caller can't pose as another service.
  headers fields = {{"Nutmegarch-Caller-Service", "false"}, {"Nutmegarch-Deadline-Ms", "600"}};
  dialect.write_target_fields({std::chrono::milliseconds(42), "i-1", "shop", ""}, fields);
  BOOST_TEST(fields.size() == 3U);
  BOOST_TEST(find_header(fields, "Nutmegarch-Caller-Service") == "shop");
  BOOST_TEST(find_header(fields, "Nutmegarch-Deadline-Ms") == "42");
  BOOST_TEST(find_header(fields, "Nutmegarch-Target-Instance") == "i-1");
}

BOOST_AUTO_TEST_CASE(key_is_read_and_never_passed_on) {
  const http_dialect dialect;
  headers fields = {{"nutmegarch-credential", "k"}, {"Nutmegarch-Tenant", "claimed"}, {"Accept", "a"}};
  BOOST_TEST(dialect.read_caller(fields).key == "k");
  dialect.remove_identity(fields);
  BOOST_REQUIRE(fields.size() == 1U);
  dialect.write_target_fields({std::chrono::milliseconds(42), "i-1", "shop", "o"}, fields);
  BOOST_TEST(find_header(fields, "Nutmegarch-Tenant") == "o");
  BOOST_TEST(find_header(fields, "Nutmegarch-Credential").empty());
}

BOOST_AUTO_TEST_CASE(outcome_of_a_request_is_read_from_the_headers_of_the_server) {
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

BOOST_AUTO_TEST_CASE(answer_says_that_its_own_server_leaves) {
  const http_dialect dialect;
  const header leaving = {"server-leaving", "1"};
  const header signature = {"Nutmegarch-Response-Signature", "x"};
  const header not_executed = {"Nutmegarch-Not-Executed", "1"};
  BOOST_TEST(dialect.read_target_answer({200, {signature, leaving}, ""}).is_leaving);
  BOOST_TEST(dialect.read_target_answer({503, {not_executed, leaving}, ""}).is_leaving);
  BOOST_TEST(!dialect.read_target_answer({200, {signature}, ""}).is_leaving);
  for (const char* const value : {"", "0", "10", "true", "1,1"}) {
    BOOST_TEST(!dialect.read_target_answer({200, {signature, {"Server-Leaving", value}}, ""}).is_leaving);
  }

  // Another instance at the address speaks for itself, and bytes of unknown origin for nobody.
  BOOST_TEST(!dialect.read_target_answer({421, {leaving}, ""}).is_leaving);
  BOOST_TEST(!dialect.read_target_answer({421, {not_executed, leaving}, ""}).is_leaving);
  BOOST_TEST(!dialect.read_target_answer({502, {leaving}, ""}).is_leaving);
  BOOST_TEST(
      !dialect.read_target_answer({200, {signature, leaving, {"Content-Encoding", "gzip"}}, ""}).is_leaving);
}

BOOST_AUTO_TEST_CASE(server_load_has_three_or_four_numbers) {
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
