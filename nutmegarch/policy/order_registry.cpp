#include "nutmegarch/policy/order_registry.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace nutmegarch::policy {

namespace {

/// Most kinds of child orders that one order may make.
constexpr std::size_t most_children = 16;

std::optional<std::uint64_t> parse_hex(const char* begin, const char* end) {
  std::uint64_t value = 0;
  const std::from_chars_result parsed = std::from_chars(begin, end, value, 16);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end && begin != end;
  return whole ? std::optional<std::uint64_t>(value) : std::nullopt;
}

}  // namespace

order_registry::order_registry(std::uint64_t incarnation, const order_settings& settings)
    : incarnation_(incarnation), settings_(settings), slots_(settings.capacity) {}

result<order_ticket, ticket_error> order_registry::issue(time_point now) {
  forget_expired(now);
  if (next_ - oldest_ >= slots_.size()) {
    return ticket_error::full;
  }
  const order_ticket ticket{incarnation_, next_};
  slot& reserved = slots_.at(next_ % slots_.size());
  reserved = slot{};
  reserved.sequence = next_;
  reserved.expires = now + settings_.lifetime;
  ++next_;
  return ticket;
}

order_verdict order_registry::arrive(const order_ticket& ticket, time_point now) {
  if (ticket.incarnation != incarnation_ || ticket.sequence == 0 || ticket.sequence >= next_) {
    return {order_verdict::kind::not_ours, call_reason::ticket_foreign, std::nullopt};
  }
  slot* const known = find(ticket, now);
  if (known == nullptr) {
    return {order_verdict::kind::not_ours, call_reason::ticket_expired, std::nullopt};
  }
  switch (known->now) {
    case state::issued:
      known->now = state::running;
      return {order_verdict::kind::run, call_reason::none, std::nullopt};
    case state::running:
      return {order_verdict::kind::wait, call_reason::none, std::nullopt};
    case state::answered:
      return {order_verdict::kind::answered, call_reason::none, known->answer};
    case state::unknown:
      return {order_verdict::kind::unknown, call_reason::connection_lost, std::nullopt};
    case state::sealed:
      break;
  }
  return {order_verdict::kind::sealed, call_reason::ticket_sealed, std::nullopt};
}

bool order_registry::seal(const order_ticket& ticket, time_point now) {
  slot* const known = find(ticket, now);
  if (known == nullptr) {
    return false;
  }
  if (known->now == state::issued || known->now == state::running) {
    known->now = state::sealed;
  }
  return known->now == state::sealed;
}

void order_registry::set_answer(const order_ticket& ticket, kept_answer answer, time_point now) {
  slot* const known = find(ticket, now);
  if (known == nullptr || known->now != state::running) {
    return;
  }
  known->now = state::answered;
  const bool fits = answer.body.size() <= settings_.most_answer_bytes &&
                    kept_bytes_ + answer.body.size() <= settings_.most_total_bytes;
  if (!fits) {
    answer.body.clear();
    answer.body_dropped = true;
  }
  kept_bytes_ += answer.body.size();
  known->answer = std::move(answer);
}

void order_registry::set_unknown(const order_ticket& ticket, time_point now) {
  slot* const known = find(ticket, now);
  if (known != nullptr && known->now == state::running) {
    known->now = state::unknown;
  }
}

std::optional<order_ticket> order_registry::child_ticket(const order_ticket& parent, std::uint64_t child,
                                                         const std::optional<order_ticket>& fetched,
                                                         time_point now) {
  slot* const known = find(parent, now);
  if (known == nullptr) {
    return std::nullopt;
  }
  for (const child_entry& made : known->children) {
    if (made.key == child) {
      return made.ticket;
    }
  }
  if (!fetched || known->children.size() >= most_children) {
    return std::nullopt;
  }
  known->children.push_back({child, *fetched});
  return fetched;
}

std::size_t order_registry::live(time_point now) {
  forget_expired(now);
  return static_cast<std::size_t>(next_ - oldest_);
}

order_registry::slot* order_registry::find(const order_ticket& ticket, time_point now) {
  forget_expired(now);
  if (ticket.incarnation != incarnation_ || ticket.sequence < oldest_ || ticket.sequence >= next_) {
    return nullptr;
  }
  return &slots_.at(ticket.sequence % slots_.size());
}

void order_registry::forget_expired(time_point now) {
  while (oldest_ < next_) {
    slot& oldest = slots_.at(oldest_ % slots_.size());
    if (now < oldest.expires) {
      return;
    }
    kept_bytes_ -= oldest.answer.body.size();
    oldest = slot{};
    ++oldest_;
  }
}

std::string to_text(const order_ticket& ticket) {
  std::array<char, 40> text{};
  const int length = std::snprintf(text.data(), text.size(), "%016llx-%llx",
                                   static_cast<unsigned long long>(ticket.incarnation),
                                   static_cast<unsigned long long>(ticket.sequence));
  return {text.data(), static_cast<std::size_t>(length)};
}

std::optional<order_ticket> ticket_of(const std::string& text) {
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
