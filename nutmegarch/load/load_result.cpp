#include "nutmegarch/load/load_result.h"

#include <array>
#include <cstdio>

#include <boost/json.hpp>

namespace nutmegarch::load {

std::string to_table(const load_result& result) {
  std::string table = "class       offered  answered  refused  unknown   share   p50 ms   p99 ms\n";
  for (int i = 0; i < call_class_count; ++i) {
    const class_result& row = result.classes.at(static_cast<std::size_t>(i));
    std::array<char, 128> line{};
    std::snprintf(
        line.data(), line.size(), "%-10s %8ld %9ld %8ld %8ld %7.3f %8.1f %8.1f\n",
        name_of(static_cast<call_class>(i)), row.offered, row.answered, row.refused, row.unknown,
        row.offered == 0 ? 1.0 : static_cast<double>(row.answered) / static_cast<double>(row.offered),
        row.p50_ms, row.p99_ms);
    table += line.data();
  }
  return table + "attempts " + std::to_string(result.attempts) + '\n';
}

std::string to_json(const load_result& result) {
  boost::json::object classes;
  for (int i = 0; i < call_class_count; ++i) {
    const class_result& row = result.classes.at(static_cast<std::size_t>(i));
    classes[name_of(static_cast<call_class>(i))] =
        boost::json::object{{"offered", row.offered}, {"answered", row.answered}, {"refused", row.refused},
                            {"unknown", row.unknown}, {"p50_ms", row.p50_ms},     {"p99_ms", row.p99_ms}};
  }
  boost::json::array seconds;
  for (const second_result& second : result.seconds) {
    boost::json::object entry = {{"offered", second.offered}};
    for (int i = 0; i < call_class_count; ++i) {
      entry[name_of(static_cast<call_class>(i))] = second.answered.at(static_cast<std::size_t>(i));
    }
    seconds.push_back(entry);
  }
  return boost::json::serialize(boost::json::object{{"classes", classes},
                                                    {"seconds", seconds},
                                                    {"attempts", result.attempts},
                                                    {"began_unix_ms", result.began_unix_ms}});
}

}  // namespace nutmegarch::load
