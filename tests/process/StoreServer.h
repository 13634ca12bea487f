#pragma once

#include "support/FakeObjectStore.h"

#include "buckthornring/IO/HttpServer.h"

#include <memory>
#include <string>
#include <thread>

namespace buckthornring::test {

/// Serves the contents of an object store by the platform's HTTP interface on
/// the loopback interface, for instances that run as processes of their own.
class StoreServer {
public:
  StoreServer();
  ~StoreServer();
  StoreServer(const StoreServer &) = delete;
  auto operator=(const StoreServer &) -> StoreServer & = delete;

  auto contents() -> StoreContents & { return *Contents; }
  auto address() const -> std::string;

private:
  auto handle(const HttpRequest &Request, const HttpResponder &To) -> void;
  auto read(const HttpRequest &Request, const std::string &Kind,
            const HttpResponder &To) -> void;
  auto write(const HttpRequest &Request, const std::string &Kind,
             const HttpResponder &To) -> void;

  std::shared_ptr<StoreContents> Contents = std::make_shared<StoreContents>();
  boost::asio::io_context Io;
  FakeObjectStore Store{Io, Contents};
  std::unique_ptr<HttpServer> Server;
  std::thread ServingThread;
};

} // namespace buckthornring::test
