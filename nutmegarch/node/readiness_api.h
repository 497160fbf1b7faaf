#pragma once

#include "nutmegarch/http/server.h"
#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// Answers the platform's question whether the node takes work: 200 when it does, 503 when it does not.
class readiness_api final : public http::request_handler {
 public:
  explicit readiness_api(node_state& state) : state_(state) {}

  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override;

 private:
  node_state& state_;
};

}  // namespace nutmegarch::node
