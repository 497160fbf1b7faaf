#include "nutmegarch/node/memory_monitor.h"

#include <algorithm>

#include "nutmegarch/observe/log.h"

namespace nutmegarch::node {

namespace {

constexpr duration sample_interval = std::chrono::seconds(1);

}  // namespace

memory_usage memory_monitor::measure() const {
  memory_usage usage;
  usage.process = observe::read_process_memory();
  const http::server_buffers callers = callers_.buffers();
  const protocol::peer_queues peers = peers_.queues();
  usage.queues = {{"unfinished_request_bytes", callers.unfinished_request_bytes},
                  {"unwritten_answer_bytes", callers.unwritten_answer_bytes},
                  {"unfinished_answer_bytes", inbound_.unfinished_answer_bytes()},
                  {"peer_request_queue_bytes", peers.request_bytes},
                  {"peer_answer_queue_bytes", peers.answer_bytes},
                  {"peer_unfinished_bytes", peers.unfinished_bytes},
                  {"log_buffer_bytes", observe::waiting_log_bytes()}};
  const std::lock_guard<std::mutex> lock(state_.mutex);
  usage.queues.emplace_back("outbound_open_bytes", outbound_.size_in_bytes());
  usage.queues.emplace_back("inbound_open_bytes", inbound_.size_in_bytes());
  usage.queues.emplace_back("document_bytes", state_.documents.size_in_bytes());
  return usage;
}

void memory_monitor::on_tick(time_point now) {
  if (now < next_sample_) {
    return;
  }
  next_sample_ = now + sample_interval;
  report_closed_peers();
  const std::optional<observe::process_memory> memory = observe::read_process_memory();
  const std::optional<std::size_t> step = memory ? steps_.update(memory->resident_bytes) : std::nullopt;
  if (!step) {
    return;
  }
  const memory_usage usage = measure();
  const std::pair<std::string, std::size_t>& largest = *std::max_element(
      usage.queues.begin(), usage.queues.end(),
      [](const std::pair<std::string, std::size_t>& left, const std::pair<std::string, std::size_t>& right) {
        return left.second < right.second;
      });
  observe::log_fields fields = {{"step_bytes", std::to_string(*step)},
                                {"resident_bytes", std::to_string(memory->resident_bytes)},
                                {"peak_resident_bytes", std::to_string(memory->peak_bytes)},
                                {"largest", largest.first}};
  for (const std::pair<std::string, std::size_t>& queue : usage.queues) {
    fields.emplace_back(queue.first, std::to_string(queue.second));
  }
  observe::log_event(observe::log_level::warning, "memory-step", fields);
}

void memory_monitor::report_closed_peers() {
  const protocol::peer_queues queues = peers_.queues();
  if (queues.closed_for_size != reported_closed_peers_) {
    observe::log_event(observe::log_level::warning, "peer-messages-too-large",
                       {{"connections", std::to_string(queues.closed_for_size - reported_closed_peers_)}});
    reported_closed_peers_ = queues.closed_for_size;
  }
  if (queues.closed_for_answers != reported_slow_peers_) {
    observe::log_event(observe::log_level::warning, "peer-answers-not-taken",
                       {{"connections", std::to_string(queues.closed_for_answers - reported_slow_peers_)}});
    reported_slow_peers_ = queues.closed_for_answers;
  }
  if (queues.closed_as_silent != reported_silent_peers_) {
    observe::log_event(observe::log_level::warning, "peers-silent",
                       {{"connections", std::to_string(queues.closed_as_silent - reported_silent_peers_)}});
    reported_silent_peers_ = queues.closed_as_silent;
  }
}

}  // namespace nutmegarch::node
