#include "Gateway/ClientOptions.h"

#include "IO/BootClock.h"

namespace buckthornring {

auto clientOptions(EventLog &Events) -> HttpClientOptions {
  HttpClientOptions Options;
  Options.OnUnreadable = [&Events](const std::string &Address,
                                   const std::string &Reason) {
    if (Events.admits(EventClass::Failure, bootNow()))
      Events.write(EventLine("response-unreadable")
                       .field("address", Address)
                       .field("reason", Reason));
  };
  return Options;
}

} // namespace buckthornring
