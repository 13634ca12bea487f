#pragma once

#include "CommandLine.h"
#include "CommandResult.h"
#include "PlatformSession.h"

namespace buckthornring::cli {

/// Commands that do not use the platform.
auto checkCommand(const CommandLine &Line) -> CommandResult;
auto whyCommand(const CommandLine &Line) -> CommandResult;
auto explainCommand(const CommandLine &Line) -> CommandResult;
auto whereCommand(const CommandLine &Line) -> CommandResult;
/// The command status with --instance.
auto instanceStatusCommand(const CommandLine &Line) -> CommandResult;
auto rolloutCommand(const CommandLine &Line) -> CommandResult;

/// Commands that use the platform.
auto diffCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto applyCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto withdrawKeyCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto takeOutCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto bringBackCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto drainCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto statusCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;
auto ownerCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult;

/// Returns the failure to report for a read of "config/current", or nothing
/// when the read succeeded or the object is absent.
auto readFailure(const CurrentConfig &Current) -> std::optional<CommandResult>;

} // namespace buckthornring::cli
