#pragma once

namespace buckthornring {

/// Prints the violated invariant and its location, and aborts the process.
[[noreturn]] auto failInvariant(const char *Description, const char *File,
                                int Line) -> void;

/// Aborts the process when \p Holds is false. Active in every build type.
///
/// Compiler built-ins give the location of the caller, since the linter's
/// compiler (clang 14) does not support std::source_location.
inline auto invariant(bool Holds, const char *Description,
                      const char *File = __builtin_FILE(),
                      int Line = __builtin_LINE()) -> void {
  if (!Holds) [[unlikely]]
    failInvariant(Description, File, Line);
}

} // namespace buckthornring
