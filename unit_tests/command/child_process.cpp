#include "unit_tests/command/child_process.h"

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace nutmegarch::command {

namespace {

constexpr std::chrono::milliseconds poll_interval{2};

std::string content_of(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

child_process::child_process(const std::vector<std::string>& words, std::filesystem::path output)
    : output_(std::move(output)) {
  std::vector<std::string> all = {NUTMEGARCH_PROGRAM};
  all.insert(all.end(), words.begin(), words.end());
  std::vector<char*> arguments;
  arguments.reserve(all.size() + 1);
  for (std::string& word : all) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);

  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigset_t all_signals;
  sigemptyset(&none);
  sigfillset(&all_signals);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setsigdefault(&attributes, &all_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  if (posix_spawn(&pid_, NUTMEGARCH_PROGRAM, &files, &attributes, arguments.data(), environ) != 0) {
    pid_ = -1;
    ended_ = -1;
  }
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
}

child_process::~child_process() {
  if (is_running()) {
    send(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void child_process::send(int signal) const {
  if (!ended_) {
    kill(pid_, signal);
  }
}

bool child_process::is_running() {
  int status = 0;
  if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return !ended_;
}

std::optional<int> child_process::wait(std::chrono::milliseconds patience) {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + patience;
  while (is_running() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(poll_interval);
  }
  return ended_;
}

std::string child_process::output() const { return content_of(output_); }

bool child_process::blocks(int signal) const {
  const std::string mask = status_line("SigBlk");
  return !mask.empty() && (std::stoull(mask, nullptr, 16) >> static_cast<unsigned>(signal - 1) & 1U) != 0;
}

std::size_t child_process::most_memory() const {
  const std::string kilobytes = status_line("VmHWM");
  return kilobytes.empty() ? 0 : std::stoull(kilobytes) << 10U;
}

std::string child_process::status_line(const std::string& name) const {
  std::istringstream status(content_of("/proc/" + std::to_string(pid_) + "/status"));
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, name.size() + 2, name + ":\t") == 0) {
      return line.substr(name.size() + 2);
    }
  }
  return {};
}

}  // namespace nutmegarch::command
