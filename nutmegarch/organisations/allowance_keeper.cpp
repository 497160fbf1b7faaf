#include "nutmegarch/organisations/allowance_keeper.h"

#include <utility>

namespace nutmegarch::organisations {

void allowance_keeper::set_nodes(std::vector<std::string> addresses, std::string own_address,
                                 time_point now) {
  own_address_ = std::move(own_address);
  if (owners_.set_nodes(std::move(addresses))) {
    nodes_changed_ = now;
  }
}

void allowance_keeper::on_lost_touch(time_point now) {
  ledger_.on_lost_touch();
  nodes_changed_ = now;
}

keeper_answer allowance_keeper::on_question(const std::string& organisation, const allowance& limit,
                                            int wanted, time_point now) {
  const owner_table::keepers& keepers = owners_.find(organisation);
  const std::string& first = keepers.front();
  keeper_answer answer;
  if (ledger_.has_stood_still(now)) {
    return answer;
  }
  if (first == own_address_ || first.empty()) {
    answer.is_keeper = true;
    answer.grant =
        ledger_.spend(organisation, limit, {false, nodes_changed_ + settings_.settling}, wanted, now);
    return answer;
  }
  watch_.on_question({first, organisation}, now);
  if (watch_.grants(first, now)) {
    answer.keeper = first;
    return answer;
  }
  const std::string& second = keepers.back();
  if (second != own_address_ && !second.empty()) {
    answer.keeper = second;
    return answer;
  }
  answer.is_keeper = true;
  answer.is_stand_in = true;
  answer.grant = ledger_.spend(organisation, limit, {true, watch_.away_since(first, now)}, wanted, now);
  return answer;
}

}  // namespace nutmegarch::organisations
