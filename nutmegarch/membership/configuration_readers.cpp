#include "nutmegarch/membership/configuration_readers.h"

#include <algorithm>
#include <iterator>

#include "nutmegarch/membership/reader_choice.h"

namespace nutmegarch::membership {

void configuration_readers::set_hosts(const std::vector<published_host>& hosts, const std::string& own_host,
                                      const std::string& own_domain) {
  host_list domain;
  std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(domain.hosts),
               [&](const published_host& host) { return host.domain == own_domain; });
  const std::vector<std::string> chosen = choose_readers(domain, settings_.per_domain);
  is_chosen_ = chosen.empty() || std::count(chosen.begin(), chosen.end(), own_host) != 0;
}

void configuration_readers::on_peer(std::optional<duration> age, time_point now) {
  if (age && *age >= duration{} && (!last_heard_ || now - *age > *last_heard_)) {
    last_heard_ = now - *age;
  }
}

std::optional<duration> configuration_readers::age(bool is_reading, time_point now) const {
  if (is_reading) {
    return duration{};
  }
  return last_heard_ ? std::optional<duration>(now - *last_heard_) : std::nullopt;
}

}  // namespace nutmegarch::membership
