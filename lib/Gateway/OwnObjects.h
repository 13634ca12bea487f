#pragma once

#include "Gateway/ObjectSchema.h"

#include <string>

namespace buckthornring {

/// Adds the router's own objects, which are of kind \p Kind.
auto addOwnObjects(ObjectSchema &Schema, const std::string &Kind) -> void;

} // namespace buckthornring
