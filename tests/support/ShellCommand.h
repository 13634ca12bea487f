#pragma once

#include <string>

namespace buckthornring::test {

struct ShellResult {
  std::string Output; ///< Of standard output.
  int Status = -1;    ///< Exit status; -1: the command was ended by a signal.
};

/// Runs a command line in a shell.
auto runShell(const std::string &Command) -> ShellResult;

} // namespace buckthornring::test
