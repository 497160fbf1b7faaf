#pragma once

#include <optional>
#include <string>

#include "nutmegarch/core/message.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::node {

/// Fields that a caller sends with a request.
struct caller_fields {
  /// Identifier that the caller gives to this attempt; empty if it sent none.
  std::string attempt_id;
  /// How long the caller waits for the answer; empty if it sent no timeout.
  std::optional<duration> timeout;
  /// Key with which the caller identifies its organisation; empty if it sent none. It must not be logged.
  std::string key;
  /// Whether a field could not be parsed.
  bool is_malformed = false;
};

/// Fields that a node sends to the target with a request.
struct target_fields {
  /// Time until the deadline of the call, after which nobody waits for the answer.
  duration remaining{};
  /// Target process that must run the request; empty if any process may.
  std::string instance;
  /// Service on whose host the request was made.
  std::string caller;
  /// Name of the caller's organisation; empty without one.
  std::string organisation;
};

/// Load that a target reports with an answer.
struct target_load {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// Ratio of the current service time on the target's host to its usual service time.
  double slowdown = 1;
};

/// Fields of a target's answer.
struct target_answer_fields {
  /// Whether the answer comes from the target itself and is complete.
  bool is_from_target = false;
  /// Whether the target refused the request before running it.
  bool is_not_run = false;
  /// Whether another target process has taken over the address; the request was not run.
  bool is_other_instance = false;
  /// Whether the target process that was called says in the answer that it is leaving.
  bool is_leaving = false;
  std::optional<target_load> load;
  /// Requests per second that the target takes from all hosts together; nullopt when it names none.
  std::optional<double> max_request_rate;
  /// Whether this is a complete answer of the target that names no such rate, so that none holds any more.
  bool names_no_rate = false;
};

/// Header fields that callers, nodes and targets of a platform exchange over HTTP. A dialect only translates
/// between headers and structs and makes no decisions. The functions are called from several threads.
class edge_dialect {
 public:
  edge_dialect() = default;
  edge_dialect(const edge_dialect&) = delete;
  edge_dialect& operator=(const edge_dialect&) = delete;
  virtual ~edge_dialect() = default;

  virtual caller_fields read_caller(const headers& fields) const = 0;
  /// Removes the caller's key and the organisation that it claims to be, so that neither is passed on.
  virtual void remove_identity(headers& fields) const = 0;
  /// Sets the fields of a request to the target and replaces those that the caller sent.
  virtual void write_target_fields(const target_fields& target, headers& fields) const = 0;
  virtual target_answer_fields read_target_answer(const answer_message& answer) const = 0;
  /// Name of the header field that a target copies from the request to its answer.
  virtual std::string echoed_field() const = 0;
};

}  // namespace nutmegarch::node
