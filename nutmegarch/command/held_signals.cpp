#include "nutmegarch/command/held_signals.h"

#include <csignal>

namespace nutmegarch::command::held_signals {

namespace {

sigset_t all() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void hold() {
  const sigset_t signals = all();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void release() {
  const sigset_t signals = all();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

int wait() {
  const sigset_t signals = all();
  int received = 0;
  sigwait(&signals, &received);
  return received;
}

}  // namespace nutmegarch::command::held_signals
