#include "Commands.h"
#include "InstanceQuery.h"

namespace buckthornring::cli {

using Json = nlohmann::json;

namespace {

auto targetsLine(const Json &Service) -> std::string {
  const Json &Targets = Service.at("targets");
  std::string Out = "  targets: " + Targets.at("all").dump() + ", " +
                    Targets.at("taking_requests").dump() + " taking requests";
  for (const char *State : {"unreachable", "cold", "pausing", "leaving"})
    if (Targets.at(State) != 0)
      Out += ", " + Targets.at(State).dump() + " " + State;
  return Out;
}

auto roomLine(const Json &Service) -> std::string {
  const Json &Room = Service.at("room");
  return "  room: " + number(Room.at("requests")) + " requests on " +
         Room.at("slots").dump() + " slots, " + Room.at("in_flight").dump() +
         " of this instance";
}

auto recentLine(const Json &Service) -> std::string {
  const Json &Recent = Service.at("recent");
  return "  last 2 s: " + Recent.at("requests").dump() + " requests, " +
         Recent.at("refused").dump() + " refused for lack of room" +
         (Service.at("short_of_room").get<bool>() ? ", short of room" : "");
}

auto waitingLine(const Json &Service) -> std::string {
  std::string Out = "  waiting:";
  if (Service.at("waiting").empty())
    return Out + " none";
  for (const Json &Entry : Service["waiting"])
    Out += std::string(&Entry == &Service["waiting"].front() ? " " : ", ") +
           Entry.at("requests").dump() + " of priority " +
           Entry.at("priority").dump();
  return Out;
}

auto addService(const Json &Service, std::vector<std::string> &Lines) -> void {
  const bool Divided = Service.at("divided").get<bool>();
  Lines.push_back("service: " + Service.at("service").get<std::string>() +
                  (Divided ? ", divided" : ""));
  Lines.push_back(targetsLine(Service));
  Lines.push_back(roomLine(Service));
  Lines.push_back(recentLine(Service));
  Lines.push_back(waitingLine(Service));
  if (!Divided)
    return;
  const Json &Without = Service.at("without_owner");
  Lines.push_back("  ranges without an owner: " + Without.at("ranges").dump() +
                  ", keys: " + Without.at("keys").dump());
}

auto show(Json Answer) -> CommandResult {
  CommandResult Out;
  Out.Result = "shown";
  Out.Lines = {"instance: " + Answer.at("instance").get<std::string>() +
               ", configuration " + Answer.at("configuration").dump()};
  for (const Json &Service : Answer.at("services"))
    addService(Service, Out.Lines);
  Out.Details = std::move(Answer);
  return Out;
}

} // namespace

auto instanceStatusCommand(const CommandLine &Line) -> CommandResult {
  if (!Line.AdminAddresses.empty())
    return CommandResult::failure(ExitCode::Usage, "usage",
                                  "--instance and --admin exclude each other");
  return askInstance(Line, "/status", show);
}

} // namespace buckthornring::cli
