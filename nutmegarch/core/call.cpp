#include "nutmegarch/core/call.h"

#include <array>

#include "nutmegarch/core/hash.h"

namespace nutmegarch {

namespace {

constexpr std::array<const char*, call_class_count> class_names = {"order", "important", "browse"};

}  // namespace

std::uint8_t shed_rank_of(const request_id& id) {
  return static_cast<std::uint8_t>(hash_number(id.low, id.high) % shed_rank_count);
}

const char* name_of(call_class cls) { return class_names.at(static_cast<std::size_t>(cls)); }

const char* name_of(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::ok:
      return "ok";
    case call_outcome::not_run:
      return "not-run";
    case call_outcome::unknown:
      return "unknown";
    case call_outcome::failed:
      return "failed";
  }
  return "unknown";
}

const char* name_of(call_reason reason) {
  constexpr std::array<const char*, static_cast<std::size_t>(last_call_reason) + 1> names = {
      "none",
      "shed-level",
      "shed-rule",
      "rate-rule",
      "concurrency-rule",
      "queue-full",
      "deadline",
      "leaving",
      "no-target",
      "retry-budget",
      "quarantined",
      "connection-lost",
      "cancelled",
      "ticket-required",
      "ticket-foreign",
      "ticket-expired",
      "ticket-sealed",
      "registry-full",
      "revalidating",
      "target-error",
      "too-large",
      "not-configured",
      "no-route",
      "malformed",
      "target-refused",
      "other-instance",
      "target-limit",
      "unknown-key",
      "unconfirmed-key",
      "over-allowance",
      "unknown-allowance"};
  return names.at(static_cast<std::size_t>(reason));
}

std::optional<call_class> call_class_of(const std::string& name) {
  for (std::size_t i = 0; i < class_names.size(); ++i) {
    if (name == class_names.at(i)) {
      return static_cast<call_class>(i);
    }
  }
  return std::nullopt;
}

}  // namespace nutmegarch
