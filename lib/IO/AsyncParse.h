#pragma once

#include "IO/MessageParser.h"

#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>

#include <type_traits>
#include <utility>

namespace buckthornring {

/// How far asyncParse() reads.
enum class ParseUntil {
  NextPart, ///< As parsed by MessageParser::parsePart().
  HeadDone,
  Done,
};

/// State of asyncParse().
template <class Parser, class Buffer>
class ParseOperation {
public:
  ParseOperation(boost::asio::ip::tcp::socket &Socket, Buffer &Input,
                 Parser &Message, ParseUntil End)
      : Socket(Socket), Input(Input), Message(Message), End(End) {}

  template <class Operation>
  auto operator()(Operation &Self, boost::system::error_code Failure = {},
                  std::size_t Count = 0) -> void {
    switch (Next) {
    case Step::Begin:
      return advance(Self);
    case Step::Read:
      break;
    case Step::Complete:
      return Self.complete(Result);
    }
    if (Failure == boost::asio::error::eof) {
      Failure = boost::beast::http::error::end_of_stream;
      if (Message.got_some())
        Message.put_eof(Failure);
      return Self.complete(Failure);
    }
    if (Failure)
      return Self.complete(Failure);
    Input.commit(Count);
    advance(Self);
  }

private:
  enum class Step { Begin, Read, Complete };

  auto ended() const -> bool {
    return Message.is_done() ||
           (End == ParseUntil::HeadDone && Message.is_header_done());
  }

  auto parse() -> void {
    Result = {};
    while (!Result && !ended()) {
      Message.parsePart(Input, Result);
      if (End == ParseUntil::NextPart)
        return;
    }
  }

  template <class Operation>
  auto advance(Operation &Self) -> void {
    constexpr std::size_t MaxReadBytes = 65536;
    const bool Begins = Next == Step::Begin;
    parse();
    if (Result == boost::beast::http::error::need_more) {
      const std::size_t Size = boost::beast::read_size(Input, MaxReadBytes);
      if (Size > 0) {
        Next = Step::Read;
        return Socket.async_read_some(Input.prepare(Size), std::move(Self));
      }
      Result = boost::beast::http::error::buffer_overflow;
    }
    if (!Begins)
      return Self.complete(Result);
    Next = Step::Complete;
    boost::asio::post(Socket.get_executor(), std::move(Self));
  }

  boost::asio::ip::tcp::socket &Socket;
  Buffer &Input;
  Parser &Message;
  ParseUntil End;
  Step Next = Step::Begin;
  boost::system::error_code Result;
};

/// Reads and parses a message, as Beast's asynchronous read operations do. The
/// arguments have to live until \p Done is called with the error; it is never
/// called from within this function.
template <class Parser, class Buffer, class Handler>
auto asyncParse(boost::asio::ip::tcp::socket &Socket, Buffer &Input,
                Parser &Message, ParseUntil End, Handler &&Done) -> void {
  boost::asio::async_compose<std::decay_t<Handler>,
                             void(boost::system::error_code)>(
      ParseOperation<Parser, Buffer>(Socket, Input, Message, End), Done,
      Socket);
}

} // namespace buckthornring
