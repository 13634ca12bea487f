#pragma once

#include "Entry/SnapshotBuilder.h"
#include "IO/UnreadableLog.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/IO/HttpClient.h"
#include "buckthornring/Routing/ColdStartRamp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace buckthornring {

/// Asks the targets of the own data centre for health and load. Runs on the
/// control thread.
///
/// The cold-start allowance is that of this instance alone: a cold target may
/// get one request from each instance at the start of its ramp.
class TargetMonitor {
public:
  /// \p OnChanged is called when a target's condition() differs from before in
  /// more than its load.
  TargetMonitor(boost::asio::io_context &Context, DataCentreId Own,
                std::function<void()> OnChanged);
  ~TargetMonitor();
  TargetMonitor(const TargetMonitor &) = delete;
  auto operator=(const TargetMonitor &) -> TargetMonitor & = delete;

  auto setConfiguration(const Configuration &Config) -> void;

  /// Sets the parts of \p Known that come from the target's own reports.
  auto apply(const ServiceId &Service, const TargetId &Target,
             TargetCondition &Known) const -> void;

private:
  using Key = std::pair<ServiceId, TargetId>;
  struct State {
    std::string Address;
    std::unique_ptr<HttpClient> Client;
    std::unique_ptr<ColdStartRamp> Ramp;
    std::uint32_t Allowance = 1; ///< Until the first health report.
    unsigned Missed = 0;         ///< Health calls in a row without an answer.
    bool Draining = false;
    bool Pending = false;
    bool Unknown = true; ///< No health report yet.
    std::optional<double> Load;
  };

  auto scheduleTick() -> void;
  auto tick() -> void;
  auto ask(const Key &Name, State &Of) -> void;
  auto gotHealth(const Key &Name, const HttpOutcome &Outcome) -> void;
  auto gotLoad(const Key &Name, const HttpOutcome &Outcome) -> void;
  auto readHealth(State &Of, const std::string &Body) -> void;
  auto find(const Key &Name) -> State *;

  boost::asio::io_context &Context;
  DataCentreId Own;
  std::function<void()> OnChanged;
  UnreadableLog Unreadable{"targets"};
  boost::asio::steady_timer Timer;
  std::map<Key, State> Targets;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
