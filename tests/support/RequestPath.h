#pragma once

#include "Entry/SnapshotBuilder.h"
#include "Entry/TrafficThread.h"
#include "support/ScriptedTarget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring::test {

/// Answer as a caller sees it.
struct CallerView {
  std::string Bytes;   ///< All that was received.
  bool Closed = false; ///< The connection ended in an orderly way.
  bool Reset = false;  ///< The connection was aborted.
  auto has(const std::string &Text) const -> bool {
    return Bytes.find(Text) != std::string::npos;
  }
};

/// Caller's connection with blocking calls and a time limit.
class RawCaller {
public:
  explicit RawCaller(boost::asio::ip::tcp::socket Socket);

  auto send(const std::string &Text) -> void;
  /// Reads until the text has arrived, the connection ends or \p Limit passes.
  auto readUntil(const std::string &Text,
                 std::chrono::milliseconds Limit = std::chrono::seconds(5))
      -> CallerView;
  /// Reads until the connection ends or \p Limit passes.
  auto readAll(std::chrono::milliseconds Limit = std::chrono::seconds(5))
      -> CallerView;
  auto close() -> void;

private:
  boost::asio::ip::tcp::socket Socket;
};

/// One traffic thread on loopback with a configuration made by the test.
///
/// Workspace "acme" with caller key "secret"; undivided service "pay" under
/// /pay and /open (open route); divided service "stock" under /stock, whose
/// slices all belong to its first target at epoch 3.7.
class RequestPath {
public:
  explicit RequestPath(TrafficOptions Options = {});
  ~RequestPath();

  auto config() -> Configuration & { return Config; }
  auto addTarget(const std::string &Service, const std::string &Name,
                 const ScriptedTarget &Target) -> void;
  /// Publishes a copy of config().
  auto publish(Epoch StockEpoch = {3, 7}) -> void;

  auto connect() -> RawCaller;
  /// Sends a request on a new connection that is closed after the answer.
  auto exchange(const std::string &Method, const std::string &Target,
                const std::string &Fields = "", const std::string &Body = "")
      -> CallerView;

  auto thread() -> TrafficThread & { return *Traffic; }
  auto totals() const -> CounterTotals { return Totals.totals(); }
  auto published() -> Publication & { return Published; }
  auto inFlight() -> InFlightTables & { return InFlight; }

  static constexpr const char *Key = "X-Caller-Key: secret\r\n";

private:
  Configuration Config;
  Counters Totals{1};
  Publication Published;
  GateTable Gates;
  InFlightTables InFlight;
  std::uint64_t Version = 0;
  std::unique_ptr<TrafficThread> Traffic;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Listener;
};

/// Waits up to 5 s for a condition; returns whether it came true.
auto eventually(const std::function<bool()> &Condition) -> bool;

} // namespace buckthornring::test
