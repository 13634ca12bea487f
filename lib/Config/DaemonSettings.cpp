#include "buckthornring/Config/DaemonSettings.h"

#include "buckthornring/Config/SettingsReader.h"

#include "Config/FieldReader.h"

#include <utility>

namespace buckthornring {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

template <class IdType>
auto readId(FieldReader &Fields, const std::string &Key, IdType &Out) -> void {
  std::string Text;
  Fields.identifier(Key, Text);
  Out = IdType(std::move(Text));
}

auto readLimits(FieldReader &Fields, DaemonLimits &Out) -> void {
  Fields.integer("max_head_bytes", Out.MaxHeadBytes, 256, 1'048'576);
  Fields.integer("max_body_bytes", Out.MaxBodyBytes, 0, 1'073'741'824);
  Fields.duration("idle_timeout_ms", Out.IdleTimeout, milliseconds(10),
                  hours(1));
  Fields.duration("slow_sender_timeout_ms", Out.SlowSenderTimeout,
                  milliseconds(10), hours(1));
  Fields.integer("connections", Out.Connections, 1, 1'000'000);
}

auto readTls(FieldReader &Fields, std::optional<TlsFiles> &Out) -> void {
  TlsFiles Files;
  Fields.text("certificate_file", Files.CertificateFile, Presence::Required);
  Fields.text("key_file", Files.KeyFile, Presence::Required);
  Fields.text("authority_file", Files.AuthorityFile);
  Out = std::move(Files);
}

auto readPeers(FieldReader &Root, DaemonSettings &Out) -> void {
  const auto Read = [&Out](const std::string &Name, FieldReader &Fields) {
    PeerSettings Peer;
    Fields.address("link_address", Peer.LinkAddress, 1);
    readId(Fields, "data_centre", Peer.DataCentre);
    Fields.identifier("failure_domain", Peer.FailureDomain, Presence::Optional);
    Out.Peers[InstanceId(Name)] = std::move(Peer);
  };
  Root.entries("peers", Read);
  if (Out.Peers.contains(Out.Instance))
    Root.report("peers", "this instance, " + Out.Instance.str(),
                "other instances");
}

} // namespace

auto DaemonSettings::check(const SettingsDocument &Document)
    -> Checked<DaemonSettings> {
  std::vector<SettingsError> Errors;
  FieldReader Root(Document, Errors);
  DaemonSettings Out;
  readId(Root, "instance", Out.Instance);
  readId(Root, "data_centre", Out.DataCentre);
  Root.identifier("failure_domain", Out.FailureDomain);
  Root.address("caller_address", Out.CallerAddress, 0);
  Root.address("admin_address", Out.AdminAddress, 0);
  Root.address("link_address", Out.LinkAddress, 0);
  Root.address("platform_address", Out.PlatformAddress, 1);
  Root.integer("traffic_threads", Out.TrafficThreads, 1, 256);
  readPeers(Root, Out);
  Root.object("limits",
              [&](FieldReader &Fields) { readLimits(Fields, Out.Limits); });
  Root.object("tls", [&](FieldReader &Fields) {
    Fields.object("caller",
                  [&](FieldReader &Each) { readTls(Each, Out.CallerTls); });
    Fields.object("link",
                  [&](FieldReader &Each) { readTls(Each, Out.LinkTls); });
  });
  Root.finish();
  if (!Errors.empty())
    return {std::nullopt, std::move(Errors)};
  return {std::move(Out), {}};
}

auto DaemonSettings::read(std::string_view Text, const std::string &File)
    -> Checked<DaemonSettings> {
  auto Document = SettingsReader::read(Text, File);
  if (!Document)
    return {std::nullopt, std::move(Document.Errors)};
  return check(*Document.Value);
}

} // namespace buckthornring
