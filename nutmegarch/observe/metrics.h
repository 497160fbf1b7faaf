#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "nutmegarch/core/call.h"

namespace nutmegarch::observe {

/// Counts and latencies of one node, in the Prometheus text format. Any thread may call it.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  ~metrics();

  /// A call from a caller or from the local target was answered.
  void on_outbound(call_class cls, call_outcome outcome, call_reason reason, duration latency);
  /// A call for the local target was answered or refused.
  void on_inbound(call_class cls, call_outcome outcome, call_reason reason, duration latency);
  /// Something else was counted, by its name.
  void add(const std::string& name, double amount = 1);

  /// All of it, with gauges of the moment added by the caller.
  std::string to_text(const std::map<std::string, double>& gauges) const;

 private:
  struct call_metrics;

  /// Guards what follows; no other lock is taken while it is held.
  mutable std::mutex mutex_;
  std::unique_ptr<call_metrics> outbound_;
  std::unique_ptr<call_metrics> inbound_;
  std::map<std::string, double> counters_;
};

}  // namespace nutmegarch::observe
