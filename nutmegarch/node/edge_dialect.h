#pragma once

#include <optional>
#include <string>

#include "nutmegarch/core/message.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::node {

/// What a caller's request says of itself.
struct caller_fields {
  /// The caller's own name of this attempt.
  std::string attempt_id;
  /// How long the caller waits; nothing when it does not say.
  std::optional<duration> patience;
  /// A field could not be read.
  bool is_malformed = false;
};

/// What a node tells a target with a request.
struct target_fields {
  /// Time after which nobody waits for the answer.
  duration remaining{};
  /// The target process that is to run the request; empty when any may.
  std::string instance;
  /// Service from whose host the request comes.
  std::string caller;
};

/// Load of a target as it reports it with an answer.
struct target_load {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// Time that work takes on the target's host now, over the usual time.
  double slowness = 1;
};

/// What a target's answer says besides its content.
struct target_verdict {
  /// The target itself made the answer, and it is whole.
  bool is_genuine = false;
  /// The target refused the request before running it.
  bool is_not_run = false;
  /// Another target process has the address; the request was not run.
  bool is_other_instance = false;
  std::optional<target_load> load;
};

/// The fields by which callers, node and target speak on the HTTP edges of a platform. A dialect translates
/// and decides nothing.
class edge_dialect {
 public:
  edge_dialect() = default;
  edge_dialect(const edge_dialect&) = delete;
  edge_dialect& operator=(const edge_dialect&) = delete;
  virtual ~edge_dialect() = default;

  virtual caller_fields read_caller(const headers& fields) const = 0;
  /// Sets the fields of a request for the target, in place of those that the caller sent.
  virtual void write_target(const target_fields& told, headers& fields) const = 0;
  virtual target_verdict read_target(const answer_message& answer) const = 0;
  /// Name of the field that a target's answer repeats from its request.
  virtual std::string echoed_field() const = 0;
};

}  // namespace nutmegarch::node
