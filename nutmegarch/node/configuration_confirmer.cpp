#include "nutmegarch/node/configuration_confirmer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "nutmegarch/membership/reader_choice.h"

namespace nutmegarch::node {

namespace {

/// How long the store waits for changes before it answers: not at all, as far as it can tell.
constexpr duration shortest_watch = std::chrono::milliseconds(1);

}  // namespace

configuration_confirmer::configuration_confirmer(node_state& state,
                                                 std::unique_ptr<membership::published_source> source,
                                                 item_handler accept)
    : state_(state), source_(std::move(source)), accept_(std::move(accept)) {}

void configuration_confirmer::set_hosts(const std::vector<membership::published_host>& hosts) {
  if (!state_.configuration_age.is_limited()) {
    return;
  }
  membership::host_list list;
  list.hosts = hosts;
  std::set<std::string> domains;
  for (const membership::published_host& host : hosts) {
    domains.insert(host.domain);
  }
  const std::vector<std::string> readers = membership::choose_readers(list, domains.size());
  near_readers_.clear();
  other_readers_.clear();
  bool is_reader = false;
  for (const membership::published_host& host : hosts) {
    if (std::count(readers.begin(), readers.end(), host.host) == 0) {
      continue;
    }
    if (host.host == state_.settings.identity.host) {
      is_reader = true;
    } else {
      const bool is_near = host.domain == state_.settings.identity.domain;
      (is_near ? near_readers_ : other_readers_).push_back(host.peer_address);
    }
  }
  state_.configuration_age.set_reader(is_reader);
}

std::string configuration_confirmer::on_tick(const membership::store_position& read_up_to,
                                             bool is_store_failing) {
  membership::store_position position = read_up_to;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    // Without organisations there are no keys to take away.
    if (!state_.routes || !state_.routes->has_organisations()) {
      return {};
    }
    // What an earlier answer has told is not read again.
    if (confirmed_up_to_.era == position.era) {
      position = std::max(position, confirmed_up_to_);
    }
    const bool can_ask_store = position.is_known() && !is_asking_store_ && !is_store_failing;
    switch (state_.configuration_age.next(!can_ask_store, state_.random, state_.clock.now())) {
      case membership::confirmation_source::none:
        return {};
      case membership::confirmation_source::peer:
        return choose_peer();
      case membership::confirmation_source::store:
        is_asking_store_ = true;
        break;
    }
  }
  ask_store(position);
  return {};
}

void configuration_confirmer::ask_store(const membership::store_position& position) {
  membership::store_request request;
  time_point asked{};
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    request.what = is_history_lost_ ? membership::store_request::kind::read_page
                                    : membership::store_request::kind::watch;
    request.about = membership::store_request::subject::configuration;
    request.request_id = ++last_request_;
    request.position = position;
    request.wait = shortest_watch;
    asked = state_.clock.now();
    state_.metrics.add("store_calls");
    state_.metrics.add("configuration_confirmations");
  }
  source_->send(request, [self = shared_from_this(), position,
                          asked](const result<membership::store_answer, membership::store_error>& outcome) {
    self->on_answer(position, asked, outcome);
  });
}

void configuration_confirmer::on_answer(
    const membership::store_position& asked_position, time_point asked,
    const result<membership::store_answer, membership::store_error>& outcome) {
  bool has_changed = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const std::uint64_t version = state_.configuration_version();
    apply_answer(asked_position, asked, outcome);
    has_changed = state_.configuration_version() != version;
  }
  if (has_changed && listener_) {
    listener_();
  }
}

void configuration_confirmer::apply_answer(
    const membership::store_position& asked_position, time_point asked,
    const result<membership::store_answer, membership::store_error>& outcome) {
  is_asking_store_ = false;
  if (!succeeded(outcome)) {
    state_.metrics.add("configuration_confirmations_failed");
    is_history_lost_ = std::get<membership::store_error>(outcome) == membership::store_error::history_lost;
    return;
  }
  const membership::store_answer& answer = std::get<membership::store_answer>(outcome);
  // Changes of another era don't continue those that this node has read.
  if (answer.position.era != asked_position.era) {
    return;
  }
  for (const membership::published_item& item : answer.items) {
    state_.metrics.add("confirmation_bytes", static_cast<double>(item.value.size()));
    if (source_->is_configuration(item.key) && (item.is_removed || !accept_(item))) {
      return;
    }
  }
  is_history_lost_ = false;
  confirmed_up_to_ = answer.position;
  state_.configuration_age.on_confirmed(asked);
}

std::string configuration_confirmer::choose_peer() {
  const std::vector<std::string>& readers = near_readers_.empty() ? other_readers_ : near_readers_;
  // Now and then another one, since the reader of this failure domain may be away.
  const bool asks_other = !other_readers_.empty() && state_.random.below(4) == 0;
  const std::vector<std::string>& chosen = asks_other ? other_readers_ : readers;
  return chosen.empty() ? std::string() : chosen.at(state_.random.below(chosen.size()));
}

}  // namespace nutmegarch::node
