#pragma once

#include <array>
#include <functional>
#include <memory>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "nutmegarch/policy/inbound_call.h"

namespace nutmegarch::policy {

/// Calls that wait for a slot, ordered by queue priority. Implementations differ in the order within one
/// priority. The queue holds one reference to each of its calls. Not thread-safe.
class wait_queue {
 public:
  wait_queue() = default;
  wait_queue(const wait_queue&) = delete;
  wait_queue& operator=(const wait_queue&) = delete;
  virtual ~wait_queue();

  /// Adds a call, which must not be in any queue.
  void push(const inbound_call_ptr& call);

  /// Removes and returns the call to run next; null when the queue is empty.
  inbound_call_ptr pop();

  /// Queue priority of the call that pop() would return. The queue must not be empty.
  int next_priority() const;

  /// Removes and returns the least important call, by queue priority and then by shed rank; null when none is
  /// less important than `call`.
  inbound_call_ptr evict_for(const inbound_call& call);

  /// Removes a call, which must be in this queue.
  void remove(inbound_call& call);

  /// Moves every call that meets `condition` to the end of `taken`.
  void take_if(const std::function<bool(const inbound_call&)>& condition,
               std::vector<inbound_call_ptr>& taken);

  /// Sets whether the node is overloaded: its number of waiting calls is at the threshold of a standing
  /// queue.
  void set_overloaded(bool overloaded) { overloaded_ = overloaded; }

  int size() const { return size_; }
  bool empty() const { return size_ == 0; }

  /// Number of waiting calls with a queue priority of at most `priority`.
  int size_up_to(int priority) const;

 protected:
  using call_list = boost::intrusive::list<inbound_call, boost::intrusive::constant_time_size<true>>;

  /// Inserts a call into the list of its queue priority.
  virtual void insert(call_list& list, inbound_call& call) = 0;
  /// The call of a list, which is not empty, to run next.
  virtual inbound_call& next(call_list& list) = 0;

  bool overloaded() const { return overloaded_; }

 private:
  inbound_call_ptr take(call_list& list, inbound_call& call);

  std::array<call_list, queue_priority_count> lists_;
  int size_ = 0;
  bool overloaded_ = false;
};

/// First come, first served within a queue priority.
class fifo_queue final : public wait_queue {
 protected:
  void insert(call_list& list, inbound_call& call) override;
  inbound_call& next(call_list& list) override;
};

/// Earliest deadline first within a queue priority.
class deadline_queue final : public wait_queue {
 protected:
  void insert(call_list& list, inbound_call& call) override;
  inbound_call& next(call_list& list) override;
};

/// First come, first served within a queue priority. Under overload the last priority is served newest first.
class adaptive_lifo_queue final : public wait_queue {
 protected:
  void insert(call_list& list, inbound_call& call) override;
  inbound_call& next(call_list& list) override;
};

/// Queue discipline of a receiver.
enum class queue_kind : std::uint8_t { fifo, deadline, adaptive_lifo };

/// Makes a queue of the given kind.
std::unique_ptr<wait_queue> make_wait_queue(queue_kind kind);

}  // namespace nutmegarch::policy
