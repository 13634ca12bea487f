#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <memory>
#include <string>

namespace buckthornring::test {

/// Key and certificate generated in memory.
class TestCertificate {
public:
  /// Creates a self-signed certificate authority.
  static auto authority(const std::string &Name) -> TestCertificate;
  /// Creates a certificate signed by \p Signer.
  static auto signedBy(const TestCertificate &Signer, const std::string &Name)
      -> TestCertificate;

  auto certificatePem() const -> std::string;
  /// Returns the key, encrypted when \p Password is not empty.
  auto keyPem(const std::string &Password = "") const -> std::string;

private:
  TestCertificate() = default;
  static auto make(const std::string &Name, const TestCertificate *Signer)
      -> TestCertificate;

  std::shared_ptr<EVP_PKEY> Key;
  std::shared_ptr<X509> Certificate;
};

} // namespace buckthornring::test
