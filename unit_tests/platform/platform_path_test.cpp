#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/node/node.h"

#include "platform/adapter.h"
#include "stand_ins/store_stand_in.h"
#include "unit_tests/http/endless_peer.h"
#include "unit_tests/loopback.h"

namespace nutmegarch::platform_adapter {

namespace {

constexpr std::chrono::seconds patience{30};

bool wait_for(const std::function<bool()>& condition) {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + patience;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/// An application server: answers with its signature, and remembers what it was told.
class fake_server final : public http::request_handler {
 public:
  explicit fake_server(std::string instance) : instance_(std::move(instance)) {}

  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string id = find_header(request.fields, "Nutmegarch-Attempt-Id");
    const std::string expected = find_header(request.fields, "Nutmegarch-Target-Instance");
    if (!expected.empty() && expected != instance_) {
      answer({421, {{"Nutmegarch-Instance-Id", instance_}}, ""});
      return;
    }
    if (refuses_) {
      answer({503, {{"Nutmegarch-Not-Executed", "1"}, {"Nutmegarch-Attempt-Id", id}}, ""});
      return;
    }
    ++runs_;
    last_ = request;
    if (holds_) {
      held_.push_back(std::move(answer));
      return;
    }
    answer({200,
            {{"Nutmegarch-Attempt-Id", id}, {"Nutmegarch-Response-Signature", "s"}},
            instance_ + ' ' + request.target + ' ' + request.body});
  }

  void set_instance(const std::string& instance) {
    const std::lock_guard<std::mutex> lock(mutex_);
    instance_ = instance;
  }
  void set_refuses(bool refuses) {
    const std::lock_guard<std::mutex> lock(mutex_);
    refuses_ = refuses;
  }
  void set_holds(bool holds) {
    const std::lock_guard<std::mutex> lock(mutex_);
    holds_ = holds;
  }
  int runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  request_message last() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_;
  }

 private:
  mutable std::mutex mutex_;
  std::string instance_;
  request_message last_;
  std::vector<answer_callback> held_;
  int runs_ = 0;
  bool refuses_ = false;
  bool holds_ = false;
};

std::string ip_of(const std::string& address) { return address.substr(0, address.rfind(':')); }

std::string route_text(const std::string& name, const std::string& prefix, const std::string& service,
                       const std::string& kind, int timeout_ms = 20000) {
  return R"({"ResourceType": "Routes", "Metadata": {"Name": ")" + name +
         R"("}, "Spec": {"Host": "shop.example", "Prefix": ")" + prefix + R"(", "Kind": ")" + kind +
         R"(", "TimeoutMs": )" + std::to_string(timeout_ms) +
         R"(, "TargetLatencyMs": 1000, "Priority": 0, "Service": ")" + service + R"(", "MaxAttempts": 2}})";
}

std::string configuration_text(int version, const std::vector<std::string>& routes) {
  std::string text = R"({"Version": )" + std::to_string(version) + R"(, "Resources": [)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    text += (i == 0 ? "" : ", ") + routes.at(i);
  }
  return text + "]}";
}

/// Two machines with a server and a node each, and the store.
struct small_platform {
  /// First, since the store and the servers hold answers whose connections live on it.
  boost::asio::io_context workers_{1};

  small_platform() : small_platform(std::chrono::milliseconds(50)) {}
  /// `gossip_interval` is the time between two exchanges with a random peer.
  explicit small_platform(duration gossip_interval)
      : gossip_interval_(gossip_interval),
        work_(boost::asio::make_work_guard(workers_)),
        store_server_(workers_, {}, store) {
    BOOST_REQUIRE(store_server_.start("127.0.0.1:0"));
    store_address_ = "127.0.0.1:" + std::to_string(store_server_.port());
    thread_ = std::thread([this]() { workers_.run(); });
    publish(1, {route_text("look", "/look/", "shop", "idempotent"),
                route_text("buy", "/buy/", "shop", "non_idempotent"),
                route_text("short", "/short/", "shop", "idempotent", 300)});
    for (std::size_t i = 0; i < 2; ++i) {
      peers_.push_back(free_address());
      const std::string address = ip_of(peers_.at(i)) + ":20001";
      server_edges_.push_back(
          std::make_unique<http::server>(workers_, http::server_settings{}, *servers.at(i)));
      BOOST_REQUIRE(server_edges_.back()->start(address));
      register_server("i-" + std::to_string(i), i);
    }
    for (std::size_t i = 0; i < 2; ++i) {
      start_node(i);
    }
    BOOST_REQUIRE(wait_for([&]() { return is_ready(0) && is_ready(1); }));
    BOOST_REQUIRE(wait_for([&]() { return ask(0, "GET", "/look/ready").status == 200; }));
    BOOST_REQUIRE(wait_for([&]() { return ask(1, "GET", "/look/ready").status == 200; }));
    runs_before_ = runs();
  }
  small_platform(const small_platform&) = delete;
  small_platform& operator=(const small_platform&) = delete;
  ~small_platform() {
    nodes.clear();
    workers_.stop();
    thread_.join();
  }

  void publish(int version, const std::vector<std::string>& routes) {
    store.put("op/config", configuration_text(version, routes));
  }

  void register_server(const std::string& instance, std::size_t index, const std::string& state = "ready",
                       std::int64_t born = 1000) {
    store.put("servers/" + instance, R"({"Service": "shop", "Address": ")" + ip_of(peers_.at(index)) +
                                         R"(:20001", "Zone": "z", "Version": "v1", "Slots": 4, "State": ")" +
                                         state + R"(", "ColdRemainingMs": 0, "Sequence": 1, "born": )" +
                                         std::to_string(born) + "}");
  }

  void start_node(std::size_t index, bool knows_seeds = true) {
    node::node_settings one;
    one.identity = {"shop", ip_of(peers_.at(index)), "z", "r", {}, 1};
    one.regions = {{"z", "r"}};
    one.listen.callers = ip_of(peers_.at(index)) + ":20002";
    one.listen.admin = ip_of(peers_.at(index)) + ":20003";
    one.listen.ready = ip_of(peers_.at(index)) + ":20004";
    one.listen.peers = peers_.at(index);
    one.target.address = ip_of(peers_.at(index)) + ":20001";
    one.platform.address = store_address_;
    one.platform.dialect = "metadata-store";
    if (knows_seeds) {
      one.gossip.seeds = {peers_.at(1 - index)};
    }
    one.gossip.interval = gossip_interval_;
    one.gossip.greeting_interval = gossip_interval_;
    one.store.first_pause = std::chrono::milliseconds(20);
    one.store.longest_pause = std::chrono::milliseconds(100);
    one.lifecycle.leave_grace = std::chrono::milliseconds(50);
    one.log.level = observe::log_level::error;
    nodes[index] = std::make_unique<node::node>(one, 100 + index, index + 1, make_adapter(store_address_));
    BOOST_REQUIRE(nodes[index]->start().empty());
  }

  /// The server of this machine, and its node, start again; the server now writes without end.
  void make_endless(std::size_t index, const http::endless_script& script) {
    nodes.erase(index);
    server_edges_.at(index)->stop();
    const boost::asio::ip::tcp::endpoint address = *http::parse_address(ip_of(peers_.at(index)) + ":20001");
    BOOST_REQUIRE(wait_for([&]() {
      try {
        endless_ = std::make_unique<http::endless_peer>(script, address);
      } catch (const boost::system::system_error&) {
        // The address is still taken.
      }
      return endless_ != nullptr;
    }));
    start_node(index);
    BOOST_REQUIRE(wait_for([&]() { return is_ready(index); }));
  }

  std::string metrics(std::size_t index) const {
    return send(ip_of(peers_.at(index)) + ":20003", {"GET", "/metrics", {}, ""}).body;
  }

  answer_message ask(std::size_t index, const std::string& method, const std::string& path,
                     headers fields = {}, const std::string& body = "") {
    static std::atomic<int> last_id{0};
    set_header(fields, "Nutmegarch-Attempt-Id", "a" + std::to_string(++last_id));
    if (find_header(fields, "Nutmegarch-Deadline-Ms").empty()) {
      set_header(fields, "Nutmegarch-Deadline-Ms", "20000");
    }
    return send(ip_of(peers_.at(index)) + ":20002", {method, path, fields, body, "shop.example"});
  }

  bool is_ready(std::size_t index) {
    return send(ip_of(peers_.at(index)) + ":20004", {"GET", "/nutmegarch/ready", {}, ""}).status == 200;
  }

  int runs() const { return servers.at(0)->runs() + servers.at(1)->runs(); }
  int new_runs() const { return runs() - runs_before_; }

  stand_ins::store_stand_in store;
  std::array<std::unique_ptr<fake_server>, 2> servers = {std::make_unique<fake_server>("i-0"),
                                                         std::make_unique<fake_server>("i-1")};
  std::map<std::size_t, std::unique_ptr<node::node>> nodes;

 private:
  static answer_message send(const std::string& address, const request_message& request) {
    boost::asio::io_context context;
    http::client_pool pool(context, *http::parse_address(address), {});
    answer_message answer;
    pool.send(request, patience, [&](const result<answer_message, http::client_error>& outcome) {
      if (succeeded(outcome)) {
        answer = std::get<answer_message>(outcome);
      }
    });
    context.run();
    return answer;
  }

  duration gossip_interval_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  http::server store_server_;
  std::string store_address_;
  std::vector<std::string> peers_;
  std::vector<std::unique_ptr<http::server>> server_edges_;
  std::unique_ptr<http::endless_peer> endless_;
  std::thread thread_;
  int runs_before_ = 0;
};

/// A larger fleet, in which it takes long until two given nodes exchange by chance.
struct large_platform : small_platform {
  large_platform() : small_platform(std::chrono::minutes(1)) {
    constexpr int machines = 40;
    for (int i = 0; i < machines; ++i) {
      store.put("servers/far-" + std::to_string(i),
                R"({"Service": "far", "Address": ")" + ip_of(free_address()) +
                    R"(:20001", "Zone": "z", "Version": "v1", "Slots": 4, "State": "ready", )" +
                    R"("ColdRemainingMs": 0, "Sequence": 1, "born": 1000})");
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_path)

BOOST_FIXTURE_TEST_CASE(a_request_passes_unchanged_and_its_answer_too, small_platform) {
  const answer_message answer =
      ask(0, "POST", "/buy/2?x=1", {{"Nutmegarch-Caller-Service", "false"}, {"X-Own", "kept"}}, "two");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(find_header(answer.fields, "Nutmegarch-Response-Signature") == "s");
  BOOST_TEST(answer.body.find("/buy/2?x=1 two") != std::string::npos);
  BOOST_TEST(new_runs() == 1);
  const request_message seen =
      servers[0]->last().target == "/buy/2?x=1" ? servers[0]->last() : servers[1]->last();
  BOOST_TEST(seen.authority == "shop.example");
  BOOST_TEST(find_header(seen.fields, "X-Own") == "kept");
  BOOST_TEST(find_header(seen.fields, "Nutmegarch-Caller-Service") == "shop");
}

BOOST_FIXTURE_TEST_CASE(without_a_route_there_is_no_server_to_ask, small_platform) {
  BOOST_TEST(ask(0, "GET", "/nowhere/").status == 404);
  BOOST_TEST(ask(0, "GET", "/look/", {{"Nutmegarch-Deadline-Ms", "soon"}}).status == 400);
  BOOST_TEST(new_runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_server_that_refuses_has_not_run_the_order_and_another_may, small_platform) {
  servers[0]->set_refuses(true);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(ask(i % 2, "POST", "/buy/1").status == 200);
  }
  BOOST_TEST(new_runs() == 4);
  servers[1]->set_refuses(true);
  const answer_message refused = ask(0, "POST", "/buy/1");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(!find_header(refused.fields, "Retry-After").empty());
  BOOST_TEST(new_runs() == 4);
}

BOOST_FIXTURE_TEST_CASE(a_document_of_a_peer_with_a_revision_out_of_range_is_left_out, small_platform) {
  for (const char* const revision : {"-1", "1.5", "1e300"}) {
    protocol::peer_exchange offer;
    offer.documents.push_back({{"published-hosts", 1'000'000, 1'000'000, 1},
                               std::string(R"([["servers/x",)") + revision + R"(,"{}"]])"});
    BOOST_CHECK_NO_THROW(nodes.at(0)->on_exchange(offer));
  }
  BOOST_TEST(ask(0, "GET", "/look/1").status == 200);
}

// Found on the platform: all machines came back with new server processes at the old addresses, and requests
// were sent to the old ones until their entries lapsed.
BOOST_FIXTURE_TEST_CASE(a_new_process_at_an_address_takes_the_place_of_the_old_one, small_platform) {
  servers[0]->set_instance("i-new");
  BOOST_TEST(ask(0, "GET", "/look/1").status == 200);
  register_server("i-new", 0, "ready", 2000);
  BOOST_REQUIRE(wait_for([&]() {
    const answer_message answer = ask(0, "GET", "/look/1");
    return answer.body.find("i-new") == 0;
  }));
}

BOOST_FIXTURE_TEST_CASE(an_answer_is_due_at_the_timeout_of_the_route, small_platform) {
  servers[0]->set_holds(true);
  servers[1]->set_holds(true);
  const std::chrono::steady_clock::time_point before = std::chrono::steady_clock::now();
  BOOST_TEST(ask(0, "GET", "/short/1").status == 504);
  BOOST_TEST((std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(290)));
}

BOOST_FIXTURE_TEST_CASE(a_server_that_writes_without_end_gets_its_calls_answered_at_once, small_platform) {
  constexpr duration soon = std::chrono::seconds(5);
  make_endless(1, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", std::string(4'000, 'a')});
  const std::chrono::steady_clock::time_point before = std::chrono::steady_clock::now();
  int unknown = 0;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(ask(i % 2, "GET", "/look/1").status == 200);
    // An order may have run there, so it is neither repeated nor said not to have run.
    const int status = ask(i % 2, "POST", "/buy/1").status;
    BOOST_TEST((status == 200 || status == 502));
    unknown += status == 502 ? 1 : 0;
  }
  BOOST_TEST((std::chrono::steady_clock::now() - before < soon));
  BOOST_TEST(unknown > 0);
  BOOST_TEST(metrics(1).find("nutmegarch_target_answers_malformed_total") != std::string::npos);
  BOOST_TEST(metrics(1).find("nutmegarch_unfinished_answer_bytes 0") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_server_gets_no_new_work, small_platform) {
  register_server("i-0", 0, "draining");
  BOOST_REQUIRE(wait_for([&]() {
    const int before = servers[0]->runs();
    for (int i = 0; i < 6; ++i) {
      BOOST_REQUIRE(ask(i % 2, "GET", "/look/1").status == 200);
    }
    return servers[0]->runs() == before;
  }));
}

BOOST_FIXTURE_TEST_CASE(a_newer_configuration_is_in_force_and_an_older_one_never_again, small_platform) {
  publish(5, {route_text("moved", "/moved/", "shop", "idempotent")});
  BOOST_REQUIRE(wait_for(
      [&]() { return ask(0, "GET", "/moved/").status == 200 && ask(1, "GET", "/moved/").status == 200; }));
  publish(4, {route_text("look", "/look/", "shop", "idempotent")});
  publish(6, {route_text("moved", "/moved/", "shop", "idempotent"),
              route_text("last", "/last/", "shop", "idempotent")});
  BOOST_REQUIRE(wait_for([&]() { return ask(0, "GET", "/last/").status == 200; }));
  BOOST_TEST(ask(0, "GET", "/look/").status == 404);
  store.put("op/config", "no configuration");
  BOOST_TEST(ask(0, "GET", "/moved/").status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_lost_history_is_read_again, small_platform) {
  store.set_mode(stand_ins::store_stand_in::mode::refuses);
  publish(3, {route_text("later", "/later/", "shop", "idempotent")});
  store.forget_history();
  store.set_mode(stand_ins::store_stand_in::mode::good);
  BOOST_TEST(wait_for([&]() { return ask(0, "GET", "/later/").status == 200; }));
}

BOOST_FIXTURE_TEST_CASE(a_node_that_starts_while_the_store_is_away_learns_from_its_peers, small_platform) {
  store.set_mode(stand_ins::store_stand_in::mode::refuses);
  nodes.erase(1);
  start_node(1);
  BOOST_TEST(wait_for([&]() { return is_ready(1) && ask(1, "GET", "/look/1").status == 200; }));
}

BOOST_FIXTURE_TEST_CASE(a_node_that_is_told_to_stop_is_not_ready_and_serves_on_until_it_ends,
                        small_platform) {
  nodes[1]->leave();
  BOOST_TEST(wait_for([&]() { return !is_ready(1); }));
  nodes[1]->wait();
  BOOST_TEST(ask(0, "GET", "/look/1").status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_node_that_has_started_again_is_not_taken_for_leaving, large_platform) {
  nodes[1]->leave();
  nodes[1]->wait();
  nodes.erase(1);
  servers[0]->set_refuses(true);
  BOOST_REQUIRE(ask(0, "GET", "/look/1").status == 503);
  start_node(1, false);
  BOOST_TEST(wait_for([&]() { return ask(0, "GET", "/look/1").status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
