#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Config/SettingsError.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace buckthornring::cli {

/// Exit codes of the command; documented in --help.
enum class ExitCode {
  Done = 0,
  Invalid = 1,     ///< The input is not valid; nothing was changed.
  Usage = 2,       ///< The command line is wrong.
  Conflict = 3,    ///< Another update won; nothing was changed.
  Unreachable = 4, ///< No answer; nothing was changed.
  Unknown = 5,     ///< No answer; the change may be in effect.
  Rejected = 6,    ///< The platform refused the value or holds a bad one.
  Different = 7,   ///< The state differs from the one asked about.
};

/// Result of a command, for plain and JSON output.
struct CommandResult {
  ExitCode Code = ExitCode::Done;
  std::string Result;             ///< One word, such as "applied".
  std::vector<std::string> Lines; ///< Plain output.
  nlohmann::json Details = nlohmann::json::object();
  std::vector<SettingsError> Errors;
  std::string Message; ///< Why it failed, when there are no Errors.

  /// A failure with one message.
  static auto failure(ExitCode Code, std::string Result, std::string Message)
      -> CommandResult;
  static auto invalid(std::vector<SettingsError> Errors) -> CommandResult;
};

/// Prints the result and returns the exit code of the process. Plain output
/// goes to standard output and its errors to standard error; JSON output goes
/// to standard output only.
auto printResult(const std::string &Command, const CommandResult &Result,
                 bool AsJson) -> int;

} // namespace buckthornring::cli
