#include "nutmegarch/policy/order_registry.h"

#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

constexpr duration lifetime = std::chrono::seconds(60);

/// A node that may restart, with a clock of its own.
struct home {
  std::uint64_t incarnation = 0;
  std::unique_ptr<order_registry> registry;
  time_point now{std::chrono::seconds(1)};
};

/// What is known of one ticket over the whole run.
struct ticket_record {
  order_ticket ticket;
  int runs = 0;
  bool told_not_run = false;
  /// Verdict run was given, and the hand-over has not begun.
  bool is_held = false;
  /// Handed to the target, no answer yet.
  bool is_running = false;
};

/// Homes, tickets and copies of orders that arrive anywhere, at any time, any number of times.
class order_world {
 public:
  explicit order_world(int homes) {
    for (int i = 0; i < homes; ++i) {
      homes_.emplace_back();
      restart(static_cast<std::size_t>(i));
    }
  }

  void step(int what, std::size_t where, std::size_t which, int amount) {
    home& at = homes_.at(where % homes_.size());
    switch (what) {
      case 0:
        issue(at);
        break;
      case 1:
        restart(where % homes_.size());
        break;
      case 2:
        // A pause of any length, or a clock that runs ahead.
        at.now += std::chrono::milliseconds(amount * amount);
        break;
      default:
        if (!records_.empty()) {
          use(what, at, records_.at(which % records_.size()));
        }
    }
  }

  void check() const {
    for (const ticket_record& record : records_) {
      RC_ASSERT(record.runs <= 1);
      RC_ASSERT(!(record.told_not_run && record.runs > 0));
    }
  }

 private:
  void issue(home& at) {
    const result<order_ticket, ticket_error> issued = at.registry->issue(at.now);
    if (succeeded(issued)) {
      records_.push_back({std::get<order_ticket>(issued), 0, false, false, false});
    }
  }

  void restart(std::size_t index) {
    home& at = homes_.at(index);
    // What was held and not handed over died with the process; what ran has run.
    for (ticket_record& record : records_) {
      if (record.ticket.incarnation == at.incarnation) {
        record.is_held = false;
        record.is_running = false;
      }
    }
    at.incarnation = ++last_incarnation_;
    order_settings settings;
    settings.lifetime = lifetime;
    settings.capacity = 4;
    at.registry = std::make_unique<order_registry>(at.incarnation, settings);
  }

  void use(int what, home& at, ticket_record& record) {
    const bool is_home = record.ticket.incarnation == at.incarnation;
    if (what <= 5) {
      const order_verdict verdict = at.registry->arrive(record.ticket, at.now);
      RC_ASSERT(is_home || verdict.what == order_verdict::kind::not_ours);
      record.told_not_run = record.told_not_run || verdict.what == order_verdict::kind::sealed;
      if (verdict.what == order_verdict::kind::run) {
        RC_ASSERT(!record.is_held && !record.is_running);
        record.is_held = true;
      }
    } else if (what == 6 && is_home && record.is_held) {
      // Refused before the hand-over.
      record.is_held = false;
      record.told_not_run = record.told_not_run || at.registry->seal(record.ticket, at.now);
    } else if (what == 7 && is_home && record.is_held) {
      record.is_held = false;
      record.is_running = true;
      ++record.runs;
    } else if (what == 8 && is_home && record.is_running) {
      record.is_running = false;
      at.registry->set_answer(record.ticket, {200, "text/plain", "done", false}, at.now);
    } else if (what == 9 && is_home && record.is_running) {
      record.is_running = false;
      at.registry->set_unknown(record.ticket, at.now);
    }
  }

  std::vector<home> homes_;
  std::vector<ticket_record> records_;
  std::uint64_t last_incarnation_ = 0;
};

using world_step = std::tuple<int, std::size_t, std::size_t, int>;

}  // namespace

BOOST_AUTO_TEST_SUITE(orders)

RC_BOOST_PROP(an_order_runs_at_most_once_and_never_after_not_run, ()) {
  const int homes = *rc::gen::inRange(1, 5);
  const std::vector<world_step> steps = *rc::gen::container<std::vector<world_step>>(
      rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange<std::size_t>(0, 8),
                     rc::gen::inRange<std::size_t>(0, 16), rc::gen::inRange(0, 300)));
  order_world world(homes);
  for (const world_step& step : steps) {
    world.step(std::get<0>(step), std::get<1>(step), std::get<2>(step), std::get<3>(step));
    world.check();
  }
}

BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_answer) {
  order_registry registry(9, {});
  const time_point now{std::chrono::seconds(1)};
  const order_ticket ticket = std::get<order_ticket>(registry.issue(now));
  BOOST_TEST((registry.arrive(ticket, now).what == order_verdict::kind::run));
  BOOST_TEST((registry.arrive(ticket, now).what == order_verdict::kind::wait));
  registry.set_answer(ticket, {201, "text/plain", "two mortars", false}, now);
  const order_verdict repeat = registry.arrive(ticket, now);
  BOOST_TEST((repeat.what == order_verdict::kind::answered));
  BOOST_TEST(repeat.answer->body == "two mortars");
}

BOOST_AUTO_TEST_CASE(a_full_table_refuses_new_tickets_and_keeps_live_ones) {
  order_settings settings;
  settings.capacity = 2;
  settings.lifetime = lifetime;
  order_registry registry(9, settings);
  const time_point now{std::chrono::seconds(1)};
  const order_ticket first = std::get<order_ticket>(registry.issue(now));
  BOOST_TEST(succeeded(registry.issue(now)));
  BOOST_TEST(!succeeded(registry.issue(now)));
  BOOST_TEST((registry.arrive(first, now).what == order_verdict::kind::run));
  // After its lifetime a ticket makes room, and does not run any more.
  const time_point later = now + lifetime;
  BOOST_TEST(succeeded(registry.issue(later)));
  BOOST_TEST((registry.arrive(first, later).what == order_verdict::kind::not_ours));
}

BOOST_AUTO_TEST_CASE(a_child_order_keeps_its_ticket) {
  order_registry registry(9, {});
  const time_point now{std::chrono::seconds(1)};
  const order_ticket parent = std::get<order_ticket>(registry.issue(now));
  registry.arrive(parent, now);
  const order_ticket fetched{77, 1};
  BOOST_TEST(!registry.child_ticket(parent, 5, std::nullopt, now).has_value());
  BOOST_TEST((registry.child_ticket(parent, 5, fetched, now) == fetched));
  // A second ticket for the same child is not taken.
  BOOST_TEST((registry.child_ticket(parent, 5, order_ticket{77, 2}, now) == fetched));
}

RC_BOOST_PROP(the_text_form_of_a_ticket_reads_back, (std::uint64_t incarnation, std::uint64_t sequence)) {
  const order_ticket ticket{incarnation, sequence};
  RC_ASSERT(ticket_of(to_text(ticket)) == ticket);
}

RC_BOOST_PROP(any_text_is_read_or_refused_as_a_ticket, (const std::string& text)) {
  const std::optional<order_ticket> ticket = ticket_of(text);
  RC_ASSERT(!ticket || text.find('-') != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
