#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>
#include <random>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"
#include "nutmegarch/command/held_signals.h"
#include "nutmegarch/node/node.h"

#include "platform/adapter.h"

namespace nutmegarch::command {

namespace {

/// How long a stopping process waits for the reader of its log.
constexpr duration last_flush = std::chrono::milliseconds(100);

std::uint64_t random_number() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Logs why the process ends, where an exception left all handlers.
[[noreturn]] void on_terminate() {
  std::string reason = "unknown";
  if (const std::exception_ptr thrown = std::current_exception()) {
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
      reason = error.what();
    } catch (...) {
      reason = "not a standard exception";
    }
  }
  observe::log_event(observe::log_level::error, "node-failed", {{"reason", reason}});
  observe::flush_log(last_flush);
  std::abort();
}

/// Waits for the next signal and logs it.
int wait_for_signal(const std::string& host) {
  const int received = held_signals::wait();
  observe::log_event(observe::log_level::info, "signal-received",
                     {{"host", host}, {"signal", sigabbrev_np(received)}});
  return received;
}

/// The adapter of the platform whose dialect the settings name; nothing for the product's own.
std::optional<node::platform_adapter> make_adapter(const node::node_settings& settings) {
  if (settings.platform.dialect.empty()) {
    return std::nullopt;
  }
  return platform_adapter::make_adapter(settings.platform.address);
}

/// Reads the settings anew. What a node learns from its settings holds for its lifetime, so a change is only
/// checked and reported; the process keeps serving with what it has.
void reload(const std::string& path, const node::node_settings& settings) {
  const std::optional<node::node_settings> read = read_settings(path, node::read_node_settings);
  const bool is_good = read.has_value();
  observe::log_event(is_good ? observe::log_level::info : observe::log_level::warning, "settings-reloaded",
                     {{"host", settings.identity.host}, {"result", is_good ? "kept" : "refused"}});
}

int serve(const std::string& path, const node::node_settings& settings) {
  const std::optional<node::platform_adapter> adapter = make_adapter(settings);
  node::node served(settings, random_number(), random_number(), adapter);
  const std::string error = served.start();
  if (!error.empty()) {
    std::cerr << "nutmegarch node: " << error << '\n';
    return failed;
  }
  observe::log_event(observe::log_level::info, "node-started",
                     {{"host", settings.identity.host}, {"callers", settings.listen.callers}});
  while (wait_for_signal(settings.identity.host) == SIGHUP) {
    reload(path, settings);
  }
  observe::log_event(observe::log_level::info, "node-stopping", {{"host", settings.identity.host}});
  served.leave();
  served.wait();
  observe::log_event(observe::log_level::info, "node-stopped", {{"host", settings.identity.host}});
  observe::flush_log(last_flush);
  return done;
}

}  // namespace

int run_node(const std::vector<std::string>& words) {
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine line("Runs the node beside a target.", ' ', version());
  TCLAP::ValueArg<std::string> file("", "settings", "Settings file, JSON with comments.", true, "", "FILE",
                                    line);
  TCLAP::SwitchArg check("", "check", "Only checks the settings.", line);
  const std::optional<int> ended = parse(line, "node", words);
  if (ended) {
    return *ended;
  }
  const std::optional<node::node_settings> settings =
      read_settings(file.getValue(), node::read_node_settings);
  if (!settings) {
    return bad_usage;
  }
  if (check.getValue()) {
    std::cout << file.getValue() << ": good\n";
    return done;
  }
  observe::configure_log(settings->log);
  std::set_terminate(on_terminate);
  return serve(file.getValue(), *settings);
}

}  // namespace nutmegarch::command
