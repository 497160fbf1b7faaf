#include "nutmegarch/load/load_settings.h"

#include "nutmegarch/http/address.h"

namespace nutmegarch::load {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void read_demand(settings::json_reader& reader, load_settings& loaded) {
  const std::size_t count = reader.read_array_size("/demand");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string pointer = "/demand/" + std::to_string(i);
    demand_step step;
    reader.read_duration(pointer + "/at", step.start, duration{}, hours(24));
    reader.read_number(pointer + "/rate", step.rate, 0, 1e6);
    loaded.demand.push_back(step);
  }
  if (loaded.demand.empty()) {
    reader.add_error("/demand", "expected an array with at least one step");
  }
}

void read_requests(settings::json_reader& reader, load_settings& loaded) {
  const std::size_t count = reader.read_array_size("/requests");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string pointer = "/requests/" + std::to_string(i);
    request_kind kind;
    reader.read_string(pointer + "/method", kind.method);
    reader.read_string(pointer + "/path", kind.path);
    reader.read_string(pointer + "/service", kind.service);
    reader.read_number(pointer + "/share", kind.share, 0, 1e6);
    reader.read_enum<call_class>(
        pointer + "/class", kind.cls,
        {{"order", call_class::order}, {"important", call_class::important}, {"browse", call_class::browse}});
    loaded.requests.push_back(kind);
  }
  if (loaded.requests.empty()) {
    loaded.requests.emplace_back();
  }
}

}  // namespace

std::variant<load_settings, std::vector<settings::settings_error>> read_load_settings(
    const std::string& text) {
  load_settings loaded;
  settings::json_reader reader(text);
  reader.read_strings("/entries", loaded.node_addresses);
  for (std::size_t i = 0; i < loaded.node_addresses.size(); ++i) {
    if (!http::parse_address(loaded.node_addresses.at(i))) {
      reader.add_error("/entries/" + std::to_string(i),
                       "expected an address as IP:PORT, found " + loaded.node_addresses.at(i));
    }
  }
  if (loaded.node_addresses.empty()) {
    reader.add_error("/entries", "expected at least one address");
  }
  reader.read_duration("/length", loaded.length, milliseconds(100), hours(24));
  reader.read_duration("/patience", loaded.timeout, milliseconds(1), minutes(10));
  reader.read_integer("/resends", loaded.max_retries, 0, 1'000);
  reader.read_duration("/resend_delay", loaded.retry_delay, duration{}, minutes(10));
  reader.read_integer("/seed", loaded.seed, 0, 1e15);
  reader.read_integer("/connections", loaded.max_connections, 1, 100'000);
  read_demand(reader, loaded);
  read_requests(reader, loaded);
  std::vector<settings::settings_error> errors = reader.finish();
  if (!errors.empty()) {
    return errors;
  }
  return loaded;
}

}  // namespace nutmegarch::load
