#include "nutmegarch/policy/recovery_pace.h"

#include <algorithm>
#include <deque>
#include <map>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/policy/sender.h"

namespace nutmegarch::policy {

namespace {

using std::chrono::milliseconds;

constexpr int slots = 16;
constexpr duration work = milliseconds(100);
const time_point start(std::chrono::seconds(100));

endpoint_ptr make_endpoint(const std::string& host, bool is_new) {
  endpoint_ptr made(new endpoint());
  made->host = host;
  made->slots = slots;
  made->distance = proximity::same_domain;
  made->is_new = is_new;
  made->incarnation = 1;
  return made;
}

/// Nodes that call targets of one service, each with its own view of them, in virtual time. A target has
/// slots, a queue without limit, and a factor on its work.
class fake_fleet {
 public:
  fake_fleet(int nodes, int warm_targets, int new_targets, bool is_paced) : random_(3) {
    sender_settings settings;
    settings.routing = routing_kind::least_time;
    settings.pace.is_enabled = is_paced;
    const std::size_t target_count =
        static_cast<std::size_t>(warm_targets) + static_cast<std::size_t>(new_targets);
    for (int i = 0; i < nodes; ++i) {
      senders_.push_back(std::make_unique<sender>(settings, random_));
      std::vector<endpoint_ptr> endpoints;
      endpoints.reserve(target_count);
      for (int t = 0; t < warm_targets + new_targets; ++t) {
        endpoints.push_back(make_endpoint(std::to_string(t), t >= warm_targets));
      }
      senders_.back()->set_endpoints("s", endpoints);
    }
    running_.resize(target_count);
  }

  /// Sends `rate` calls a second in all for `length`. The work of the targets from `slow_from` on is `factor`
  /// times the usual.
  void run(double rate, duration length, std::size_t slow_from, double factor) {
    const duration step = milliseconds(1);
    double due = 0;
    for (time_point now = start; now < start + length; now += step) {
      due += rate * to_seconds(step);
      for (; due >= 1; --due) {
        begin(now);
      }
      end_calls(now, slow_from, factor);
    }
  }

  /// Most calls that ran or waited at the target at once, and how many it has answered.
  int most_open(std::size_t target) const { return peaks_.count(target) == 0 ? 0 : peaks_.at(target); }
  int answered(std::size_t target) const { return answered_.count(target) == 0 ? 0 : answered_.at(target); }
  /// Share of all calls that took at most `limit`.
  double share_within(duration limit) const {
    const auto within = std::count_if(latencies_.begin(), latencies_.end(),
                                      [limit](duration latency) { return latency <= limit; });
    return static_cast<double>(within) / static_cast<double>(std::max<std::size_t>(1, latencies_.size()));
  }

 private:
  struct open_call {
    outbound_call_ptr call;
    std::size_t node = 0;
    time_point began;
    time_point ends = never;
  };

  void begin(time_point now) {
    const std::size_t node = random_.below(senders_.size());
    const outbound_call_ptr call(new outbound_call());
    call->key = ++last_key_;
    call->deadline = now + std::chrono::seconds(30);
    call->may_hedge = false;
    call->context.service = "s";
    call->context.route = "r";
    call->context.idempotent = true;
    sender_actions actions;
    senders_.at(node)->start(call, now, actions);
    BOOST_REQUIRE(!actions.empty());
    const std::size_t target = std::stoul(call->attempts.front().to->host);
    running_.at(target).push_back({call, node, now, never});
    peaks_[target] = std::max(peaks_[target], static_cast<int>(running_.at(target).size()));
  }

  void end_calls(time_point now, std::size_t slow_from, double factor) {
    for (std::size_t target = 0; target < running_.size(); ++target) {
      std::deque<open_call>& calls = running_.at(target);
      const duration needed = target >= slow_from ? from_seconds(to_seconds(work) * factor) : work;
      for (std::size_t i = 0; i < calls.size() && i < slots; ++i) {
        open_call& running = calls.at(i);
        running.ends = running.ends == never ? now + needed : running.ends;
      }
      for (std::size_t i = 0; i < calls.size() && i < slots;) {
        if (calls.at(i).ends > now) {
          ++i;
          continue;
        }
        const open_call ended = calls.at(i);
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(i));
        attempt_answer answer;
        answer.outcome = call_outcome::ok;
        answer.report = node_report{static_cast<double>(calls.size()) / slots, {}, false, 1, std::nullopt};
        sender_actions actions;
        senders_.at(ended.node)->on_answer(ended.call, 0, answer, now, actions);
        ++answered_[target];
        latencies_.push_back(now - ended.began);
      }
    }
  }

  random_source random_;
  std::vector<std::unique_ptr<sender>> senders_;
  std::vector<std::deque<open_call>> running_;
  std::map<std::size_t, int> peaks_;
  std::map<std::size_t, int> answered_;
  std::vector<duration> latencies_;
  std::uint64_t last_key_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(recovery_paces)

BOOST_AUTO_TEST_CASE(good_answers_raise_the_pace_until_it_ends) {
  recovery_pace_settings settings;
  settings.is_enabled = true;
  const recovery_pace pace(settings);
  const endpoint_ptr at = make_endpoint("a", false);
  pace.begin(*at);
  BOOST_TEST(at->paced_calls == 1);
  pace.on_answer(*at, 1);
  BOOST_TEST(at->paced_calls == 2);
  // Slow answers change nothing, a loss halves.
  pace.on_answer(*at, 4);
  BOOST_TEST(at->paced_calls == 2);
  pace.on_loss(*at);
  BOOST_TEST(at->paced_calls == 1);
  pace.on_loss(*at);
  BOOST_TEST(at->paced_calls == 1);
  for (int i = 1; i < slots; ++i) {
    pace.on_answer(*at, 1);
  }
  BOOST_TEST(at->paced_calls == 0);
}

BOOST_AUTO_TEST_CASE(without_the_setting_nothing_is_held_back) {
  const recovery_pace pace{recovery_pace_settings{}};
  const endpoint_ptr at = make_endpoint("a", false);
  pace.begin(*at);
  BOOST_TEST(at->paced_calls == 0);
  BOOST_TEST(!recovery_pace::is_reached(*at));
}

// The load: one target of nine starts, at half of its speed, while 40 nodes send 60% of what the others can
// do.
BOOST_AUTO_TEST_CASE(target_that_has_started_is_neither_flooded_nor_left_idle) {
  constexpr double rate = 0.6 * 8 * slots / 0.1;
  fake_fleet unpaced(40, 8, 1, false);
  unpaced.run(rate, std::chrono::seconds(3), 8, 2);
  fake_fleet paced(40, 8, 1, true);
  paced.run(rate, std::chrono::seconds(3), 8, 2);
  BOOST_TEST_MESSAGE("most open at the new target "
                     << unpaced.most_open(8) << " unpaced, " << paced.most_open(8) << " paced; answered "
                     << unpaced.answered(8) << ", " << paced.answered(8) << "; within 300 ms "
                     << unpaced.share_within(milliseconds(300)) << ", "
                     << paced.share_within(milliseconds(300)));
  BOOST_TEST(paced.most_open(8) <= unpaced.most_open(8));
  // It works from the start: at least a third of what it could do at this speed.
  BOOST_TEST(paced.answered(8) >= slots / 0.2 * 3 / 3);
  BOOST_TEST(paced.share_within(milliseconds(300)) >= unpaced.share_within(milliseconds(300)));
}

// All targets have just started: somebody has to take the calls.
BOOST_AUTO_TEST_CASE(pace_of_all_targets_at_once_holds_nothing_back) {
  constexpr double rate = 0.6 * 9 * slots / 0.2;
  fake_fleet unpaced(40, 0, 9, false);
  unpaced.run(rate, std::chrono::seconds(3), 0, 2);
  fake_fleet paced(40, 0, 9, true);
  paced.run(rate, std::chrono::seconds(3), 0, 2);
  BOOST_TEST(paced.share_within(milliseconds(500)) >= unpaced.share_within(milliseconds(500)) - 0.01);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
