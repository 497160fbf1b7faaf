#include "nutmegarch/policy/order_registry.h"

#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

constexpr duration lifetime = std::chrono::seconds(60);

/// A node that issues tickets and may restart, with its own clock.
struct issuer {
  std::uint64_t incarnation = 0;
  std::unique_ptr<order_registry> registry;
  time_point now{std::chrono::seconds(1)};
};

/// History of one ticket during the whole simulation.
struct ticket_record {
  order_ticket ticket;
  int runs = 0;
  bool reported_not_run = false;
  /// The decision was `run`, and the order has not been sent to the target yet.
  bool is_admitted = false;
  /// Sent to the target, no answer yet.
  bool is_running = false;
};

/// Issuers, tickets and copies of orders that arrive at any node, at any time, any number of times.
class order_simulation {
 public:
  explicit order_simulation(int issuers) {
    for (int i = 0; i < issuers; ++i) {
      issuers_.emplace_back();
      restart(static_cast<std::size_t>(i));
    }
  }

  void step(int action, std::size_t issuer_index, std::size_t record_index, int magnitude) {
    issuer& at = issuers_.at(issuer_index % issuers_.size());
    switch (action) {
      case 0:
        issue(at);
        break;
      case 1:
        restart(issuer_index % issuers_.size());
        break;
      case 2:
        // The process was paused, or its clock runs fast.
        at.now += std::chrono::milliseconds(magnitude * magnitude);
        break;
      default:
        if (!records_.empty()) {
          apply(action, at, records_.at(record_index % records_.size()));
        }
    }
  }

  void check() const {
    for (const ticket_record& record : records_) {
      RC_ASSERT(record.runs <= 1);
      RC_ASSERT(!(record.reported_not_run && record.runs > 0));
    }
  }

 private:
  void issue(issuer& at) {
    const result<order_ticket, ticket_error> issued = at.registry->issue(at.now);
    if (succeeded(issued)) {
      records_.push_back({std::get<order_ticket>(issued), 0, false, false, false});
    }
  }

  void restart(std::size_t index) {
    issuer& at = issuers_.at(index);
    // Orders that were not sent yet are lost with the process; orders that were sent count as run.
    for (ticket_record& record : records_) {
      if (record.ticket.incarnation == at.incarnation) {
        record.is_admitted = false;
        record.is_running = false;
      }
    }
    at.incarnation = ++last_incarnation_;
    order_settings settings;
    settings.lifetime = lifetime;
    settings.capacity = 4;
    at.registry = std::make_unique<order_registry>(at.incarnation, settings);
  }

  void apply(int action, issuer& at, ticket_record& record) {
    const bool is_from_issuer = record.ticket.incarnation == at.incarnation;
    if (action <= 5) {
      const order_decision decision = at.registry->on_arrival(record.ticket, at.now);
      RC_ASSERT(is_from_issuer || decision.type == order_decision::kind::invalid_ticket);
      record.reported_not_run = record.reported_not_run || decision.type == order_decision::kind::sealed;
      if (decision.type == order_decision::kind::run) {
        RC_ASSERT(!record.is_admitted && !record.is_running);
        record.is_admitted = true;
      }
    } else if (action == 6 && is_from_issuer && record.is_admitted) {
      // Refused before the order was sent to the target.
      record.is_admitted = false;
      record.reported_not_run = record.reported_not_run || at.registry->seal(record.ticket, at.now);
    } else if (action == 7 && is_from_issuer && record.is_admitted) {
      record.is_admitted = false;
      record.is_running = true;
      ++record.runs;
    } else if (action == 8 && is_from_issuer && record.is_running) {
      record.is_running = false;
      at.registry->set_answer(record.ticket, {200, "text/plain", "done", false}, at.now);
    } else if (action == 9 && is_from_issuer && record.is_running) {
      record.is_running = false;
      at.registry->set_unknown(record.ticket, at.now);
    }
  }

  std::vector<issuer> issuers_;
  std::vector<ticket_record> records_;
  std::uint64_t last_incarnation_ = 0;
};

using simulation_step = std::tuple<int, std::size_t, std::size_t, int>;

}  // namespace

BOOST_AUTO_TEST_SUITE(orders)

RC_BOOST_PROP(an_order_runs_at_most_once_and_never_after_not_run_was_reported, ()) {
  const int issuers = *rc::gen::inRange(1, 5);
  const std::vector<simulation_step> steps = *rc::gen::container<std::vector<simulation_step>>(
      rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange<std::size_t>(0, 8),
                     rc::gen::inRange<std::size_t>(0, 16), rc::gen::inRange(0, 300)));
  order_simulation simulation(issuers);
  for (const simulation_step& step : steps) {
    simulation.step(std::get<0>(step), std::get<1>(step), std::get<2>(step), std::get<3>(step));
    simulation.check();
  }
}

BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_answer) {
  order_registry registry(9, {});
  const time_point now{std::chrono::seconds(1)};
  const order_ticket ticket = std::get<order_ticket>(registry.issue(now));
  BOOST_TEST((registry.on_arrival(ticket, now).type == order_decision::kind::run));
  BOOST_TEST((registry.on_arrival(ticket, now).type == order_decision::kind::wait));
  registry.set_answer(ticket, {201, "text/plain", "two mortars", false}, now);
  const order_decision repeat = registry.on_arrival(ticket, now);
  BOOST_TEST((repeat.type == order_decision::kind::answered));
  BOOST_TEST(repeat.answer->body == "two mortars");
}

BOOST_AUTO_TEST_CASE(a_full_registry_issues_no_tickets_and_keeps_live_ones) {
  order_settings settings;
  settings.capacity = 2;
  settings.lifetime = lifetime;
  order_registry registry(9, settings);
  const time_point now{std::chrono::seconds(1)};
  const order_ticket first = std::get<order_ticket>(registry.issue(now));
  BOOST_TEST(succeeded(registry.issue(now)));
  BOOST_TEST(!succeeded(registry.issue(now)));
  BOOST_TEST((registry.on_arrival(first, now).type == order_decision::kind::run));
  // An expired ticket frees its slot, and its order no longer runs.
  const time_point later = now + lifetime;
  BOOST_TEST(succeeded(registry.issue(later)));
  BOOST_TEST((registry.on_arrival(first, later).type == order_decision::kind::invalid_ticket));
}

BOOST_AUTO_TEST_CASE(a_child_order_keeps_its_first_ticket) {
  order_registry registry(9, {});
  const time_point now{std::chrono::seconds(1)};
  const order_ticket parent = std::get<order_ticket>(registry.issue(now));
  registry.on_arrival(parent, now);
  const order_ticket fetched{77, 1};
  BOOST_TEST(!registry.child_ticket(parent, 5, std::nullopt, now).has_value());
  BOOST_TEST((registry.child_ticket(parent, 5, fetched, now) == fetched));
  // A second ticket for the same child is ignored.
  BOOST_TEST((registry.child_ticket(parent, 5, order_ticket{77, 2}, now) == fetched));
}

RC_BOOST_PROP(the_text_form_of_a_ticket_parses_back, (std::uint64_t incarnation, std::uint64_t sequence)) {
  const order_ticket ticket{incarnation, sequence};
  RC_ASSERT(parse_ticket(to_text(ticket)) == ticket);
}

RC_BOOST_PROP(text_without_a_dash_does_not_parse_as_a_ticket, (const std::string& text)) {
  const std::optional<order_ticket> ticket = parse_ticket(text);
  RC_ASSERT(!ticket || text.find('-') != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
