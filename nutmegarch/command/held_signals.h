#pragma once

namespace nutmegarch::command {

/// Signals that ask for something: SIGTERM and SIGINT for a planned stop, SIGHUP for a reload. The program
/// holds them back from its first moment on, before any thread starts, so that none has its default action
/// before it can be handled. They stay pending until a command waits for them or releases them.
namespace held_signals {

/// Holds them back in this thread and those that it starts.
void hold();
/// Gives them their default action again, those that are pending included.
void release();
/// Waits for the next one, and returns its number.
int wait();

}  // namespace held_signals

}  // namespace nutmegarch::command
