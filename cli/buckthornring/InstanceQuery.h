#pragma once

#include "CommandLine.h"
#include "CommandResult.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace buckthornring::cli {

/// A number with at most one decimal.
auto number(const nlohmann::json &Value) -> std::string;
/// A text without quotes, or any other value as JSON.
auto text(const nlohmann::json &Value) -> std::string;

/// Asks the instance that the command line names for \p Target and returns what
/// \p Show makes of its answer. Fails if the instance does not answer, answers
/// with an error, or answers something that Show cannot read.
auto askInstance(const CommandLine &Line, const std::string &Target,
                 const std::function<CommandResult(nlohmann::json)> &Show)
    -> CommandResult;

} // namespace buckthornring::cli
