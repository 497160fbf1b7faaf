#include "nutmegarch/node/readiness_api.h"

namespace nutmegarch::node {

void readiness_api::on_request(std::uint64_t, request_message, answer_callback answer) {
  bool is_ready = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    is_ready = state_.routes && state_.view.may_serve(state_.clock.now()) && !state_.leaving;
  }
  answer({is_ready ? 200 : 503, {}, {}});
}

}  // namespace nutmegarch::node
