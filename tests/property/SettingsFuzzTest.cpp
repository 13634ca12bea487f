#include "buckthornring/Common/Random.h"
#include "buckthornring/Config/ConfigChecker.h"
#include "buckthornring/Config/ConfigFolder.h"
#include "buckthornring/Config/ConfigRecord.h"
#include "buckthornring/Config/DaemonSettings.h"

#include "Seeds.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

const std::string Valid = R"({
  // Comment
  "data_centres": {"dc1": {"weight": 2, "region": "jm"}, "dc2": {}},
  "workspaces": {"acme": {"rate_per_second": 1.5e2, "burst": 50,
    "staleness_limit_ms": 3000, "queue_limit": 7, "weight": 3}},
  /* caller keys */
  "caller_keys": {"k": {"workspace": "acme", "withdrawn": false, "digest":
"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}},
  "services": {"stock": {"kind": "divided", "slices": 512,
    "targets": {"s1": {"address": "127.0.0.1:9001", "data_centre": "dc1"}}}},
  "routes": {"r": {"path_prefix": "/stock", "service": "stock",
    "key_source": "header", "key_name": "X-Key", "idempotent": true}}
})";

const std::string ValidDaemon = R"({
  "instance": "i1", "data_centre": "dc1", "failure_domain": "rack1",
  "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:81",
  "link_address": "[::1]:82", "platform_address": "127.0.0.1:83",
  "peers": {"i2": {"link_address": "127.0.0.1:84", "data_centre": "dc2"}},
  "limits": {"max_head_bytes": 1000}, "tls": {"caller": {
    "certificate_file": "c.pem", "key_file": "k.pem"}}
})";

const std::vector<std::string> Tokens = {
    "{",         "}",    "[",       "]",    "\"",
    ":",         ",",    "null",    "-1",   "1e999",
    "0.5",       "true", "{}",      "[]",   "\\u0000",
    "\xff",      "\n",   "//",      "/*",   "18446744073709551616",
    "dc1",       "acme", "\"a\":1", "\"\"", "65537",
    "4294967296"};

/// Removes, copies or overwrites parts of the text, or inserts tokens.
auto mutate(std::string Text, RandomSource &Random) -> std::string {
  const auto Changes = 1 + Random.below(4);
  for (std::uint64_t I = 0; I < Changes && !Text.empty(); ++I) {
    const auto At = Random.below(Text.size());
    const auto Length = Random.below(12);
    switch (Random.below(5)) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text.insert(At, Tokens[Random.below(Tokens.size())]);
      break;
    case 2:
      Text[At] = static_cast<char>(Random.below(256));
      break;
    case 3:
      Text.insert(Random.below(Text.size()), Text.substr(At, 5 * Length));
      break;
    default:
      Text.replace(At, Length, Tokens[Random.below(Tokens.size())]);
    }
  }
  return Text;
}

/// Either a value or errors that name their file, never both or neither.
template <class T>
auto expectValueOrErrors(const Checked<T> &Found, const std::string &Text)
    -> void {
  ASSERT_NE(Found.Value.has_value(), !Found.Errors.empty()) << Text;
  for (const auto &Each : Found.Errors) {
    ASSERT_EQ(Each.Origin.File, "f.json") << Text;
    ASSERT_GT(Each.Origin.Line, 0U) << Text;
    ASSERT_FALSE(Each.Found.empty()) << Text;
    ASSERT_FALSE(Each.Allowed.empty()) << Text;
    for (const char C : Each.Found)
      ASSERT_TRUE(C >= ' ' && C <= '~') << Text;
  }
}

// Guards against mutated settings that crash the reader or the checker, or
// that give neither a value nor errors.
TEST(SettingsFuzzTest, MutatedConfigurationsGiveErrorsOrAValue) {
  int Accepted = 0;
  test::forEachSeed("SettingsFuzzTest.MutatedConfigurations*", 3000,
                    [&](std::uint64_t Seed) {
                      RandomSource Random(Seed);
                      const auto Text = mutate(Valid, Random);
                      const auto Read = ConfigFolder::merge({{"f.json", Text}});
                      expectValueOrErrors(Read, Text);
                      if (!Read)
                        return;
                      const auto Found = ConfigChecker::check(*Read.Value, 1);
                      expectValueOrErrors(Found, Text);
                      Accepted += Found ? 1 : 0;
                    });
  if (std::getenv("BTR_SEED") == nullptr) {
    EXPECT_GT(Accepted, 0) << "no mutation reached the end of the check";
  }
}

TEST(SettingsFuzzTest, MutatedDaemonSettingsGiveErrorsOrAValue) {
  test::forEachSeed(
      "SettingsFuzzTest.MutatedDaemon*", 2000, [](std::uint64_t Seed) {
        RandomSource Random(Seed);
        const auto Text = mutate(ValidDaemon, Random);
        expectValueOrErrors(DaemonSettings::read(Text, "f.json"), Text);
      });
}

// Guards against a mutated record that is taken for an accepted one: only the
// content is covered by the digest, and every accepted record must round-trip.
TEST(SettingsFuzzTest, MutatedRecordsAreRefusedOrRoundTrip) {
  const auto Content = ConfigFolder::merge({{"f.json", Valid}}).Value.value();
  const auto Text = ConfigRecord::next(nullptr, Content, "u1").value().text();
  const auto Canonical = Content.canonicalText();
  test::forEachSeed(
      "SettingsFuzzTest.MutatedRecords*", 2000, [&](std::uint64_t Seed) {
        RandomSource Random(Seed);
        const auto Read = ConfigRecord::parse(mutate(Text, Random));
        if (!Read)
          return;
        ASSERT_EQ(Read->content().canonicalText(), Canonical);
        ASSERT_TRUE(ConfigRecord::parse(Read->text()));
      });
}

} // namespace
