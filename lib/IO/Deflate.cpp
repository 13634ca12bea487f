#include "IO/Deflate.h"

#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <zlib.h>

namespace buckthornring {

namespace {

/// First guess of the size of the text: InitialFactor times the compressed
/// size, and at least MinInitialSize.
constexpr std::size_t InitialFactor = 8;
constexpr std::size_t MinInitialSize = 64;

auto asBytes(std::string_view Text) -> const Bytef * {
  return reinterpret_cast<const Bytef *>(Text.data());
}

auto asBytes(std::string &Text) -> Bytef * {
  return reinterpret_cast<Bytef *>(Text.data());
}

} // namespace

auto deflateText(std::string_view Text) -> std::string {
  std::string Out(compressBound(Text.size()), '\0');
  uLongf Length = Out.size();
  const int Code = compress2(asBytes(Out), &Length, asBytes(Text), Text.size(),
                             Z_BEST_SPEED);
  invariant(Code == Z_OK, "text was compressed");
  Out.resize(Length);
  return Out;
}

auto inflateText(std::string_view Bytes, std::size_t MaxBytes)
    -> Result<std::string> {
  std::string Out;
  std::size_t Size =
      std::min(MaxBytes, MinInitialSize + InitialFactor * Bytes.size());
  while (true) {
    Out.resize(Size);
    uLongf Length = Size;
    const int Code =
        uncompress(asBytes(Out), &Length, asBytes(Bytes), Bytes.size());
    if (Code == Z_OK) {
      Out.resize(Length);
      return Out;
    }
    if (Code != Z_BUF_ERROR)
      return Error("malformed compressed text");
    if (Size == MaxBytes)
      return Error("compressed text is cut off or too long");
    Size = std::min(MaxBytes, 2 * Size);
  }
}

} // namespace buckthornring
