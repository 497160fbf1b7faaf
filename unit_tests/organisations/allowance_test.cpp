#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <set>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/core/random.h"
#include "nutmegarch/organisations/allowance_cache.h"
#include "nutmegarch/organisations/allowance_ledger.h"

namespace nutmegarch::organisations {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* name = "o";
/// The users' bound: more than this many requests beyond the allowance in a window break it.
constexpr double window_seconds = 5;
constexpr double allowed_overage = 0.25;
constexpr double allowed_slack = 20;

/// Nodes of a fleet that make the requests of one organisation and ask a keeper, in virtual time.
class fake_fleet {
 public:
  fake_fleet(int nodes, const allowance& limit, std::uint64_t seed) : limit_(limit), random_(seed) {
    allowance_ledger_settings ledger;
    ledger.extra_share = allowed_overage / 2;
    ledger.extra_requests = allowed_slack / 2;
    ledger_settings_ = ledger;
    for (int i = 0; i < keeper_count; ++i) {
      ledgers_.emplace_back(ledger);
      ledgers_.back().on_nodes_changed(start_);
    }
    for (int i = 0; i < nodes; ++i) {
      nodes_.emplace_back();
    }
  }

  /// Lets callers send `rate` requests a second at random nodes in [from, to) seconds.
  void send(double rate, double from, double to) {
    for (double at = from + wait(rate); at < to; at += wait(rate)) {
      const std::size_t node = random_.below(nodes_.size());
      schedule(start_ + from_seconds(at), [this, node]() { on_request(node); });
    }
  }

  void set_limit(const allowance& limit, double at) {
    schedule(start_ + from_seconds(at), [this, limit]() { limit_ = limit; });
  }

  /// The first keeper is away in [from, to) seconds. Its questions are lost, and the second one is asked.
  void stop_first_keeper(double from, double to) {
    schedule(start_ + from_seconds(from), [this]() { is_first_away_ = true; });
    schedule(start_ + from_seconds(to), [this]() {
      is_first_away_ = false;
      ledgers_.front() = allowance_ledger(ledger_settings_);
      ledgers_.front().on_nodes_changed(now_);
    });
  }

  void run() {
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  int refused() const { return refused_; }
  int granted() const { return static_cast<int>(granted_.size()); }
  int questions() const { return questions_; }

  /// Largest number of requests that were made within one window.
  int largest_window() const {
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < granted_.size(); ++last) {
      while (granted_.at(last) - granted_.at(first) > from_seconds(window_seconds)) {
        ++first;
      }
      largest = std::max(largest, last - first + 1);
    }
    return static_cast<int>(largest);
  }

 private:
  static constexpr int keeper_count = 2;

  struct fake_node {
    allowance_cache cache{allowance_cache_settings{}};
    int waiting = 0;
  };

  struct event {
    time_point at;
    std::function<void()> run;
    std::uint64_t sequence = 0;

    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  double wait(double rate) { return -std::log(1 - random_.uniform()) / rate; }
  void schedule(time_point at, std::function<void()> run) { events_.push({at, std::move(run), ++sequence_}); }
  duration delay() { return milliseconds(1) + from_seconds(random_.uniform() * 0.045); }

  void on_request(std::size_t node) {
    fake_node& from = nodes_.at(node);
    switch (from.cache.on_request(name, now_)) {
      case allowance_verdict::granted:
        granted_.push_back(now_);
        break;
      case allowance_verdict::refused:
        ++refused_;
        break;
      case allowance_verdict::waiting:
        ++from.waiting;
        break;
    }
    ask(node);
  }

  void ask(std::size_t node) {
    fake_node& from = nodes_.at(node);
    const int wanted = from.cache.next_question(name, from.waiting, now_);
    if (wanted == 0) {
      return;
    }
    ++questions_;
    const time_point asked = now_;
    // A question to a keeper that is away costs the time after which the next one is asked.
    const duration lost = is_first_away_ ? milliseconds(250) : milliseconds(0);
    const std::size_t keeper = is_first_away_ ? 1 : 0;
    schedule(now_ + lost + delay(), [this, node, wanted, asked, keeper]() {
      const allowance_grant grant = ledgers_.at(keeper).spend(name, limit_, keeper != 0, wanted, now_);
      schedule(now_ + delay(), [this, node, asked, grant]() { on_answer(node, asked, grant); });
    });
  }

  void on_answer(std::size_t node, time_point asked, const allowance_grant& grant) {
    fake_node& from = nodes_.at(node);
    from.cache.on_answer(name, grant.granted, grant.retry_after, asked, now_);
    while (from.waiting > 0 && from.cache.take(name, now_)) {
      --from.waiting;
      granted_.push_back(now_);
    }
    ask(node);
    if (from.cache.next_question(name, from.waiting, now_) == 0 && grant.retry_after > duration{}) {
      refused_ += from.waiting;
      from.waiting = 0;
    }
  }

  time_point start_ = time_point(seconds(100));
  time_point now_ = start_;
  allowance limit_;
  allowance_ledger_settings ledger_settings_;
  random_source random_;
  std::vector<fake_node> nodes_;
  std::vector<allowance_ledger> ledgers_;
  std::priority_queue<event> events_;
  std::uint64_t sequence_ = 0;
  std::vector<time_point> granted_;
  int refused_ = 0;
  int questions_ = 0;
  bool is_first_away_ = false;
};

double allowed_in_window(const allowance& limit) {
  return (limit.rate * window_seconds + limit.burst) * (1 + allowed_overage) + allowed_slack;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(allowances)

// The load: an organisation that sends eight times its usual, five times what it may, at all nodes at once.
BOOST_AUTO_TEST_CASE(hot_organisation_stays_within_its_allowance_at_all_nodes_together) {
  for (const int nodes : {4, 66, 300}) {
    for (const double rate : {2.0, 30.0, 150.0}) {
      const allowance limit = {rate, rate};
      fake_fleet fleet(nodes, limit, 7);
      fleet.send(rate / 1.6, 3, 8);
      fleet.send(5 * rate, 8, 16);
      fleet.run();
      BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate) {
        BOOST_TEST(fleet.largest_window() <= allowed_in_window(limit));
        // What it may make in this time is made: the bucket's capacity and the rate, less what waits at
        // nodes.
        BOOST_TEST(fleet.granted() >= 0.85 * (rate / 1.6 * 5 + rate * 8));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(organisation_within_its_allowance_is_not_refused) {
  for (const int nodes : {4, 66, 300}) {
    for (const double rate : {2.0, 30.0, 150.0}) {
      fake_fleet fleet(nodes, {rate, rate}, 11);
      fleet.send(rate / 1.6, 3, 30);
      fleet.run();
      BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate) {
        BOOST_TEST(fleet.refused() <= 0.005 * fleet.granted());
        // Never more than one question a request.
        BOOST_TEST(fleet.questions() <= fleet.granted() + fleet.refused());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(hot_organisation_stays_within_its_allowance_while_its_keeper_is_away) {
  for (const double away : {0.3, 1.0, 4.0}) {
    for (const double rate : {2.0, 30.0, 150.0}) {
      const allowance limit = {rate, rate};
      fake_fleet fleet(66, limit, 13);
      fleet.send(5 * rate, 3, 16);
      fleet.stop_first_keeper(7, 7 + away);
      fleet.run();
      BOOST_TEST_CONTEXT("away " << away << ", rate " << rate) {
        BOOST_TEST(fleet.largest_window() <= allowed_in_window(limit));
      }
    }
  }
}

// A lower limit binds one window after it is in force.
BOOST_AUTO_TEST_CASE(limit_that_falls_far_below_the_demand_holds_soon) {
  const allowance before = {100, 100};
  const allowance after = {10, 10};
  fake_fleet fleet(66, before, 17);
  fleet.set_limit(after, 5);
  fleet.send(60, 6, 12);
  fleet.run();
  BOOST_TEST(fleet.largest_window() <= allowed_in_window(after));
}

BOOST_AUTO_TEST_CASE(grant_that_was_not_used_expires) {
  allowance_cache cache{allowance_cache_settings{}};
  const time_point start(seconds(5));
  BOOST_TEST((cache.on_request(name, start) == allowance_verdict::waiting));
  BOOST_TEST(cache.next_question(name, 1, start) == 1);
  BOOST_TEST(cache.next_question(name, 1, start) == 0);
  cache.on_answer(name, 3, {}, start, start + milliseconds(40));
  BOOST_TEST(cache.take(name, start + milliseconds(40)));
  BOOST_TEST(cache.take(name, start + milliseconds(499)));
  BOOST_TEST(!cache.take(name, start + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(request_that_did_not_run_gives_its_part_back_until_it_expires) {
  allowance_cache cache{allowance_cache_settings{}};
  const time_point start(seconds(5));
  cache.on_request(name, start);
  cache.next_question(name, 1, start);
  cache.on_answer(name, 1, {}, start, start);
  BOOST_TEST(cache.take(name, start));
  const time_point until = cache.expiry(name);
  cache.give_back(name, until, start + milliseconds(100));
  BOOST_TEST(cache.take(name, start + milliseconds(200)));
  cache.give_back(name, until, until);
  BOOST_TEST(!cache.take(name, until));
}

BOOST_AUTO_TEST_CASE(used_up_allowance_refuses_without_further_questions) {
  allowance_cache cache{allowance_cache_settings{}};
  const time_point start(seconds(5));
  cache.on_request(name, start);
  cache.next_question(name, 1, start);
  cache.on_answer(name, 0, milliseconds(300), start, start);
  BOOST_TEST((cache.on_request(name, start + milliseconds(299)) == allowance_verdict::refused));
  BOOST_TEST(cache.next_question(name, 1, start + milliseconds(299)) == 0);
  BOOST_TEST((cache.on_request(name, start + milliseconds(300)) == allowance_verdict::waiting));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::organisations
