#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Config/DaemonSettings.h"

#include <memory>
#include <string>

namespace boost::asio::ssl {
class context;
}

namespace buckthornring {

/// Which side of a connection a context serves.
enum class TlsRole { Listener, Connector };

/// TLS settings of one address. They can be reloaded without a restart when
/// their files change.
///
/// A connection keeps the context it was opened with, so a reload affects new
/// connections only. TLS 1.2 and 1.3 are offered.
class TlsContext {
public:
  /// Reads the files. A listener with an authority file accepts only peers with
  /// a certificate signed by it; without one it requests no certificate. A
  /// connector always verifies the listener and needs the authority file.
  ///
  /// Fails when a file cannot be read, is not PEM, is encrypted with a
  /// password, or when certificate and key do not match.
  static auto create(TlsFiles Files, TlsRole Role)
      -> Result<std::unique_ptr<TlsContext>>;

  /// Reads the files again. Returns true if they changed and are used from now
  /// on, false if they are unchanged. On failure the previous context stays in
  /// use; a later call succeeds once all files match, so files may be replaced
  /// one after another.
  auto reload() -> Result<bool>;

  /// Returns the context for new connections.
  auto current() const -> std::shared_ptr<boost::asio::ssl::context> {
    return Current;
  }

private:
  struct FileContents {
    std::string Certificate;
    std::string Key;
    std::string Authority;

    friend auto operator==(const FileContents &, const FileContents &)
        -> bool = default;
  };

  TlsContext(TlsFiles Files, TlsRole Role);

  auto readFiles() const -> Result<FileContents>;
  auto build(const FileContents &Contents) const
      -> Result<std::shared_ptr<boost::asio::ssl::context>>;

  TlsFiles Files;
  TlsRole Role;
  FileContents LoadedContents;
  std::shared_ptr<boost::asio::ssl::context> Current;
};

} // namespace buckthornring
