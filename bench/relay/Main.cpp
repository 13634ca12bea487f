#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cxxopts.hpp>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

/// Forwards the requests of one caller connection over one upstream connection
/// and the responses back, without further processing. This is the baseline
/// with which the router is compared.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
public:
  RelayedConnection(Tcp::socket Caller, Tcp::socket Upstream)
      : Caller(std::move(Caller)), Upstream(std::move(Upstream)) {}

  auto readRequest() -> void {
    Request = {};
    http::async_read(Caller, CallerBuffer, Request,
                     [Self = shared_from_this()](auto Failure, std::size_t) {
                       if (!Failure)
                         Self->sendRequest();
                     });
  }

private:
  auto sendRequest() -> void {
    http::async_write(Upstream, Request,
                      [Self = shared_from_this()](auto Failure, std::size_t) {
                        if (!Failure)
                          Self->readResponse();
                      });
  }

  auto readResponse() -> void {
    Response = {};
    http::async_read(Upstream, UpstreamBuffer, Response,
                     [Self = shared_from_this()](auto Failure, std::size_t) {
                       if (!Failure)
                         Self->sendResponse();
                     });
  }

  auto sendResponse() -> void {
    http::async_write(Caller, Response,
                      [Self = shared_from_this()](auto Failure, std::size_t) {
                        if (!Failure)
                          Self->readRequest();
                      });
  }

  Tcp::socket Caller;
  Tcp::socket Upstream;
  boost::beast::flat_buffer CallerBuffer;
  boost::beast::flat_buffer UpstreamBuffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

/// Accepts caller connections and distributes them round-robin over the
/// threads.
class Relay {
public:
  Relay(std::size_t Threads, std::uint16_t TargetPort)
      : Target(boost::asio::ip::address_v4::loopback(), TargetPort),
        Acceptor(AcceptContext, {boost::asio::ip::address_v4::loopback(), 0}) {
    for (std::size_t I = 0; I < Threads; ++I)
      Contexts.push_back(std::make_unique<boost::asio::io_context>(1));
  }

  auto port() const -> std::uint16_t {
    return Acceptor.local_endpoint().port();
  }

  auto run() -> void {
    std::vector<std::thread> Threads;
    Threads.reserve(Contexts.size());
    for (const auto &Context : Contexts)
      Threads.emplace_back([&Context] {
        const auto Work = boost::asio::make_work_guard(*Context);
        Context->run();
      });
    acceptNext();
    AcceptContext.run();
    for (std::thread &Each : Threads)
      Each.join();
  }

private:
  auto acceptNext() -> void {
    auto &Context = *Contexts[NextContext++ % Contexts.size()];
    Acceptor.async_accept(Context,
                          [this, &Context](auto Failure, Tcp::socket Caller) {
                            if (!Failure)
                              connect(Context, std::move(Caller));
                            acceptNext();
                          });
  }

  auto connect(boost::asio::io_context &Context, Tcp::socket Caller) -> void {
    Tcp::socket Upstream(Context);
    boost::system::error_code Failure;
    Upstream.connect(Target, Failure);
    if (Failure)
      return;
    Upstream.set_option(Tcp::no_delay(true), Failure);
    Caller.set_option(Tcp::no_delay(true), Failure);
    std::make_shared<RelayedConnection>(std::move(Caller), std::move(Upstream))
        ->readRequest();
  }

  Tcp::endpoint Target;
  boost::asio::io_context AcceptContext{1};
  Tcp::acceptor Acceptor;
  std::vector<std::unique_ptr<boost::asio::io_context>> Contexts;
  std::size_t NextContext = 0;
};

} // namespace

auto main(int Count, char **Arguments) -> int {
  try {
    cxxopts::Options Options("bench_relay", "Minimal HTTP relay on loopback");
    auto Add = Options.add_options();
    Add("target", "Port of the target on 127.0.0.1",
        cxxopts::value<std::uint16_t>());
    Add("threads", "Number of threads",
        cxxopts::value<std::size_t>()->default_value("1"));
    const auto Parsed = Options.parse(Count, Arguments);
    Relay Server(Parsed["threads"].as<std::size_t>(),
                 Parsed["target"].as<std::uint16_t>());
    std::printf("listening 127.0.0.1:%u\n", Server.port());
    std::fflush(stdout);
    Server.run();
    return 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "bench_relay: %s\n", Failure.what());
    return 2;
  }
}
