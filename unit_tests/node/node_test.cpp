#include "nutmegarch/node/node.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/node/header_names.h"

#include "unit_tests/loopback.h"

namespace nutmegarch::node {

namespace {

/// Longest wait for an expected state. No check depends on how long the state takes to be reached.
constexpr std::chrono::seconds max_wait{30};
constexpr const char* signature = " # who: a why: b\n";

bool wait_for(const std::function<bool()>& condition) {
  const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + max_wait;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/// Fake configuration service whose values the test sets. It answers every request at once, a watch included.
class fake_platform final : public http::request_handler {
 public:
  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto found = values_.find(request.target.substr(std::string("/v1/values/").size()));
    if (found == values_.end()) {
      answer({404, {}, ""});
      return;
    }
    answer({200, {{"ETag", '"' + std::to_string(revision_) + '"'}}, found->second});
  }

  void set(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    values_[key] = value;
    ++revision_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::string> values_;
  std::uint64_t revision_ = 0;
};

/// Fake target that counts its calls and holds those under /hold until release_held().
class fake_target final : public http::request_handler {
 public:
  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    ++runs;
    if (request.target.find("/hold") == 0) {
      const std::lock_guard<std::mutex> lock(mutex_);
      held_.push_back(std::move(answer));
      return;
    }
    answer({200, {{"Content-Type", "text/plain"}}, "run " + std::to_string(runs) + " " + request.body});
  }

  void release_held() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const answer_callback& answer : held_) {
      answer({200, {}, "held"});
    }
    held_.clear();
  }

  std::size_t held() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return held_.size();
  }

  std::atomic<int> runs{0};

 private:
  std::mutex mutex_;
  std::vector<answer_callback> held_;
};

/// Two nodes of one service, each with its own fake target, and a fake platform, all in one process.
class two_node_fixture {
 public:
  two_node_fixture() : work_(workers_.get_executor()), platform_server_(workers_, {}, platform) {
    BOOST_REQUIRE(platform_server_.start("127.0.0.1:0"));
    platform_address_ = "127.0.0.1:" + std::to_string(platform_server_.port());
    for (std::size_t i = 0; i < 2; ++i) {
      target_servers_.push_back(
          std::make_unique<http::server>(workers_, http::server_settings{}, targets[i]));
      BOOST_REQUIRE(target_servers_.back()->start("127.0.0.1:0"));
      settings.push_back(make_settings(i));
    }
    thread_ = std::thread([this]() { workers_.run(); });
    publish_rules(1, "order service=shop route=/orders");
    std::string hosts;
    for (const node_settings& node_config : settings) {
      hosts += (hosts.empty() ? "" : ",") + ("{\"host\":\"" + node_config.identity.host) +
               "\",\"service\":\"shop\",\"domain\":\"d\",\"region\":\"r\",\"slots\":4,\"peers\":\"" +
               node_config.listen.peers + "\"}";
    }
    platform.set("hosts/shop", "{\"revision\":1,\"hosts\":[" + hosts + "]}");
    for (std::size_t i = 0; i < 2; ++i) {
      nodes.push_back(std::make_unique<node>(settings[i], 100 + i, i + 1));
      BOOST_REQUIRE(nodes.back()->start().empty());
    }
    for (std::size_t i = 0; i < 2; ++i) {
      BOOST_REQUIRE(wait_for(
          [&]() { return ask_admin(i, "/status").find("\"revalidating\":false") != std::string::npos; }));
      BOOST_REQUIRE(
          wait_for([&]() { return ask_admin(i, "/status").find("\"peers\":1") != std::string::npos; }));
      BOOST_REQUIRE(
          wait_for([&]() { return ask_admin(i, "/rules").find("\"version\":1,") != std::string::npos; }));
    }
  }
  two_node_fixture(const two_node_fixture&) = delete;
  two_node_fixture& operator=(const two_node_fixture&) = delete;
  ~two_node_fixture() {
    nodes.clear();
    workers_.stop();
    thread_.join();
  }

  void publish_rules(int version, const std::string& line) {
    platform.set("rules", "version " + std::to_string(version) + signature + line + signature);
  }

  answer_message call(std::size_t index, const std::string& method, const std::string& path,
                      const std::string& ticket = "", const std::string& body = "") {
    headers fields;
    if (!ticket.empty()) {
      fields.push_back({header_names::ticket, ticket});
    }
    return ask(settings.at(index).listen.callers, {method, path, fields, body});
  }

  std::string ask_admin(std::size_t index, const std::string& path) {
    return ask(settings.at(index).listen.admin, {"GET", path, {}, ""}).body;
  }

  fake_platform platform;
  std::array<fake_target, 2> targets;
  std::vector<node_settings> settings;
  std::vector<std::unique_ptr<node>> nodes;

 private:
  node_settings make_settings(std::size_t index) {
    node_settings node_config;
    node_config.identity.service = "shop";
    node_config.identity.host = "shop-" + std::to_string(index);
    node_config.identity.domain = "d";
    node_config.identity.region = "r";
    node_config.listen = {free_address(), free_address(), free_address()};
    node_config.target.address = "127.0.0.1:" + std::to_string(target_servers_.at(index)->port());
    node_config.admission.slots = 4;
    node_config.platform.address = platform_address_;
    node_config.calls.timeout = max_wait;
    node_config.lifecycle.leave_grace = std::chrono::milliseconds(50);
    node_config.log.level = observe::log_level::error;
    return node_config;
  }

  static answer_message ask(const std::string& address, const request_message& request) {
    boost::asio::io_context context;
    http::client_pool pool(context, *http::parse_address(address), {});
    answer_message answer;
    pool.send(request, max_wait, [&](const result<answer_message, http::client_error>& outcome) {
      if (succeeded(outcome)) {
        answer = std::get<answer_message>(outcome);
      }
    });
    context.run();
    return answer;
  }

  boost::asio::io_context workers_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  http::server platform_server_;
  std::string platform_address_;
  std::vector<std::unique_ptr<http::server>> target_servers_;
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(node_end_to_end)

BOOST_FIXTURE_TEST_CASE(a_call_is_answered_with_its_outcome, two_node_fixture) {
  const answer_message answer = call(0, "GET", "/a");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(find_header(answer.fields, header_names::outcome) == "ok");
}

BOOST_FIXTURE_TEST_CASE(an_order_runs_once_when_both_nodes_get_it, two_node_fixture) {
  const answer_message ticket_answer = call(0, "POST", "/orders", "", "two mortars");
  BOOST_REQUIRE(ticket_answer.status == 428);
  BOOST_TEST(find_header(ticket_answer.fields, header_names::outcome) == "not-run");
  BOOST_TEST(targets[0].runs + targets[1].runs == 0);
  const std::string ticket = find_header(ticket_answer.fields, header_names::ticket);

  const answer_message first = call(0, "POST", "/orders", ticket, "two mortars");
  const answer_message second = call(1, "POST", "/orders", ticket, "two mortars");
  BOOST_TEST(first.status == 200);
  BOOST_TEST(second.body == first.body);
  BOOST_TEST(targets[0].runs + targets[1].runs == 1);
}

BOOST_FIXTURE_TEST_CASE(a_ticket_of_an_unknown_incarnation_has_an_unknown_outcome_and_runs_nothing,
                        two_node_fixture) {
  const answer_message answer = call(0, "POST", "/orders", policy::to_text({4711, 1}), "two mortars");
  BOOST_TEST(find_header(answer.fields, header_names::outcome) == "unknown");
  BOOST_TEST(targets[0].runs + targets[1].runs == 0);
}

BOOST_FIXTURE_TEST_CASE(published_rules_come_into_force_and_an_older_version_is_refused, two_node_fixture) {
  publish_rules(3, "limit service=shop concurrency=0");
  BOOST_TEST(
      wait_for([&]() { return call(0, "GET", "/a").status == 429 && call(1, "GET", "/a").status == 429; }));
  BOOST_TEST(call(0, "GET", "/a").body.find("limit service=shop concurrency=0") != std::string::npos);
  publish_rules(2, "timeout service=shop after=1s");
  BOOST_TEST(wait_for([&]() {
    return ask_admin(0, "/timeline?kind=rules-refused").find("would have gone") != std::string::npos;
  }));
  BOOST_TEST(call(0, "GET", "/a").status == 429);
}

BOOST_FIXTURE_TEST_CASE(a_planned_stop_lets_running_calls_finish, two_node_fixture) {
  std::promise<answer_message> answered;
  // Either target may get the call; the node whose target runs it is the one that leaves.
  std::thread caller([&]() { answered.set_value(call(0, "GET", "/hold")); });
  BOOST_REQUIRE(wait_for([&]() { return targets[0].held() + targets[1].held() == 1; }));
  const std::size_t leaving_node = targets[0].held() == 1 ? 0 : 1;
  nodes.at(leaving_node)->leave();
  BOOST_TEST(wait_for(
      [&]() { return ask_admin(leaving_node, "/status").find("\"leaving\":true") != std::string::npos; }));
  const int before = targets[leaving_node].runs;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(call(1 - leaving_node, "GET", "/a").status == 200);
  }
  BOOST_TEST(targets[leaving_node].runs == before);
  targets[leaving_node].release_held();
  BOOST_TEST(answered.get_future().get().body == "held");
  caller.join();
  nodes.at(leaving_node)->wait();
}

BOOST_FIXTURE_TEST_CASE(the_admin_api_serves_metrics_and_explains_rules, two_node_fixture) {
  BOOST_TEST(ask_admin(0, "/metrics").find("nutmegarch_rules_version 1") != std::string::npos);
  BOOST_TEST(ask_admin(0, "/nothing").find("404") != std::string::npos);
  const std::string explained = ask_admin(0, "/explain?service=shop&route=/orders");
  BOOST_TEST(explained.find("order service=shop route=/orders") != std::string::npos);
  BOOST_TEST(explained.find("\"who\":\"a\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::node
