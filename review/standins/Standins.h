#pragma once

// Stand-ins for the platform of the review's cases: a store, back ends and
// clients as threads of one process, and routers as processes that it starts.
// Everything is on loopback addresses.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Seconds = std::chrono::duration<double>;

/// Seconds since the start of the case.
auto elapsed() -> double;
auto sleepFor(double Time) -> void;

/// Whether the case shall cause its disruption (TROUBLE is not "0").
auto withTrouble() -> bool;

/// Lines on what was sent, answered and run, with the time of each.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  auto operator=(const Record &) -> Record & = delete;
  auto line(const std::string &Text) -> void;

private:
  std::mutex Lock;
  std::FILE *File;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string Start; ///< Request line or status line.
  Fields Head;
  std::string Body;

  auto field(std::string_view Name) const -> std::string;
  /// Word of the start line.
  auto word(std::size_t Index) const -> std::string;
};

/// How a response ended for its reader.
enum class End {
  Length,   ///< Complete by its Content-Length.
  Close,    ///< No length; the peer closed the connection in order (FIN).
  Cut,      ///< The connection ended before the announced length.
  Reset,    ///< The connection was reset.
  NoAnswer, ///< The connection ended before the head was complete.
};
auto endName(End Kind) -> const char *;

struct Answer {
  End Kind = End::NoAnswer;
  bool WasReset = false; ///< The connection was reset, not closed in order.
  unsigned Status = 0;
  Message Content;
  bool Closes = false; ///< Said "Connection: close".
};

/// One TCP connection with buffered reads.
class Stream {
public:
  explicit Stream(int Descriptor) : Descriptor(Descriptor) {}
  ~Stream();
  Stream(const Stream &) = delete;
  auto operator=(const Stream &) -> Stream & = delete;

  struct Options {
    int ReceiveBuffer = 0;  ///< SO_RCVBUF; 0: default.
    int MaxSegment = 0;     ///< TCP_MAXSEG; 0: default.
    double ReadTimeout = 0; ///< Seconds; 0: none.
  };
  static auto connect(const std::string &Address, const Options &Wanted)
      -> std::unique_ptr<Stream>;
  static auto connect(const std::string &Address) -> std::unique_ptr<Stream> {
    return connect(Address, Options());
  }

  auto send(std::string_view Bytes) -> bool;
  /// Reads a request with a Content-Length or without a body.
  auto readRequest() -> std::optional<Message>;
  /// Reads a response. Reads at most \p BytesPerSecond; 0: no limit.
  auto readAnswer(double BytesPerSecond = 0) -> Answer;
  /// Reads whatever comes next; empty: the connection has ended.
  auto readSome() -> std::string;
  /// Closes the sending side (FIN).
  auto finishSending() -> void;
  auto reset() -> void;

private:
  /// Adds bytes to the buffer. 1: done, 0: closed in order, -1: reset.
  auto fill(std::size_t Limit) -> int;
  auto readHead(Message &Out) -> int;

  int Descriptor;
  std::string Buffer;
};

/// Accepts connections and runs a thread for each.
class Listener {
public:
  using Handler = std::function<void(Stream &)>;

  Listener(const std::string &Ip, Handler OnConnection);
  auto address() const -> const std::string & { return Address; }

private:
  std::string Address;
};

/// The platform's store: lists, watches and conditional writes.
class Store {
public:
  Store();
  auto address() const -> const std::string & { return Server->address(); }
  /// Writes without a condition, as the operator and the back ends do.
  auto put(const std::string &Kind, const std::string &Name, const Json &Spec)
      -> void;
  auto spec(const std::string &Kind, const std::string &Name) -> Json;

private:
  struct Change {
    std::uint64_t Revision;
    Json Object;
    bool Deleted;
  };

  auto serve(Stream &Connection) -> void;
  auto respond(const Message &Request) -> std::pair<int, Json>;
  auto list(const std::string &Kind, const std::string &After) -> Json;
  auto watch(const std::string &Kind, std::uint64_t Since, int WaitMs) -> Json;
  auto write(const std::string &Kind, const std::string &Name,
             const Json &Wanted, bool Create) -> std::pair<int, Json>;
  auto set(const std::string &Kind, const std::string &Name, const Json &Spec)
      -> Json;

  std::mutex Lock;
  std::condition_variable Changed;
  std::uint64_t Revision = 100;
  std::map<std::string, std::map<std::string, Json>> Objects;
  std::map<std::string, std::vector<Change>> History;
  std::unique_ptr<Listener> Server;
};

/// A back end. Runs requests in \p Handler, holds keys by grants, and beats
/// into the store.
class Backend {
public:
  /// Runs a request and sends its answer. Returns whether the connection goes
  /// on.
  using Handler =
      std::function<bool(Stream &Connection, const Message &Request)>;

  struct Options {
    std::string Id;
    std::string Service;
    std::string Zone = "kingston";
    bool Sharded = false;
    /// Value of the Handover field of the answers to releases.
    std::function<std::string()> Handover = [] { return "5c0e7a21d94b36f8"; };
  };

  Backend(Store &Platform, Record &Log, Options Wanted, Handler OnRequest);
  /// Writes its entry into the store.
  auto beat() -> void;
  auto drain() -> void;
  auto id() const -> const std::string & { return Wanted.Id; }

private:
  struct Hold {
    std::uint32_t From;
    std::uint32_t To;
    std::uint64_t Fence;
    double Until;
  };

  auto serve(Stream &Connection) -> void;
  auto runOrder(const Message &Request) -> std::string;
  auto holds(std::uint32_t Key) -> bool;

  Store &Platform;
  Record &Log;
  Options Wanted;
  Handler OnRequest;
  std::mutex Lock;
  std::vector<Hold> Holds;
  std::uint64_t Sequence = 0;
  std::int64_t Born;
  bool Draining = false;
  std::unique_ptr<Listener> Server;
};

/// Makes all back ends beat every 0.87 s.
auto startBeats(const std::vector<Backend *> &All) -> void;

/// The head of a sound answer with a Content-Length of \p Size.
auto answerHead(const Message &Request, std::size_t Size) -> std::string;

/// A request of a client, complete with its head.
struct ClientRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Id;
  int DeadlineMs = 5000;
  Fields More;
  std::string Body;

  auto text() const -> std::string;
};
auto newId() -> std::string;

/// Which answers a back end may send without a length: at most 5 in 100 of its
/// answers, as in the strongest disruption of this kind in the site file.
class UnframedShare {
public:
  /// Counts one answer. Returns whether it may go without a length.
  auto count(bool Wanted) -> bool;

private:
  std::mutex Lock;
  int Answers = 0;
  int Unframed = 0;
};

/// Host and key of the configuration that putConfiguration() writes.
inline constexpr const char *Host = "hulo84.example";
inline constexpr const char *ApiKey = "nn2ctnfzs989anu6wsjn";

struct Route {
  std::string Prefix;
  std::string Service;
  std::string Kind;
  double TimeoutSeconds;
  bool Sharded = false;
};
/// Writes a version of the configuration in which one tenant holds \p Keys.
auto putConfiguration(Store &Platform, const std::vector<Route> &Routes,
                      const std::string &Version = "r7",
                      const std::vector<std::string> &Keys = {ApiKey}) -> void;

/// Forwards TCP connections to an address.
class Proxy {
public:
  explicit Proxy(const std::string &Upstream);
  auto address() const -> const std::string & { return Server->address(); }
  /// Drops all further data on the open connections on which a request that
  /// contains \p Text was sent last. They stay open, and new ones work. Returns
  /// how many of the open connections these are, and how many there are.
  auto silence(const std::string &Text) -> std::pair<int, int>;

private:
  struct Link {
    std::atomic<bool> Silent{false};
    std::string LastRequest; ///< Guarded by the proxy's lock.
  };

  auto serve(Stream &Client) -> void;

  std::string Upstream;
  std::mutex Lock;
  std::vector<std::weak_ptr<Link>> Links;
  std::unique_ptr<Listener> Server;
};

/// A process of the deploy file's role.
class Router {
public:
  Router(const std::string &StoreAddress, const std::string &Name,
         const std::string &Ip, const std::string &Folder,
         bool FirstStart = true);
  Router(const Store &Platform, const std::string &Name, const std::string &Ip,
         const std::string &Folder)
      : Router(Platform.address(), Name, Ip, Folder) {}

  auto start() -> void;
  auto signal(int Number) const -> void;
  /// Status by waitpid() once the process has ended.
  auto ended() -> std::optional<int>;
  auto front() const -> const std::string & { return Front; }
  auto name() const -> const std::string & { return Name; }
  /// Resident memory in MB.
  auto memoryMb() const -> double;
  auto ready() const -> bool;
  /// Waits until the process says that it is ready.
  auto awaitReady(double Limit) const -> bool;

private:
  std::string Name;
  std::string Front;
  std::string Ready;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Process = 0;
};

/// Starts clients that send one small request after another at \p Path, on
/// kept connections, until the process ends.
auto startTraffic(const Router &Instance, const std::string &Path, int Clients)
    -> void;

/// Creates a folder for settings and logs. finish() removes it, unless
/// KEEP_LOGS is set.
auto temporaryFolder() -> std::string;

/// Ends the processes that were started and this one, with the exit status of a
/// case.
[[noreturn]] auto finish(Record &Log, int Status, const std::string &Reason)
    -> void;

} // namespace review
