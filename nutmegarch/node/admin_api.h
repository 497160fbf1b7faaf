#pragma once

#include <map>
#include <memory>

#include "nutmegarch/http/server.h"
#include "nutmegarch/node/inbound_path.h"
#include "nutmegarch/node/memory_monitor.h"
#include "nutmegarch/node/outbound_path.h"

namespace nutmegarch::node {

/// Read-only admin API over HTTP: /metrics, /status, /rules, /timeline and /explain. docs/ADMIN.md describes
/// it. Thread-safe.
class admin_api final : public http::request_handler {
 public:
  admin_api(node_state& state, const inbound_path& inbound, const outbound_path& outbound,
            const memory_monitor& memory)
      : state_(state), inbound_(inbound), outbound_(outbound), memory_(memory) {}

  void on_request(std::uint64_t exchange_id, request_message request, answer_callback answer) override;

 private:
  using parameters = std::map<std::string, std::string>;

  /// Calls the function for the request's path.
  answer_message dispatch(const request_message& request);
  answer_message metrics() const;
  answer_message status() const;
  answer_message rules() const;
  answer_message timeline(const parameters& query) const;
  answer_message explain(const parameters& query) const;

  node_state& state_;
  const inbound_path& inbound_;
  const outbound_path& outbound_;
  const memory_monitor& memory_;
};

}  // namespace nutmegarch::node
