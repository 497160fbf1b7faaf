#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/organisations/allowance_cache.h"
#include "nutmegarch/organisations/allowance_keeper.h"
#include "nutmegarch/organisations/keeper_route.h"

namespace nutmegarch::organisations {

/// The users' bound: more than this many requests beyond the allowance in a window break it.
constexpr double window_seconds = 5;
constexpr double allowed_overage = 0.25;
constexpr double allowed_slack = 20;

inline double allowed_in_window(const allowance& limit) {
  return (limit.rate * window_seconds + limit.burst) * (1 + allowed_overage) + allowed_slack;
}

inline allowance_keeper_settings fleet_keeper_settings() {
  allowance_keeper_settings settings;
  settings.ledger.extra_share = allowed_overage / 2;
  settings.ledger.extra_requests = allowed_slack / 2;
  return settings;
}

/// Nodes of a fleet that make the requests of one organisation and keep its allowance, in virtual time. All
/// decisions are the product's; times of the functions are in seconds.
class allowance_fleet {
 public:
  allowance_fleet(int nodes, const allowance& limit, std::uint64_t seed) : limit_(limit), random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      addresses_.push_back("10.0.0." + std::to_string(i));
      index_[addresses_.back()] = static_cast<std::size_t>(i);
    }
    for (const std::string& address : addresses_) {
      nodes_.emplace_back();
      nodes_.back().keeper.set_nodes(addresses_, address, start);
      nodes_.back().view = addresses_;
    }
    owner_table owners;
    owners.set_nodes(addresses_);
    first_ = index_.at(owners.find(name).front());
    second_ = index_.at(owners.find(name).back());
    schedule(start, [this]() { tick(); });
  }

  /// Nodes that keep the allowance while all are there.
  std::size_t first() const { return first_; }
  std::size_t second() const { return second_; }
  std::size_t size() const { return nodes_.size(); }

  /// Lets callers send `rate` requests a second at random moments and nodes in [from, to).
  void send(double rate, double from, double to) {
    for (double at = from + wait(rate); at < to; at += wait(rate)) {
      send_one(random_.below(nodes_.size()), at);
    }
  }
  /// Lets callers send `rate` requests a second at equal intervals, at one node after the other.
  void send_evenly(double rate, double from, double to) {
    std::size_t node = 0;
    for (double at = from; at < to; at += 1 / rate) {
      send_one(node++ % nodes_.size(), at);
    }
  }
  /// Lets callers send `count` requests at once, each at a random node.
  void send_burst(int count, double at) {
    for (int i = 0; i < count; ++i) {
      send_one(random_.below(nodes_.size()), at);
    }
  }

  void set_limit(const allowance& limit, double at) {
    schedule(moment(at), [this, limit]() { limit_ = limit; });
  }
  /// The node's process ends and refuses connections, and starts anew, knowing nothing, `away` later.
  void restart(std::size_t node, double at, double away) {
    schedule(moment(at), [this, node]() { nodes_.at(node).is_up = false; });
    schedule(moment(at + away), [this, node]() { start_anew(node); });
  }
  /// As restart(), but the node announces its stop: it takes no questions from `at` on, and ends a second
  /// later.
  void stop_and_start(std::size_t node, double at, double away) {
    schedule(moment(at), [this, node]() { nodes_.at(node).is_leaving = true; });
    restart(node, at + 1, away);
  }
  /// The node stands still in [at, at + length); what reaches it is handled afterwards.
  void pause(std::size_t node, double at, double length) {
    schedule(moment(at), [this, node, length]() { nodes_.at(node).resumes = now_ + from_seconds(length); });
  }
  /// Nothing passes between the two nodes in [at, at + length), without a sign.
  void cut(std::size_t left, std::size_t right, double at, double length) {
    schedule(moment(at), [this, left, right]() { cuts_.emplace_back(left, right); });
    schedule(moment(at + length), [this, left, right]() {
      cuts_.erase(std::find(cuts_.begin(), cuts_.end(), std::pair<std::size_t, std::size_t>(left, right)));
    });
  }
  /// The node is in the views of the others from `at` on, each of which learns it within `lag`. Before, it is
  /// in nobody's.
  void join(std::size_t node, double at, double lag) {
    std::vector<std::string> before = addresses_;
    before.erase(before.begin() + static_cast<std::ptrdiff_t>(node));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_.at(i).keeper.set_nodes(before, i == node ? "" : addresses_.at(i), start);
      schedule(moment(at) + from_seconds(lag * random_.uniform()),
               [this, i]() { nodes_.at(i).keeper.set_nodes(addresses_, addresses_.at(i), now_); });
    }
  }

  void run() {
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  /// Requests refused, and those made, that were sent in [from, to).
  int refused(double from = 0, double to = never_sent) const { return count(refused_, from, to); }
  int made(double from = 0, double to = never_sent) const { return count(made_, from, to); }
  int questions() const { return questions_; }

  /// Largest number of requests that were made within one window.
  int largest_window() const {
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < made_.size(); ++last) {
      while (made_.at(last) - made_.at(first) > from_seconds(window_seconds)) {
        ++first;
      }
      largest = std::max(largest, last - first + 1);
    }
    return static_cast<int>(largest);
  }

 private:
  static constexpr const char* name = "o";
  static constexpr double never_sent = 1e9;
  static constexpr duration tick_interval = std::chrono::milliseconds(50);
  static constexpr duration keeper_timeout = std::chrono::milliseconds(250);

  struct fake_node {
    allowance_cache cache{allowance_cache_settings{}};
    allowance_keeper keeper{fleet_keeper_settings()};
    keeper_route route{keeper_route_settings{}};
    std::vector<std::string> view;
    int waiting = 0;
    bool is_up = true;
    bool is_leaving = false;
    /// Number of the process, so that answers to an earlier one are dropped.
    int process = 0;
    /// Until then the node stands still.
    time_point resumes{};
  };

  struct event {
    time_point at;
    std::function<void()> run;
    std::uint64_t sequence = 0;

    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  static int count(const std::vector<time_point>& times, double from, double to) {
    return static_cast<int>(std::count_if(times.begin(), times.end(), [from, to](time_point at) {
      return at >= moment(from) && at < moment(to);
    }));
  }
  static time_point moment(double at) { return start + from_seconds(at); }
  double wait(double rate) { return -std::log(1 - random_.uniform()) / rate; }
  void schedule(time_point at, std::function<void()> run) { events_.push({at, std::move(run), ++sequence_}); }
  duration delay() { return std::chrono::milliseconds(1) + from_seconds(random_.uniform() * 0.045); }
  bool is_cut(std::size_t left, std::size_t right) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const std::pair<std::size_t, std::size_t>& cut) {
      return cut == std::pair(left, right) || cut == std::pair(right, left);
    });
  }

  /// Runs `work` at the node at `at`, or when it goes on after a pause; not if its process has ended.
  void at_node(std::size_t node, time_point at, std::function<void()> work) {
    schedule(at, [this, node, process = nodes_.at(node).process, work = std::move(work)]() {
      const fake_node& found = nodes_.at(node);
      if (!found.is_up || found.process != process) {
        return;
      }
      if (now_ < found.resumes) {
        at_node(node, found.resumes, work);
        return;
      }
      work();
    });
  }

  bool takes_callers(std::size_t node) const { return nodes_.at(node).is_up && !nodes_.at(node).is_leaving; }

  void send_one(std::size_t node, double at) {
    last_sent_ = std::max(last_sent_, moment(at));
    schedule(moment(at), [this, node]() {
      // Callers of a node that is down go to another one.
      std::size_t used = node;
      for (std::size_t i = 0; i < nodes_.size() && !takes_callers(used); ++i) {
        used = (used + 1) % nodes_.size();
      }
      at_node(used, now_, [this, used]() { on_request(used); });
    });
  }

  void start_anew(std::size_t node) {
    const int process = nodes_.at(node).process + 1;
    const std::vector<std::string> view = nodes_.at(node).view;
    nodes_.at(node) = fake_node();
    nodes_.at(node).process = process;
    nodes_.at(node).view = view;
    nodes_.at(node).keeper.set_nodes(view, addresses_.at(node), now_);
  }

  void tick() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      fake_node& ticked = nodes_.at(i);
      if (!ticked.is_up || now_ < ticked.resumes) {
        continue;
      }
      ticked.keeper.on_tick(now_);
      for (const keeper_watch::question& asked : ticked.keeper.take_watch_questions(now_)) {
        ask_node(i, asked.address, 0,
                 [this, i, address = asked.address](const std::optional<keeper_answer>& got) {
                   nodes_.at(i).keeper.on_watch_answer(address, got && got->is_keeper, now_);
                 });
      }
    }
    if (now_ < last_sent_) {
      schedule(now_ + tick_interval, [this]() { tick(); });
    }
  }

  void on_request(std::size_t node) {
    fake_node& from = nodes_.at(node);
    switch (from.cache.on_request(name, now_)) {
      case allowance_verdict::granted:
        made_.push_back(now_);
        break;
      case allowance_verdict::refused:
        refused_.push_back(now_);
        break;
      case allowance_verdict::waiting:
        ++from.waiting;
        break;
    }
    const int wanted = from.cache.next_question(name, from.waiting, now_);
    if (wanted > 0) {
      ask(node, wanted, from.route.first(from.keeper.keepers_of(name), now_));
    }
  }

  void ask(std::size_t node, int wanted, const std::optional<keeper_route::step>& step) {
    fake_node& from = nodes_.at(node);
    if (!step) {
      from.cache.on_no_answer(name);
      refuse_waiting(from);
      return;
    }
    ++questions_;
    const time_point asked = now_;
    ask_node(node, step->address, wanted,
             [this, node, wanted, asked, step = *step](const std::optional<keeper_answer>& got) {
               fake_node& asker = nodes_.at(node);
               if (got && got->is_keeper) {
                 asker.route.on_answer(step);
                 on_grant(node, asked, got->grant);
               } else if (got && !got->keeper.empty()) {
                 ask(node, wanted, asker.route.after_redirect(step, got->keeper));
               } else {
                 ask(node, wanted, asker.route.after_silence(asker.keeper.keepers_of(name), step, now_));
               }
             });
  }

  /// Asks a node over the network; `done` gets nullopt if there is no answer in time. A question that is
  /// answered after its asker has given up is wasted.
  void ask_node(std::size_t node, const std::string& address, int wanted,
                const std::function<void(const std::optional<keeper_answer>&)>& done) {
    const std::size_t asked = index_.at(address);
    const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
    const std::function<void(const std::optional<keeper_answer>&)> finish =
        [is_done, done](const std::optional<keeper_answer>& got) {
          if (!std::exchange(*is_done, true)) {
            done(got);
          }
        };
    at_node(node, now_ + keeper_timeout, [finish]() { finish(std::nullopt); });
    if (is_cut(node, asked)) {
      return;
    }
    if (asked != node && !nodes_.at(asked).is_up) {
      at_node(node, now_ + delay(), [finish]() { finish(std::nullopt); });
      return;
    }
    at_node(asked, now_ + (asked == node ? duration{} : delay()), [this, node, asked, wanted, finish]() {
      fake_node& answering = nodes_.at(asked);
      const keeper_answer answer =
          answering.is_leaving ? keeper_answer{} : answering.keeper.on_question(name, limit_, wanted, now_);
      if (!is_cut(node, asked)) {
        at_node(node, now_ + (asked == node ? duration{} : delay()), [finish, answer]() { finish(answer); });
      }
    });
  }

  void on_grant(std::size_t node, time_point asked, const allowance_grant& grant) {
    fake_node& from = nodes_.at(node);
    from.cache.on_answer(name, grant.granted, grant.retry_after, asked, now_);
    while (from.waiting > 0 && from.cache.take(name, now_)) {
      --from.waiting;
      made_.push_back(now_);
    }
    if (from.waiting == 0) {
      return;
    }
    const int wanted = from.cache.next_question(name, from.waiting, now_);
    if (wanted == 0) {
      refuse_waiting(from);
    } else {
      ask(node, wanted, from.route.first(from.keeper.keepers_of(name), now_));
    }
  }

  void refuse_waiting(fake_node& from) {
    refused_.insert(refused_.end(), static_cast<std::size_t>(from.waiting), now_);
    from.waiting = 0;
  }

  static constexpr time_point start = time_point(std::chrono::seconds(100));
  time_point now_ = start;
  time_point last_sent_ = start;
  allowance limit_;
  random_source random_;
  std::vector<std::string> addresses_;
  std::unordered_map<std::string, std::size_t> index_;
  std::vector<fake_node> nodes_;
  std::vector<std::pair<std::size_t, std::size_t>> cuts_;
  std::size_t first_ = 0;
  std::size_t second_ = 0;
  std::priority_queue<event> events_;
  std::uint64_t sequence_ = 0;
  std::vector<time_point> made_;
  std::vector<time_point> refused_;
  int questions_ = 0;
};

}  // namespace nutmegarch::organisations
