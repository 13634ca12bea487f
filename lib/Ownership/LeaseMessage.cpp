#include "buckthornring/Ownership/LeaseMessage.h"

#include "Common/JsonText.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace buckthornring {

namespace {

using Json = nlohmann::json;

auto rows(const std::vector<SliceEpoch> &List) -> Json {
  Json Rows = Json::array();
  for (const SliceEpoch &Entry : List)
    Rows.push_back({Entry.Slice, Entry.At.Term, Entry.At.Sequence});
  return Rows;
}

/// The library converts negative numbers silently; as a term such a number
/// would depose the leader.
auto count(const Json &Value) -> std::uint64_t {
  if (!Value.is_number_unsigned())
    throw std::invalid_argument("expected a number of at least zero");
  return Value.get<std::uint64_t>();
}

auto parseRows(const Json &Rows) -> std::vector<SliceEpoch> {
  std::vector<SliceEpoch> List;
  for (const Json &Row : Rows)
    List.push_back(
        {Row.at(0).get<std::uint32_t>(), {count(Row.at(1)), count(Row.at(2))}});
  return List;
}

} // namespace

auto leaseMessageText(const LeaseMessage &Message) -> std::string {
  return writeJson(Json{{"target", Message.Target.str()},
                        {"service", Message.Service.str()},
                        {"sender", Message.Sender.str()},
                        {"term", Message.Term},
                        {"sequence", Message.Sequence},
                        {"start", Message.Start},
                        {"clock_us", Message.ClockUs},
                        {"lease_us", Message.LeaseUs},
                        {"grant", rows(Message.Grant)},
                        {"release", rows(Message.Release)},
                        {"report", Message.Report}});
}

auto parseLeaseMessage(std::string_view Text) -> Result<LeaseMessage> {
  try {
    const Json Value = Json::parse(Text);
    LeaseMessage Message;
    Message.Target = TargetId(Value.at("target").get<std::string>());
    Message.Service = ServiceId(Value.at("service").get<std::string>());
    Message.Sender = InstanceId(Value.at("sender").get<std::string>());
    Message.Term = count(Value.at("term"));
    Message.Sequence = count(Value.at("sequence"));
    Message.Start = Value.at("start").get<std::string>();
    Message.ClockUs = Value.at("clock_us").get<std::int64_t>();
    Message.LeaseUs = Value.at("lease_us").get<std::int64_t>();
    Message.Grant = parseRows(Value.at("grant"));
    Message.Release = parseRows(Value.at("release"));
    Message.Report = Value.at("report").get<bool>();
    return Message;
  } catch (const std::exception &Failure) {
    return Error(std::string("malformed lease message: ") + Failure.what());
  }
}

auto leaseReplyText(const LeaseReply &Reply) -> std::string {
  return writeJson(Json{{"term", Reply.Term},
                        {"sequence", Reply.Sequence},
                        {"applied", Reply.Applied},
                        {"start", Reply.Start},
                        {"clock_us", Reply.ClockUs},
                        {"refusal", LeaseRefusalNames.name(Reply.Refusal)},
                        {"reported", Reply.Reported},
                        {"held", rows(Reply.Held)},
                        {"running", Reply.Running},
                        {"lapses", Reply.Lapses}});
}

auto parseLeaseReply(std::string_view Text) -> Result<LeaseReply> {
  try {
    const Json Value = Json::parse(Text);
    const auto Refusal =
        LeaseRefusalNames.parse(Value.at("refusal").get<std::string>());
    if (!Refusal)
      return Error("malformed lease reply: unknown refusal");
    LeaseReply Reply;
    Reply.Term = count(Value.at("term"));
    Reply.Sequence = count(Value.at("sequence"));
    Reply.Applied = count(Value.at("applied"));
    Reply.Start = Value.at("start").get<std::string>();
    Reply.ClockUs = Value.at("clock_us").get<std::int64_t>();
    Reply.Refusal = *Refusal;
    Reply.Reported = Value.at("reported").get<bool>();
    Reply.Held = parseRows(Value.at("held"));
    Reply.Running = Value.at("running").get<std::vector<std::uint32_t>>();
    Reply.Lapses = count(Value.at("lapses"));
    return Reply;
  } catch (const std::exception &Failure) {
    return Error(std::string("malformed lease reply: ") + Failure.what());
  }
}

} // namespace buckthornring
