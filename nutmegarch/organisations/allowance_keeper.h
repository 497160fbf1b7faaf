#pragma once

#include <string>
#include <vector>

#include "nutmegarch/core/time.h"
#include "nutmegarch/organisations/allowance_ledger.h"
#include "nutmegarch/organisations/keeper_watch.h"
#include "nutmegarch/organisations/owner_table.h"

namespace nutmegarch::organisations {

/// Settings of allowance_keeper.
struct allowance_keeper_settings {
  allowance_ledger_settings ledger;
  keeper_watch_settings watch;
  /// For this long after the nodes have changed, others may still ask the former keeper of an allowance.
  duration settling = std::chrono::milliseconds(1500);
};

/// Answer to a question for a part of an allowance.
struct keeper_answer {
  /// False if this node does not grant this allowance now; `grant` means nothing then.
  bool is_keeper = false;
  allowance_grant grant;
  bool is_stand_in = false;
  /// Address of the node to ask instead, if it is known to grant.
  std::string keeper;
};

/// Decides for one node which allowances it grants: those that it keeps, and as a stand-in those whose first
/// keeper does not grant. No I/O; not thread-safe.
class allowance_keeper {
 public:
  explicit allowance_keeper(const allowance_keeper_settings& settings)
      : settings_(settings), ledger_(settings.ledger), watch_(settings.watch) {}

  /// Sets the addresses of all nodes that take calls. `own_address` is this node's among them, empty if it is
  /// not there.
  void set_nodes(std::vector<std::string> addresses, std::string own_address, time_point now);
  /// See set_nodes().
  const std::string& own_address() const { return own_address_; }
  /// Must be called periodically.
  void on_tick(time_point now) { ledger_.on_tick(now); }
  /// This node may be cut off, so that other nodes grant in its place.
  void on_lost_touch(time_point now);
  /// The nodes that keep the organisation's allowance.
  const owner_table::keepers& keepers_of(const std::string& organisation) {
    return owners_.find(organisation);
  }
  /// A node asks for `wanted` requests of an organisation; `limit` has a rate above 0.
  keeper_answer on_question(const std::string& organisation, const allowance& limit, int wanted,
                            time_point now);

  /// Questions to send now, for no requests, to find out whether other keepers grant.
  std::vector<keeper_watch::question> take_watch_questions(time_point now) { return watch_.take_due(now); }
  /// The keeper with this address has answered such a question.
  void on_watch_answer(const std::string& address, bool grants, time_point now) {
    watch_.on_answer(address, grants, now);
  }

 private:
  allowance_keeper_settings settings_;
  std::string own_address_;
  owner_table owners_;
  allowance_ledger ledger_;
  keeper_watch watch_;
  time_point nodes_changed_{};
};

}  // namespace nutmegarch::organisations
