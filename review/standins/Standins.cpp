#include "Standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sstream>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

const auto StartedAt = std::chrono::steady_clock::now();

/// Longest time that a case may take; a script has 120 s.
constexpr double CaseLimit = 112;

/// Processes that were started and have not been seen to end.
std::mutex ProcessesLock;
std::set<pid_t> Processes;
std::string Folder;

auto endProcesses() -> void {
  const std::lock_guard Guard(ProcessesLock);
  for (const pid_t Each : Processes) {
    kill(Each, SIGKILL);
    waitpid(Each, nullptr, 0);
  }
  Processes.clear();
}

auto toAddress(const std::string &Text) -> sockaddr_in {
  const auto Colon = Text.rfind(':');
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Out.sin_addr);
  return Out;
}

auto bindTo(int Descriptor, const std::string &Address) -> bool {
  const sockaddr_in Local = toAddress(Address);
  return bind(Descriptor, reinterpret_cast<const sockaddr *>(&Local),
              sizeof(Local)) == 0;
}

auto localPort(int Descriptor) -> std::string {
  sockaddr_in Local{};
  socklen_t Size = sizeof(Local);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Local), &Size);
  return std::to_string(ntohs(Local.sin_port));
}

/// Returns an address of which the port is free for TCP and UDP.
auto freeAddress(const std::string &Ip) -> std::string {
  for (;;) {
    const int Tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    std::string Address;
    if (bindTo(Tcp, Ip + ":0"))
      Address = Ip + ":" + localPort(Tcp);
    const bool Free = !Address.empty() && bindTo(Udp, Address);
    close(Tcp);
    close(Udp);
    if (Free)
      return Address;
  }
}

auto reasonOf(int Status) -> const char * {
  switch (Status) {
  case 200:
    return "OK";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 410:
    return "Gone";
  case 421:
    return "Misdirected Request";
  default:
    return "Service Unavailable";
  }
}

auto jsonAnswer(int Status, const std::string &Body) -> std::string {
  return "HTTP/1.1 " + std::to_string(Status) + " " + reasonOf(Status) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

auto queryValue(const std::string &Target, const std::string &Name)
    -> std::optional<std::string> {
  const auto Mark = Target.find('?');
  if (Mark == std::string::npos)
    return std::nullopt;
  std::istringstream Parts(Target.substr(Mark + 1));
  for (std::string Part; std::getline(Parts, Part, '&');)
    if (Part.starts_with(Name + "="))
      return Part.substr(Name.size() + 1);
  return std::nullopt;
}

} // namespace

auto elapsed() -> double {
  return Seconds(std::chrono::steady_clock::now() - StartedAt).count();
}

auto sleepFor(double Time) -> void {
  std::this_thread::sleep_for(Seconds(Time));
}

auto withTrouble() -> bool {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string_view(Text) != "0";
}

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {
  if (!File) {
    std::perror(Path.c_str());
    std::_Exit(2);
  }
}

Record::~Record() { std::fclose(File); }

auto Record::line(const std::string &Text) -> void {
  const std::lock_guard Guard(Lock);
  std::fprintf(File, "%8.3f %s\n", elapsed(), Text.c_str());
  std::fflush(File);
}

auto Message::field(std::string_view Name) const -> std::string {
  const std::string Wanted(Name);
  for (const auto &[Key, Value] : Head)
    if (strcasecmp(Key.c_str(), Wanted.c_str()) == 0)
      return Value;
  return "";
}

auto Message::word(std::size_t Index) const -> std::string {
  std::istringstream Words(Start);
  std::string Word;
  for (std::size_t Step = 0; Step <= Index; ++Step)
    Words >> Word;
  return Word;
}

auto endName(End Kind) -> const char * {
  switch (Kind) {
  case End::Length:
    return "complete by its length";
  case End::Close:
    return "ended by an orderly close, no length";
  case End::Cut:
    return "cut before its length";
  case End::Reset:
    return "reset";
  case End::NoAnswer:
    break;
  }
  return "no answer";
}

Stream::~Stream() { close(Descriptor); }

auto Stream::connect(const std::string &Address, const Options &Wanted)
    -> std::unique_ptr<Stream> {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Out = std::make_unique<Stream>(Descriptor);
  if (Wanted.ReceiveBuffer > 0)
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &Wanted.ReceiveBuffer,
               sizeof(Wanted.ReceiveBuffer));
  if (Wanted.MaxSegment > 0)
    setsockopt(Descriptor, IPPROTO_TCP, TCP_MAXSEG, &Wanted.MaxSegment,
               sizeof(Wanted.MaxSegment));
  if (Wanted.ReadTimeout > 0) {
    timeval Limit{};
    Limit.tv_sec = static_cast<time_t>(Wanted.ReadTimeout);
    Limit.tv_usec = static_cast<suseconds_t>(
        (Wanted.ReadTimeout - static_cast<double>(Limit.tv_sec)) * 1e6);
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  }
  const int Enabled = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  const sockaddr_in Peer = toAddress(Address);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Peer),
                sizeof(Peer)) != 0)
    return nullptr;
  return Out;
}

auto Stream::send(std::string_view Bytes) -> bool {
  while (!Bytes.empty()) {
    const ssize_t Count =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

auto Stream::fill(std::size_t Limit) -> int {
  std::array<char, 65536> Part{};
  const ssize_t Count =
      recv(Descriptor, Part.data(), std::min(Limit, Part.size()), 0);
  if (Count > 0)
    Buffer.append(Part.data(), static_cast<std::size_t>(Count));
  return Count > 0 ? 1 : Count == 0 ? 0 : -1;
}

auto Stream::readHead(Message &Out) -> int {
  std::size_t Size = 0;
  while ((Size = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (const int Result = fill(65536); Result != 1)
      return Result;
  std::istringstream Lines(Buffer.substr(0, Size + 2));
  Buffer.erase(0, Size + 4);
  std::getline(Lines, Out.Start);
  Out.Start.pop_back();
  for (std::string Line; std::getline(Lines, Line);) {
    Line.pop_back();
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    const auto Value = Line.find_first_not_of(' ', Colon + 1);
    Out.Head.emplace_back(Line.substr(0, Colon),
                          Value == std::string::npos ? "" : Line.substr(Value));
  }
  return 1;
}

auto Stream::readRequest() -> std::optional<Message> {
  Message Out;
  if (readHead(Out) != 1)
    return std::nullopt;
  const std::string Length = Out.field("Content-Length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (Buffer.size() < Size)
    if (fill(65536) != 1)
      return std::nullopt;
  Out.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Out;
}

auto Stream::readAnswer(double BytesPerSecond) -> Answer {
  Answer Out;
  const int Head = readHead(Out.Content);
  if (Head != 1) {
    Out.WasReset = Head < 0;
    return Out;
  }
  Out.Status = static_cast<unsigned>(std::atoi(Out.Content.word(1).c_str()));
  Out.Closes = Out.Content.field("Connection") == "close";
  const std::string Length = Out.Content.field("Content-Length");
  const std::size_t Size =
      Length.empty() ? std::string::npos : std::stoul(Length);
  constexpr std::size_t Part = 16384;
  while (Buffer.size() < Size) {
    const std::size_t Before = Buffer.size();
    const int Result = fill(BytesPerSecond > 0 ? Part : 65536);
    if (Result != 1) {
      Out.WasReset = Result < 0;
      Out.Kind = Result < 0                  ? End::Reset
                 : Size == std::string::npos ? End::Close
                                             : End::Cut;
      Out.Content.Body = std::exchange(Buffer, "");
      return Out;
    }
    if (BytesPerSecond > 0)
      sleepFor(static_cast<double>(Buffer.size() - Before) / BytesPerSecond);
  }
  Out.Kind = End::Length;
  Out.Content.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Out;
}

auto Stream::readSome() -> std::string {
  if (Buffer.empty() && fill(65536) != 1)
    return "";
  return std::exchange(Buffer, "");
}

auto Stream::finishSending() -> void { shutdown(Descriptor, SHUT_WR); }

auto Stream::reset() -> void {
  const linger Now{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  shutdown(Descriptor, SHUT_RD);
}

Listener::Listener(const std::string &Ip, Handler OnConnection) {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!bindTo(Descriptor, Ip + ":0") || listen(Descriptor, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  Address = Ip + ":" + localPort(Descriptor);
  std::thread([Descriptor, OnConnection = std::move(OnConnection)] {
    for (;;) {
      const int Accepted = accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        continue;
      const int Enabled = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
      std::thread([Accepted, OnConnection] {
        Stream Connection(Accepted);
        OnConnection(Connection);
      }).detach();
    }
  }).detach();
}

Store::Store()
    : Server(std::make_unique<Listener>(
          "127.0.0.1", [this](Stream &Connection) { serve(Connection); })) {}

auto Store::serve(Stream &Connection) -> void {
  while (const auto Request = Connection.readRequest()) {
    const auto [Status, Body] = respond(*Request);
    if (!Connection.send(jsonAnswer(Status, Body.dump())))
      return;
  }
}

auto Store::respond(const Message &Request) -> std::pair<int, Json> {
  const std::string Target = Request.word(1);
  std::istringstream Path(Target.substr(0, Target.find('?')));
  std::vector<std::string> Parts;
  for (std::string Part; std::getline(Path, Part, '/');)
    Parts.push_back(Part);
  // "", "v1", "objects", kind, name.
  if (Parts.size() < 4 || Parts[2] != "objects")
    return {404, Json::object()};
  const std::string &Kind = Parts[3];
  const std::string Method = Request.word(0);
  if (Method == "GET" && Parts.size() == 4) {
    if (const auto Since = queryValue(Target, "watch"))
      return {200,
              watch(Kind, std::stoull(*Since),
                    std::stoi(queryValue(Target, "wait_ms").value_or("0")))};
    return {200, list(Kind, queryValue(Target, "after").value_or(""))};
  }
  if (Method == "GET") {
    const std::lock_guard Guard(Lock);
    const auto Found = Objects[Kind].find(Parts[4]);
    return Found == Objects[Kind].end() ? std::pair(404, Json::object())
                                        : std::pair(200, Found->second);
  }
  const Json Wanted = Json::parse(Request.Body);
  if (Method == "POST")
    return write(Kind, Wanted.at("metadata").at("name").get<std::string>(),
                 Wanted, true);
  return write(Kind, Parts.at(4), Wanted, false);
}

auto Store::list(const std::string &Kind, const std::string &After) -> Json {
  constexpr std::size_t PageSize = 500;
  const std::lock_guard Guard(Lock);
  Json Items = Json::array();
  bool HasMore = false;
  for (auto Next = Objects[Kind].upper_bound(After);
       Next != Objects[Kind].end(); ++Next) {
    if (Items.size() == PageSize) {
      HasMore = true;
      break;
    }
    Items.push_back(Next->second);
  }
  return {
      {"items", Items}, {"has_more", HasMore}, {"store_revision", Revision}};
}

auto Store::watch(const std::string &Kind, std::uint64_t Since, int WaitMs)
    -> Json {
  std::unique_lock Guard(Lock);
  const auto HasNews = [&] {
    return !History[Kind].empty() && History[Kind].back().Revision > Since;
  };
  Changed.wait_for(Guard, std::chrono::milliseconds(WaitMs), HasNews);
  Json Events = Json::array();
  for (const Change &Each : History[Kind])
    if (Each.Revision > Since)
      Events.push_back({{"object", Each.Object}, {"deleted", Each.Deleted}});
  return {{"events", Events}, {"store_revision", Revision}};
}

auto Store::set(const std::string &Kind, const std::string &Name,
                const Json &Spec) -> Json {
  Json &Object = Objects[Kind][Name];
  if (!Object.is_null() && Object["spec"] == Spec)
    return Object;
  ++Revision;
  if (Object.is_null())
    Object = {{"metadata",
               {{"name", Name},
                {"created_rev", Revision},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"status", nullptr}};
  Object["metadata"]["revision"] = Revision;
  Object["spec"] = Spec;
  History[Kind].push_back({Revision, Object, false});
  Changed.notify_all();
  return Object;
}

auto Store::write(const std::string &Kind, const std::string &Name,
                  const Json &Wanted, bool Create) -> std::pair<int, Json> {
  const std::lock_guard Guard(Lock);
  const auto Found = Objects[Kind].find(Name);
  const bool Exists = Found != Objects[Kind].end();
  if (Create && Exists)
    return {409, Found->second};
  if (!Create && !Exists)
    return {404, Json::object()};
  if (!Create && Wanted.at("metadata").contains("revision") &&
      Wanted["metadata"]["revision"] != Found->second["metadata"]["revision"])
    return {409, Found->second};
  return {200, set(Kind, Name, Wanted.at("spec"))};
}

auto Store::put(const std::string &Kind, const std::string &Name,
                const Json &Spec) -> void {
  const std::lock_guard Guard(Lock);
  set(Kind, Name, Spec);
}

auto Store::spec(const std::string &Kind, const std::string &Name) -> Json {
  const std::lock_guard Guard(Lock);
  const auto Found = Objects[Kind].find(Name);
  return Found == Objects[Kind].end() ? Json() : Found->second["spec"];
}

Backend::Backend(Store &Platform, Record &Log, Options WantedOptions,
                 Handler OnRequest)
    : Platform(Platform), Log(Log), Wanted(std::move(WantedOptions)),
      OnRequest(std::move(OnRequest)),
      Born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      Server(std::make_unique<Listener>(
          "127.0.0.1", [this](Stream &Connection) { serve(Connection); })) {}

auto Backend::beat() -> void {
  Json Spec;
  {
    const std::lock_guard Guard(Lock);
    Spec = {{"service", Wanted.Service},
            {"address", Server->address()},
            {"zone", Wanted.Zone},
            {"version", "v1"},
            {"slots", 4},
            {"state", Draining ? "draining" : "ready"},
            {"warmup_left_s", 0},
            {"seq", ++Sequence},
            {"born", Born}};
  }
  Platform.put("servers", Wanted.Id, Spec);
}

auto Backend::drain() -> void {
  {
    const std::lock_guard Guard(Lock);
    Draining = true;
  }
  beat();
  Log.line("server " + Wanted.Id + " says that it is draining");
}

auto Backend::holds(std::uint32_t Key) -> bool {
  const std::lock_guard Guard(Lock);
  return std::any_of(Holds.begin(), Holds.end(), [Key](const Hold &Each) {
    return Each.From <= Key && Key <= Each.To && elapsed() < Each.Until;
  });
}

auto Backend::runOrder(const Message &Request) -> std::string {
  const Json Order = Json::parse(Request.Body);
  const auto From = Order.at("from").get<std::uint32_t>();
  const auto To = Order.at("to").get<std::uint32_t>();
  const auto Fence = Order.at("fence").get<std::uint64_t>();
  const bool Grant = Request.word(1) == "/v1/grant";
  const std::lock_guard Guard(Lock);
  std::vector<Hold> Next;
  for (const Hold &Each : Holds) {
    const bool Apart = Each.To < From || Each.From > To;
    if (!Apart && Grant && Each.Fence > Fence)
      return jsonAnswer(409, "{}");
    if (Apart || (!Grant && Each.Fence > Fence)) {
      Next.push_back(Each);
      continue;
    }
    // What the order does not cover stays as it was.
    if (Each.From < From)
      Next.push_back({Each.From, From - 1, Each.Fence, Each.Until});
    if (Each.To > To)
      Next.push_back({To + 1, Each.To, Each.Fence, Each.Until});
  }
  if (Grant)
    Next.push_back(
        {From, To, Fence, elapsed() + Order.at("hold_s").get<double>()});
  Holds = std::move(Next);
  if (Grant)
    return jsonAnswer(200, "{}");
  Log.line("server " + Wanted.Id + " answers a release of keys " +
           std::to_string(From) + " to " + std::to_string(To));
  return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nHandover: " +
         Wanted.Handover() + "\r\n\r\n";
}

auto Backend::serve(Stream &Connection) -> void {
  while (const auto Request = Connection.readRequest()) {
    const std::string Id = Request->field("Attempt-Id");
    const std::string Expected = Request->field("Expect-Instance");
    const std::string Echo = Id.empty() ? "" : "Attempt-Id: " + Id + "\r\n";
    const std::string Rejection =
        "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: " +
        Wanted.Id + "\r\n" + Echo + "Content-Length: 0\r\n\r\n";
    if (!Expected.empty() && Expected != Wanted.Id) {
      if (!Connection.send(Rejection))
        return;
      continue;
    }
    const std::string Path = Request->word(1);
    if (Path == "/v1/grant" || Path == "/v1/release") {
      if (!Connection.send(runOrder(*Request)))
        return;
      continue;
    }
    if (Wanted.Sharded) {
      const std::string Key = Request->field("Shard-Key");
      if (Key.empty() || !holds(static_cast<std::uint32_t>(std::stoul(Key)))) {
        if (!Connection.send(Rejection))
          return;
        continue;
      }
    }
    std::string Line = "run ";
    Line.append(Id).append(" at ").append(Wanted.Id).append(": ").append(Path);
    Log.line(Line);
    if (!OnRequest(Connection, *Request))
      return;
  }
}

auto startBeats(const std::vector<Backend *> &All) -> void {
  for (Backend *Each : All)
    Each->beat();
  std::thread([All] {
    for (;;) {
      sleepFor(0.87);
      for (Backend *Each : All)
        Each->beat();
    }
  }).detach();
}

auto answerHead(const Message &Request, std::size_t Size) -> std::string {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + Request.field("Attempt-Id") +
         "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
         "Content-Length: " +
         std::to_string(Size) + "\r\n\r\n";
}

auto ClientRequest::text() const -> std::string {
  std::string Out = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                    "\r\nAttempt-Id: " + Id +
                    "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
                    "\r\nApi-Key: " + ApiKey + "\r\n";
  for (const auto &[Name, Value] : More)
    Out.append(Name).append(": ").append(Value).append("\r\n");
  if (!Body.empty() || Method != "GET")
    Out.append("Content-Length: ")
        .append(std::to_string(Body.size()))
        .append("\r\n");
  return Out.append("\r\n").append(Body);
}

auto newId() -> std::string {
  static std::atomic<unsigned> Last{0};
  std::array<char, 24> Text{};
  std::snprintf(Text.data(), Text.size(), "9c41d07b%08x", ++Last);
  return Text.data();
}

auto UnframedShare::count(bool Wanted) -> bool {
  constexpr double Share = 0.05;
  const std::lock_guard Guard(Lock);
  ++Answers;
  if (!Wanted || Unframed + 1 > Share * Answers)
    return false;
  ++Unframed;
  return true;
}

auto putConfiguration(Store &Platform, const std::vector<Route> &Routes,
                      const std::string &Version,
                      const std::vector<std::string> &Keys) -> void {
  Json Rules = Json::array();
  Json Clusters = Json::array();
  for (const Route &Each : Routes) {
    Rules.push_back({{"name", "r-" + Each.Service},
                     {"kind", Each.Kind},
                     {"target_latency_s", 0.8},
                     {"priority", 1},
                     {"public", false},
                     {"match", {{"path_prefix", Each.Prefix}}},
                     {"action",
                      {{"service", Each.Service},
                       {"timeout_s", Each.TimeoutSeconds},
                       {"max_attempts", 2}}}});
    Clusters.push_back({{"name", Each.Service},
                        {"health_path", "/health"},
                        {"max_conns", 130},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"warmup_s", 3.0},
                        {"warmup_per_s", 7.8},
                        {"sharded", Each.Sharded}});
  }
  Platform.put("config", "main",
               {{"version", Version},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 67108864},
                  {"header_timeout_s", 3},
                  {"idle_timeout_s", 15}}},
                {"tenants",
                 {{{"name", "cuka620"}, {"api_keys", Keys}, {"priority", 1}}}},
                {"listeners", {{{"host", Host}, {"route_rules", Rules}}}},
                {"clusters", Clusters}});
}

Proxy::Proxy(const std::string &Upstream)
    : Upstream(Upstream),
      Server(std::make_unique<Listener>(
          "127.0.0.1", [this](Stream &Client) { serve(Client); })) {}

auto Proxy::serve(Stream &Client) -> void {
  const std::shared_ptr<Stream> Target = Stream::connect(Upstream);
  if (!Target)
    return;
  const auto Open = std::make_shared<Link>();
  {
    const std::lock_guard Guard(Lock);
    Links.push_back(Open);
  }
  const auto Relay = [&](Stream &From, Stream &To, bool Requests) {
    for (std::string Part; !(Part = From.readSome()).empty();) {
      if (Requests) {
        const std::lock_guard Guard(Lock);
        Open->LastRequest = Part;
      }
      if (!Open->Silent && !To.send(Part))
        break;
    }
    // The end of a connection is data too.
    while (Open->Silent)
      sleepFor(1);
    To.finishSending();
  };
  std::thread Back([&] { Relay(*Target, Client, false); });
  Relay(Client, *Target, true);
  Back.join();
}

auto Proxy::silence(const std::string &Text) -> std::pair<int, int> {
  const std::lock_guard Guard(Lock);
  std::pair<int, int> Counts{0, 0};
  for (const auto &Each : Links)
    if (const auto Open = Each.lock()) {
      ++Counts.second;
      if (Open->LastRequest.find(Text) == std::string::npos)
        continue;
      Open->Silent = true;
      ++Counts.first;
    }
  return Counts;
}

Router::Router(const std::string &StoreAddress, const std::string &Name,
               const std::string &Ip, const std::string &Folder,
               bool FirstStart)
    : Name(Name), Front(freeAddress(Ip)), Ready(freeAddress(Ip)),
      SettingsPath(Folder + "/" + Name + ".conf"),
      LogPath(Folder + "/" + Name + ".log") {
  // The template of the deploy file, with the bounds of a small deployment.
  const Json Settings = {{"instance", Name},
                         {"data_centre", "kingston"},
                         {"caller_address", Front},
                         {"ready_address", Ready},
                         {"peer_address", freeAddress(Ip)},
                         {"store_address", StoreAddress},
                         {"processor_share", 0.2},
                         {"first_start", FirstStart},
                         {"bounds",
                          {{"retry_ratio", 0.2},
                           {"retry_slack", 62},
                           {"retry_window_s", 10},
                           {"rate_excess", 0.1},
                           {"rate_slack", 20},
                           {"rate_window_s", 5},
                           {"cold_excess", 1.5},
                           {"cold_slack", 5},
                           {"stop_grace_s", 6},
                           {"longest_hold_s", 10}}}};
  std::ofstream(SettingsPath) << Settings.dump(2) << "\n";
}

auto Router::start() -> void {
  const int Output =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const char *Program = "target/buckthornringd";
  const std::array<char *, 4> Arguments = {const_cast<char *>(Program),
                                           const_cast<char *>("--settings"),
                                           SettingsPath.data(), nullptr};
  Process = fork();
  if (Process != 0) {
    close(Output);
    const std::lock_guard Guard(ProcessesLock);
    Processes.insert(Process);
    return;
  }
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  execv(Program, Arguments.data());
  _exit(127);
}

auto Router::signal(int Number) const -> void {
  if (Process > 0)
    kill(Process, Number);
}

auto Router::ended() -> std::optional<int> {
  int Status = 0;
  if (Process == 0 || waitpid(Process, &Status, WNOHANG) != Process)
    return std::nullopt;
  const std::lock_guard Guard(ProcessesLock);
  Processes.erase(std::exchange(Process, 0));
  return Status;
}

auto Router::memoryMb() const -> double {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::atof(Line.c_str() + 6) / 1024;
  return 0;
}

auto Router::ready() const -> bool {
  const auto Connection = Stream::connect(Ready, {0, 0, 1});
  return Connection &&
         Connection->send("GET /v1/ready HTTP/1.1\r\nHost: " + Ready +
                          "\r\n\r\n") &&
         Connection->readAnswer().Status == 200;
}

auto Router::awaitReady(double Limit) const -> bool {
  const double Until = elapsed() + Limit;
  while (elapsed() < Until) {
    if (ready())
      return true;
    sleepFor(0.1);
  }
  return false;
}

auto startTraffic(const Router &Instance, const std::string &Path, int Clients)
    -> void {
  for (int Index = 0; Index < Clients; ++Index)
    std::thread([Front = Instance.front(), Path] {
      for (;;) {
        const auto Connection = Stream::connect(Front, {0, 0, 5});
        for (bool Kept = Connection != nullptr; Kept;) {
          ClientRequest Request;
          Request.Path = Path;
          Request.Id = newId();
          Kept = Connection->send(Request.text()) &&
                 Connection->readAnswer().Kind == End::Length;
        }
        sleepFor(0.1);
      }
    }).detach();
}

auto temporaryFolder() -> std::string {
  Folder =
      std::filesystem::temp_directory_path() / "buckthornring-review-XXXXXX";
  if (!mkdtemp(Folder.data())) {
    std::perror(Folder.c_str());
    std::_Exit(2);
  }
  std::thread([] {
    sleepFor(CaseLimit);
    endProcesses();
    std::_Exit(2);
  }).detach();
  return Folder;
}

auto finish(Record &Log, int Status, const std::string &Reason) -> void {
  const char *Verdict = Status == 0   ? "the rule held"
                        : Status == 1 ? "the rule was broken"
                                      : "the case could not run";
  endProcesses();
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(Folder);
  Log.line(std::string(Verdict) + ": " + Reason);
  std::printf("%s: %s\n", Verdict, Reason.c_str());
  std::fflush(stdout);
  std::_Exit(Status);
}

} // namespace review
