#include "nutmegarch/policy/wait_queue.h"

#include <cassert>

namespace nutmegarch::policy {

wait_queue::~wait_queue() {
  for (call_list& list : lists_) {
    list.clear_and_dispose([](inbound_call* call) { intrusive_ptr_release(call); });
  }
}

void wait_queue::push(const inbound_call_ptr& call) {
  assert(!call->is_linked());
  intrusive_ptr_add_ref(call.get());
  insert(lists_.at(static_cast<std::size_t>(call->queue_priority)), *call);
  ++size_;
}

inbound_call_ptr wait_queue::pop() {
  for (call_list& list : lists_) {
    if (!list.empty()) {
      return take(list, next(list));
    }
  }
  return nullptr;
}

int wait_queue::next_priority() const {
  for (int i = 0; i < queue_priority_count; ++i) {
    if (!lists_.at(static_cast<std::size_t>(i)).empty()) {
      return i;
    }
  }
  assert(false);
  return queue_priority_count - 1;
}

inbound_call_ptr wait_queue::evict_for(const inbound_call& call) {
  for (int i = queue_priority_count - 1; i >= call.queue_priority; --i) {
    call_list& list = lists_.at(static_cast<std::size_t>(i));
    if (list.empty()) {
      continue;
    }

    // Find the call with the highest shed rank in the last priority that has calls.
    inbound_call* least_important = &list.back();
    for (inbound_call& waiting : list) {
      if (waiting.context.shed_rank > least_important->context.shed_rank) {
        least_important = &waiting;
      }
    }
    const bool is_less_important = least_important->queue_priority > call.queue_priority ||
                                   least_important->context.shed_rank > call.context.shed_rank;
    return is_less_important ? take(list, *least_important) : nullptr;
  }
  return nullptr;
}

void wait_queue::remove(inbound_call& call) {
  take(lists_.at(static_cast<std::size_t>(call.queue_priority)), call);
}

void wait_queue::take_if(const std::function<bool(const inbound_call&)>& condition,
                         std::vector<inbound_call_ptr>& taken) {
  for (call_list& list : lists_) {
    for (auto it = list.begin(); it != list.end();) {
      inbound_call& call = *it;
      ++it;
      if (condition(call)) {
        taken.push_back(take(list, call));
      }
    }
  }
}

int wait_queue::size_up_to(int priority) const {
  std::size_t count = 0;
  for (int i = 0; i <= priority; ++i) {
    count += lists_.at(static_cast<std::size_t>(i)).size();
  }
  return static_cast<int>(count);
}

inbound_call_ptr wait_queue::take(call_list& list, inbound_call& call) {
  list.erase(list.iterator_to(call));
  --size_;
  // The reference that the queue held passes to the result.
  return {&call, false};
}

void fifo_queue::insert(call_list& list, inbound_call& call) { list.push_back(call); }

inbound_call& fifo_queue::next(call_list& list) { return list.front(); }

void deadline_queue::insert(call_list& list, inbound_call& call) {
  // Search from the back: a new call mostly has the latest deadline.
  auto it = list.end();
  while (it != list.begin()) {
    auto before = std::prev(it);
    if (before->deadline <= call.deadline) {
      break;
    }
    it = before;
  }
  list.insert(it, call);
}

inbound_call& deadline_queue::next(call_list& list) { return list.front(); }

void adaptive_lifo_queue::insert(call_list& list, inbound_call& call) { list.push_back(call); }

inbound_call& adaptive_lifo_queue::next(call_list& list) {
  const bool newest_first = overloaded() && list.front().queue_priority == queue_priority_count - 1;
  return newest_first ? list.back() : list.front();
}

std::unique_ptr<wait_queue> make_wait_queue(queue_kind kind) {
  switch (kind) {
    case queue_kind::fifo:
      return std::make_unique<fifo_queue>();
    case queue_kind::deadline:
      return std::make_unique<deadline_queue>();
    case queue_kind::adaptive_lifo:
      break;
  }
  return std::make_unique<adaptive_lifo_queue>();
}

}  // namespace nutmegarch::policy
