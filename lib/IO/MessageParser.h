#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <stdexcept>

namespace buckthornring {

/// Whether a message cannot be read for what it holds. Otherwise its connection
/// has failed or ended.
inline auto isUnreadable(const boost::system::error_code &Failure) -> bool {
  namespace http = boost::beast::http;
  static const auto &HttpCategory =
      make_error_code(http::error::bad_method).category();
  return Failure.category() == HttpCategory &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

/// Parser of a message from a peer that may be faulty. All readers of messages
/// use it, since Beast's own leaves some of what such a peer may send to its
/// caller.
///
/// Parses one part at a time: a head, the size of a chunk, data of a body, or
/// the last chunk with the fields behind it.
template <bool IsRequest, class Body>
class MessageParser : public boost::beast::http::parser<IsRequest, Body> {
  using Base = boost::beast::http::parser<IsRequest, Body>;

public:
  /// Largest size, in bytes, of a head, and of a chunk's head with the fields
  /// behind it. By default that of Beast.
  auto limitFields(std::uint32_t Bytes) -> void {
    Base::header_limit(Bytes);
    FieldLimit = Bytes;
  }

  /// Parses the next part in \p Input and removes it. \p Failure is need_more
  /// if more has to arrive before, and header_limit if the fields are too
  /// large.
  template <class Buffer>
  auto parsePart(Buffer &Input, boost::system::error_code &Failure) -> void {
    namespace http = boost::beast::http;
    const boost::asio::const_buffer Text = Input.cdata();
    Failure = {};
    if (Text.size() == 0 || mayBePartOfLastChunk(Text)) {
      Failure = http::error::need_more;
      return;
    }
    const bool InChunks = this->is_header_done() && this->chunked();
    std::size_t Parsed = 0;
    try {
      Parsed = Base::put(Text, Failure);
    } catch (const std::length_error &) {
      // Beast stores the sizes of names and values in 16 bits.
      Failure = http::error::header_limit;
      return;
    }
    Input.consume(Parsed);
    if (!InChunks)
      return;
    BodyBegun = BodyBegun || Parsed > 0;
    // Beast limits heads only.
    const bool Incomplete = Failure == http::error::need_more;
    if ((Incomplete && Input.size() > FieldLimit) ||
        (this->is_done() && Parsed > FieldLimit))
      Failure = http::error::header_limit;
  }

private:
  // All input has to pass parsePart(), part by part.
  using Base::eager;
  using Base::header_limit;
  using Base::put;

  /// Whether \p Text may be a part of a last chunk that is the only one, "0"
  /// and two line ends. Beast 1.81 takes "0" and one line end for its begin,
  /// and asserts that it is called again only with all of it. Behind another
  /// chunk the begin is longer by that one's line end.
  auto mayBePartOfLastChunk(boost::asio::const_buffer Text) const -> bool {
    constexpr std::size_t LastChunkBytes = 5;
    return this->is_header_done() && this->chunked() && !BodyBegun &&
           Text.size() < LastChunkBytes &&
           *static_cast<const char *>(Text.data()) == '0';
  }

  std::uint32_t FieldLimit = 8192;
  bool BodyBegun = false; ///< A part of a chunked body was parsed.
};

} // namespace buckthornring
