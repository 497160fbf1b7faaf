#pragma once

#include <variant>

namespace nutmegarch {

/// Either a value or an error of the layer that returns it. Each layer has its own error type.
template <typename Value, typename Error>
using result = std::variant<Value, Error>;

/// True when a result holds its value.
template <typename Value, typename Error>
bool succeeded(const result<Value, Error>& outcome) {
  return std::holds_alternative<Value>(outcome);
}

}  // namespace nutmegarch
