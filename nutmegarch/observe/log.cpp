#include "nutmegarch/observe/log.h"

#include <atomic>
#include <unistd.h>

#include <boost/json.hpp>
#include <easylogging++.h>

#include "nutmegarch/observe/line_buffer.h"

INITIALIZE_EASYLOGGINGPP

namespace nutmegarch::observe {

namespace {

/// Lines that wait for the reader of the standard output, in bytes.
constexpr std::size_t most_waiting_bytes = 256U << 10U;

line_buffer& output() {
  static line_buffer buffer(STDOUT_FILENO, most_waiting_bytes);
  return buffer;
}

/// Takes the lines from the library.
class buffered_output final : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    output().add(data->logMessage()->logger()->logBuilder()->build(data->logMessage(), true));
  }
};

std::atomic<log_level> least_level{log_level::info};
std::atomic<std::uint64_t> reported_drops{0};
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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            settings.json ? "%msg" : "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<buffered_output>("buffered_output");
}

void flush_log(duration patience) {
  const std::uint64_t dropped = output().dropped();
  const std::uint64_t before = reported_drops.exchange(dropped);
  if (dropped != before) {
    log_event(log_level::warning, "log-lines-dropped", {{"lines", std::to_string(dropped - before)}});
  }
  output().flush(static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(patience).count()));
}

std::size_t waiting_log_bytes() { return output().size_in_bytes(); }

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
