#pragma once

#include <memory>
#include <string>
#include <vector>

#include "performance_test/virtual_time/fake_node.h"

namespace nutmegarch::performance_test {

/// How late and how wrong the platform's load reports are.
enum class report_quality : std::uint8_t { exact, lagging, misleading };

/// One service of a deployment.
struct service_plan {
  std::string name;
  service_shape shape;
  /// The service that each call goes on to call; empty for the last.
  std::string calls;
  /// Region and failure domain of each server; empty for those of the plan.
  std::vector<std::pair<std::string, std::string>> places = {};
};

/// What a deployment is made of.
struct deployment_plan {
  std::vector<service_plan> services;
  /// Region and failure domain of each service's servers, one server each.
  std::vector<std::pair<std::string, std::string>> places;
  bool baseline = false;
  policy::receiver_settings receiver;
  policy::sender_settings sender;
  report_quality reports = report_quality::exact;
  duration domain_delay = std::chrono::microseconds(500);
  /// Routes that differ in their work. With these every node may call every service.
  route_works routes;
  /// Orders run under tickets.
  bool uses_tickets = true;
};

/// The places of the Shewa deployment.
std::vector<std::pair<std::string, std::string>> shewa_places();
/// The places of the Rodopa deployment.
std::vector<std::pair<std::string, std::string>> rodopa_places();
/// Servers in one failure domain each, all in one region.
std::vector<std::pair<std::string, std::string>> one_region();

/// The nodes of a few services with what connects them, in virtual time.
class deployment {
 public:
  deployment(const deployment_plan& plan, std::uint64_t seed);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  event_queue& events() { return events_; }
  random_source& random() { return random_; }
  fake_network& network() { return network_; }
  const deployment_plan& plan() const { return plan_; }

  /// All nodes.
  const std::vector<std::unique_ptr<fake_node>>& nodes() const { return nodes_; }

  /// The nodes of the service with this index in the plan.
  std::vector<fake_node*> nodes(std::size_t service) const;

  /// Calls a second that a service carries when all its slots are busy.
  double capacity(std::size_t service) const;

 private:
  void add_service(const service_plan& service);
  void connect(fake_node& from, const service_plan& to);
  void publish_reports();

  deployment_plan plan_;
  event_queue events_;
  random_source random_;
  fake_network network_;
  std::vector<std::unique_ptr<fake_node>> nodes_;
  /// Endpoints of all nodes, with the node that each stands for.
  std::vector<std::pair<policy::endpoint_ptr, fake_node*>> endpoints_;
};

}  // namespace nutmegarch::performance_test
