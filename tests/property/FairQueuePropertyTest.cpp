#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/FairQueue.h"
#include "support/SeededSchedules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>

using namespace buckthornring;
using namespace buckthornring::testing;

namespace {

constexpr std::size_t Workspaces = 4;

auto nameOf(std::size_t Index) -> WorkspaceId {
  return WorkspaceId(std::to_string(Index));
}

/// Random pushes, pops and withdrawals against a plain model.
auto randomOperations(std::uint64_t Seed) -> std::string {
  RandomSource Random(Seed);
  FairQueue Queue;
  std::array<std::set<FairQueue::Ticket>, Workspaces> Waiting;
  const auto Limit = static_cast<std::uint32_t>(1 + Random.below(8));
  for (std::size_t W = 0; W < Workspaces; ++W)
    Queue.configure(nameOf(W),
                    {static_cast<std::uint32_t>(Random.below(5)), Limit});
  FairQueue::Ticket Last = 0;
  for (int Step = 0; Step < 400; ++Step) {
    const std::size_t W = Random.below(Workspaces);
    auto &Own = Waiting[W];
    if (Random.chance(0.5)) {
      const bool Fits = Own.size() < Limit;
      if (Queue.push(nameOf(W), ++Last) != Fits)
        return "the queue limit is not respected";
      if (Fits)
        Own.insert(Last);
    } else if (Random.chance(0.3)) {
      const auto Ticket = Own.empty() ? Last + 1 : *Own.begin();
      if (Queue.remove(nameOf(W), Ticket) != (Own.erase(Ticket) > 0))
        return "a withdrawal is answered wrongly";
    } else {
      const auto Ticket = Queue.pop();
      const bool Known =
          Ticket && std::any_of(Waiting.begin(), Waiting.end(), [&](auto &Set) {
            // First in, first out within a workspace.
            return !Set.empty() && *Set.begin() == *Ticket &&
                   Set.erase(*Ticket) > 0;
          });
      const bool Empty =
          std::all_of(Waiting.begin(), Waiting.end(),
                      [](const auto &Set) { return Set.empty(); });
      if (Ticket ? !Known : !Empty)
        return "a request is lost, repeated or out of order";
    }
  }
  return "";
}

/// Busy workspaces with random weights and costs; \p IgnoreWeights is the
/// deliberate fault.
auto shares(std::uint64_t Seed, bool IgnoreWeights) -> std::string {
  RandomSource Random(Seed);
  FairQueue Queue;
  std::array<double, Workspaces> Weight{};
  std::array<double, Workspaces> Served{};
  std::map<FairQueue::Ticket, std::pair<std::size_t, std::uint32_t>> Pushed;
  FairQueue::Ticket Last = 0;
  const auto Push = [&](std::size_t W) {
    const auto Cost = static_cast<std::uint32_t>(1 + Random.below(4));
    Pushed[++Last] = {W, Cost};
    Queue.push(nameOf(W), Last, Cost);
  };
  double Weights = 0;
  for (std::size_t W = 0; W < Workspaces; ++W) {
    const auto Drawn = static_cast<std::uint32_t>(1 + Random.below(6));
    Weight[W] = Drawn;
    Weights += Drawn;
    Queue.configure(nameOf(W), {IgnoreWeights ? 1 : Drawn, 8});
    for (int I = 0; I < 8; ++I)
      Push(W);
  }
  double All = 0;
  for (int Step = 0; Step < 2000; ++Step) {
    const auto [W, Cost] = Pushed.at(*Queue.pop());
    Served[W] += Cost;
    All += Cost;
    Push(W);
  }
  // A round serves the sum of the weights, and a workspace is at most one
  // quantum and one largest cost away from its share.
  for (std::size_t W = 0; W < Workspaces; ++W)
    if (std::abs(Served[W] - All * Weight[W] / Weights) > 2 * Weight[W] + 8)
      return "workspace " + std::to_string(W) + " got " +
             std::to_string(Served[W] / All) + " instead of " +
             std::to_string(Weight[W] / Weights);
  return "";
}

// Guards against requests that are lost, served twice or out of order.
TEST(FairQueuePropertyTest, ServesEachRequestOnceAndInOrder) {
  expectAllPass(500, randomOperations);
}

// Guards against slots that don't follow the weights under constant demand.
TEST(FairQueuePropertyTest, BusyWorkspacesGetTheirWeights) {
  expectAllPass(100, [](std::uint64_t Seed) { return shares(Seed, false); });
}

// Guards against a check that can't fail.
TEST(FairQueuePropertyTest, DetectsIgnoredWeights) {
  expectSomeFailure(20, [](std::uint64_t Seed) { return shares(Seed, true); });
}

} // namespace
