#include "Entry/PeerEnvelope.h"

#include <nlohmann/json.hpp>

namespace buckthornring {

namespace {

constexpr std::size_t MessageFields = 2;
constexpr std::size_t IntroductionFields = 4;

auto toText(const std::vector<std::uint8_t> &Bytes) -> std::string {
  return {Bytes.begin(), Bytes.end()};
}

} // namespace

auto PeerEnvelope::encode() const -> std::string {
  if (Content == Kind::Introduction)
    return toText(nlohmann::json::to_cbor(
        nlohmann::json::array({Sender.Process.str(), Sender.DataCentre.str(),
                               Sender.FailureDomain, Sender.CallerAddress})));
  return toText(nlohmann::json::to_cbor(nlohmann::json::array(
      {Sender.Process.str(), nlohmann::json::binary(Payload)})));
}

auto PeerEnvelope::decode(std::string_view Bytes) -> Result<PeerEnvelope> {
  const nlohmann::json Array =
      nlohmann::json::from_cbor(Bytes.begin(), Bytes.end(), /*strict=*/true,
                                /*allow_exceptions=*/false);
  if (!Array.is_array() || Array.empty() || !Array[0].is_string())
    return Error("link message is not an envelope");

  PeerEnvelope Decoded;
  Decoded.Sender.Process = InstanceId(Array[0].get<std::string>());
  if (Array.size() == MessageFields && Array[1].is_binary()) {
    Decoded.Payload = Array[1].get_binary();
    return Decoded;
  }
  if (Array.size() != IntroductionFields || !Array[1].is_string() ||
      !Array[2].is_string() || !Array[3].is_string())
    return Error("link envelope has wrong fields");
  Decoded.Content = Kind::Introduction;
  Decoded.Sender.DataCentre = DataCentreId(Array[1].get<std::string>());
  Decoded.Sender.FailureDomain = Array[2].get<std::string>();
  Decoded.Sender.CallerAddress = Array[3].get<std::string>();
  return Decoded;
}

} // namespace buckthornring
