#pragma once

#include "Gateway/CallerSession.h"
#include "Gateway/ChangeRelay.h"
#include "Gateway/CrashMonitor.h"
#include "Gateway/FleetMember.h"
#include "Gateway/Gateway.h"
#include "Gateway/Leader.h"
#include "Gateway/MemoryKeeper.h"
#include "Gateway/PeerSocket.h"
#include "Gateway/RelayedStore.h"
#include "Gateway/RequestContext.h"
#include "Gateway/RequestFlow.h"
#include "Gateway/RolloutAgent.h"
#include "Gateway/RolloutLeader.h"
#include "Gateway/StoreFeed.h"
#include "Gateway/WaitQueue.h"
#include "Memory/ConnectionLimits.h"
#include "buckthornring/IO/HttpClient.h"
#include "buckthornring/IO/HttpServer.h"
#include "buckthornring/Observe/PrometheusText.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

namespace buckthornring {

/// The components of one instance. All callbacks between them run on one
/// thread.
struct Gateway::Impl final : public CallerHandler {
  Impl(GatewaySettings InitialSettings, PlatformProtocol InitialProtocol);

  // CallerHandler.
  auto onRequest(const std::shared_ptr<CallerSession> &Session,
                 std::uint64_t RequestNumber, CallerRequest Request)
      -> void override;
  auto onCallerDisconnected(const CallerSession &Session,
                            std::uint64_t RequestNumber) -> void override;
  auto makeErrorResponse(unsigned Status) -> CallerResponse override;
  /// Logs that a request to the address named \p Address was refused unread.
  auto logUnreadable(std::string_view Address, unsigned Status) -> void;
  auto onSessionEnded(const std::shared_ptr<CallerSession> &Session)
      -> void override;
  auto onSocketClosed() -> void override;

  auto bind(const StoreFactory &MakeStore) -> Result<bool>;
  auto start() -> void;
  auto accept() -> void;
  auto retryAccept(const boost::system::error_code &Cause) -> void;
  auto startSession(boost::asio::ip::tcp::socket Socket) -> void;
  /// Whether one more connection of a caller may be open. Closes the one that
  /// has been without a request for the longest time, if there are too many.
  auto makeRoomForSession() -> bool;
  auto appendConnectionMetrics(PrometheusText &Text) const -> void;

  // Store updates.
  auto makeFeeds() -> void;
  auto makeFeed(const std::string &Kind, StoreFeed::Handlers Handlers)
      -> std::unique_ptr<StoreFeed>;
  auto onConfigurationChanged(const StoredObject &Object) -> void;
  /// Whether \p Known is the configuration in force and newer than the one that
  /// the store holds (null: none).
  auto isNewerConfiguration(const StoredObject &Known,
                            const StoredObject *Held) const -> bool;
  auto applyConfiguration(Configuration Accepted) -> void;
  auto onTargetsListed(const std::map<std::string, StoredObject> &Objects)
      -> void;
  auto onTargetChanged(const StoredObject &Object) -> void;
  auto onEvacuationsChanged() -> void;
  auto onStoreRestored(const std::string &Kind, std::uint64_t RevisionBefore,
                       std::uint64_t RevisionAfter) -> void;
  /// Takes evacuations back that the store has not had again in time.
  auto dropMissingEvacuations(TimePoint Now) -> void;
  auto onRouterObjectChanged(const StoredObject &Object) -> void;
  auto onRolloutsListed(const std::map<std::string, StoredObject> &Objects)
      -> void;
  auto onRolloutChanged(const StoredObject &Object) -> void;
  /// Nothing: the entry names no order.
  auto readRollout(const StoredObject &Object) -> std::optional<RolloutOrder>;
  auto onRolloutRecord(const StoredObject &Object) -> void;
  auto makeRollouts() -> void;
  auto stepRollouts(TimePoint Now) -> void;
  auto addRolloutMetrics(PrometheusText &Text) const -> void;
  auto rolloutsJson() const -> std::string;
  /// The feeds that are started once the relay is known.
  auto laterFeeds() const -> std::vector<StoreFeed *>;
  auto allFeeds() const -> std::vector<StoreFeed *>;
  auto onRangesChanged(const ServiceId &Service, const StoredObject &Object)
      -> void;
  /// Whether a record of key ranges that was written in an earlier era of the
  /// store is the newest one known, so that requests are best sent by it.
  auto useVoidRanges(const ServiceId &Service, const StoredObject &Object,
                     const RangeRecord &Record, RangeView &View) -> bool;
  /// Time until which target records that are missing from the store are kept,
  /// because they may reappear.
  auto missingRecordExpiry() const -> TimePoint;
  auto onStoreContactChanged(const std::string &Kind, bool Connected,
                             const char *Reason) -> void;

  /// Open watches may have lost their connections like a call that had no
  /// answer: reads all objects anew.
  auto recheckFeeds() -> void;

  // Peers.
  auto seenChanges() const -> SeenRevisions;
  /// Whether this instance has read the store up to these changes.
  auto isUpToDateWith(const SeenRevisions &Others) const -> bool;
  auto storeReachable() const -> bool;
  /// Reads the changes in \p Others, which the instance at \p Address has seen
  /// and this one has not.
  auto catchUp(const SeenRevisions &Others, const std::string &Address) -> void;
  /// Starts the feeds other than that of the router's own objects.
  auto startFeeds() -> void;
  /// Reads the store through the instance at \p Primary, or through \p Backup
  /// while that does not respond; relays the store to other instances if \p
  /// Primary is this instance's own address.
  auto useRelays(const std::string &Primary, const std::string &Backup) -> void;
  /// Another instance reads the store through this one. Its choice of the relay
  /// may be newer than the one that this instance knows.
  auto onChangesRequested() -> void;
  auto fetchPeerState(const std::string &Address) -> void;
  auto applyPeerState(const std::string &Body) -> void;
  auto handlePeerRequest(const HttpRequest &Request, const HttpResponder &To)
      -> void;
  auto stateJson() const -> std::string;
  /// The feeds whose objects are sent to peers, by their names there.
  auto statefulFeeds() const
      -> std::vector<std::pair<std::string_view, StoreFeed *>>;
  auto addAdmission(PrometheusText &Text) const -> void;
  auto metricsText() const -> std::string;

  // Process lifecycle.
  /// Writes a line when a service becomes short of room or has room again.
  auto logShortages(TimePoint Now) -> void;
  auto tick() -> void;
  auto updateWatchTimeout() -> void;
  auto armTickTimer() -> void;
  auto armDispatchTimer() -> void;
  auto waitForSignal() -> void;
  auto beginStop() -> void;
  auto continueStop() -> void;
  auto stopListening() -> void;
  auto reloadSettings(const char *Cause) -> void;
  auto reloadChangedFile(TimePoint Now) -> void;
  auto ready() const -> bool;

  boost::asio::io_context Io{1};
  GatewaySettings Settings;
  PlatformProtocol Protocol;
  EventLog Events;
  std::string ProcessName;
  MemoryKeeper Memory;
  ConnectionLimits Connections;
  TargetTable Targets;
  TargetConnectionPool Pool;
  WaitQueue WaitingRequests;
  AnnouncementRecorder Announcements;
  CrashSuspects Suspects;
  CrashMonitor Crashes;
  Counters Totals{1};
  RequestContext Requests;
  std::unique_ptr<RelayedStore> Store;
  std::unique_ptr<StoreFeed> ConfigurationFeed;
  std::unique_ptr<StoreFeed> TargetFeed;
  std::unique_ptr<StoreFeed> EvacuationFeed;
  std::unique_ptr<StoreFeed> RouterObjectsFeed;
  // Null in a deployment without rollouts.
  std::unique_ptr<StoreFeed> RolloutFeed;
  std::unique_ptr<RolloutAgent> Rollouts;
  std::unique_ptr<RolloutLeader> RolloutDecisions;
  std::unique_ptr<ChangeRelay> Relay;
  std::unique_ptr<PeerSocket> Peers;
  std::unique_ptr<Leader> LocalLeader;
  std::unique_ptr<FleetMember> Member;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> PeerServer;
  std::unique_ptr<HttpClient> PeerClient;
  std::string PeerClientAddress;
  boost::asio::ip::tcp::acceptor Listener;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer AcceptTimer;
  boost::asio::steady_timer DispatchTimer;
  boost::asio::steady_timer StopTimer;
  boost::asio::steady_timer FeedStartTimer;
  SettingsReload Reload;
  std::filesystem::path SettingsFile;
  std::filesystem::file_time_type
      SettingsModifiedAt;              ///< Of the settings file last read.
  TimePoint NextFileCheckAt = LongAgo; ///< Next check of the settings file.
  std::set<std::shared_ptr<CallerSession>> Sessions;
  std::map<std::pair<const CallerSession *, std::uint64_t>,
           std::shared_ptr<RequestFlow>>
      Flows;
  TimePoint StopStartedAt = LongAgo; ///< LongAgo: not stopping.
  /// Ended sessions whose callers may still be reading the last response.
  std::size_t LingeringSessions = 0;
  std::uint64_t DisplacedSessions = 0; ///< Closed for another connection.
  std::uint64_t RejectedSessions = 0;  ///< Closed for want of descriptors.
  std::uint64_t IgnoredRecords = 0;
  std::uint64_t StoreRestorations = 0;
  std::uint64_t RestoredEra = 0; ///< Era after the last of them.
  /// Evacuations that may be missing from a copy from which the store was
  /// restored, and the time until which they are kept.
  std::map<DataCentreId, TimePoint> UnconfirmedEvacuations;
  TimePoint RelayRequestedUntil = LongAgo;
  bool IsRelay = false; ///< Other instances read the store through this one.
  bool FeedsStarted = false;
  bool DispatchTimerArmed = false;
  bool FetchingPeerState = false;
};

} // namespace buckthornring
