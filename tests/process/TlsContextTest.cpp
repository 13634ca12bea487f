#include "TestCertificates.h"

#include "buckthornring/IO/TlsContext.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

namespace fs = std::filesystem;
namespace asio = boost::asio;
using asio::ip::tcp;
using Stream = asio::ssl::stream<tcp::socket>;

class TlsContextTest : public testing::Test {
protected:
  TlsContextTest() { fs::create_directories(Folder); }
  ~TlsContextTest() override { fs::remove_all(Folder); }

  auto write(const std::string &Name, const std::string &Text) const
      -> std::string {
    auto Path = (Folder / Name).string();
    std::ofstream(Path) << Text;
    return Path;
  }

  /// Writes the files of one side, with \p Trusted as authority unless it is
  /// null.
  auto files(const std::string &Name, const TestCertificate &Certificate,
             const TestCertificate *Trusted) const -> TlsFiles {
    return {write(Name + ".crt", Certificate.certificatePem()),
            write(Name + ".key", Certificate.keyPem()),
            Trusted == nullptr
                ? ""
                : write(Name + ".ca", Trusted->certificatePem())};
  }

  static auto make(const TlsFiles &Files, TlsRole Role)
      -> std::unique_ptr<TlsContext> {
    auto Out = TlsContext::create(Files, Role);
    EXPECT_TRUE(Out) << Out.error().message();
    return std::move(Out).value();
  }

  fs::path Folder =
      fs::temp_directory_path() / ("btr-tls-" + std::to_string(::getpid()));
  TestCertificate Authority = TestCertificate::authority("authority");
  TestCertificate UntrustedAuthority = TestCertificate::authority("stranger");
  TestCertificate Server = TestCertificate::signedBy(Authority, "server");
  TestCertificate Client = TestCertificate::signedBy(Authority, "client");
};

/// Result of one connection over loopback.
struct Exchange {
  bool ListenerAccepted = false;
  std::string Received;   ///< What the connector read.
  std::string ServerName; ///< Common name that the connector saw.
};

auto commonName(Stream &Connection) -> std::string {
  std::array<char, 64> Name{};
  if (auto *Certificate = SSL_get0_peer_certificate(Connection.native_handle()))
    X509_NAME_get_text_by_NID(X509_get_subject_name(Certificate),
                              NID_commonName, Name.data(), Name.size());
  return Name.data();
}

/// The listener sends "hi" after its handshake. With TLS 1.3 a connector learns
/// only by reading that its certificate was rejected.
auto connect(asio::ssl::context &Listener, asio::ssl::context &Connector)
    -> Exchange {
  asio::io_context Context(1);
  tcp::acceptor Acceptor(Context, {asio::ip::address_v4::loopback(), 0});
  Stream Accepted(Context, Listener);
  Stream Connected(Context, Connector);
  Exchange Out;
  std::array<char, 2> Buffer{};
  Acceptor.async_accept(Accepted.next_layer(), [&](auto) {
    Accepted.async_handshake(Stream::server, [&](auto Failure) {
      Out.ListenerAccepted = !Failure;
      if (Failure)
        return Accepted.next_layer().close();
      asio::async_write(Accepted, asio::buffer("hi", 2), [](auto, auto) {});
    });
  });
  Connected.next_layer().async_connect(Acceptor.local_endpoint(), [&](auto) {
    Connected.async_handshake(Stream::client, [&](auto Failure) {
      if (Failure)
        return Connected.next_layer().close();
      Out.ServerName = commonName(Connected);
      asio::async_read(Connected, asio::buffer(Buffer),
                       [&](auto, std::size_t Size) {
                         Out.Received.assign(Buffer.data(), Size);
                       });
    });
  });
  Context.run_for(std::chrono::seconds(5));
  return Out;
}

// Guards against rejecting a valid configuration of both sides.
TEST_F(TlsContextTest, BothSidesVerifyEachOther) {
  const auto Listener =
      make(files("server", Server, &Authority), TlsRole::Listener);
  const auto Connector =
      make(files("client", Client, &Authority), TlsRole::Connector);
  const auto Done = connect(*Listener->current(), *Connector->current());
  EXPECT_TRUE(Done.ListenerAccepted);
  EXPECT_EQ(Done.Received, "hi");
  EXPECT_EQ(Done.ServerName, "server");
}

// Guards against a listener that accepts a peer without a certificate, or with
// one of another authority, although mutual authentication is configured.
TEST_F(TlsContextTest, ListenerRejectsUntrustedPeers) {
  const auto Listener =
      make(files("server", Server, &Authority), TlsRole::Listener);
  const auto UntrustedCertificate =
      TestCertificate::signedBy(UntrustedAuthority, "client");
  const auto Connector = make(files("client", UntrustedCertificate, &Authority),
                              TlsRole::Connector);
  const auto Refused = connect(*Listener->current(), *Connector->current());
  EXPECT_FALSE(Refused.ListenerAccepted);
  EXPECT_EQ(Refused.Received, "");
  asio::ssl::context Anonymous(asio::ssl::context::tls_client);
  const auto WithoutCertificate = connect(*Listener->current(), Anonymous);
  EXPECT_FALSE(WithoutCertificate.ListenerAccepted);
  EXPECT_EQ(WithoutCertificate.Received, "");
}

// Guards against a connector that accepts a listener's certificate of another
// authority.
TEST_F(TlsContextTest, ConnectorRejectsUntrustedPeers) {
  const auto UntrustedCertificate =
      TestCertificate::signedBy(UntrustedAuthority, "server");
  const auto Listener = make(files("server", UntrustedCertificate, &Authority),
                             TlsRole::Listener);
  const auto Connector =
      make(files("client", Client, &Authority), TlsRole::Connector);
  const auto Done = connect(*Listener->current(), *Connector->current());
  EXPECT_EQ(Done.Received, "");
  EXPECT_EQ(Done.ServerName, "");
}

// Guards against a listener without an authority file that requests a
// certificate from callers.
TEST_F(TlsContextTest, AuthorityIsOptionalForListeners) {
  const auto Listener =
      make(files("server", Server, nullptr), TlsRole::Listener);
  asio::ssl::context Anonymous(asio::ssl::context::tls_client);
  EXPECT_EQ(connect(*Listener->current(), Anonymous).Received, "hi");
}

// Guards against accepting old protocol versions.
TEST_F(TlsContextTest, OldVersionsAreRefused) {
  const auto Listener =
      make(files("server", Server, nullptr), TlsRole::Listener);
  asio::ssl::context Old(asio::ssl::context::tls_client);
  SSL_CTX_set_min_proto_version(Old.native_handle(), TLS1_1_VERSION);
  SSL_CTX_set_max_proto_version(Old.native_handle(), TLS1_1_VERSION);
  SSL_CTX_set_security_level(Old.native_handle(), 0);
  EXPECT_FALSE(connect(*Listener->current(), Old).ListenerAccepted);
}

// Guards against a restart being needed for a renewed certificate, and against
// a partly replaced set of files interrupting the service.
TEST_F(TlsContextTest, ReloadsFilesWithoutARestart) {
  const auto Files = files("server", Server, &Authority);
  const auto Listener = make(Files, TlsRole::Listener);
  const auto Connector =
      make(files("client", Client, &Authority), TlsRole::Connector);
  const auto Before = Listener->current();
  EXPECT_FALSE(Listener->reload().value());
  const auto Renewed = TestCertificate::signedBy(Authority, "renewed");
  write("server.crt", Renewed.certificatePem());
  EXPECT_FALSE(Listener->reload()) << "certificate and old key do not match";
  EXPECT_EQ(Listener->current(), Before);
  EXPECT_EQ(connect(*Listener->current(), *Connector->current()).ServerName,
            "server");
  write("server.key", Renewed.keyPem());
  EXPECT_TRUE(Listener->reload().value());
  EXPECT_EQ(connect(*Listener->current(), *Connector->current()).ServerName,
            "renewed");
  EXPECT_EQ(connect(*Before, *Connector->current()).ServerName, "server");
  write("server.ca", UntrustedAuthority.certificatePem());
  EXPECT_TRUE(Listener->reload().value());
  EXPECT_FALSE(
      connect(*Listener->current(), *Connector->current()).ListenerAccepted);
}

// Guards against starting with unusable files, and against waiting for a
// password on the terminal.
TEST_F(TlsContextTest, ReportsUnusableFiles) {
  const auto Good = files("server", Server, &Authority);
  const auto CreationError = [](TlsFiles Files,
                                TlsRole Role = TlsRole::Listener) {
    const auto Created = TlsContext::create(std::move(Files), Role);
    return Created ? std::string("none") : Created.error().message();
  };
  EXPECT_EQ(CreationError({Good.CertificateFile, "/nonexistent", ""}),
            "cannot read /nonexistent");
  const auto Other = write("other.key", Client.keyPem());
  EXPECT_TRUE(
      CreationError({Good.CertificateFile, Other, ""}).starts_with(Other));
  const auto Encrypted = write("locked.key", Server.keyPem("secret"));
  EXPECT_TRUE(CreationError({Good.CertificateFile, Encrypted, ""})
                  .starts_with(Encrypted));
  const auto Text = write("text", "not PEM");
  EXPECT_TRUE(CreationError({Text, Good.KeyFile, ""}).starts_with(Text));
  EXPECT_TRUE(CreationError({Good.CertificateFile, Good.KeyFile, Text})
                  .starts_with(Text));
  EXPECT_EQ(CreationError({Good.CertificateFile, Good.KeyFile, ""},
                          TlsRole::Connector),
            "authority_file is required to verify the other side");
}

} // namespace
