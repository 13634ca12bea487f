#pragma once

#include <string>
#include <utility>

namespace buckthornring {

/// Why an operation failed, in one short sentence for logs and callers.
class Error {
public:
  explicit Error(std::string Message) : Message(std::move(Message)) {}

  auto message() const -> const std::string & { return Message; }

private:
  std::string Message;
};

} // namespace buckthornring
