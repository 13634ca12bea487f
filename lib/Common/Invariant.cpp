#include "buckthornring/Common/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace buckthornring {

auto failInvariant(const char *Description, const char *File, int Line)
    -> void {
  std::fprintf(stderr, "[invariant] violated: %s (%s:%d)\n", Description, File,
               Line);
  std::abort();
}

} // namespace buckthornring
