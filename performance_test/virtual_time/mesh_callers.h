#pragma once

#include <map>
#include <string>
#include <vector>

#include "performance_test/virtual_time/deployment.h"

namespace nutmegarch::performance_test {

/// One kind of request that callers of a mesh send.
struct request_kind {
  std::string route;
  call_class cls = call_class::browse;
  /// Requests a second over all entries.
  double rate = 0;
  /// Time within which an answer counts, from the first attempt.
  duration aim{};
  /// How long the entry waits for the answer of one attempt.
  duration timeout{};
  double worth = 1;
};

/// What the callers of one kind and region got.
struct kind_result {
  double offered = 0;
  double in_time = 0;
  double refused = 0;
  double failed = 0;

  double share_in_time() const { return offered == 0 ? 1 : in_time / offered; }
};

/// Open-loop callers beside every node, as on a platform whose clients enter at their own host. Each request
/// is sent once more: after a refusal when the entry says so, after a failure at once if it may be repeated.
class mesh_callers {
 public:
  mesh_callers(deployment& fleet, std::vector<request_kind> kinds);

  /// Runs the load for `length`; requests first sent before `warm_up` are not counted.
  void run(duration length, duration warm_up);

  /// Results of one kind in one region; of all kinds and regions with empty names.
  kind_result result(const std::string& route, const std::string& region = "") const;
  /// Share of the worth of what was offered that was answered in time; of one region, or of all.
  double worth_share(const std::string& region = "") const;

 private:
  struct request;
  using request_ptr = std::shared_ptr<request>;

  void arrive(std::size_t kind);
  void attempt(const request_ptr& made);
  void on_answer(const request_ptr& made, call_outcome outcome);

  deployment& fleet_;
  std::vector<request_kind> kinds_;
  time_point begin_;
  time_point end_;
  time_point counted_from_;
  /// By route and region.
  std::map<std::pair<std::string, std::string>, kind_result> results_;
};

}  // namespace nutmegarch::performance_test
