#include "Commands.h"

#include "buckthornring/Config/ConfigChecker.h"
#include "buckthornring/Ownership/HomeMap.h"
#include "buckthornring/Ownership/SliceMap.h"

#include <utility>

namespace buckthornring::cli {

namespace {

auto platformFailure(const std::string &Object, PlatformStatus Status)
    -> CommandResult {
  return CommandResult::failure(
      ExitCode::Unreachable, "unreachable",
      "no answer for " + Object + " (" +
          std::string(PlatformStatusNames.name(Status)) + ")");
}

/// Finds the slice, home data centre and owner of a key, each from its own
/// object at the platform.
class OwnerLookup {
public:
  OwnerLookup(PlatformSession &Session, std::string Service, std::string Key)
      : Session(Session), Service(std::move(Service)), Key(std::move(Key)) {}

  auto run() -> CommandResult {
    if (findSlice() && findHome() && findOwner())
      Out.Result = "owned";
    return std::move(Out);
  }

private:
  auto fail(CommandResult Failure) -> bool {
    Failure.Details.update(Out.Details);
    Failure.Lines = Out.Lines;
    Out = std::move(Failure);
    return false;
  }

  auto noOwner(std::string Reason) -> bool {
    return fail(CommandResult::failure(ExitCode::Different, "no-owner",
                                       std::move(Reason)));
  }

  auto findSlice() -> bool {
    const auto Current = Session.readCurrent();
    if (auto Failure = readFailure(Current))
      return fail(std::move(*Failure));
    if (!Current.Record)
      return fail(
          CommandResult::failure(ExitCode::Invalid, "invalid",
                                 "there is no accepted configuration yet"));
    const auto Config = ConfigChecker::check(Current.Record->content(),
                                             Current.Record->generation());
    if (!Config)
      return fail(CommandResult::invalid(Config.Errors));
    const auto Found = Config.Value->Services.find(ServiceId(Service));
    if (Found == Config.Value->Services.end())
      return fail(CommandResult::failure(ExitCode::Invalid, "invalid",
                                         "there is no service " + Service));
    if (Found->second.Kind != ServiceKind::Divided)
      return fail(CommandResult::failure(ExitCode::Invalid, "invalid",
                                         "the service " + Service +
                                             " is not divided by key"));
    Slices = Found->second.Slices;
    Slice = SliceMap::sliceOf(Key, Slices);
    Out.Details = {{"service", Service}, {"key", Key}, {"slice", Slice}};
    Out.Lines = {"slice " + std::to_string(Slice) + " of " +
                 std::to_string(Slices)};
    return true;
  }

  auto findHome() -> bool {
    const auto Name = homeObjectName(ServiceId(Service));
    const auto Read = Session.read(Name);
    if (Read.Status == PlatformStatus::Absent)
      return noOwner("no home data centre is recorded yet");
    if (Read.Status != PlatformStatus::Done)
      return fail(platformFailure(Name, Read.Status));
    const auto Homes = HomeMap::parse(Read.Value);
    if (!Homes || Homes->slices() != Slices)
      return fail(CommandResult::failure(
          ExitCode::Rejected, "unusable",
          Name + ": " +
              (Homes ? "another number of slices" : Homes.error().message())));
    Home = Homes->home(Slice);
    if (Home.empty())
      return noOwner("the slice has no home data centre");
    Out.Details["home"] = Home.str();
    Out.Lines.push_back("home " + Home.str());
    return true;
  }

  auto findOwner() -> bool {
    const auto Segment = Slice / SliceMap::SegmentSlices;
    const auto Name = assignmentObjectName(Home, ServiceId(Service), Segment);
    const auto Read = Session.read(Name);
    if (Read.Status == PlatformStatus::Absent)
      return noOwner("no assignment is recorded yet");
    if (Read.Status != PlatformStatus::Done)
      return fail(platformFailure(Name, Read.Status));
    auto Map = SliceMap::make(ServiceId(Service), Slices);
    if (!Map)
      return fail(CommandResult::failure(ExitCode::Rejected, "unusable",
                                         Map.error().message()));
    if (const auto Term = Map->loadSegment(Read.Value); !Term)
      return fail(CommandResult::failure(ExitCode::Rejected, "unusable",
                                         Name + ": " + Term.error().message()));
    return showOwner(Map->at(Slice));
  }

  auto showOwner(const SliceAssignment &Assignment) -> bool {
    if (Assignment.Owner.empty())
      return noOwner("no owner of the slice is recorded yet");
    Out.Details["owner"] = Assignment.Owner.str();
    Out.Details["successor"] = Assignment.Successor.str();
    Out.Details["term"] = Assignment.At.Term;
    Out.Details["sequence"] = Assignment.At.Sequence;
    Out.Lines.push_back("owner " + Assignment.Owner.str() + ", epoch " +
                        std::to_string(Assignment.At.Term) + "." +
                        std::to_string(Assignment.At.Sequence));
    if (!Assignment.Successor.empty())
      Out.Lines.push_back("successor " + Assignment.Successor.str());
    return true;
  }

  PlatformSession &Session;
  std::string Service;
  std::string Key;
  std::uint32_t Slices = 0;
  std::uint32_t Slice = 0;
  DataCentreId Home;
  CommandResult Out;
};

} // namespace

auto ownerCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  return OwnerLookup(Session, Line.Arguments[0], Line.Arguments[1]).run();
}

} // namespace buckthornring::cli
