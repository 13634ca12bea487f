#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Link/LinkMessage.h"

#include <cstdint>
#include <span>
#include <vector>

namespace buckthornring {

/// CBOR encoding of the link messages: an array [type index, [fields...]].
class LinkCodec {
public:
  static auto encode(const LinkMessage &Message) -> std::vector<std::uint8_t>;

  /// Fails on input that encode() does not produce.
  static auto decode(std::span<const std::uint8_t> Bytes)
      -> Result<LinkMessage>;
};

} // namespace buckthornring
