#include "nutmegarch/observe/log.h"

#include <atomic>

#include <boost/json.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace nutmegarch::observe {

namespace {

std::atomic<log_level> least_level{log_level::info};
std::atomic<bool> writes_json{false};

std::string quoted(const std::string& value) {
  const bool is_plain = !value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos;
  return is_plain ? value : boost::json::serialize(boost::json::value(value));
}

std::string as_pairs(const std::string& event, const log_fields& fields) {
  std::string line = "event=" + event;
  for (const std::pair<std::string, std::string>& field : fields) {
    line += ' ' + field.first + '=' + quoted(field.second);
  }
  return line;
}

std::string as_json(const std::string& event, const log_fields& fields) {
  boost::json::object line = {{"event", event}};
  for (const std::pair<std::string, std::string>& field : fields) {
    line[field.first] = field.second;
  }
  return boost::json::serialize(line);
}

}  // namespace

std::string to_milliseconds_text(duration value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void configure_log(const log_settings& settings) {
  least_level = settings.level;
  writes_json = settings.json;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            settings.json ? "%msg" : "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void log_event(log_level level, const std::string& event, const log_fields& fields) {
  if (level < least_level) {
    return;
  }
  const std::string line = writes_json ? as_json(event, fields) : as_pairs(event, fields);
  switch (level) {
    case log_level::debug:
      LOG(DEBUG) << line;
      break;
    case log_level::info:
      LOG(INFO) << line;
      break;
    case log_level::warning:
      LOG(WARNING) << line;
      break;
    case log_level::error:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace nutmegarch::observe
