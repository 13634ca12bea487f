#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

namespace buckthornring {

auto printable(std::string_view Text) -> std::string {
  constexpr std::size_t Limit = 60;
  std::string Out;
  for (const char Each : Text.substr(0, Limit))
    Out += Each >= ' ' && Each <= '~' ? Each : '?';
  return Text.size() > Limit ? Out + "..." : Out;
}

auto shortText(const nlohmann::json &Value) -> std::string {
  if (Value.is_object())
    return "an object";
  if (Value.is_array())
    return "an array";
  return printable(Value.dump(-1, ' ', /*ensure_ascii=*/true));
}

} // namespace buckthornring
