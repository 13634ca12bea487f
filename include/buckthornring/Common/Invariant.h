#pragma once

namespace buckthornring {

/// Prints the broken invariant with its place and aborts the process.
[[noreturn]] auto failInvariant(const char *Description, const char *File,
                                int Line) -> void;

/// Stops the process when \p Holds is false. Active in every build type.
///
/// The compiler built-ins give the place of the caller; std::source_location
/// is not understood by the linter's compiler (clang 14).
inline auto invariant(bool Holds, const char *Description,
                      const char *File = __builtin_FILE(),
                      int Line = __builtin_LINE()) -> void {
  if (!Holds) [[unlikely]]
    failInvariant(Description, File, Line);
}

} // namespace buckthornring
