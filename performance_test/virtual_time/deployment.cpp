#include "performance_test/virtual_time/deployment.h"

#include <utility>

#include "nutmegarch/core/hash.h"

namespace nutmegarch::performance_test {

namespace {

constexpr duration report_interval = std::chrono::milliseconds(500);
constexpr duration report_lag = std::chrono::seconds(5);

policy::proximity proximity_of(const fake_node_settings& from, const fake_node_settings& to) {
  if (from.host == to.host) {
    return policy::proximity::same_host;
  }
  if (from.domain == to.domain) {
    return policy::proximity::same_domain;
  }
  return from.region == to.region ? policy::proximity::same_region : policy::proximity::other_region;
}

}  // namespace

std::vector<std::pair<std::string, std::string>> shewa_places() {
  return {
      {"addis", "addis-bole"}, {"addis", "addis-piassa"}, {"dire", "dire-kezira"}, {"dire", "dire-sabian"}};
}

std::vector<std::pair<std::string, std::string>> rodopa_places() {
  return {{"rodopi", "smolyan"}, {"rodopi", "chepelare"}, {"thrace", "plovdiv"}, {"thrace", "asenovgrad"}};
}

std::vector<std::pair<std::string, std::string>> one_region() {
  return {
      {"addis", "addis-bole"}, {"addis", "addis-piassa"}, {"addis", "addis-bole"}, {"addis", "addis-piassa"}};
}

deployment::deployment(const deployment_plan& plan, std::uint64_t seed)
    : plan_(plan), random_(seed), network_(events_) {
  network_.domain_delay = plan.domain_delay;
  for (const service_plan& service : plan_.services) {
    add_service(service);
  }
  for (const std::unique_ptr<fake_node>& node : nodes_) {
    for (const service_plan& service : plan_.services) {
      const bool is_called =
          service.name == node->settings().service || service.name == node->settings().calls;
      if (is_called || !plan_.routes.empty()) {
        connect(*node, service);
      }
    }
  }
  events_.after(report_interval, [this]() { publish_reports(); });
}

std::vector<fake_node*> deployment::nodes(std::size_t service) const {
  std::vector<fake_node*> found;
  for (const std::unique_ptr<fake_node>& node : nodes_) {
    if (node->settings().service == plan_.services.at(service).name) {
      found.push_back(node.get());
    }
  }
  return found;
}

double deployment::capacity(std::size_t service) const {
  const service_shape& shape = plan_.services.at(service).shape;
  const std::size_t own_places = plan_.services.at(service).places.size();
  const std::size_t servers = own_places == 0 ? plan_.places.size() : own_places;
  return static_cast<double>(servers) * shape.slots / to_seconds(shape.mean);
}

void deployment::add_service(const service_plan& service) {
  const std::vector<std::pair<std::string, std::string>>& places =
      service.places.empty() ? plan_.places : service.places;
  for (std::size_t i = 0; i < places.size(); ++i) {
    fake_node_settings settings;
    settings.host = service.name + '-' + std::to_string(i);
    settings.service = service.name;
    settings.region = places.at(i).first;
    settings.domain = places.at(i).second;
    settings.shape = service.shape;
    settings.calls = service.calls;
    settings.receiver = plan_.receiver;
    settings.receiver.slots = service.shape.slots;
    settings.receiver.pass_through = plan_.baseline;
    settings.sender = plan_.sender;
    settings.sender.pass_through = plan_.baseline;
    settings.uses_tickets = plan_.uses_tickets && !plan_.baseline;
    settings.routes = plan_.routes;
    nodes_.push_back(std::make_unique<fake_node>(events_, random_, network_, settings));
  }
}

void deployment::connect(fake_node& from, const service_plan& to) {
  std::vector<policy::endpoint_ptr> endpoints;
  for (const std::unique_ptr<fake_node>& node : nodes_) {
    if (node->settings().service != to.name) {
      continue;
    }
    const policy::endpoint_ptr known(new policy::endpoint());
    known->host = node->settings().host;
    known->service = to.name;
    known->domain = node->settings().domain;
    known->region = node->settings().region;
    known->distance = proximity_of(from.settings(), node->settings());
    known->slots = to.shape.slots;
    known->incarnation = node->orders().incarnation();
    // The fleet has been up for long, so nobody is cold.
    known->first_used_at = time_point(std::chrono::nanoseconds(1)) - std::chrono::hours(1);
    endpoints.push_back(known);
    endpoints_.emplace_back(known, node.get());
  }
  from.set_endpoints(to.name, std::move(endpoints));
}

void deployment::publish_reports() {
  for (const std::pair<policy::endpoint_ptr, fake_node*>& known : endpoints_) {
    const policy::endpoint_ptr endpoint = known.first;
    switch (plan_.reports) {
      case report_quality::exact:
        endpoint->published_load = known.second->target().load();
        break;
      case report_quality::lagging: {
        const double load = known.second->target().load();
        events_.after(report_lag, [endpoint, load]() { endpoint->published_load = load; });
        break;
      }
      case report_quality::misleading:
        endpoint->published_load = random_.uniform() * 2;
        break;
    }
  }
  events_.after(report_interval, [this]() { publish_reports(); });
}

}  // namespace nutmegarch::performance_test
