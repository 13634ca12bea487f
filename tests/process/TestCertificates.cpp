#include "TestCertificates.h"

#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <atomic>

namespace buckthornring::test {

namespace {

auto readAndFree(BIO *Memory) -> std::string {
  char *Data = nullptr;
  const auto Size = BIO_get_mem_data(Memory, &Data);
  std::string Out(Data, static_cast<std::size_t>(Size));
  BIO_free(Memory);
  return Out;
}

auto addExtension(X509 *Certificate, int Kind, const char *Value) -> void {
  auto *Extension = X509V3_EXT_conf_nid(nullptr, nullptr, Kind, Value);
  X509_add_ext(Certificate, Extension, -1);
  X509_EXTENSION_free(Extension);
}

} // namespace

auto TestCertificate::make(const std::string &Name,
                           const TestCertificate *Signer) -> TestCertificate {
  static std::atomic<long> Serial{1};
  TestCertificate Out;
  Out.Key = {EVP_EC_gen("P-256"), EVP_PKEY_free};
  Out.Certificate = {X509_new(), X509_free};
  auto *Certificate = Out.Certificate.get();
  X509_set_version(Certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(Certificate), Serial++);
  X509_gmtime_adj(X509_getm_notBefore(Certificate), -3600);
  X509_gmtime_adj(X509_getm_notAfter(Certificate), 3600);
  X509_set_pubkey(Certificate, Out.Key.get());
  X509_NAME_add_entry_by_txt(
      X509_get_subject_name(Certificate), "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char *>(Name.c_str()), -1, -1, 0);
  const auto &Issuer = Signer == nullptr ? Out : *Signer;
  X509_set_issuer_name(Certificate,
                       X509_get_subject_name(Issuer.Certificate.get()));
  if (Signer == nullptr)
    addExtension(Certificate, NID_basic_constraints, "critical,CA:TRUE");
  X509_sign(Certificate, Issuer.Key.get(), EVP_sha256());
  return Out;
}

auto TestCertificate::authority(const std::string &Name) -> TestCertificate {
  return make(Name, nullptr);
}

auto TestCertificate::signedBy(const TestCertificate &Signer,
                               const std::string &Name) -> TestCertificate {
  return make(Name, &Signer);
}

auto TestCertificate::certificatePem() const -> std::string {
  auto *Memory = BIO_new(BIO_s_mem());
  PEM_write_bio_X509(Memory, Certificate.get());
  return readAndFree(Memory);
}

auto TestCertificate::keyPem(const std::string &Password) const -> std::string {
  auto *Memory = BIO_new(BIO_s_mem());
  PEM_write_bio_PKCS8PrivateKey(
      Memory, Key.get(), Password.empty() ? nullptr : EVP_aes_128_cbc(),
      Password.empty() ? nullptr : Password.data(),
      static_cast<int>(Password.size()), nullptr, nullptr);
  return readAndFree(Memory);
}

} // namespace buckthornring::test
