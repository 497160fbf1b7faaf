#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::organisations {

/// Settings of keeper_watch.
struct keeper_watch_settings {
  /// Time between two questions to a first keeper in whose place this node is asked. Two nodes may grant the
  /// same allowance for about this long.
  duration interval = std::chrono::milliseconds(200);
  /// A question without an answer after this time says that the keeper is away.
  duration timeout = std::chrono::milliseconds(250);
  /// A keeper is not watched any more when this node was not asked in its place for this long.
  duration memory = std::chrono::seconds(10);
};

/// Knows whether the first keepers in whose place this node is asked grant by themselves, so that no two
/// nodes grant the same allowance for long: a node may have been asked because one other node could not reach
/// the first keeper, or because it has not noticed yet that the keeper is back. No I/O; not thread-safe.
class keeper_watch {
 public:
  /// Asks a keeper whether it grants the organisation's allowance.
  struct question {
    std::string address;
    std::string organisation;
  };

  explicit keeper_watch(const keeper_watch_settings& settings) : settings_(settings) {}

  /// This node is asked in the place of the keeper that the question names.
  void on_question(const question& asked, time_point now);
  /// The questions to send now. They count as sent.
  std::vector<question> take_due(time_point now);
  /// The keeper that was asked has answered, and grants by itself or not.
  void on_answer(const std::string& address, bool grants, time_point now);
  /// True if the keeper was heard to grant by itself a short time ago.
  bool grants(const std::string& address, time_point now) const;
  /// Since when the keeper is known not to grant; `now` if nothing is known of it.
  time_point away_since(const std::string& address, time_point now) const;

 private:
  struct entry {
    /// Organisation for whose allowance this node was last asked.
    std::string organisation;
    time_point last_question{};
    time_point last_asked{};
    bool is_asked = false;
    /// Time of the last answer that said that the keeper grants.
    time_point last_granting{};
    /// Time of the last sign that it does not, and of the first one since it last did; zero for none.
    time_point last_away{};
    time_point away_since{};
  };

  void set_away(entry& found, time_point now) const;

  keeper_watch_settings settings_;
  std::unordered_map<std::string, entry> entries_;
};

}  // namespace nutmegarch::organisations
