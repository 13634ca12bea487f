#pragma once

#include <string>
#include <utility>

namespace buckthornring {

/// Reason of a failed operation, one short sentence for logs and callers.
class Error {
public:
  explicit Error(std::string Message) : Message(std::move(Message)) {}

  auto message() const -> const std::string & { return Message; }

private:
  std::string Message;
};

} // namespace buckthornring
