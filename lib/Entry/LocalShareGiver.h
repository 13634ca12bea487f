#pragma once

#include "Entry/ShareChannel.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Limits/ShareLedger.h"

#include <functional>
#include <map>
#include <string>

namespace buckthornring {

/// Gives the whole rate of each workspace to the traffic threads of this one
/// process. Correct only while the instance is the only one; with several, the
/// leader of the data centre gives.
///
/// Lives on the control thread; handle() is to be called there.
class LocalShareGiver {
public:
  /// Called with the answers.
  using Answer = std::function<void(
      std::size_t Thread, const std::string &Quantity, const ShareGrant &)>;

  /// Term of all its grants: a process has only one local giver.
  static constexpr std::uint64_t Term = 1;

  explicit LocalShareGiver(Answer Reply) : Reply(std::move(Reply)) {}

  auto setConfiguration(const Configuration &Config, TimePoint Now) -> void;
  auto handle(std::size_t Thread, const std::string &Quantity,
              const ShareRequest &Request, TimePoint Now) -> void;
  auto expire(TimePoint Now) -> void;

private:
  Answer Reply;
  std::map<std::string, ShareLedger> Ledgers;
};

} // namespace buckthornring
