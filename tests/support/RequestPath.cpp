#include "support/RequestPath.h"

#include <poll.h>
#include <thread>

namespace buckthornring::test {

namespace {

using Clock = std::chrono::steady_clock;

class FirstTargetOwns final : public SliceOwnerSource {
public:
  explicit FirstTargetOwns(Epoch At) : At(At) {}

  auto owners(const ServiceView &Service) const
      -> std::vector<SliceOwner> override {
    std::vector<SliceOwner> Owners(Service.Config->Slices);
    if (!Service.Targets.empty())
      for (SliceOwner &Owner : Owners)
        Owner = {0, At};
    return Owners;
  }

private:
  Epoch At;
};

} // namespace

RawCaller::RawCaller(boost::asio::ip::tcp::socket Socket)
    : Socket(std::move(Socket)) {}

auto RawCaller::send(const std::string &Text) -> void {
  ScriptedTarget::send(Socket, Text);
}

auto RawCaller::readUntil(const std::string &Text,
                          std::chrono::milliseconds Limit) -> CallerView {
  CallerView View;
  const auto End = Clock::now() + Limit;
  while (Text.empty() || !View.has(Text)) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        End - Clock::now());
    pollfd Waiting{Socket.native_handle(), POLLIN, 0};
    if (Left.count() <= 0 ||
        ::poll(&Waiting, 1, static_cast<int>(Left.count())) <= 0)
      break;
    char Part[4096];
    boost::system::error_code Failure;
    const auto Count = Socket.read_some(boost::asio::buffer(Part), Failure);
    View.Bytes.append(Part, Count);
    View.Closed = Failure == boost::asio::error::eof;
    View.Reset = Failure == boost::asio::error::connection_reset;
    if (Failure)
      break;
  }
  return View;
}

auto RawCaller::readAll(std::chrono::milliseconds Limit) -> CallerView {
  return readUntil("", Limit);
}

auto RawCaller::close() -> void { Socket.close(); }

RequestPath::RequestPath(TrafficOptions Options)
    : Listener(Io, boost::asio::ip::tcp::endpoint(
                       boost::asio::ip::address_v4::loopback(), 0)) {
  Options.InstanceName = "i1";
  const TrafficShared Shared = {Totals, Published, nullptr,
                                [this](std::size_t, const ServiceId &Service) {
                                  Traffic->wake(Service);
                                }};
  Traffic = std::make_unique<TrafficThread>(0, std::move(Options), Shared);
  Traffic->start();
  Config.DataCentres[DataCentreId("dc1")] = {};
  Config.Workspaces[WorkspaceId("acme")] = {};
  Config.CallerKeys["k1"] = {CallerKeys::hex(CallerKeys::digest("secret")),
                             WorkspaceId("acme"), false};
  Config.Services[ServiceId("pay")].DefaultDeadline = std::chrono::seconds(2);
  ServiceConfig &Stock = Config.Services[ServiceId("stock")];
  Stock.Kind = ServiceKind::Divided;
  Stock.DefaultDeadline = std::chrono::seconds(2);
  const auto AddRoute = [this](const char *Name, const char *Service,
                               bool Open) {
    RouteConfig &Route = Config.Routes[Name];
    Route.PathPrefix = std::string("/") + Name;
    Route.Service = ServiceId(Service);
    Route.Open = Open;
  };
  AddRoute("pay", "pay", false);
  AddRoute("open", "pay", true);
  AddRoute("stock", "stock", false);
}

RequestPath::~RequestPath() { Traffic->stop(); }

auto RequestPath::addTarget(const std::string &Service, const std::string &Name,
                            const ScriptedTarget &Target) -> void {
  Config.Services[ServiceId(Service)].Targets[TargetId(Name)] = {
      Target.address(), DataCentreId("dc1"), ServingState::InService};
}

auto RequestPath::publish(Epoch StockEpoch) -> void {
  const FirstTargetOwns Owners(StockEpoch);
  const SnapshotInputs Inputs{
      std::make_shared<const ConfigIndex>(
          std::make_shared<const Configuration>(Config)),
      DataCentreId("dc1"),
      [](const ServiceId &, const TargetId &, const ServiceConfig &Service) {
        TargetCondition Condition;
        Condition.Slots = Service.SlotsPerTarget;
        Condition.Connections = Service.ConnectionsPerTarget;
        return Condition;
      },
      Owners,
      Gates,
      InFlight,
      [](const WorkspaceConfig &) { return false; },
      ++Version,
      {}};
  const auto Snapshot = buildSnapshot(Inputs);
  Published.publish(Snapshot);
  Traffic->publish(Snapshot);
}

auto RequestPath::connect() -> RawCaller {
  boost::asio::ip::tcp::socket Caller(Io);
  Caller.connect(Listener.local_endpoint());
  boost::asio::ip::tcp::socket Accepted(Traffic->context());
  Listener.accept(Accepted);
  Traffic->adopt(std::move(Accepted));
  return RawCaller(std::move(Caller));
}

auto RequestPath::exchange(const std::string &Method, const std::string &Target,
                           const std::string &Fields, const std::string &Body)
    -> CallerView {
  RawCaller Caller = connect();
  std::string Text = Method + " " + Target +
                     " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + Fields;
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Caller.send(Text + "\r\n" + Body);
  return Caller.readAll();
}

auto eventually(const std::function<bool()> &Condition) -> bool {
  const auto End = Clock::now() + std::chrono::seconds(5);
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

} // namespace buckthornring::test
