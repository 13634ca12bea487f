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
  Rejected = 6,    ///< The platform holds or accepts no usable value.
  Different = 7,   ///< The state found is not the one asked about.
};

/// What a command found or did, in both output forms.
struct CommandResult {
  ExitCode Code = ExitCode::Done;
  std::string Result;             ///< One word, "applied".
  std::vector<std::string> Lines; ///< Plain output.
  nlohmann::json Details = nlohmann::json::object();
  std::vector<SettingsError> Errors;
  std::string Message; ///< Why it failed, when there are no Errors.

  /// A failure with one message.
  static auto failure(ExitCode Code, std::string Result, std::string Message)
      -> CommandResult;
  /// Invalid input.
  static auto invalid(std::vector<SettingsError> Errors) -> CommandResult;
};

/// Writes the result to standard output, errors of the plain form to standard
/// error, and returns the process's exit code.
auto printResult(const std::string &Command, const CommandResult &Result,
                 bool AsJson) -> int;

} // namespace buckthornring::cli
