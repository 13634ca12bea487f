#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Who runs at the other end of a link.
struct PeerIdentity {
  /// Names one process start: the instance's name, '#' and a random suffix.
  InstanceId Process;
  DataCentreId DataCentre;
  std::string FailureDomain;
  std::string CallerAddress; ///< IP address and port for callers.

  friend auto operator==(const PeerIdentity &, const PeerIdentity &)
      -> bool = default;
};

/// Outer form of every message on a link. CBOR: [process, payload], or
/// [process, data centre, failure domain, caller address] for an introduction.
struct PeerEnvelope {
  enum class Kind { Introduction, Message };

  Kind Content = Kind::Message;
  PeerIdentity Sender; ///< Only Process is set in a message.
  std::vector<std::uint8_t> Payload;

  auto encode() const -> std::string;

  /// Fails on anything that encode() does not produce.
  static auto decode(std::string_view Bytes) -> Result<PeerEnvelope>;
};

} // namespace buckthornring
