#pragma once

#include <variant>

namespace nutmegarch {

/// Either a value or an error. Each layer has its own error type.
template <typename Value, typename Error>
using result = std::variant<Value, Error>;

/// True when a result holds a value, not an error.
template <typename Value, typename Error>
bool succeeded(const result<Value, Error>& outcome) {
  return std::holds_alternative<Value>(outcome);
}

}  // namespace nutmegarch
