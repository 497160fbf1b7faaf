#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/call.h"
#include "nutmegarch/core/result.h"

namespace nutmegarch::policy {

/// Settings of order_registry.
struct order_settings {
  /// How long a ticket can be used and its outcome is stored, from the time of issue.
  duration lifetime = std::chrono::seconds(60);
  /// Maximum number of live tickets. Each takes about 64 bytes plus its stored answer.
  std::size_t capacity = 65'536;
  /// Largest body that is stored, in bytes. Repeats of an order with a larger body don't get its answer.
  std::size_t max_answer_bytes = 16'384;
  /// Limit for the bodies of all stored answers together, in bytes.
  std::size_t max_total_answer_bytes = 32U << 20U;
};

/// The answer to an order, stored so that repeats of the order get it, too.
struct stored_answer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body exceeded a size limit and was not stored.
  bool body_dropped = false;
};

/// What is to be done with an order that has arrived.
struct order_decision {
  enum class kind : std::uint8_t {
    /// First arrival: run the order and report its outcome to the registry. Returned once per ticket.
    run,
    /// The order is running: wait for its answer.
    wait,
    /// The order has run: `answer` holds its answer.
    answered,
    /// The order may have run, and its answer was lost.
    unknown,
    /// The order has not run and will never run.
    sealed,
    /// The ticket has expired, was issued by another incarnation, or was never issued.
    invalid_ticket
  };

  kind type = kind::invalid_ticket;
  call_reason reason = call_reason::none;
  std::optional<stored_answer> answer;
};

/// Why no ticket was issued.
enum class ticket_error : std::uint8_t { full };

/// Records the tickets that one node incarnation has issued and the outcome of each order, so that an order
/// runs at most once. Each ticket reserves a slot when it is issued: a live ticket is never dropped, and a
/// full table issues no new ones. Expiry depends only on this incarnation's monotonic clock, so clock skew
/// between nodes has no effect. No I/O; not thread-safe.
class order_registry {
 public:
  order_registry(std::uint64_t incarnation, const order_settings& settings);

  /// Issues a ticket for one order; fails when all slots are taken.
  result<order_ticket, ticket_error> issue(time_point now);

  /// Decides about an order that has arrived with this ticket, and marks it as running on the first arrival.
  order_decision on_arrival(const order_ticket& ticket, time_point now);

  /// Seals the ticket: no copy of the order will ever run. May be called only while no byte of the order has
  /// been sent to the target: before the first arrival, or between the decision `run` and the start of
  /// sending. Returns false when the ticket has expired or already has an answer or an unknown outcome.
  bool seal(const order_ticket& ticket, time_point now);

  /// Records the answer of a running order. Drops the body when it exceeds a size limit.
  void set_answer(const order_ticket& ticket, stored_answer answer, time_point now);

  /// Records that a running order was sent to the target and its answer was lost.
  void set_unknown(const order_ticket& ticket, time_point now);

  /// Returns the ticket of a child order, which a running order sends to another service. `child_key`
  /// identifies the kind of call. The same parent and key get the same ticket while the parent's ticket is
  /// live, so that a repeated call of the parent does not run the child twice. When there is no ticket yet,
  /// `fetched_ticket` is stored and returned. Returns nothing when neither exists, when the parent's ticket
  /// has expired, or when the parent has too many kinds of child orders.
  std::optional<order_ticket> child_ticket(const order_ticket& parent, std::uint64_t child_key,
                                           const std::optional<order_ticket>& fetched_ticket, time_point now);

  std::uint64_t incarnation() const { return incarnation_; }
  /// Number of tickets that have not expired.
  std::size_t live_tickets(time_point now);

 private:
  enum class ticket_state : std::uint8_t { issued, running, answered, unknown, sealed };

  struct child_entry {
    std::uint64_t key = 0;
    order_ticket ticket;
  };

  struct slot {
    std::uint64_t sequence = 0;
    time_point expires{};
    ticket_state state = ticket_state::issued;
    stored_answer answer;
    std::vector<child_entry> children;
  };

  slot* find(const order_ticket& ticket, time_point now);
  void remove_expired(time_point now);

  std::uint64_t incarnation_;
  order_settings settings_;
  std::vector<slot> slots_;
  /// Sequence numbers of the oldest live ticket and of the next one to be issued.
  std::uint64_t oldest_sequence_ = 1;
  std::uint64_t next_sequence_ = 1;
  std::size_t stored_bytes_ = 0;
};

/// Text form of a ticket, as in the Nutmegarch-Ticket header.
std::string to_text(const order_ticket& ticket);

/// Parses the text form; returns nothing when it is malformed.
std::optional<order_ticket> parse_ticket(const std::string& text);

}  // namespace nutmegarch::policy
