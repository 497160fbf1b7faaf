#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "nutmegarch/core/time.h"
#include "nutmegarch/organisations/owner_table.h"

namespace nutmegarch::organisations {

/// Settings of keeper_route.
struct keeper_route_settings {
  /// How long a keeper that did not answer is not asked again.
  duration pause = std::chrono::seconds(1);
  /// How often the nodes that are asked may name another one.
  int max_redirects = 2;
};

/// Whom a node asks for a part of an allowance: the first keeper, the second one if that does not answer, or
/// the node that one of them names. No I/O; not thread-safe.
class keeper_route {
 public:
  /// One attempt to ask.
  struct step {
    std::string address;
    /// Rank of the keeper that was asked last.
    std::size_t rank = 0;
    int redirects = 0;
  };

  explicit keeper_route(const keeper_route_settings& settings) : settings_(settings) {}

  /// The first step; nullopt if no keeper can be asked now.
  std::optional<step> first(const owner_table::keepers& keepers, time_point now);
  /// The step after one without an answer, whose node is not asked for a while.
  std::optional<step> after_silence(const owner_table::keepers& keepers, const step& failed, time_point now);
  /// The step after an answer that names another node.
  std::optional<step> after_redirect(const step& redirected, const std::string& address) const;
  /// The node has granted, and can be asked from now on.
  void on_answer(const step& answered) { paused_until_.erase(answered.address); }

 private:
  std::optional<step> find(const owner_table::keepers& keepers, std::size_t rank, int redirects,
                           time_point now);

  keeper_route_settings settings_;
  /// Until when nodes that did not answer are not asked, by address.
  std::unordered_map<std::string, time_point> paused_until_;
};

}  // namespace nutmegarch::organisations
