#include "nutmegarch/membership/reader_choice.h"

#include <algorithm>
#include <set>

#include "nutmegarch/core/hash.h"

namespace nutmegarch::membership {

std::vector<std::string> choose_readers(const host_list& hosts, std::size_t count) {
  std::vector<const published_host*> ranked;
  for (const published_host& host : hosts.hosts) {
    if (!host.leaving) {
      ranked.push_back(&host);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const published_host* left, const published_host* right) {
    return hash_text(left->host) < hash_text(right->host);
  });

  // The first pass takes one host of each failure domain, the second pass fills up with the remaining hosts.
  std::vector<std::string> chosen;
  std::set<std::string> domains;
  for (const published_host* const host : ranked) {
    if (chosen.size() < count && domains.insert(host->domain).second) {
      chosen.push_back(host->host);
    }
  }
  for (const published_host* const host : ranked) {
    if (chosen.size() < count && std::count(chosen.begin(), chosen.end(), host->host) == 0) {
      chosen.push_back(host->host);
    }
  }
  return chosen;
}

}  // namespace nutmegarch::membership
