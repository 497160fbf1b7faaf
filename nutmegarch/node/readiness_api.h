#pragma once

#include "nutmegarch/http/server.h"
#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// Readiness check of the platform: answers 200 when the node has routes, may use them and is not leaving,
/// else 503.
/// Thread-safe.
class readiness_api final : public http::request_handler {
 public:
  explicit readiness_api(node_state& state) : state_(state) {}

  void on_request(std::uint64_t exchange_id, request_message request, answer_callback answer) override;

 private:
  node_state& state_;
};

}  // namespace nutmegarch::node
