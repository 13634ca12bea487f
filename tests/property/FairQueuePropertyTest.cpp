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

/// Compares random pushes, pops and withdrawals with a simple model. Returns
/// the first difference, or an empty text.
auto randomOperations(std::uint64_t Seed) -> std::string {
  RandomSource Random(Seed);
  FairQueue Queue;
  std::array<std::set<FairQueue::Ticket>, Workspaces> Waiting;
  const auto Limit = static_cast<std::uint32_t>(1 + Random.below(8));
  for (std::size_t W = 0; W < Workspaces; ++W)
    Queue.configure(nameOf(W),
                    {static_cast<std::uint32_t>(Random.below(5)), Limit});
  FairQueue::Ticket LastTicket = 0;
  for (int Step = 0; Step < 400; ++Step) {
    const std::size_t W = Random.below(Workspaces);
    auto &Expected = Waiting[W];
    if (Random.chance(0.5)) {
      const bool Fits = Expected.size() < Limit;
      if (Queue.push(nameOf(W), ++LastTicket) != Fits)
        return "push() did not respect the queue limit";
      if (Fits)
        Expected.insert(LastTicket);
    } else if (Random.chance(0.3)) {
      const auto Ticket = Expected.empty() ? LastTicket + 1 : *Expected.begin();
      if (Queue.remove(nameOf(W), Ticket) != (Expected.erase(Ticket) > 0))
        return "remove() returned the wrong result";
    } else {
      const auto Ticket = Queue.pop();
      const bool WasWaiting =
          Ticket && std::any_of(Waiting.begin(), Waiting.end(), [&](auto &Set) {
            // First in, first out within a workspace.
            return !Set.empty() && *Set.begin() == *Ticket &&
                   Set.erase(*Ticket) > 0;
          });
      const bool Empty =
          std::all_of(Waiting.begin(), Waiting.end(),
                      [](const auto &Set) { return Set.empty(); });
      if (Ticket ? !WasWaiting : !Empty)
        return "a request is lost, repeated or out of order";
    }
  }
  return "";
}

/// Checks the service of workspaces that always have waiting requests, with
/// random weights and costs. \p IgnoreWeights is the deliberate fault.
auto shares(std::uint64_t Seed, bool IgnoreWeights) -> std::string {
  RandomSource Random(Seed);
  FairQueue Queue;
  std::array<double, Workspaces> Weight{};
  std::array<double, Workspaces> Served{};
  std::map<FairQueue::Ticket, std::pair<std::size_t, std::uint32_t>> Pushed;
  FairQueue::Ticket LastTicket = 0;
  const auto Push = [&](std::size_t W) {
    const auto Cost = static_cast<std::uint32_t>(1 + Random.below(4));
    Pushed[++LastTicket] = {W, Cost};
    Queue.push(nameOf(W), LastTicket, Cost);
  };
  double Weights = 0;
  for (std::size_t W = 0; W < Workspaces; ++W) {
    const auto RandomWeight = static_cast<std::uint32_t>(1 + Random.below(6));
    Weight[W] = RandomWeight;
    Weights += RandomWeight;
    Queue.configure(nameOf(W), {IgnoreWeights ? 1 : RandomWeight, 8});
    for (int I = 0; I < 8; ++I)
      Push(W);
  }
  double TotalServed = 0;
  for (int Step = 0; Step < 2000; ++Step) {
    const auto [W, Cost] = Pushed.at(*Queue.pop());
    Served[W] += Cost;
    TotalServed += Cost;
    Push(W);
  }
  // A round serves the sum of the weights, and a workspace is at most one
  // quantum and one largest cost away from its share.
  for (std::size_t W = 0; W < Workspaces; ++W)
    if (std::abs(Served[W] - TotalServed * Weight[W] / Weights) >
        2 * Weight[W] + 8)
      return "workspace " + std::to_string(W) + " got " +
             std::to_string(Served[W] / TotalServed) + " instead of " +
             std::to_string(Weight[W] / Weights);
  return "";
}

// Guards against requests that are lost, served twice or out of order.
TEST(FairQueuePropertyTest, ServesEachRequestOnceAndInOrder) {
  expectAllPass(500, randomOperations);
}

// Guards against slots that don't follow the weights under constant demand.
TEST(FairQueuePropertyTest, ServiceFollowsWeightsUnderConstantDemand) {
  expectAllPass(100, [](std::uint64_t Seed) { return shares(Seed, false); });
}

// Guards against a check that can't fail.
TEST(FairQueuePropertyTest, DetectsIgnoredWeights) {
  expectSomeFailure(20, [](std::uint64_t Seed) { return shares(Seed, true); });
}

} // namespace
