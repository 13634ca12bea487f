#include "Entry/PeerLinks.h"

#include "IO/SteadyTime.h"
#include "buckthornring/Link/LinkCodec.h"

#include <span>
#include <utility>

namespace buckthornring {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;

// Interval in which new connections are looked for.
constexpr Duration IntroductionInterval = std::chrono::milliseconds(250);
// A process that has not introduced itself for this long was replaced.
constexpr Duration KnownProcessLifetime = std::chrono::seconds(60);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(500);

} // namespace

auto PeerLinks::create(boost::asio::io_context &Context, PeerIdentity Self,
                       Handlers Callbacks) -> std::unique_ptr<PeerLinks> {
  std::unique_ptr<PeerLinks> Links(
      new PeerLinks(Context, std::move(Self), std::move(Callbacks)));
  Links->introduceAll();
  return Links;
}

PeerLinks::PeerLinks(boost::asio::io_context &Context, PeerIdentity Self,
                     Handlers Callbacks)
    : Context(Context), Self(std::move(Self)), Callbacks(std::move(Callbacks)),
      IntroductionTimer(Context) {}

PeerLinks::~PeerLinks() {
  *Alive = false;
  close();
}

auto PeerLinks::listen(const Endpoint &Address) -> Result<Endpoint> {
  auto Listening =
      LinkServer::listen(Context, Address,
                         [this](const std::string &Bytes,
                                const LinkServer::ReplyFunction &Answer) {
                           handle(Bytes, Answer);
                         });
  if (!Listening)
    return Listening.error();
  Server = std::move(Listening).value();
  return Server->endpoint();
}

auto PeerLinks::setAddresses(const std::set<Endpoint> &Addresses) -> void {
  for (auto It = Peers.begin(); It != Peers.end();) {
    // The platform's list lags, so a peer with a live link stays.
    const bool Kept =
        Addresses.count(It->first) != 0 || It->second.Link->connected();
    It = Kept ? std::next(It) : Peers.erase(It);
  }
  for (const Endpoint &Address : Addresses) {
    if (Server && Address == Server->endpoint())
      continue;
    const auto [Entry, Added] = Peers.try_emplace(Address);
    if (Added)
      Entry->second.Link = LinkClient::create(Context, Address);
  }
}

auto PeerLinks::send(const InstanceId &Process, const LinkMessage &Message)
    -> bool {
  for (auto &[Address, To] : Peers) {
    if (!To.Identity || To.Identity->Process != Process ||
        !To.Link->connected())
      continue;
    PeerEnvelope Envelope;
    Envelope.Sender = Self;
    Envelope.Payload = LinkCodec::encode(Message);
    To.Link->request(Envelope.encode(), AnswerTimeout,
                     [](const Result<std::string> &) {});
    return true;
  }
  return false;
}

auto PeerLinks::peers() const -> std::vector<PeerIdentity> {
  std::vector<PeerIdentity> Live;
  for (const auto &[Address, Entry] : Peers)
    if (Entry.Identity && Entry.Link->connected())
      Live.push_back(*Entry.Identity);
  return Live;
}

auto PeerLinks::close() -> void {
  IntroductionTimer.cancel();
  Peers.clear();
  Server.reset();
}

auto PeerLinks::handle(const std::string &Bytes,
                       const LinkServer::ReplyFunction &Answer) -> void {
  const auto Envelope = PeerEnvelope::decode(Bytes);
  if (!Envelope)
    return Answer("");
  if (Envelope->Content == PeerEnvelope::Kind::Introduction) {
    Known[Envelope->Sender.Process] = {Envelope->Sender, steadyNow()};
    PeerEnvelope Own;
    Own.Content = PeerEnvelope::Kind::Introduction;
    Own.Sender = Self;
    return Answer(Own.encode());
  }
  Answer("");
  const auto From = Known.find(Envelope->Sender.Process);
  auto Message = LinkCodec::decode(Envelope->Payload);
  if (Message && From != Known.end())
    Callbacks.OnMessage(From->second.Identity, std::move(Message).value());
}

auto PeerLinks::forgetOldProcesses() -> void {
  const TimePoint Oldest = steadyNow() - KnownProcessLifetime;
  for (auto It = Known.begin(); It != Known.end();)
    It = It->second.SeenAt < Oldest ? Known.erase(It) : std::next(It);
}

auto PeerLinks::introduceAll() -> void {
  forgetOldProcesses();
  for (auto &[Address, To] : Peers)
    introduce(Address, To);
  IntroductionTimer.expires_after(IntroductionInterval);
  IntroductionTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (!Cancelled && *Living)
          introduceAll();
      });
}

auto PeerLinks::introduce(const Endpoint &Address, Peer &To) -> void {
  if (!To.Link->connected())
    return setIdentity(To, std::nullopt);
  // A replaced process is reached on a new connection.
  const bool SameConnection =
      To.Identity && To.Connection == To.Link->connectionCount();
  const TimePoint Now = steadyNow();
  if (SameConnection && Now - To.IntroducedAt < KnownProcessLifetime / 4)
    return;
  To.IntroducedAt = Now;
  PeerEnvelope Own;
  Own.Content = PeerEnvelope::Kind::Introduction;
  Own.Sender = Self;
  To.Link->request(
      Own.encode(), AnswerTimeout,
      [this, Living = Alive, Address](const Result<std::string> &Answer) {
        if (*Living)
          identify(Address, Answer);
      });
}

auto PeerLinks::identify(const Endpoint &Address,
                         const Result<std::string> &Answer) -> void {
  const auto Found = Peers.find(Address);
  if (Found == Peers.end())
    return;
  if (!Answer)
    return setIdentity(Found->second, std::nullopt);
  Found->second.Connection = Found->second.Link->connectionCount();
  auto Envelope = PeerEnvelope::decode(*Answer);
  if (Envelope && Envelope->Content == PeerEnvelope::Kind::Introduction)
    setIdentity(Found->second, std::move(Envelope->Sender));
}

auto PeerLinks::setIdentity(Peer &Of, std::optional<PeerIdentity> Identity)
    -> void {
  if (Of.Identity == Identity)
    return;
  Of.Identity = std::move(Identity);
  if (Callbacks.OnPeersChanged)
    Callbacks.OnPeersChanged();
}

} // namespace buckthornring
