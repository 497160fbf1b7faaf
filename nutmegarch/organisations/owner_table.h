#pragma once

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegarch::organisations {

/// Finds the nodes that keep an organisation's allowance: the two nodes with the highest hash of node and
/// organisation (rendezvous hashing). The second one stands in while the first can't be reached. A node that
/// joins or leaves moves only the allowances that it keeps. Not thread-safe.
class owner_table {
 public:
  /// Number of keepers of an allowance.
  static constexpr std::size_t keeper_count = 2;
  /// Addresses of the keepers, the first one to be asked first. Empty addresses: there are fewer nodes.
  using keepers = std::array<std::string, keeper_count>;

  /// Sets the addresses of all nodes that take calls, including this one. Returns true if they have changed.
  bool set_nodes(std::vector<std::string> addresses);
  /// The keepers of the organisation's allowance.
  const keepers& find(const std::string& organisation);

 private:
  std::vector<std::string> nodes_;
  /// Results of find() since the nodes changed.
  std::unordered_map<std::string, keepers> found_;
};

}  // namespace nutmegarch::organisations
