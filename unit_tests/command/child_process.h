#pragma once

#include <chrono>
#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace nutmegarch::command {

/// The built program as a process of its own, with its standard output and error in a file. Killed at the end
/// of the test when it still runs.
class child_process {
 public:
  /// Starts the program with the words after its name. No signal is blocked or ignored in it.
  child_process(const std::vector<std::string>& words, std::filesystem::path output);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  pid_t pid() const { return pid_; }
  void send(int signal) const;

  /// True while the process has not ended.
  bool is_running();
  /// Waits for the end. The exit code; a negative number names the signal that ended it; nothing when it
  /// still runs after `patience`.
  std::optional<int> wait(std::chrono::milliseconds patience);

  /// All it has written so far.
  std::string output() const;

  /// True when the main thread holds the signal back; not while it waits for the signal.
  bool blocks(int signal) const;
  /// Most memory that it has had at once so far, in bytes.
  std::size_t most_memory() const;

 private:
  /// A line of the system's report on the process, without its name.
  std::string status_line(const std::string& name) const;

  std::filesystem::path output_;
  pid_t pid_ = -1;
  std::optional<int> ended_;
};

}  // namespace nutmegarch::command
