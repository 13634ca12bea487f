#pragma once

#include "buckthornring/Common/Result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornring {

/// Compresses to the zlib format, the content coding "deflate" of HTTP.
auto deflateText(std::string_view Text) -> std::string;

/// Reverses deflateText. Fails when the bytes are malformed or stand for more
/// than \p MaxBytes.
auto inflateText(std::string_view Bytes, std::size_t MaxBytes)
    -> Result<std::string>;

} // namespace buckthornring
