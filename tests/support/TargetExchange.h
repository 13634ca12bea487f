#pragma once

#include "Gateway/TargetConnection.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthornring::test {

/// What a target does with its connection after a response.
enum class AfterResponse { Close, Reset, StayOpen };

/// Sends a request with the id "a1" on a TargetConnection, to a target that
/// sends \p Parts one after the other. Returns the result of the exchange, or
/// nothing if it does not end within 2 s.
auto exchangeWithTarget(const std::vector<std::string> &Parts,
                        AfterResponse After, bool HeadOnly = false)
    -> std::optional<ExchangeResult>;

} // namespace buckthornring::test
