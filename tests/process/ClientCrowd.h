#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring::test {

/// What one client of a crowd does on its connection: sends Head, then Piece
/// PieceCount times, then Tail, and stays open.
struct ClientPlan {
  std::string Head;
  std::string Piece;
  std::size_t PieceCount = 0;
  std::string Tail;
  /// Sent again after each TrickleInterval once the rest has been sent.
  std::string Trickle;
  std::chrono::milliseconds TrickleInterval{1000};
  bool Reads = true;
  /// Pause after each read of at most 4,096 bytes.
  std::chrono::milliseconds ReadPause{0};
};

/// Clients on connections of their own, served by one thread: run().
class ClientCrowd {
public:
  ClientCrowd(const boost::asio::ip::tcp::endpoint &Server, std::size_t Clients,
              const ClientPlan &Plan);
  ~ClientCrowd();

  /// Lets the clients act for this time. They stay open afterwards.
  auto run(std::chrono::milliseconds Period) -> void;
  /// Responses that begin with \p Status, as far as they were read.
  auto responses(const std::string &Status) const -> std::size_t;

private:
  class Client;

  boost::asio::io_context Io;
  std::vector<std::shared_ptr<Client>> Clients;
};

} // namespace buckthornring::test
