#pragma once

#include "Gateway/PeerSocket.h"

#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace buckthornring::test {

/// Opens a peer socket on a free port and sets \p Address to its address.
inline auto openPeerSocket(boost::asio::io_context &Io, std::string &Address,
                           PeerSocket::Handler OnMessage)
    -> std::unique_ptr<PeerSocket> {
  boost::asio::ip::udp::socket Probe(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  Address = "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
  Probe.close();
  return PeerSocket::open(Io, Address, std::move(OnMessage)).value();
}

/// Another instance of the fleet, as far as its messages go. Keeps what it
/// receives.
class FleetPeer {
public:
  explicit FleetPeer(const std::string &DataCentre)
      : Socket(openPeerSocket(
            Io, Address,
            [this](const FleetMessage &Message, const std::string &From) {
              const std::lock_guard Guard(Mutex);
              LastSender = From;
              Received.push_back(Message);
            })) {
    Report.Instance = InstanceId("peer-" + Address);
    Report.Process = Address;
    Report.DataCentre = DataCentreId(DataCentre);
    Serving = std::thread([this] { Io.run(); });
  }
  ~FleetPeer() {
    Io.stop();
    Serving.join();
  }

  auto address() const -> const std::string & { return Address; }
  /// The object in the store that names this instance the leader.
  auto leaderObject() const -> nlohmann::json {
    return {{"instance", "leader"}, {"process", Address}, {"address", Address}};
  }
  /// Returns the address of the instance that sent the last message.
  auto lastSender() const -> std::string {
    const std::lock_guard Guard(Mutex);
    return LastSender;
  }
  auto send(const std::string &To, const FleetMessage &Message) -> void {
    Socket->send(To, Message);
  }
  /// Sends a report without content but that of \p Suspects.
  auto report(const std::string &To, const SuspectNotice &Suspects = {})
      -> void {
    Report.Suspects = Suspects;
    Report.SuspectsDigest = digestOf(Suspects);
    send(To, Report);
  }
  template <class Message>
  auto received() const -> std::vector<Message> {
    const std::lock_guard Guard(Mutex);
    std::vector<Message> Out;
    for (const FleetMessage &Each : Received)
      if (const auto *Found = std::get_if<Message>(&Each))
        Out.push_back(*Found);
    return Out;
  }

private:
  boost::asio::io_context Io;
  std::string Address;
  FleetReport Report;
  mutable std::mutex Mutex;
  std::vector<FleetMessage> Received;
  std::string LastSender;
  std::unique_ptr<PeerSocket> Socket;
  std::thread Serving;
};

} // namespace buckthornring::test
