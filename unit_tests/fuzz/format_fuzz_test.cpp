#include <array>
#include <cmath>
#include <cstring>

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include "nutmegarch/http/address.h"
#include "nutmegarch/protocol/codec.h"

#include "platform/published_format.h"
#include "unit_tests/fuzz/mutator.h"
#include "unit_tests/platform/sample_configuration.h"

namespace nutmegarch {

namespace {

constexpr const char* server_text = R"({"Service": "shop", "Address": "10.1.0.1:8341", "Zone": "z",
  "Version": "v1", "Slots": 4, "State": "ready", "ColdRemainingMs": 10, "Sequence": 1, "born": 1000})";

constexpr const char* listing_text = R"({"items": [{"Key": "servers/i-1", "Value": "eyJhIjogMX0=",
  "Revision": 5}, {"Key": "servers/i-2", "Revision": 6, "Tombstone": true}], "AsOf": 7, "MorePages": true})";

/// Encodes a message as it is sent.
std::string flatten(capnp::MallocMessageBuilder& builder) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Decodes a message as a connection does. A kj::Exception is accepted, because the RPC library answers it
/// with an error.
template <typename Wire, typename Read>
void read_wire(const std::string& bytes, Read read) {
  const kj::Array<capnp::word> words =
      kj::heapArray<capnp::word>((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  std::memcpy(const_cast<capnp::word*>(words.begin()), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(words);
    read(reader.getRoot<Wire>());
  } catch (const kj::Exception&) {
    // The bytes are not a valid message.
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fuzz_formats)

BOOST_AUTO_TEST_CASE(mutated_store_values_are_read_or_refused) {
  fuzz::mutator random;
  BOOST_TEST_MESSAGE("seed " << random.seed());
  const std::array<std::string, 5> odd_texts = {
      std::string(200, '[') + std::string(200, ']'),
      R"({"Service": "shop", "Address": "10.1.0.1:65536", "Zone": "z", "Slots": 1e999, "State": "ready"})",
      R"({"Service": "shop", "Address": "0.0.0.0:0", "Zone": "z", "Slots": 4, "State": "ready", "born": 1e300})",
      R"({"Service": "shop", "Address": "[::1]:80", "Zone": "z", "Slots": 2147483647, "State": "draining"})",
      "\xFF\xFE{}"};
  int read = 0;
  int read_hosts = 0;
  for (std::uint64_t i = 0; i < fuzz::mutator::rounds(20'000); ++i) {
    const std::string text = random.mutate(platform_adapter::sample_configuration);
    const result<routes::route_configuration, membership::published_value_error> configuration =
        platform_adapter::parse_configuration(text);
    if (succeeded(configuration)) {
      ++read;
      for (const routes::route& route : std::get<routes::route_configuration>(configuration).routes) {
        BOOST_REQUIRE_MESSAGE(route.timeout >= duration{} && route.max_attempts >= 0, text);
      }
    }
    const std::string value =
        random.mutate(i % 2 == 0 ? server_text : odd_texts.at(i / 2 % odd_texts.size()));
    const membership::published_item item{random.mutate("servers/i-1"), value, {0, 3}, false};
    const result<membership::published_host, membership::published_value_error> host =
        platform_adapter::parse_server(item);
    if (succeeded(host)) {
      const membership::published_host& found = std::get<membership::published_host>(host);
      BOOST_REQUIRE_MESSAGE(found.slots >= 1 && found.slots <= 100'000 && found.process_started_ms >= 0 &&
                                found.cold_remaining >= duration{} &&
                                http::parse_address(found.address)->port() != 0 &&
                                found.instance.find_first_of(" \t\r\n") == std::string::npos,
                            item.key + ' ' + value);
      ++read_hosts;
    }
    const std::optional<membership::store_answer> answer =
        platform_adapter::read_store_answer(random.mutate(listing_text));
    if (answer) {
      ++read;
      BOOST_REQUIRE(answer->next_key.empty() || answer->next_key == answer->items.back().key);
    }
  }
  BOOST_TEST(read > 0);
  BOOST_TEST(read_hosts > 0);
}

BOOST_AUTO_TEST_CASE(mutated_peer_messages_are_read_in_range_or_refused) {
  fuzz::mutator random;
  BOOST_TEST_MESSAGE("seed " << random.seed());

  // One message of each type, with a value in every kind of field.
  protocol::peer_call call;
  call.context.service = "stockyard";
  call.context.route = "GET /a";
  call.context.attempt_id = "a1";
  call.context.ticket = order_ticket{7, 8};
  call.request = std::make_shared<const request_message>(request_message{"POST", "/a", {{"A", "b"}}, "body"});
  capnp::MallocMessageBuilder context_builder;
  protocol::write_context(call.context, 5, context_builder.initRoot<protocol::wire::CallContext>());
  protocol::peer_answer answer;
  answer.message = {200, {{"A", "b"}}, "body"};
  answer.rule = "quarantine";
  answer.leaving_process_started_ms = 1'000;
  capnp::MallocMessageBuilder answer_builder;
  protocol::write(answer, answer_builder.initRoot<protocol::wire::Answer>());
  protocol::peer_exchange exchange;
  exchange.self.host = "h";
  exchange.digest.push_back({"key", 1, {4, 2}, 3});
  exchange.documents.push_back({{"key", 1, {4, 2}, 3}, "body"});
  exchange.marks.push_back({9, 2});
  capnp::MallocMessageBuilder exchange_builder;
  protocol::write(exchange, exchange_builder.initRoot<protocol::wire::Exchange>());

  const std::string context_bytes = flatten(context_builder);
  const std::string answer_bytes = flatten(answer_builder);
  const std::string exchange_bytes = flatten(exchange_builder);
  int read = 0;
  for (std::uint64_t i = 0; i < fuzz::mutator::rounds(2'000); ++i) {
    read_wire<protocol::wire::CallContext>(random.mutate(context_bytes),
                                           [&](protocol::wire::CallContext::Reader from) {
                                             const protocol::peer_call decoded = protocol::read_context(from);
                                             BOOST_REQUIRE(decoded.context.cls <= call_class::browse);
                                             BOOST_REQUIRE(decoded.context.shed_rank < shed_rank_count);
                                             BOOST_REQUIRE(decoded.context.remaining >= duration{});
                                             ++read;
                                           });
    read_wire<protocol::wire::Answer>(random.mutate(answer_bytes), [&](protocol::wire::Answer::Reader from) {
      const protocol::peer_answer decoded = protocol::read(from);
      BOOST_REQUIRE(decoded.outcome <= call_outcome::failed);
      BOOST_REQUIRE(decoded.reason <= last_call_reason);
      BOOST_REQUIRE(std::isfinite(decoded.report.load));
      BOOST_REQUIRE(decoded.leaving_process_started_ms.value_or(0) >= 0);
      ++read;
    });
    read_wire<protocol::wire::Exchange>(random.mutate(exchange_bytes),
                                        [&](protocol::wire::Exchange::Reader from) {
                                          protocol::read(from);
                                          ++read;
                                        });
  }
  BOOST_TEST(read > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch
