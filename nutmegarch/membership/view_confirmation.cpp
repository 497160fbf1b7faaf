#include "nutmegarch/membership/view_confirmation.h"

namespace nutmegarch::membership {

void view_confirmation::on_start(time_point now) {
  start_ = now;
  last_confirmed_ = now;
}

void view_confirmation::on_store_answer(time_point now) {
  is_store_current_ = true;
  was_confirmed_ = true;
  last_confirmed_ = now;
}

void view_confirmation::on_peer_view(time_point now) {
  if (!was_confirmed_ && now - start_ < settings_.store_patience) {
    return;
  }
  was_confirmed_ = true;
  last_confirmed_ = now;
  peer_confirmation_end_ = now + settings_.peer_validity;
}

}  // namespace nutmegarch::membership
