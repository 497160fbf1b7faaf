#include <functional>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "nutmegarch/policy/sender.h"

namespace nutmegarch::policy {

namespace {

/// Shape of a call tree and the outcomes of its attempts.
struct tree_plan {
  int depth = 1;
  int fan_out = 1;
  int budget = 0;
  /// Outcome codes of the attempts, used in turn; see call_tree::answer().
  std::vector<int> outcomes;
};

/// Runs one request through a tree of senders. The plan decides which answers are lost, refused or
/// duplicated.
class call_tree {
 public:
  explicit call_tree(const tree_plan& plan) : plan_(plan), random_(1) {
    sender_settings settings;
    settings.retry_budget = static_cast<std::uint16_t>(plan.budget);
    settings.max_attempts = 10;
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

  /// Number of calls in the tree without any retries.
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
  int next_outcome() {
    return plan_.outcomes.empty()
               ? 0
               : plan_.outcomes.at(static_cast<std::size_t>(next_outcome_++) % plan_.outcomes.size());
  }

  bool call(int level, bool repeated, const retry_token_pool_ptr& token_pool) {
    sender& hop = *hops_.at(static_cast<std::size_t>(level));
    const outbound_call_ptr made(new outbound_call());
    made->context.service = "next";
    made->context.idempotent = true;
    made->context.repeated = repeated;
    made->token_pool = token_pool;
    sender_actions actions;
    hop.start(made, now_, actions);
    bool succeeded = false;
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const sender_action action = actions.at(i);
      if (action.what == sender_action::kind::complete) {
        succeeded = action.outcome == call_outcome::ok;
      }
      if (action.what == sender_action::kind::send) {
        answer(level, made, action, actions);
      }
    }
    return succeeded;
  }

  void answer(int level, const outbound_call_ptr& made, const sender_action& action,
              sender_actions& actions) {
    ++attempts_;
    sender& hop = *hops_.at(static_cast<std::size_t>(level));
    const retry_token_pool_ptr share(new retry_token_pool(action.context.retry_tokens));
    const int outcome_code = next_outcome();
    attempt_answer content;
    content.has_downstream_calls = level + 1 < plan_.depth;
    now_ += std::chrono::milliseconds(1);

    // 0: answered; 1: lost after it ran; 2: refused before it ran; 3: answered twice.
    if (outcome_code == 2) {
      --attempts_;
      content.outcome = call_outcome::not_run;
      content.tokens_back = action.context.retry_tokens;
      content.report = node_report{};
      hop.on_answer(made, action.attempt, content, now_, actions);
      return;
    }
    bool succeeded = true;
    for (int i = 0; i < plan_.fan_out && level + 1 < plan_.depth; ++i) {
      succeeded = call(level + 1, action.context.repeated, share) && succeeded;
    }
    if (outcome_code == 1) {
      hop.on_answer(made, action.attempt, content, now_, actions);
      return;
    }
    content.outcome = succeeded ? call_outcome::ok : call_outcome::failed;
    content.tokens_back = share->tokens();
    content.report = node_report{};
    hop.on_answer(made, action.attempt, content, now_, actions);
    if (outcome_code == 3) {
      hop.on_answer(made, action.attempt, content, now_, actions);
    }
  }

  tree_plan plan_;
  random_source random_;
  std::vector<std::unique_ptr<sender>> hops_;
  time_point now_{std::chrono::seconds(100)};
  int attempts_ = 0;
  int next_outcome_ = 0;
};

int max_depth(int fan_out) {
  // Limits the tree to a few thousand calls.
  return fan_out == 1 ? 13 : fan_out == 2 ? 10 : fan_out == 3 ? 6 : 5;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry)

RC_BOOST_PROP(attempts_stay_within_calls_and_root_budget, ()) {
  tree_plan plan;
  plan.fan_out = *rc::gen::inRange(1, 5);
  plan.depth = *rc::gen::inRange(1, max_depth(plan.fan_out) + 1);
  plan.budget = *rc::gen::inRange(0, 12);
  plan.outcomes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  call_tree tree(plan);
  tree.run();
  RC_ASSERT(tree.attempts() <= tree.calls() + plan.budget);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_retried_within_the_budget) {
  tree_plan plan;
  plan.depth = 1;
  plan.budget = 4;
  plan.outcomes = {1};
  call_tree tree(plan);
  tree.run();
  BOOST_TEST(tree.attempts() > 1);
  BOOST_TEST(tree.attempts() <= 5);
}

RC_BOOST_PROP(token_pools_never_create_tokens, ()) {
  const std::uint16_t tokens = *rc::gen::inRange<std::uint16_t>(0, 100);
  const std::vector<int> steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
  retry_token_pool token_pool(tokens);
  int spent = 0;
  for (const int step : steps) {
    const std::uint16_t share = token_pool.take_share();
    // A peer cannot return more tokens than it received.
    token_pool.return_unused(static_cast<std::uint16_t>(step), share);
    spent += token_pool.withdraw() ? 1 : 0;
  }
  RC_ASSERT(token_pool.tokens() + spent <= tokens);
}

// In a large fleet the share of a node may be one retry token or less.
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
  // The last token is reserved for orders.
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
