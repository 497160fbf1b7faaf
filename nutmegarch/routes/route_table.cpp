#include "nutmegarch/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace nutmegarch::routes {

namespace {

std::string lower_case_host(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

}  // namespace

std::string to_text(const std::vector<weighted_service>& services) {
  if (services.size() == 1) {
    return services.front().service;
  }
  std::string text;
  for (const weighted_service& part : services) {
    text += (text.empty() ? "" : ",") + part.service + ':' + std::to_string(static_cast<int>(part.weight));
  }
  return text;
}

route_table::route_table(route_configuration configuration)
    : configuration_(std::move(configuration)), organisations_(std::move(configuration_.organisations)) {
  for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
    const route& entry = configuration_.routes.at(i);
    by_host_and_prefix_.emplace(lower_case_host(entry.host) + '\n' + entry.prefix, i);
    by_name_.emplace(entry.name, i);
  }
}

const route* route_table::find(std::string_view host, std::string_view target) const {
  std::string key = lower_case_host(host) + '\n';
  const std::size_t host_size = key.size();
  key += target.substr(0, target.find('?'));

  // Every prefix ends with a slash, so the path is shortened slash by slash until a prefix matches.
  std::size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= host_size) {
    key.resize(slash + 1);
    auto found = by_host_and_prefix_.find(key);
    if (found != by_host_and_prefix_.end()) {
      return &configuration_.routes.at(found->second);
    }
    slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1);
  }
  return nullptr;
}

void add_placeholders(const route_table& previous, route_configuration& next) {
  for (const std::string& name : next.unreadable_routes) {
    const route* const known = previous.find_by_name(name);
    if (known != nullptr) {
      route placeholder;
      placeholder.name = known->name;
      placeholder.host = known->host;
      placeholder.prefix = known->prefix;
      placeholder.is_readable = false;
      next.routes.push_back(std::move(placeholder));
    }
  }
}

const route* route_table::find_by_name(const std::string& name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &configuration_.routes.at(found->second);
}

}  // namespace nutmegarch::routes
