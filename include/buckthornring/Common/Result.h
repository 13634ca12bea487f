#pragma once

#include "buckthornring/Common/Error.h"
#include "buckthornring/Common/Invariant.h"

#include <optional>
#include <utility>

namespace buckthornring {

/// Value of an operation, or the error that prevented it.
///
/// Reading the value of a failed result, or the error of a successful one,
/// aborts the process (see invariant()).
template <class T>
class [[nodiscard]] Result {
public:
  Result(T Value) : Value(std::move(Value)) {}
  Result(Error Reason) : Reason(std::move(Reason)) {}

  explicit operator bool() const { return Value.has_value(); }
  auto hasValue() const -> bool { return Value.has_value(); }

  auto value() const & -> const T & {
    invariant(Value.has_value(), "result holds a value");
    return *Value;
  }
  auto value() & -> T & {
    invariant(Value.has_value(), "result holds a value");
    return *Value;
  }
  auto value() && -> T && {
    invariant(Value.has_value(), "result holds a value");
    return std::move(*Value);
  }

  auto operator*() const & -> const T & { return value(); }
  auto operator*() & -> T & { return value(); }
  auto operator*() && -> T && { return std::move(*this).value(); }
  auto operator->() const -> const T * { return &value(); }
  auto operator->() -> T * { return &value(); }

  auto error() const -> const Error & {
    invariant(Reason.has_value(), "result holds an error");
    return *Reason;
  }

private:
  std::optional<T> Value;
  std::optional<Error> Reason;
};

} // namespace buckthornring
