#include "nutmegarch/membership/host_list.h"

#include <map>
#include <tuple>
#include <utility>

#include <boost/json.hpp>

namespace nutmegarch::membership {

namespace {

std::string text_of(const boost::json::object& from, const char* key) {
  const boost::json::value* const found = from.if_contains(key);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

double number_of(const boost::json::object& from, const char* key, double fallback) {
  const boost::json::value* const found = from.if_contains(key);
  if (found == nullptr || !found->is_number()) {
    return fallback;
  }
  return found->to_number<double>();
}

published_host read_host(const boost::json::object& from) {
  published_host host;
  host.host = text_of(from, "host");
  host.service = text_of(from, "service");
  host.domain = text_of(from, "domain");
  host.region = text_of(from, "region");
  host.peer_address = text_of(from, "peers");
  host.slots = static_cast<int>(number_of(from, "slots", 64));
  host.load = number_of(from, "load", 0);
  host.leaving = text_of(from, "state") == "leaving";
  return host;
}

}  // namespace

void keep_newest_by_address(std::vector<published_host>& hosts) {
  std::map<std::string, published_host> newest;
  for (published_host& host : hosts) {
    auto known = newest.find(host.address);
    if (known == newest.end()) {
      newest.emplace(host.address, std::move(host));
    } else if (std::tie(host.process_started_ms, host.position) >
               std::tie(known->second.process_started_ms, known->second.position)) {
      known->second = std::move(host);
    }
  }
  hosts.clear();
  for (std::pair<const std::string, published_host>& kept : newest) {
    hosts.push_back(std::move(kept.second));
  }
}

result<host_list, host_list_error> parse_host_list(const std::string& text) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(text, error);
  if (error || !parsed.is_object()) {
    return host_list_error{"the host list is not a JSON object"};
  }
  const boost::json::object& top = parsed.get_object();
  const boost::json::value* const hosts = top.if_contains("hosts");
  if (hosts == nullptr || !hosts->is_array()) {
    return host_list_error{"the host list has no array \"hosts\""};
  }
  host_list list;
  list.revision = static_cast<std::uint64_t>(number_of(top, "revision", 0));
  for (const boost::json::value& entry : hosts->get_array()) {
    if (!entry.is_object()) {
      return host_list_error{"an entry of \"hosts\" is not an object"};
    }
    published_host host = read_host(entry.get_object());
    if (host.host.empty() || host.peer_address.empty() || host.slots < 1) {
      return host_list_error{
          "an entry of \"hosts\" lacks a host name, a peer address or a positive number of slots"};
    }
    list.hosts.push_back(std::move(host));
  }
  return list;
}

}  // namespace nutmegarch::membership
