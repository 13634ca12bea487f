#include "ClientCrowd.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace buckthornring::test {

using boost::asio::ip::tcp;
using boost::system::error_code;

class ClientCrowd::Client : public std::enable_shared_from_this<Client> {
public:
  Client(boost::asio::io_context &Io, const ClientPlan &Plan)
      : Socket(Io), ReadTimer(Io), TrickleTimer(Io), Plan(Plan) {}

  auto start(const tcp::endpoint &Server) -> void {
    Socket.async_connect(
        Server, [Self = shared_from_this()](const error_code &Failure) {
          if (Failure)
            return;
          Self->send(Self->Plan.Head, [Self] { Self->sendPieces(0); });
          if (Self->Plan.Reads)
            Self->read();
        });
  }

  auto firstBytes() const -> const std::string & { return FirstBytes; }

private:
  template <class Handler>
  auto send(const std::string &Text, Handler Done) -> void {
    boost::asio::async_write(Socket, boost::asio::buffer(Text),
                             [Self = shared_from_this(),
                              Done](const error_code &Failure, std::size_t) {
                               if (!Failure)
                                 Done();
                             });
  }

  auto sendPieces(std::size_t Sent) -> void {
    if (Sent < Plan.PieceCount)
      return send(Plan.Piece, [this, Sent] { sendPieces(Sent + 1); });
    send(Plan.Tail, [this] { trickle(); });
  }

  auto trickle() -> void {
    if (Plan.Trickle.empty())
      return;
    TrickleTimer.expires_after(Plan.TrickleInterval);
    TrickleTimer.async_wait(
        [Self = shared_from_this()](const error_code &Cancelled) {
          if (!Cancelled)
            Self->send(Self->Plan.Trickle, [Self] { Self->trickle(); });
        });
  }

  auto read() -> void {
    Socket.async_read_some(
        boost::asio::buffer(Input),
        [Self = shared_from_this()](const error_code &Failure,
                                    std::size_t Count) {
          if (Failure)
            return;
          Self->keepFirst(Count);
          Self->ReadTimer.expires_after(Self->Plan.ReadPause);
          Self->ReadTimer.async_wait([Self](const error_code &Cancelled) {
            if (!Cancelled)
              Self->read();
          });
        });
  }

  auto keepFirst(std::size_t Count) -> void {
    constexpr std::size_t KeptBytes = 64;
    const std::size_t Missing = KeptBytes - FirstBytes.size();
    FirstBytes.append(Input.data(), std::min(Missing, Count));
  }

  tcp::socket Socket;
  boost::asio::steady_timer ReadTimer;
  boost::asio::steady_timer TrickleTimer;
  const ClientPlan &Plan;
  std::array<char, 4096> Input{};
  std::string FirstBytes;
};

ClientCrowd::ClientCrowd(const tcp::endpoint &Server, std::size_t Count,
                         const ClientPlan &Plan) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Clients.push_back(std::make_shared<Client>(Io, Plan));
    Clients.back()->start(Server);
  }
}

ClientCrowd::~ClientCrowd() = default;

auto ClientCrowd::run(std::chrono::milliseconds Period) -> void {
  Io.restart();
  Io.run_for(Period);
}

auto ClientCrowd::responses(const std::string &Status) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Clients.begin(), Clients.end(),
      [&Status](const std::shared_ptr<Client> &Each) {
        return Each->firstBytes().starts_with("HTTP/1.1 " + Status);
      }));
}

} // namespace buckthornring::test
