#include <functional>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "nutmegarch/policy/sender.h"

namespace nutmegarch::policy {

namespace {

/// Shape of a call tree and of the losses in it.
struct tree_plan {
  int depth = 1;
  int fan_out = 1;
  int budget = 0;
  std::vector<int> fates;
};

/// Runs one request over a tree of senders, with answers that are lost, late or doubled as the plan says.
class call_tree {
 public:
  explicit call_tree(const tree_plan& plan) : plan_(plan), random_(1) {
    sender_settings settings;
    settings.retry_budget = static_cast<std::uint16_t>(plan.budget);
    settings.most_attempts = 10;
    settings.retries.capacity = 1'000;
    for (int i = 0; i < plan.depth; ++i) {
      hops_.push_back(std::make_unique<sender>(settings, random_));
      std::vector<endpoint_ptr> endpoints(12);
      for (endpoint_ptr& known : endpoints) {
        known = endpoint_ptr(new endpoint());
      }
      hops_.back()->set_endpoints("next", endpoints);
    }
  }

  void run() { call(0, false, nullptr); }

  /// Calls of the tree, had each been made once.
  int calls() const {
    int total = 0;
    int width = 1;
    for (int i = 0; i < plan_.depth; ++i) {
      total += width;
      width *= plan_.fan_out;
    }
    return total;
  }

  int attempts() const { return attempts_; }

 private:
  int next_fate() {
    return plan_.fates.empty() ? 0 : plan_.fates.at(static_cast<std::size_t>(next_++) % plan_.fates.size());
  }

  bool call(int level, bool repeated, const retry_ledger_ptr& ledger) {
    sender& hop = *hops_.at(static_cast<std::size_t>(level));
    const outbound_call_ptr made(new outbound_call());
    made->context.service = "next";
    made->context.idempotent = true;
    made->context.repeated = repeated;
    made->ledger = ledger;
    sender_actions actions;
    hop.start(made, now_, actions);
    bool is_good = false;
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const sender_action action = actions.at(i);
      if (action.what == sender_action::kind::complete) {
        is_good = action.outcome == call_outcome::ok;
      }
      if (action.what == sender_action::kind::send) {
        answer(level, made, action, actions);
      }
    }
    return is_good;
  }

  void answer(int level, const outbound_call_ptr& made, const sender_action& action,
              sender_actions& actions) {
    ++attempts_;
    sender& hop = *hops_.at(static_cast<std::size_t>(level));
    const retry_ledger_ptr share(new retry_ledger(action.context.retry_tokens));
    const int fate = next_fate();
    attempt_answer content;
    content.calls_on = level + 1 < plan_.depth;
    now_ += std::chrono::milliseconds(1);

    // 0: whole; 1: lost after it ran; 2: refused before it ran; 3: whole and doubled.
    if (fate == 2) {
      --attempts_;
      content.outcome = call_outcome::not_run;
      content.tokens_back = action.context.retry_tokens;
      content.report = node_report{};
      hop.on_answer(made, action.attempt, content, now_, actions);
      return;
    }
    bool is_good = true;
    for (int i = 0; i < plan_.fan_out && level + 1 < plan_.depth; ++i) {
      is_good = call(level + 1, action.context.repeated, share) && is_good;
    }
    if (fate == 1) {
      hop.on_answer(made, action.attempt, content, now_, actions);
      return;
    }
    content.outcome = is_good ? call_outcome::ok : call_outcome::failed;
    content.tokens_back = share->tokens();
    content.report = node_report{};
    hop.on_answer(made, action.attempt, content, now_, actions);
    if (fate == 3) {
      hop.on_answer(made, action.attempt, content, now_, actions);
    }
  }

  tree_plan plan_;
  random_source random_;
  std::vector<std::unique_ptr<sender>> hops_;
  time_point now_{std::chrono::seconds(100)};
  int attempts_ = 0;
  int next_ = 0;
};

int largest_depth(int fan_out) {
  // Keeps the tree under some thousand calls.
  return fan_out == 1 ? 13 : fan_out == 2 ? 10 : fan_out == 3 ? 6 : 5;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry)

RC_BOOST_PROP(attempts_stay_within_calls_and_root_budget, ()) {
  tree_plan plan;
  plan.fan_out = *rc::gen::inRange(1, 5);
  plan.depth = *rc::gen::inRange(1, largest_depth(plan.fan_out) + 1);
  plan.budget = *rc::gen::inRange(0, 12);
  plan.fates = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  call_tree tree(plan);
  tree.run();
  RC_ASSERT(tree.attempts() <= tree.calls() + plan.budget);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_tried_again_while_the_budget_lasts) {
  tree_plan plan;
  plan.depth = 1;
  plan.budget = 4;
  plan.fates = {1};
  call_tree tree(plan);
  tree.run();
  BOOST_TEST(tree.attempts() > 1);
  BOOST_TEST(tree.attempts() <= 5);
}

RC_BOOST_PROP(ledgers_never_make_tokens, ()) {
  const std::uint16_t tokens = *rc::gen::inRange<std::uint16_t>(0, 100);
  const std::vector<int> steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
  retry_ledger ledger(tokens);
  int outside = 0;
  for (const int step : steps) {
    const std::uint16_t share = ledger.take_share();
    // Whatever a peer claims, no more comes back than was given.
    ledger.put_back(static_cast<std::uint16_t>(step), share);
    outside += ledger.withdraw() ? 1 : 0;
  }
  RC_ASSERT(ledger.tokens() + outside <= tokens);
}

// A node of a large fleet holds a token or less of the fleet's retries.
BOOST_AUTO_TEST_CASE(a_small_bucket_serves_calls_of_every_class) {
  for (const double capacity : {0.5, 1.0, 1.2}) {
    retry_bucket bucket({1.0, capacity, 0.25});
    bucket.on_success();
    BOOST_TEST(bucket.has_token(call_class::browse) == (capacity >= 1), capacity);
  }
}

BOOST_AUTO_TEST_CASE(the_bucket_refills_by_successes_only) {
  retry_bucket bucket({0.5, 4, 0.25});
  BOOST_TEST(bucket.withdraw(call_class::browse));
  BOOST_TEST(bucket.withdraw(call_class::browse));
  BOOST_TEST(bucket.withdraw(call_class::browse));
  // The last one is kept for orders.
  BOOST_TEST(!bucket.withdraw(call_class::browse));
  BOOST_TEST(bucket.withdraw(call_class::order));
  BOOST_TEST(!bucket.withdraw(call_class::order));
  bucket.on_success();
  BOOST_TEST(!bucket.withdraw(call_class::order));
  bucket.on_success();
  BOOST_TEST(bucket.withdraw(call_class::order));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
