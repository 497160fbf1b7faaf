#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/call.h"
#include "nutmegarch/core/result.h"

namespace nutmegarch::policy {

/// Settings of order_registry.
struct order_settings {
  /// How long a ticket may be used, and its outcome is remembered.
  duration lifetime = std::chrono::seconds(60);
  /// Tickets that may be live at once. Each takes about 64 bytes, and its answer while that is kept.
  std::size_t capacity = 65'536;
  /// Largest answer that is kept for repeats; a repeat of a larger one learns the outcome without the body.
  std::size_t most_answer_bytes = 16'384;
  /// Bytes that all kept answers may take.
  std::size_t most_total_bytes = 32U << 20U;
};

/// The answer of an order that ran, kept for its repeats.
struct kept_answer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body was too large to be kept.
  bool body_dropped = false;
};

/// What a registry says to an order that arrives.
struct order_verdict {
  enum class kind : std::uint8_t {
    /// First arrival: run it, and then tell the registry. Nobody else gets this verdict for the ticket.
    run,
    /// It runs now: wait for its answer.
    wait,
    /// It ran: `answer` is its answer.
    answered,
    /// It ran or may have run, and its answer is lost.
    unknown,
    /// It has not run and never will.
    sealed,
    /// The ticket is of another incarnation, was never issued, or is older than its lifetime.
    not_ours
  };

  kind what = kind::not_ours;
  call_reason reason = call_reason::none;
  std::optional<kept_answer> answer;
};

/// Why no ticket was issued.
enum class ticket_error : std::uint8_t { full };

/// The orders of one node incarnation: which tickets it has issued, and what became of each.
/// A ticket's slot is reserved when it is issued, so a live ticket is never forgotten and a full table
/// refuses new tickets instead. All times are of this incarnation's monotonic clock: other clocks do not
/// matter. No I/O; not thread-safe.
class order_registry {
 public:
  order_registry(std::uint64_t incarnation, const order_settings& settings);

  /// Issues a ticket for one order.
  result<order_ticket, ticket_error> issue(time_point now);

  /// An order with a ticket has arrived.
  order_verdict arrive(const order_ticket& ticket, time_point now);

  /// The order has not run, no byte of it has gone to the target: no copy will ever run. Only between run and
  /// start of the hand-over, or for a ticket that has not arrived. False when that can't be promised any
  /// more.
  bool seal(const order_ticket& ticket, time_point now);

  /// The order ran and gave this answer.
  void set_answer(const order_ticket& ticket, kept_answer answer, time_point now);

  /// The order was handed to the target and its answer is lost.
  void set_unknown(const order_ticket& ticket, time_point now);

  /// The ticket of a child order, the `child`-th kind of call that a running order makes. The same parent and
  /// child get the same ticket for the parent's lifetime. `fetched` is taken when there is none yet.
  std::optional<order_ticket> child_ticket(const order_ticket& parent, std::uint64_t child,
                                           const std::optional<order_ticket>& fetched, time_point now);

  std::uint64_t incarnation() const { return incarnation_; }
  /// Tickets that are live.
  std::size_t live(time_point now);

 private:
  enum class state : std::uint8_t { issued, running, answered, unknown, sealed };

  struct child_entry {
    std::uint64_t key = 0;
    order_ticket ticket;
  };

  struct slot {
    std::uint64_t sequence = 0;
    time_point expires{};
    state now = state::issued;
    kept_answer answer;
    std::vector<child_entry> children;
  };

  slot* find(const order_ticket& ticket, time_point now);
  void forget_expired(time_point now);

  std::uint64_t incarnation_;
  order_settings settings_;
  std::vector<slot> slots_;
  /// Sequence of the oldest live ticket, and of the next one to be issued.
  std::uint64_t oldest_ = 1;
  std::uint64_t next_ = 1;
  std::size_t kept_bytes_ = 0;
};

/// Text form of a ticket, as callers carry it.
std::string to_text(const order_ticket& ticket);

/// Reads the text form; nothing when it is malformed.
std::optional<order_ticket> ticket_of(const std::string& text);

}  // namespace nutmegarch::policy
