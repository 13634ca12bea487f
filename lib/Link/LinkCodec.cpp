#include "buckthornring/Link/LinkCodec.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <tuple>
#include <type_traits>
#include <utility>

namespace buckthornring {

namespace {

using Json = nlohmann::json;

// Each message is encoded as the array of its members, in this order.

template <class M>
constexpr auto memberTuple(M &Value) {
  using T = std::remove_const_t<M>;
  if constexpr (std::same_as<T, Epoch>)
    return std::tie(Value.Term, Value.Sequence);
  else if constexpr (std::same_as<T, TermRecord>)
    return std::tie(Value.Term, Value.Leader, Value.Deputy, Value.Unsettled);
  else if constexpr (std::same_as<T, SliceAssignment>)
    return std::tie(Value.Owner, Value.Successor, Value.At, Value.Serving);
  else if constexpr (std::same_as<T, SliceDelta::Entry>)
    return std::tie(Value.Slice, Value.To);
  else if constexpr (std::same_as<T, SliceDelta>)
    return std::tie(Value.Service, Value.Slices, Value.Term, Value.From,
                    Value.To, Value.Entries);
  else if constexpr (std::same_as<T, TermConfirmRequest>)
    return std::tie(Value.Record, Value.Number, Value.ClockUs);
  else if constexpr (std::same_as<T, TermConfirm>)
    return std::tie(Value.Term, Value.Number, Value.ClockUs);
  else if constexpr (std::same_as<T, TermAnnounce>)
    return std::tie(Value.Record);
  else if constexpr (std::same_as<T, TermAck> || std::same_as<T, Resign>)
    return std::tie(Value.Term, Value.PredecessorsExpired);
  else if constexpr (std::same_as<T, AssignmentCopy>)
    return std::tie(Value.Term, Value.Delta, Value.Resolved);
  else if constexpr (std::same_as<T, AssignmentCopyAck>)
    return std::tie(Value.Term, Value.Service, Value.Version,
                    Value.NeedsFullCopy);
  else if constexpr (std::same_as<T, RoutingHeartbeat>)
    return std::tie(Value.Term, Value.Number, Value.ClockUs, Value.LeaseUs,
                    Value.Generation, Value.Deltas, Value.Routable);
  else if constexpr (std::same_as<T, RoutingAck::Service>)
    return std::tie(Value.Term, Value.Version, Value.InFlight, Value.Requests);
  else if constexpr (std::same_as<T, RoutingAck>)
    return std::tie(Value.Term, Value.Number, Value.ClockUs, Value.Generation,
                    Value.Services);
  else if constexpr (std::same_as<T, ShareAmount>)
    return std::tie(Value.Rate, Value.Units);
  else if constexpr (std::same_as<T, ShareRequest>)
    return std::tie(Value.Holder, Value.Session, Value.Term, Value.Sequence,
                    Value.AppliedVersion, Value.Held, Value.ReleasedTotal,
                    Value.WantedRate, Value.WantedUnits);
  else if constexpr (std::same_as<T, ShareGrant>)
    return std::tie(Value.Holder, Value.Session, Value.Term, Value.Sequence,
                    Value.Version, Value.Share, Value.GrantedTotal,
                    Value.LeasePeriod, Value.Rejected);
  else if constexpr (std::same_as<T, ShareRequestMessage>)
    return std::tie(Value.Quantity, Value.Request);
  else if constexpr (std::same_as<T, ShareGrantMessage>)
    return std::tie(Value.Quantity, Value.Grant);
  else if constexpr (std::same_as<T, ConfigOffer>)
    return std::tie(Value.Generation, Value.Digest, Value.Content,
                    Value.ConfirmationAgeUs, Value.EchoedClockUs);
  else if constexpr (std::same_as<T, PlatformReachability>)
    return std::tie(Value.Watched, Value.Reachable, Value.ClockUs,
                    Value.Generation);
  else if constexpr (std::same_as<T, Relay>)
    return std::tie(Value.RequestId, Value.Method, Value.Path, Value.Headers,
                    Value.Body, Value.DeadlineUs);
}

template <class T>
struct IsId : std::false_type {};
template <class Tag>
struct IsId<Id<Tag>> : std::true_type {};

template <class T>
auto encodeValue(const T &Value) -> Json;

template <class... Ts>
auto encodeTuple(const std::tuple<Ts...> &Tuple) -> Json {
  return std::apply(
      [](const auto &...Elements) {
        Json Array = Json::array();
        (Array.push_back(encodeValue(Elements)), ...);
        return Array;
      },
      Tuple);
}

template <class T>
struct Container {
  static constexpr bool Sequence = false;
  static constexpr bool Map = false;
  static constexpr bool Pair = false;
};
template <class V>
struct Container<std::vector<V>> {
  static constexpr bool Sequence = true;
  static constexpr bool Map = false;
  static constexpr bool Pair = false;
};
template <class K, class V>
struct Container<std::map<K, V>> {
  static constexpr bool Sequence = false;
  static constexpr bool Map = true;
  static constexpr bool Pair = false;
};
template <class A, class B>
struct Container<std::pair<A, B>> {
  static constexpr bool Sequence = false;
  static constexpr bool Map = false;
  static constexpr bool Pair = true;
};

template <class T>
auto encodeValue(const T &Value) -> Json {
  if constexpr (std::is_arithmetic_v<T>) {
    return Value;
  } else if constexpr (std::same_as<T, std::string>) {
    // Bodies are arbitrary bytes, which CBOR text strings do not allow.
    return Json::binary(std::vector<std::uint8_t>(Value.begin(), Value.end()));
  } else if constexpr (IsId<T>::value) {
    return encodeValue(Value.str());
  } else if constexpr (std::same_as<T, Duration>) {
    return encodeValue(Value.count());
  } else if constexpr (Container<T>::Sequence) {
    Json Array = Json::array();
    for (const auto &Element : Value)
      Array.push_back(encodeValue(Element));
    return Array;
  } else if constexpr (Container<T>::Map) {
    Json Array = Json::array();
    for (const auto &[Key, Element] : Value)
      Array.push_back(Json::array({encodeValue(Key), encodeValue(Element)}));
    return Array;
  } else if constexpr (Container<T>::Pair) {
    return Json::array({encodeValue(Value.first), encodeValue(Value.second)});
  } else {
    return encodeTuple(memberTuple(Value));
  }
}

template <class T>
auto decodeValue(const Json &Source, T &Value) -> bool;

template <class... Ts>
auto decodeTuple(const Json &Source, std::tuple<Ts &...> Tuple) -> bool {
  if (!Source.is_array() || Source.size() != sizeof...(Ts))
    return false;
  return [&]<std::size_t... Indices>(std::index_sequence<Indices...>) {
    return (decodeValue(Source[Indices], std::get<Indices>(Tuple)) && ...);
  }
  (std::index_sequence_for<Ts...>());
}

template <class T>
auto decodeNumber(const Json &Source, T &Value) -> bool {
  if constexpr (std::same_as<T, bool>) {
    if (!Source.is_boolean())
      return false;
    Value = Source.template get<bool>();
  } else if constexpr (std::floating_point<T>) {
    if (!Source.is_number())
      return false;
    Value = Source.template get<T>();
  } else if constexpr (std::is_unsigned_v<T>) {
    if (!Source.is_number_unsigned() ||
        Source.template get<std::uint64_t>() > std::numeric_limits<T>::max())
      return false;
    Value = Source.template get<T>();
  } else {
    if (!Source.is_number_integer() ||
        (Source.is_number_unsigned() &&
         Source.template get<std::uint64_t>() >
             static_cast<std::uint64_t>(std::numeric_limits<T>::max())))
      return false;
    Value = Source.template get<T>();
  }
  return true;
}

template <class V>
auto decodeSequence(const Json &Source, std::vector<V> &Value) -> bool {
  if (!Source.is_array())
    return false;
  for (const Json &Element : Source)
    if (!decodeValue(Element, Value.emplace_back()))
      return false;
  return true;
}

template <class K, class V>
auto decodeMap(const Json &Source, std::map<K, V> &Value) -> bool {
  if (!Source.is_array())
    return false;
  for (const Json &Element : Source) {
    K Key{};
    if (!Element.is_array() || Element.size() != 2 ||
        !decodeValue(Element[0], Key) || !decodeValue(Element[1], Value[Key]))
      return false;
  }
  return true;
}

template <class T>
auto decodeValue(const Json &Source, T &Value) -> bool {
  if constexpr (std::is_arithmetic_v<T>) {
    return decodeNumber(Source, Value);
  } else if constexpr (std::same_as<T, std::string>) {
    if (!Source.is_binary())
      return false;
    Value.assign(Source.get_binary().begin(), Source.get_binary().end());
    return true;
  } else if constexpr (IsId<T>::value) {
    std::string Text;
    if (!decodeValue(Source, Text))
      return false;
    Value = T(std::move(Text));
    return true;
  } else if constexpr (std::same_as<T, Duration>) {
    Duration::rep Count = 0;
    if (!decodeNumber(Source, Count))
      return false;
    Value = Duration(Count);
    return true;
  } else if constexpr (Container<T>::Sequence) {
    return decodeSequence(Source, Value);
  } else if constexpr (Container<T>::Map) {
    return decodeMap(Source, Value);
  } else if constexpr (Container<T>::Pair) {
    return Source.is_array() && Source.size() == 2 &&
           decodeValue(Source[0], Value.first) &&
           decodeValue(Source[1], Value.second);
  } else {
    return decodeTuple(Source, memberTuple(Value));
  }
}

template <std::size_t Index = 0>
auto decodeMessage(std::size_t Type, const Json &Source, LinkMessage &Message)
    -> bool {
  if constexpr (Index < std::variant_size_v<LinkMessage>) {
    if (Type != Index)
      return decodeMessage<Index + 1>(Type, Source, Message);
    return decodeValue(Source, Message.emplace<Index>());
  } else {
    return false;
  }
}

} // namespace

auto LinkCodec::encode(const LinkMessage &Message)
    -> std::vector<std::uint8_t> {
  return std::visit(
      [&](const auto &Body) {
        return Json::to_cbor(Json::array({Message.index(), encodeValue(Body)}));
      },
      Message);
}

auto LinkCodec::decode(std::span<const std::uint8_t> Bytes)
    -> Result<LinkMessage> {
  const Json Value = Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!Value.is_array() || Value.size() != 2 || !Value[0].is_number_unsigned())
    return Error("link message is not a CBOR pair of type and fields");
  LinkMessage Message;
  if (!decodeMessage(Value[0].get<std::size_t>(), Value[1], Message))
    return Error("link message of type " + Value[0].dump() +
                 " has unexpected fields");
  return Message;
}

} // namespace buckthornring
