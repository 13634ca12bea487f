#include "buckthornring/Config/DaemonSettings.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

// Guards against a key that is read into the wrong field, or not at all.
TEST(DaemonSettingsTest, ReadsEveryKey) {
  const auto Read = DaemonSettings::read(R"({
  // One instance.
  "instance": "i1", "data_centre": "dc1", "failure_domain": "rack1",
  "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:81",
  "link_address": "[::1]:82", "platform_address": "127.0.0.1:83",
  "traffic_threads": 3,
  "peers": {"i2": {"link_address": "127.0.0.1:84", "data_centre": "dc2",
                   "failure_domain": "rack2"}},
  "limits": {"max_head_bytes": 1000, "max_body_bytes": 2000,
             "idle_timeout_ms": 3000, "slow_sender_timeout_ms": 4000,
             "connections": 5000},
  "tls": {"caller": {"certificate_file": "c.pem", "key_file": "k.pem"},
          "link": {"certificate_file": "d.pem", "key_file": "l.pem",
                   "authority_file": "a.pem"}}
})",
                                         "d.json");
  ASSERT_TRUE(Read) << settingsErrorText(Read.Errors);
  const auto &Settings = *Read.Value;
  EXPECT_EQ(Settings.Instance.str(), "i1");
  EXPECT_EQ(Settings.DataCentre.str(), "dc1");
  EXPECT_EQ(Settings.FailureDomain, "rack1");
  EXPECT_EQ(Settings.CallerAddress, "127.0.0.1:0");
  EXPECT_EQ(Settings.AdminAddress, "127.0.0.1:81");
  EXPECT_EQ(Settings.LinkAddress, "[::1]:82");
  EXPECT_EQ(Settings.PlatformAddress, "127.0.0.1:83");
  EXPECT_EQ(Settings.TrafficThreads, 3U);
  const auto &Peer = Settings.Peers.at(InstanceId("i2"));
  EXPECT_EQ(Peer.LinkAddress, "127.0.0.1:84");
  EXPECT_EQ(Peer.DataCentre.str(), "dc2");
  EXPECT_EQ(Peer.FailureDomain, "rack2");
  EXPECT_EQ(Settings.Limits.MaxHeadBytes, 1000U);
  EXPECT_EQ(Settings.Limits.MaxBodyBytes, 2000U);
  EXPECT_EQ(Settings.Limits.IdleTimeout, std::chrono::seconds(3));
  EXPECT_EQ(Settings.Limits.SlowSenderTimeout, std::chrono::seconds(4));
  EXPECT_EQ(Settings.Limits.Connections, 5000U);
  ASSERT_TRUE(Settings.CallerTls && Settings.LinkTls);
  EXPECT_EQ(Settings.CallerTls->KeyFile, "k.pem");
  EXPECT_EQ(Settings.CallerTls->AuthorityFile, "");
  EXPECT_EQ(Settings.LinkTls->AuthorityFile, "a.pem");
}

// Guards against a daemon that starts with invalid settings.
TEST(DaemonSettingsTest, ReportsAllErrorsAtOnce) {
  const auto Read = DaemonSettings::read(R"({
  "instance": "i 1", "data_centre": "dc1", "failure_domain": "rack1",
  "caller_address": "127.0.0.1", "admin_address": "127.0.0.1:70000",
  "link_address": "::1:82", "platform_address": "127.0.0.1:0",
  "traffic_threads": 0.5,
  "peers": [],
  "tls": {"caller": {"key_file": ""}}
})",
                                         "d.json");
  std::string Keys;
  for (const auto &Each : Read.Errors)
    Keys += std::to_string(Each.Origin.Line) + " " + Each.Key + "\n";
  EXPECT_EQ(Keys, "2 instance\n3 caller_address\n3 admin_address\n"
                  "4 link_address\n4 platform_address\n5 traffic_threads\n"
                  "6 peers\n7 tls/caller/certificate_file\n"
                  "7 tls/caller/key_file\n");
}

// Guards against an instance that opens links to itself.
TEST(DaemonSettingsTest, RejectsItselfAsAPeer) {
  const auto Read = DaemonSettings::read(R"({
  "instance": "i1", "data_centre": "dc1", "failure_domain": "rack1",
  "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
  "link_address": "127.0.0.1:0", "platform_address": "127.0.0.1:1",
  "peers": {"i1": {"link_address": "127.0.0.1:2", "data_centre": "dc1"}}
})",
                                         "d.json");
  EXPECT_EQ(settingsErrorText(Read.Errors),
            "d.json:5: peers: found this instance, i1, allowed: other "
            "instances");
}

} // namespace
