#include "buckthornring/IO/TlsContext.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ssl/context.hpp>

#include <fstream>
#include <iterator>
#include <utility>

namespace buckthornring {

namespace {

namespace ssl = boost::asio::ssl;
using boost::system::error_code;

auto readFile(const std::string &Path) -> Result<std::string> {
  std::ifstream Stream(Path, std::ios::binary);
  std::string Text(std::istreambuf_iterator<char>(Stream), {});
  if (!Stream || Text.empty())
    return Error("cannot read " + Path);
  return Text;
}

auto fileError(const std::string &Path, const error_code &Reason) -> Error {
  return Error(Path + ": " + Reason.message());
}

} // namespace

TlsContext::TlsContext(TlsFiles Files, TlsRole Role)
    : Files(std::move(Files)), Role(Role) {}

auto TlsContext::create(TlsFiles Files, TlsRole Role)
    -> Result<std::unique_ptr<TlsContext>> {
  if (Role == TlsRole::Connector && Files.AuthorityFile.empty())
    return Error("authority_file is required to verify the other side");
  std::unique_ptr<TlsContext> Out(new TlsContext(std::move(Files), Role));
  const auto Loaded = Out->reload();
  if (!Loaded)
    return Loaded.error();
  return Out;
}

auto TlsContext::readFiles() const -> Result<FileContents> {
  auto Certificate = readFile(Files.CertificateFile);
  if (!Certificate)
    return Certificate.error();
  auto Key = readFile(Files.KeyFile);
  if (!Key)
    return Key.error();
  FileContents Out{std::move(*Certificate), std::move(*Key), {}};
  if (Files.AuthorityFile.empty())
    return Out;
  auto Authority = readFile(Files.AuthorityFile);
  if (!Authority)
    return Authority.error();
  Out.Authority = std::move(*Authority);
  return Out;
}

auto TlsContext::build(const FileContents &Contents) const
    -> Result<std::shared_ptr<ssl::context>> {
  auto Out = std::make_shared<ssl::context>(Role == TlsRole::Listener
                                                ? ssl::context::tls_server
                                                : ssl::context::tls_client);
  error_code Reason;
  Out->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                       ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                       ssl::context::no_tlsv1_1,
                   Reason);
  // Without a callback OpenSSL asks for the password on the terminal.
  Out->set_password_callback(
      [](std::size_t, ssl::context::password_purpose) { return ""; }, Reason);
  Out->use_certificate_chain(boost::asio::buffer(Contents.Certificate), Reason);
  if (Reason)
    return fileError(Files.CertificateFile, Reason);
  // Fails also when the key does not belong to the certificate.
  Out->use_private_key(boost::asio::buffer(Contents.Key), ssl::context::pem,
                       Reason);
  if (Reason)
    return fileError(Files.KeyFile, Reason);
  if (Contents.Authority.empty())
    return Out;
  Out->add_certificate_authority(boost::asio::buffer(Contents.Authority),
                                 Reason);
  if (Reason)
    return fileError(Files.AuthorityFile, Reason);
  Out->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert,
                       Reason);
  if (Reason)
    return fileError(Files.AuthorityFile, Reason);
  return Out;
}

auto TlsContext::reload() -> Result<bool> {
  auto Read = readFiles();
  if (!Read)
    return Read.error();
  if (Current && *Read == LoadedContents)
    return false;
  auto Built = build(*Read);
  if (!Built)
    return Built.error();
  Current = std::move(*Built);
  LoadedContents = std::move(*Read);
  return true;
}

} // namespace buckthornring
