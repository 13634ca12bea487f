#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring::cli {

/// Parsed command line.
struct CommandLine {
  std::string Command;
  std::vector<std::string> Arguments;
  std::string PlatformAddress; ///< Empty when not given.
  std::vector<std::string> AdminAddresses;
  Duration TimeLimit = std::chrono::seconds(2);
  Duration WaitLimit = Duration::zero();
  std::optional<std::uint64_t> IfGeneration;
  std::uint64_t MinGeneration = 0;
  std::string InstanceAddress; ///< Of the commands where and status.
  /// Of the command where.
  std::string Host;
  std::string Path;
  std::optional<std::string> Key;
  std::optional<std::string> CallerKey;
  std::optional<std::string> Workspace;
  bool Json = false;
  bool Help = false;
  bool Version = false;
  bool ConfirmLost = false;
  bool Reinstate = false;
};

/// Fails with a message about the first wrong option.
auto parseCommandLine(int Count, char **Arguments) -> Result<CommandLine>;

/// Returns the text of --help.
auto helpText() -> std::string;

} // namespace buckthornring::cli
