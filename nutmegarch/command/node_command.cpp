#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>
#include <malloc.h>
#include <random>

#include "nutmegarch/command/blocked_signals.h"
#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"
#include "nutmegarch/node/node.h"

#include "platform/adapter.h"

namespace nutmegarch::command {

namespace {

/// Blocks of this size or more are mapped one by one.
constexpr int large_block_bytes = 256 << 10;

/// Maximum time for which an ending process waits for the reader of its log.
constexpr duration log_flush_timeout = std::chrono::milliseconds(100);

std::uint64_t random_number() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Terminate handler: logs the exception that was not caught, and aborts.
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
  observe::flush_log(log_flush_timeout);
  std::abort();
}

/// Waits for the next signal and logs it.
int wait_for_signal(const std::string& host) {
  const int received = blocked_signals::wait();
  observe::log_event(observe::log_level::info, "signal-received",
                     {{"host", host}, {"signal", sigabbrev_np(received)}});
  return received;
}

/// The adapter for the platform dialect in the settings; empty when they name none and the node uses its own
/// protocol.
std::optional<node::platform_adapter> make_adapter(const node::node_settings& settings) {
  if (settings.platform.dialect.empty()) {
    return std::nullopt;
  }
  return platform_adapter::make_adapter(settings.platform.address);
}

/// Checks the settings file and logs the result. The settings of a running node never change: changed ones
/// take effect when the process starts the next time.
void reload(const std::string& path, const node::node_settings& settings) {
  const std::optional<node::node_settings> read = read_settings(path, node::read_node_settings);
  const bool is_valid = read.has_value();
  observe::log_event(is_valid ? observe::log_level::info : observe::log_level::warning, "settings-reloaded",
                     {{"host", settings.identity.host}, {"result", is_valid ? "kept" : "refused"}});
}

/// Returns the memory of large messages to the system when they are freed. Without a fixed threshold the
/// allocator keeps blocks of a size that was freed once.
void configure_allocator() { mallopt(M_MMAP_THRESHOLD, large_block_bytes); }

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
  observe::flush_log(log_flush_timeout);
  return done;
}

}  // namespace

int run_node(const std::vector<std::string>& args) {
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine line("Runs the node beside a target.", ' ', version());
  TCLAP::ValueArg<std::string> file("", "settings", "Settings file, JSON with comments.", true, "", "FILE",
                                    line);
  TCLAP::SwitchArg check("", "check", "Only checks the settings.", line);
  const std::optional<int> early_exit = parse(line, "node", args);
  if (early_exit) {
    return *early_exit;
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
  configure_allocator();
  observe::configure_log(settings->log);
  std::set_terminate(on_terminate);
  return serve(file.getValue(), *settings);
}

}  // namespace nutmegarch::command
