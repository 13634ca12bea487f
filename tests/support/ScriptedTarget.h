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

/// Target on the loopback interface with a scripted behaviour. Uses blocking
/// sockets and one thread per connection.
class ScriptedTarget {
public:
  using Tcp = boost::asio::ip::tcp;
  /// Handles one request, given as received. Returns whether to read on from
  /// the connection.
  using Script = std::function<bool(Tcp::socket &, const std::string &Request)>;

  explicit ScriptedTarget(Script OnRequest)
      : OnRequest(std::move(OnRequest)),
        Listener(Io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        AcceptThread([this] { acceptAll(); }) {}

  ~ScriptedTarget() {
    Stopping = true;
    boost::system::error_code Ignored;
    // A blocking accept returns only when a connection arrives.
    Tcp::socket WakeUp(Io);
    WakeUp.connect(Listener.local_endpoint(), Ignored);
    AcceptThread.join();
    {
      const std::lock_guard Guard(Mutex);
      for (const auto &Socket : Sockets)
        ::shutdown(Socket->native_handle(), SHUT_RDWR);
    }
    for (std::thread &Thread : ConnectionThreads)
      Thread.join();
  }

  /// Ends like a process that crashes: ends all connections and accepts no
  /// further ones.
  auto crash() -> void {
    const std::lock_guard Guard(Mutex);
    Stopping = true;
    Crashed = true;
    ::shutdown(Listener.native_handle(), SHUT_RDWR);
    for (const auto &Socket : Sockets)
      ::shutdown(Socket->native_handle(), SHUT_RDWR);
  }
  auto crashed() const -> bool { return Crashed; }

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  }

  auto requests() const -> std::vector<std::string> {
    const std::lock_guard Guard(Mutex);
    return ReceivedRequests;
  }
  auto connections() const -> std::size_t {
    const std::lock_guard Guard(Mutex);
    return Sockets.size();
  }

  /// Script that answers each request with \p Response.
  static auto answering(std::string Response) -> Script {
    return [Response = std::move(Response)](Tcp::socket &Socket,
                                            const std::string &) {
      return send(Socket, Response);
    };
  }
  static auto send(Tcp::socket &Socket, const std::string &Text) -> bool {
    boost::system::error_code Failure;
    boost::asio::write(Socket, boost::asio::buffer(Text), Failure);
    return !Failure;
  }

private:
  auto acceptAll() -> void {
    while (true) {
      auto Socket = std::make_shared<Tcp::socket>(Io);
      boost::system::error_code Failure;
      Listener.accept(*Socket, Failure);
      if (Stopping || Failure)
        return;
      const std::lock_guard Guard(Mutex);
      Sockets.push_back(Socket);
      ConnectionThreads.emplace_back([this, Socket] { serve(*Socket); });
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
      const std::size_t TotalSize =
          HeadSize + bodyLength(Data.substr(0, HeadSize));
      while (Data.size() < TotalSize && !Failure) {
        char Chunk[4096];
        const auto Count =
            Socket.read_some(boost::asio::buffer(Chunk), Failure);
        Data.append(Chunk, Count);
      }
      if (Failure)
        break;
      const std::string Request = Data.substr(0, TotalSize);
      Data.erase(0, TotalSize);
      {
        const std::lock_guard Guard(Mutex);
        ReceivedRequests.push_back(Request);
      }
      if (!OnRequest(Socket, Request))
        break;
    }
    ::shutdown(Socket.native_handle(), SHUT_RDWR);
  }

  static auto bodyLength(const std::string &Head) -> std::size_t {
    const std::string Name = "Content-Length: ";
    const std::size_t Position = Head.find(Name);
    return Position == std::string::npos
               ? 0
               : std::stoul(Head.substr(Position + Name.size()));
  }

  Script OnRequest;
  boost::asio::io_context Io;
  Tcp::acceptor Listener;
  mutable std::mutex Mutex;
  std::vector<std::shared_ptr<Tcp::socket>> Sockets;
  std::vector<std::string> ReceivedRequests;
  std::vector<std::thread> ConnectionThreads;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Crashed = false;
  std::thread AcceptThread;
};

} // namespace buckthornring::test
