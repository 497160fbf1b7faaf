#pragma once

namespace nutmegarch::command {

/// Blocking of the signals that the program handles: SIGTERM and SIGINT request a planned stop, SIGHUP
/// requests a reload of the settings. The program blocks them at its very start, before any thread exists, so
/// that none of them takes its default action before it can be handled. Blocked signals stay pending until a
/// command waits for them or unblocks them.
namespace blocked_signals {

/// Blocks the signals in the calling thread and in the threads that it starts later.
void block();
/// Unblocks the signals in the calling thread. They take their default action, pending ones at once.
void unblock();
/// Blocks the calling thread until one of the signals arrives or is pending, and returns its number.
int wait();

}  // namespace blocked_signals

}  // namespace nutmegarch::command
