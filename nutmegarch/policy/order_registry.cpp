#include "nutmegarch/policy/order_registry.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace nutmegarch::policy {

namespace {

/// Maximum number of kinds of child orders per order.
constexpr std::size_t max_children = 16;

std::optional<std::uint64_t> parse_hex(const char* begin, const char* end) {
  std::uint64_t value = 0;
  const std::from_chars_result parsed = std::from_chars(begin, end, value, 16);
  const bool is_complete = parsed.ec == std::errc() && parsed.ptr == end && begin != end;
  return is_complete ? std::optional<std::uint64_t>(value) : std::nullopt;
}

}  // namespace

order_registry::order_registry(std::uint64_t incarnation, const order_settings& settings)
    : incarnation_(incarnation), settings_(settings), slots_(settings.capacity) {}

result<order_ticket, ticket_error> order_registry::issue(time_point now) {
  remove_expired(now);
  if (next_sequence_ - oldest_sequence_ >= slots_.size()) {
    return ticket_error::full;
  }
  const order_ticket ticket{incarnation_, next_sequence_};
  slot& reserved = slots_.at(next_sequence_ % slots_.size());
  reserved = slot{};
  reserved.sequence = next_sequence_;
  reserved.expires = now + settings_.lifetime;
  ++next_sequence_;
  return ticket;
}

order_decision order_registry::on_arrival(const order_ticket& ticket, time_point now) {
  if (ticket.incarnation != incarnation_ || ticket.sequence == 0 || ticket.sequence >= next_sequence_) {
    return {order_decision::kind::invalid_ticket, call_reason::ticket_foreign, std::nullopt};
  }
  slot* const found = find(ticket, now);
  if (found == nullptr) {
    return {order_decision::kind::invalid_ticket, call_reason::ticket_expired, std::nullopt};
  }
  switch (found->state) {
    case ticket_state::issued:
      found->state = ticket_state::running;
      return {order_decision::kind::run, call_reason::none, std::nullopt};
    case ticket_state::running:
      return {order_decision::kind::wait, call_reason::none, std::nullopt};
    case ticket_state::answered:
      return {order_decision::kind::answered, call_reason::none, found->answer};
    case ticket_state::unknown:
      return {order_decision::kind::unknown, call_reason::connection_lost, std::nullopt};
    case ticket_state::sealed:
      break;
  }
  return {order_decision::kind::sealed, call_reason::ticket_sealed, std::nullopt};
}

bool order_registry::seal(const order_ticket& ticket, time_point now) {
  slot* const found = find(ticket, now);
  if (found == nullptr) {
    return false;
  }
  if (found->state == ticket_state::issued || found->state == ticket_state::running) {
    found->state = ticket_state::sealed;
  }
  return found->state == ticket_state::sealed;
}

void order_registry::set_answer(const order_ticket& ticket, stored_answer answer, time_point now) {
  slot* const found = find(ticket, now);
  if (found == nullptr || found->state != ticket_state::running) {
    return;
  }
  found->state = ticket_state::answered;
  const bool fits = answer.body.size() <= settings_.max_answer_bytes &&
                    stored_bytes_ + answer.body.size() <= settings_.max_total_answer_bytes;
  if (!fits) {
    answer.body.clear();
    answer.body_dropped = true;
  }
  stored_bytes_ += answer.body.size();
  found->answer = std::move(answer);
}

void order_registry::set_unknown(const order_ticket& ticket, time_point now) {
  slot* const found = find(ticket, now);
  if (found != nullptr && found->state == ticket_state::running) {
    found->state = ticket_state::unknown;
  }
}

std::optional<order_ticket> order_registry::child_ticket(const order_ticket& parent, std::uint64_t child_key,
                                                         const std::optional<order_ticket>& fetched_ticket,
                                                         time_point now) {
  slot* const found = find(parent, now);
  if (found == nullptr) {
    return std::nullopt;
  }
  for (const child_entry& existing : found->children) {
    if (existing.key == child_key) {
      return existing.ticket;
    }
  }
  if (!fetched_ticket || found->children.size() >= max_children) {
    return std::nullopt;
  }
  found->children.push_back({child_key, *fetched_ticket});
  return fetched_ticket;
}

std::size_t order_registry::live_tickets(time_point now) {
  remove_expired(now);
  return static_cast<std::size_t>(next_sequence_ - oldest_sequence_);
}

order_registry::slot* order_registry::find(const order_ticket& ticket, time_point now) {
  remove_expired(now);
  if (ticket.incarnation != incarnation_ || ticket.sequence < oldest_sequence_ ||
      ticket.sequence >= next_sequence_) {
    return nullptr;
  }
  return &slots_.at(ticket.sequence % slots_.size());
}

void order_registry::remove_expired(time_point now) {
  while (oldest_sequence_ < next_sequence_) {
    slot& oldest = slots_.at(oldest_sequence_ % slots_.size());
    if (now < oldest.expires) {
      return;
    }
    stored_bytes_ -= oldest.answer.body.size();
    oldest = slot{};
    ++oldest_sequence_;
  }
}

std::string to_text(const order_ticket& ticket) {
  std::array<char, 40> text{};
  const int length = std::snprintf(text.data(), text.size(), "%016llx-%llx",
                                   static_cast<unsigned long long>(ticket.incarnation),
                                   static_cast<unsigned long long>(ticket.sequence));
  return {text.data(), static_cast<std::size_t>(length)};
}

std::optional<order_ticket> parse_ticket(const std::string& text) {
  const std::size_t dash = text.find('-');
  if (dash == std::string::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> incarnation = parse_hex(text.data(), text.data() + dash);
  const std::optional<std::uint64_t> sequence = parse_hex(text.data() + dash + 1, text.data() + text.size());
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  return order_ticket{*incarnation, *sequence};
}

}  // namespace nutmegarch::policy
