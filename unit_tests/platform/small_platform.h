#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/node/node.h"

#include "platform/adapter.h"
#include "stand_ins/store_stand_in.h"
#include "unit_tests/http/endless_peer.h"
#include "unit_tests/http/scripted_peer.h"
#include "unit_tests/loopback.h"

namespace nutmegarch::platform_adapter {

constexpr std::chrono::seconds wait_timeout{30};

inline bool wait_for(const std::function<bool()>& condition, duration timeout = wait_timeout) {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/// Within this time a change that the store has acknowledged must be in force.
constexpr std::chrono::milliseconds change_bound{2'500};

/// Time after a disturbance of the store from which changes must be in force in time again.
constexpr std::chrono::seconds stable_window{3};

/// Application server that signs its answers and records the last request.
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
    ++arrivals_;
    headers fields = {{"Nutmegarch-Attempt-Id", id}};
    if (is_leaving_) {
      fields.push_back({"Server-Leaving", "1"});
    }
    if (is_refusing_) {
      fields.push_back({"Nutmegarch-Not-Executed", "1"});
      answer({503, fields, ""});
      return;
    }
    ++runs_;
    last_request_ = request;
    if (is_holding_ || (!held_path_.empty() && request.target == held_path_)) {
      held_answers_.push_back(std::move(answer));
      return;
    }
    fields.push_back({"Nutmegarch-Response-Signature", "s"});
    if (!named_limit_.empty()) {
      fields.push_back({"Server-Limit", named_limit_});
    }
    answer({200, fields, instance_ + ' ' + request.target + ' ' + request.body});
  }

  void set_instance(const std::string& instance) {
    const std::lock_guard<std::mutex> lock(mutex_);
    instance_ = instance;
  }
  void set_refusing(bool is_refusing) {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_refusing_ = is_refusing;
  }
  /// From now on the answers say that the server is leaving.
  void set_leaving(bool is_leaving) {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_leaving_ = is_leaving;
  }
  void set_holding(bool is_holding) {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_holding_ = is_holding;
  }
  /// Requests for this path get no answer; empty for none.
  void set_held_path(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_path_ = path;
  }
  /// Value of the field `Server-Limit` in further answers; empty for none.
  void set_named_limit(const std::string& limit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    named_limit_ = limit;
  }
  /// Answers the held requests with an error, and holds no more.
  void release() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_holding_ = false;
    for (const answer_callback& held : held_answers_) {
      held({500, {}, ""});
    }
    held_answers_.clear();
  }
  int runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  /// Requests for this instance, including those that it refused.
  int arrivals() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }
  request_message last_request() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_request_;
  }

 private:
  mutable std::mutex mutex_;
  std::string instance_;
  std::string named_limit_;
  std::string held_path_;
  request_message last_request_;
  std::vector<answer_callback> held_answers_;
  int runs_ = 0;
  int arrivals_ = 0;
  bool is_refusing_ = false;
  bool is_leaving_ = false;
  bool is_holding_ = false;
};

/// Sends requests one after the other, over a kept connection as far as the node keeps it.
class caller final {
 public:
  explicit caller(const std::string& address) : pool_(context_, *http::parse_address(address), {}) {}

  answer_message send(const request_message& request) {
    answer_message answer;
    bool is_answered = false;
    pool_.send(request, wait_timeout, [&](const result<answer_message, http::client_error>& outcome) {
      is_answered = true;
      if (succeeded(outcome)) {
        answer = std::get<answer_message>(outcome);
      }
    });
    context_.restart();
    while (!is_answered && context_.run_one() > 0) {
    }
    return answer;
  }

 private:
  boost::asio::io_context context_;
  http::client_pool pool_;
};

inline std::string ip_of(const std::string& address) { return address.substr(0, address.rfind(':')); }

inline std::string route_json(const std::string& name, const std::string& prefix, const std::string& service,
                              const std::string& kind, int timeout_ms = 20000) {
  return R"({"ResourceType": "Routes", "Metadata": {"Name": ")" + name +
         R"("}, "Spec": {"Host": "shop.example", "Prefix": ")" + prefix + R"(", "Kind": ")" + kind +
         R"(", "TimeoutMs": )" + std::to_string(timeout_ms) +
         R"(, "TargetLatencyMs": 1000, "Priority": 0, "Service": ")" + service + R"(", "MaxAttempts": 2}})";
}

inline std::string configuration_json(int version, const std::vector<std::string>& routes) {
  std::string text = R"({"Version": )" + std::to_string(version) + R"(, "Resources": [)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    text += (i == 0 ? "" : ", ") + routes.at(i);
  }
  return text + "]}";
}

/// Values of entries that name no server to use. One of them has the address of a server, and a service that
/// no configuration names.
inline std::vector<std::string> odd_entry_values(const std::string& taken_address) {
  const auto entry = [](const std::string& service, const std::string& address, const std::string& slots,
                        const std::string& born) {
    return R"({"Service": ")" + service + R"(", "Address": ")" + address +
           R"(", "Zone": "z", "Version": "v1", "Slots": )" + slots +
           R"(, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": )" + born + "}";
  };
  constexpr const char* address = "127.99.0.1:20001";
  std::vector<std::string> values = {"",
                                     "null",
                                     "[]",
                                     "\xFF\xFE not UTF-8",
                                     std::string("\0\0\0", 3),
                                     std::string(100'000, '['),
                                     std::string(100'000, '9'),
                                     R"({"Service": "shop", "Slots": )" + std::string(400, '9') + "}",
                                     entry("ghost", taken_address, "4", "2000")};
  std::string nested = "1";
  for (int i = 0; i < 1'000; ++i) {
    nested = R"({"a": )" + nested + "}";
  }
  values.push_back(nested);
  for (const char* const slots :
       {"1e999", "1e300", "-1", "0", "1.5", "true", "99999999999999999999", "2147483647"}) {
    values.push_back(entry("shop", address, slots, "1000"));
  }
  for (const char* const odd_address :
       {"127.99.0.1:0", "127.99.0.1:65536", "127.99.0.1:99999999999999999999", "127.99.0.1:-1", "127.99.0.1",
        "0.0.0.0:20001", "255.255.255.255:20001", "224.0.0.1:20001", "[::]:20001", "nowhere:20001", ""}) {
    values.push_back(entry("shop", odd_address, "4", "1000"));
  }
  for (const char* const born : {"1e999", "1e300", "-1", "1.5", "\"soon\"", "{}"}) {
    values.push_back(entry("shop", taken_address, "4", born));
  }
  return values;
}

/// Two hosts, each with a server and a node, and the metadata store.
struct small_platform {
  /// Declared first, so that it outlives the store and the servers: they hold answers whose connections use
  /// it.
  boost::asio::io_context workers_{1};

  small_platform() : small_platform(std::chrono::milliseconds(50)) {}
  /// `gossip_interval` is the time between two gossip exchanges with a random peer, `first_pause` the one
  /// after a failed call to the store.
  explicit small_platform(duration gossip_interval, duration first_pause = std::chrono::milliseconds(20))
      : gossip_interval_(gossip_interval),
        first_pause_(first_pause),
        work_(boost::asio::make_work_guard(workers_)),
        store_server_(workers_, {}, store),
        watch_timer_(workers_) {
    end_watches_regularly();
    BOOST_REQUIRE(store_server_.start("127.0.0.1:0"));
    store_address_ = "127.0.0.1:" + std::to_string(store_server_.port());
    thread_ = std::thread([this]() { workers_.run(); });
    publish(1, {route_json("look", "/look/", "shop", "idempotent"),
                route_json("buy", "/buy/", "shop", "non_idempotent"),
                route_json("short", "/short/", "shop", "idempotent", 300)});
    for (std::size_t i = 0; i < 2; ++i) {
      peer_addresses_.push_back(free_address());
      const std::string address = ip_of(peer_addresses_.at(i)) + ":20001";
      http_servers_.push_back(
          std::make_unique<http::server>(workers_, http::server_settings{}, *servers.at(i)));
      BOOST_REQUIRE(http_servers_.back()->start(address));
      register_server("i-" + std::to_string(i), i);
    }
    for (std::size_t i = 0; i < 2; ++i) {
      start_node(i);
    }
    BOOST_REQUIRE(wait_for([&]() { return is_ready(0) && is_ready(1); }));
    BOOST_REQUIRE(wait_for([&]() { return send_request(0, "GET", "/look/ready").status == 200; }));
    BOOST_REQUIRE(wait_for([&]() { return send_request(1, "GET", "/look/ready").status == 200; }));
    initial_runs_ = runs();
  }
  small_platform(const small_platform&) = delete;
  small_platform& operator=(const small_platform&) = delete;
  ~small_platform() {
    nodes.clear();
    workers_.stop();
    thread_.join();
  }

  void publish(int version, const std::vector<std::string>& routes) {
    store.put("op/config", configuration_json(version, routes));
  }

  void register_server(const std::string& instance, std::size_t index, const std::string& state = "ready",
                       std::int64_t process_started_ms = 1000) {
    store.put("servers/" + instance, R"({"Service": "shop", "Address": ")" +
                                         ip_of(peer_addresses_.at(index)) +
                                         R"(:20001", "Zone": "z", "Version": "v1", "Slots": 4, "State": ")" +
                                         state + R"(", "ColdRemainingMs": 0, "Sequence": 1, "born": )" +
                                         std::to_string(process_started_ms) + "}");
  }

  /// Waits until the nodes have applied all that was written to the store before.
  void wait_until_applied(const std::vector<std::size_t>& indices) {
    const std::string name = "mark" + std::to_string(++last_version_);
    publish(last_version_, {route_json("look", "/look/", "shop", "idempotent"),
                            route_json("buy", "/buy/", "shop", "non_idempotent"),
                            route_json(name, '/' + name + '/', "shop", "idempotent")});
    for (const std::size_t index : indices) {
      BOOST_REQUIRE(wait_for([&]() { return send_request(index, "GET", '/' + name + '/').status == 200; }));
    }
  }

  void start_node(std::size_t index, bool knows_seeds = true) {
    node::node_settings settings;
    settings.identity = {"shop", ip_of(peer_addresses_.at(index)), "z", "r", {}, 1};
    settings.regions = {{"z", "r"}};
    settings.listen.callers = ip_of(peer_addresses_.at(index)) + ":20002";
    settings.listen.admin = ip_of(peer_addresses_.at(index)) + ":20003";
    settings.listen.ready = ip_of(peer_addresses_.at(index)) + ":20004";
    settings.listen.peers = peer_addresses_.at(index);
    settings.target.address = ip_of(peer_addresses_.at(index)) + ":20001";
    settings.platform.address = store_address_;
    settings.platform.dialect = "metadata-store";
    if (knows_seeds) {
      settings.gossip.seeds = {peer_addresses_.at(1 - index)};
    }
    settings.gossip.interval = gossip_interval_;
    settings.gossip.greeting_interval = gossip_interval_;
    settings.store.first_pause = first_pause_;
    settings.store.longest_pause = 5 * first_pause_;
    settings.lifecycle.leave_grace = std::chrono::milliseconds(50);
    settings.lifecycle.max_leave_time = longest_leave;
    settings.log.level = observe::log_level::error;
    nodes[index] =
        std::make_unique<node::node>(settings, 100 + index, index + 1, make_adapter(store_address_));
    BOOST_REQUIRE(nodes[index]->start().empty());
  }

  /// Replaces the server of a host by one whose answers do not end, and restarts the host's node.
  void replace_by_endless_server(std::size_t index, const http::endless_script& script) {
    nodes.erase(index);
    http_servers_.at(index)->stop();
    const boost::asio::ip::tcp::endpoint address =
        *http::parse_address(ip_of(peer_addresses_.at(index)) + ":20001");
    BOOST_REQUIRE(wait_for([&]() {
      try {
        endless_peer_ = std::make_unique<http::endless_peer>(script, address);
      } catch (const boost::system::system_error&) {
        // The address is still taken.
      }
      return endless_peer_ != nullptr;
    }));
    start_node(index);
    BOOST_REQUIRE(wait_for([&]() { return is_ready(index); }));
  }

  /// Replaces the server of a host by one that answers by a script, and restarts the host's node.
  void replace_by_scripted_server(std::size_t index, const http::scripted_peer::script& script) {
    nodes.erase(index);
    http_servers_.at(index)->stop();
    const boost::asio::ip::tcp::endpoint address =
        *http::parse_address(ip_of(peer_addresses_.at(index)) + ":20001");
    BOOST_REQUIRE(wait_for([&]() {
      try {
        scripted_peer_ = std::make_unique<http::scripted_peer>(script, address);
      } catch (const boost::system::system_error&) {
        // The address is still taken.
      }
      return scripted_peer_ != nullptr;
    }));
    start_node(index);
    BOOST_REQUIRE(wait_for([&]() { return is_ready(index); }));
  }

  std::string metrics(std::size_t index) const {
    return send(ip_of(peer_addresses_.at(index)) + ":20003", {"GET", "/metrics", {}, ""}).body;
  }

  /// Writes odd entries among those of the servers.
  void put_odd_entries() {
    int number = 0;
    for (const std::string& value : odd_entry_values(ip_of(peer_addresses_.at(0)) + ":20001")) {
      store.put("servers/odd-" + std::to_string(++number), value);
    }
    const std::string valid = R"({"Service": "shop", "Address": "127.99.0.1:20001", "Zone": "z", )"
                              R"("Version": "v1", "Slots": 4, "State": "ready", "ColdRemainingMs": 0, )"
                              R"("Sequence": 1, "born": 1000})";
    for (const char* const key : {"servers/", "servers/a b", "servers/a\r\nX-Odd: 1", "servers/\xC3\xA9",
                                  "servers/a\tb", "servers"}) {
      store.put(key, valid);
    }
    store.put("servers/" + std::string(192, 'k'), "{");
  }

  /// True if a node has taken the changes so far: it applies a configuration that is published now.
  bool follows_changes(std::size_t index, int version) {
    const std::string path = "/at" + std::to_string(version) + "/";
    publish(version, {route_json("look", "/look/", "shop", "idempotent"),
                      route_json("buy", "/buy/", "shop", "non_idempotent"),
                      route_json("new", path, "shop", "idempotent")});
    return wait_for([&]() { return send_request(index, "GET", path).status == 200; });
  }

  /// Publishes a further route, and returns when both nodes serve it.
  std::chrono::steady_clock::time_point publish_and_await_changed_route() {
    const std::string name = "changed" + std::to_string(++last_version_);
    publish(last_version_, {route_json("look", "/look/", "shop", "idempotent"),
                            route_json(name, '/' + name + '/', "shop", "idempotent")});
    for (const std::size_t index : {0, 1}) {
      BOOST_REQUIRE(wait_for([&]() { return send_request(index, "GET", '/' + name + '/').status == 200; }));
    }
    return std::chrono::steady_clock::now();
  }

  /// Publishes a further route, and checks that both nodes serve it within the bound.
  void check_change_is_in_force_in_time() {
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    BOOST_TEST((publish_and_await_changed_route() - begin < change_bound));
  }

  /// Number of requests, of some sent to the node, that each of the servers ran.
  std::array<int, 2> runs_of_requests_to(std::size_t index) {
    const std::array<int, 2> before = {servers.at(0)->runs(), servers.at(1)->runs()};
    for (int i = 0; i < 40; ++i) {
      BOOST_TEST(send_request(index, "POST", "/buy/1").status == 200);
    }
    return {servers.at(0)->runs() - before.at(0), servers.at(1)->runs() - before.at(1)};
  }

  /// Where a node takes the requests of callers.
  std::string callers_address(std::size_t index) const { return ip_of(peer_addresses_.at(index)) + ":20002"; }

  /// A caller that keeps its connection to a node.
  caller make_caller(std::size_t index) const { return caller(callers_address(index)); }

  answer_message send_request(std::size_t index, const std::string& method, const std::string& path,
                              headers fields = {}, const std::string& body = "") {
    caller once = make_caller(index);
    return send_request(once, method, path, std::move(fields), body);
  }

  answer_message send_request(caller& from, const std::string& method, const std::string& path,
                              headers fields = {}, const std::string& body = "") {
    static std::atomic<int> last_id{0};
    set_header(fields, "Nutmegarch-Attempt-Id", "a" + std::to_string(++last_id));
    if (find_header(fields, "Nutmegarch-Deadline-Ms").empty()) {
      set_header(fields, "Nutmegarch-Deadline-Ms", "20000");
    }
    return from.send({method, path, fields, body, "shop.example"});
  }

  bool is_ready(std::size_t index) {
    return send(ip_of(peer_addresses_.at(index)) + ":20004", {"GET", "/nutmegarch/ready", {}, ""}).status ==
           200;
  }

  /// Stops the node of a host, publishes a configuration with the further route "/added/" to the other one,
  /// and lets cheap reads return what was before.
  void publish_added_route_without(std::size_t stopped) {
    nodes.erase(stopped);
    publish(2, {route_json("look", "/look/", "shop", "idempotent"),
                route_json("added", "/added/", "shop", "idempotent")});
    BOOST_REQUIRE(wait_for([&]() { return send_request(1 - stopped, "GET", "/added/").status == 200; }));
    store.set_cheap_lag(1);
  }

  /// The watch of a node stays open and returns nothing; that of the other node works.
  void silence_the_watch_of(std::size_t index) {
    BOOST_REQUIRE(wait_for([&]() { return store.open_watches() == 2; }));
    store.set_watches_silent(true);
    store.set_watches_silent(false);
    nodes.erase(1 - index);
    start_node(1 - index);
    BOOST_REQUIRE(wait_for([&]() { return send_request(1 - index, "GET", "/look/1").status == 200; }));
  }

  /// Sends requests until one is served; false if one is answered 404, or none is served.
  bool is_never_denied_and_served(std::size_t index, const std::string& path) {
    int status = 0;
    return wait_for([&]() {
             status = send_request(index, "GET", path).status;
             return status == 200 || status == 404;
           }) &&
           status == 200;
  }

  int runs() const { return servers.at(0)->runs() + servers.at(1)->runs(); }
  int new_runs() const { return runs() - initial_runs_; }

  void check_that_requests_reach_server_0(const std::vector<std::size_t>& indices) {
    for (const std::size_t index : indices) {
      const int before = servers[0]->runs();
      BOOST_TEST(wait_for([&]() {
        BOOST_TEST(send_request(index, "GET", "/look/1").status == 200);
        return servers[0]->runs() > before;
      }));
    }
  }

  stand_ins::store_stand_in store;
  std::array<std::unique_ptr<fake_server>, 2> servers = {std::make_unique<fake_server>("i-0"),
                                                         std::make_unique<fake_server>("i-1")};
  std::map<std::size_t, std::unique_ptr<node::node>> nodes;
  /// Time that a stop of a node that is started from now on may take.
  duration longest_leave = std::chrono::seconds(60);

 private:
  /// Lets the store answer watches that have waited as long as they asked.
  void end_watches_regularly() {
    watch_timer_.expires_after(std::chrono::milliseconds(20));
    watch_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        store.end_watches();
        end_watches_regularly();
      }
    });
  }

  static answer_message send(const std::string& address, const request_message& request) {
    return caller(address).send(request);
  }

  duration gossip_interval_;
  duration first_pause_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  http::server store_server_;
  boost::asio::steady_timer watch_timer_;
  std::string store_address_;
  std::vector<std::string> peer_addresses_;
  std::vector<std::unique_ptr<http::server>> http_servers_;
  std::unique_ptr<http::endless_peer> endless_peer_;
  std::unique_ptr<http::scripted_peer> scripted_peer_;
  std::thread thread_;
  int initial_runs_ = 0;
  int last_version_ = 1;
};

}  // namespace nutmegarch::platform_adapter
