#include "nutmegarch/command/blocked_signals.h"

#include <csignal>

namespace nutmegarch::command::blocked_signals {

namespace {

sigset_t handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void block() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void unblock() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

int wait() {
  const sigset_t signals = handled_signals();
  int received = 0;
  sigwait(&signals, &received);
  return received;
}

}  // namespace nutmegarch::command::blocked_signals
