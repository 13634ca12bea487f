#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace buckthornring::test {

/// Target on loopback whose behaviour a test scripts, with blocking sockets and
/// one thread for each connection.
class ScriptedTarget {
public:
  using Tcp = boost::asio::ip::tcp;
  /// Acts on one request, given as received. Returns whether the connection is
  /// read further.
  using Script = std::function<bool(Tcp::socket &, const std::string &Request)>;

  explicit ScriptedTarget(Script Act)
      : Act(std::move(Act)),
        Listener(Io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Accepting([this] { acceptAll(); }) {}

  ~ScriptedTarget() {
    Ending = true;
    boost::system::error_code Ignored;
    // A blocked accept ends only with a connection.
    Tcp::socket Last(Io);
    Last.connect(Listener.local_endpoint(), Ignored);
    Accepting.join();
    {
      const std::lock_guard Guard(Lock);
      for (const auto &Socket : Sockets)
        ::shutdown(Socket->native_handle(), SHUT_RDWR);
    }
    for (std::thread &Each : Serving)
      Each.join();
  }

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  }

  auto requests() const -> std::vector<std::string> {
    const std::lock_guard Guard(Lock);
    return Seen;
  }
  auto connections() const -> std::size_t {
    const std::lock_guard Guard(Lock);
    return Sockets.size();
  }

  /// Script that answers each request with \p Answer.
  static auto answering(std::string Answer) -> Script {
    return [Answer = std::move(Answer)](Tcp::socket &To, const std::string &) {
      return send(To, Answer);
    };
  }
  static auto send(Tcp::socket &To, const std::string &Text) -> bool {
    boost::system::error_code Failure;
    boost::asio::write(To, boost::asio::buffer(Text), Failure);
    return !Failure;
  }

private:
  auto acceptAll() -> void {
    while (true) {
      auto Socket = std::make_shared<Tcp::socket>(Io);
      boost::system::error_code Failure;
      Listener.accept(*Socket, Failure);
      if (Ending || Failure)
        return;
      const std::lock_guard Guard(Lock);
      Sockets.push_back(Socket);
      Serving.emplace_back([this, Socket] { serve(*Socket); });
    }
  }

  auto serve(Tcp::socket &Socket) -> void {
    std::string Data;
    while (true) {
      boost::system::error_code Failure;
      const std::size_t HeadSize = boost::asio::read_until(
          Socket, boost::asio::dynamic_buffer(Data), "\r\n\r\n", Failure);
      if (Failure)
        break;
      const std::size_t Size = HeadSize + bodyLength(Data.substr(0, HeadSize));
      while (Data.size() < Size && !Failure) {
        char Part[4096];
        const auto Count = Socket.read_some(boost::asio::buffer(Part), Failure);
        Data.append(Part, Count);
      }
      if (Failure)
        break;
      const std::string Request = Data.substr(0, Size);
      Data.erase(0, Size);
      {
        const std::lock_guard Guard(Lock);
        Seen.push_back(Request);
      }
      if (!Act(Socket, Request))
        break;
    }
    ::shutdown(Socket.native_handle(), SHUT_RDWR);
  }

  static auto bodyLength(const std::string &Head) -> std::size_t {
    const std::string Name = "Content-Length: ";
    const std::size_t Place = Head.find(Name);
    return Place == std::string::npos
               ? 0
               : std::stoul(Head.substr(Place + Name.size()));
  }

  Script Act;
  boost::asio::io_context Io;
  Tcp::acceptor Listener;
  mutable std::mutex Lock;
  std::vector<std::shared_ptr<Tcp::socket>> Sockets;
  std::vector<std::string> Seen;
  std::vector<std::thread> Serving;
  std::atomic<bool> Ending = false;
  std::thread Accepting;
};

} // namespace buckthornring::test
