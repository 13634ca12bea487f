#include "buckthornring/Config/CallerKeys.h"

#include "buckthornring/Common/Invariant.h"

#include <openssl/evp.h>

#include <charconv>
#include <cstring>
#include <memory>

namespace buckthornring {

namespace {

/// Fetches the algorithm once. With EVP_sha256(), OpenSSL 3 fetches it again in
/// each call, under a lock.
auto sha256() -> const EVP_MD * {
  static const std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> Fetched(
      EVP_MD_fetch(nullptr, "SHA256", nullptr), EVP_MD_free);
  return Fetched.get();
}

} // namespace

auto CallerKeys::DigestHash::operator()(const KeyDigest &Digest) const
    -> std::size_t {
  std::size_t Hash = 0;
  std::memcpy(&Hash, Digest.data(), sizeof(Hash));
  return Hash;
}

CallerKeys::CallerKeys(const Configuration &Source) {
  for (const auto &[Name, Key] : Source.CallerKeys)
    if (const auto Digest = parseHex(Key.Digest))
      Entries[*Digest] = {Name, Key.Workspace, Key.Withdrawn};
}

auto CallerKeys::find(std::string_view Key) const -> const Entry * {
  return find(digest(Key));
}

auto CallerKeys::find(const KeyDigest &Digest) const -> const Entry * {
  const auto Found = Entries.find(Digest);
  return Found == Entries.end() ? nullptr : &Found->second;
}

auto CallerKeys::digest(std::string_view Key) -> KeyDigest {
  KeyDigest Out{};
  const int Done = EVP_Digest(Key.data(), Key.size(), Out.data(), nullptr,
                              sha256(), nullptr);
  invariant(Done == 1, "SHA-256 is available");
  return Out;
}

auto CallerKeys::hex(const KeyDigest &Digest) -> std::string {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const auto Byte : Digest) {
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 15U];
  }
  return Out;
}

auto CallerKeys::parseHex(std::string_view Text) -> std::optional<KeyDigest> {
  KeyDigest Out{};
  if (Text.size() != 2 * Out.size())
    return std::nullopt;
  for (std::size_t Index = 0; Index < Out.size(); ++Index) {
    const char *First = Text.data() + 2 * Index;
    const auto [End, Failure] =
        std::from_chars(First, First + 2, Out[Index], 16);
    if (Failure != std::errc() || End != First + 2)
      return std::nullopt;
  }
  return Out;
}

} // namespace buckthornring
