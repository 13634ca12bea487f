#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <string_view>
#include <utility>

namespace buckthornring {

/// Input buffer for Beast's response parsers that finds folded lines.
///
/// The parsers append a line that begins with a blank to the value of the field
/// before it. It may be a field whose name begins with a blank, which another
/// reader takes for a length or an encoding. A gateway may discard such a
/// response (RFC 9112, section 5.2).
class ResponseBuffer : public boost::beast::flat_buffer {
public:
  using basic_flat_buffer::basic_flat_buffer;

  /// Hides that of the base: read operations pass the number of bytes that
  /// they have parsed. Parsers that are not eager parse a head, and the fields
  /// after a body, as a whole.
  auto consume(std::size_t Count) -> void {
    FoldedLine =
        FoldedLine ||
        hasFoldedLine({static_cast<const char *>(cdata().data()), Count});
    basic_flat_buffer::consume(Count);
  }

  /// Whether a line of what was consumed since the last call begins with a
  /// blank. Lines of bodies may.
  auto takeFoldedLine() -> bool { return std::exchange(FoldedLine, false); }

private:
  static auto hasFoldedLine(std::string_view Text) -> bool {
    for (auto End = Text.find('\n'); End != std::string_view::npos;
         End = Text.find('\n', End + 1)) {
      const char Next = End + 1 < Text.size() ? Text[End + 1] : '\0';
      if (Next == ' ' || Next == '\t')
        return true;
    }
    return false;
  }

  bool FoldedLine = false;
};

} // namespace buckthornring
