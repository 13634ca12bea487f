#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Link/LinkMessage.h"

#include <cstdint>
#include <span>
#include <vector>

namespace buckthornring {

/// CBOR form of the link messages: an array [type index, fields...].
class LinkCodec {
public:
  static auto encode(const LinkMessage &Message) -> std::vector<std::uint8_t>;

  /// Fails on anything that encode() does not produce, naming the reason.
  static auto decode(std::span<const std::uint8_t> Bytes)
      -> Result<LinkMessage>;
};

} // namespace buckthornring
