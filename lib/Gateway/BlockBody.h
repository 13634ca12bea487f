#pragma once

#include "Memory/BlockBuffer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace buckthornring {

/// Body of Beast's parsers that is kept in blocks.
struct BlockBody {
  using value_type = BlockBuffer;

  static auto size(const value_type &Body) -> std::uint64_t {
    return Body.size();
  }

  // Beast requires this name.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body)
        : Body(Body) {}

    auto init(const boost::optional<std::uint64_t> &Length,
              boost::system::error_code &Failure) -> void {
      Failure = {};
      if (Length)
        Body.expect(static_cast<std::size_t>(*Length));
    }

    template <class Buffers>
    auto put(const Buffers &Input, boost::system::error_code &Failure)
        -> std::size_t {
      Failure = {};
      const std::size_t Before = Body.size();
      for (const auto Part : boost::beast::buffers_range_ref(Input))
        Body.append({static_cast<const char *>(Part.data()), Part.size()});
      return Body.size() - Before;
    }

    auto finish(boost::system::error_code &Failure) -> void { Failure = {}; }

  private:
    value_type &Body;
  };
};

/// Buffers to write from the front of \p Source: at most as many as one system
/// call takes.
inline auto writeBuffers(const BlockBuffer &Source)
    -> std::vector<boost::asio::const_buffer> {
  constexpr std::size_t MaxParts = 64;
  std::vector<boost::asio::const_buffer> Buffers;
  for (const std::string_view Part : Source.parts(MaxParts))
    Buffers.emplace_back(Part.data(), Part.size());
  return Buffers;
}

} // namespace buckthornring
