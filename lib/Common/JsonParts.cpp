#include "Common/JsonParts.h"

#include "Common/JsonText.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Returns the end of the last character of \p Text that ends within \p Size.
auto characterEnd(std::string_view Text, std::size_t Size) -> std::size_t {
  while (Size > 0 && (static_cast<unsigned char>(Text[Size]) & 0xC0U) == 0x80)
    --Size;
  return Size;
}

/// Builds the parts of a value that are kept from the events of the parser.
class PartsBuilder final : public nlohmann::json_sax<Json> {
public:
  explicit PartsBuilder(const JsonParts &Kept) : Kept(Kept) {}

  auto null() -> bool override { return addScalar(nullptr); }
  auto boolean(bool Value) -> bool override { return addScalar(Value); }
  auto number_integer(std::int64_t Value) -> bool override {
    return addScalar(Value);
  }
  auto number_unsigned(std::uint64_t Value) -> bool override {
    return addScalar(Value);
  }
  auto number_float(double Value, const std::string &) -> bool override {
    return addScalar(Value);
  }
  auto string(std::string &Value) -> bool override {
    if (Value.size() > Kept.StringBytes)
      Value.resize(characterEnd(Value, Kept.StringBytes));
    return addScalar(Value);
  }
  auto binary(Json::binary_t &) -> bool override { return false; }
  auto key(std::string &Name) -> bool override {
    if (SkippedDepth > 0)
      return true;
    MemberKept = Kept.Members.contains(Name);
    if (MemberKept)
      Member = Name;
    return true;
  }
  auto start_object(std::size_t) -> bool override {
    return open(Json::value_t::object);
  }
  auto end_object() -> bool override { return close(); }
  auto start_array(std::size_t) -> bool override {
    return open(Json::value_t::array);
  }
  auto end_array() -> bool override { return close(); }
  auto parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &Failure)
      -> bool override {
    Reason = jsonError(Failure);
    return false;
  }

  auto takeValue() -> Json { return std::move(Root); }
  auto reason() const -> const Error & { return Reason; }

private:
  /// Whether the next value belongs to a part that is kept.
  auto isKept() const -> bool {
    return Kept.Depth > 0 && SkippedDepth == 0 &&
           (Open.empty() || Open.back()->is_array() || MemberKept);
  }

  /// Adds a value that is kept to the innermost container.
  auto add(Json Value) -> Json & {
    if (Open.empty())
      return Root = std::move(Value);
    if (Open.back()->is_object())
      return (*Open.back())[Member] = std::move(Value);
    Open.back()->push_back(std::move(Value));
    return Open.back()->back();
  }

  auto fail(const char *Message) -> bool {
    Reason = Error(Message);
    return false;
  }

  auto countValue() -> bool {
    return ++ValueCount <= Kept.Values || fail("too many values");
  }

  template <class Scalar>
  auto addScalar(const Scalar &Value) -> bool {
    if (!isKept())
      return true;
    if (!countValue())
      return false;
    add(Value);
    return true;
  }

  auto open(Json::value_t Type) -> bool {
    if (Open.size() + SkippedDepth == MaxJsonDepth)
      return fail("nested too deeply");
    if (isKept() && Open.size() < Kept.Depth) {
      if (!countValue())
        return false;
      Open.push_back(&add(Json(Type)));
      return true;
    }
    if (!addScalar(nullptr))
      return false;
    ++SkippedDepth;
    return true;
  }

  auto close() -> bool {
    if (SkippedDepth > 0)
      --SkippedDepth;
    else
      Open.pop_back();
    return true;
  }

  const JsonParts &Kept;
  Json Root;
  std::vector<Json *> Open;     ///< Containers that are kept, innermost last.
  std::size_t SkippedDepth = 0; ///< Open containers that are not kept.
  std::size_t ValueCount = 0;
  std::string Member;      ///< Name of the next value, if that is kept.
  bool MemberKept = false; ///< Of the innermost object.
  Error Reason{"malformed"};
};

} // namespace

auto parseJsonParts(std::string_view Text, const JsonParts &Kept)
    -> Result<Json> {
  PartsBuilder Builder(Kept);
  if (!Json::sax_parse(Text, &Builder))
    return Builder.reason();
  return Builder.takeValue();
}

} // namespace buckthornring
