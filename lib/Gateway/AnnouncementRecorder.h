#pragma once

#include "Fleet/TargetTable.h"
#include "Gateway/Protocol.h"
#include "IO/EventLog.h"
#include "buckthornring/IO/HttpMessage.h"

#include <cstdint>
#include <functional>

namespace buckthornring {

/// Reads from the responses of targets what they announce of themselves, and
/// records it in the target table.
class AnnouncementRecorder {
public:
  struct Counts {
    std::uint64_t Leaving = 0; ///< Targets that have begun to leave.
    std::uint64_t Pauses = 0;
    std::uint64_t UnreadablePauses = 0;
    std::uint64_t UnreadableHandovers = 0;
  };

  AnnouncementRecorder(const PlatformProtocol &Protocol, TargetTable &Targets,
                       EventLog &Events)
      : Protocol(Protocol), Targets(Targets), Events(Events) {}

  /// Records the announcements in a response to a request or an order that was
  /// meant for the incarnation \p Target.
  auto record(const TargetRecord &Target, unsigned Status,
              const HttpHeaders &Fields) -> void;

  /// Records that a target has announced to another instance that it leaves.
  auto recordReported(const TargetRecord &Target, const InstanceId &Reporter)
      -> void;

  /// Sets what is called when a target has begun to leave or to pause.
  auto setHandler(std::function<void(const TargetRecord &)> Handler) -> void {
    OnChange = std::move(Handler);
  }

  auto counts() const -> const Counts & { return Total; }

private:
  /// \p Source is the instance that the target has told.
  auto logChange(const TargetRecord &Target, const char *Notice, Duration Pause,
                 std::string_view Source) -> void;
  /// Counts a header field that cannot be read, and logs \p Event.
  auto onUnreadable(const TargetRecord &Target, const char *Event,
                    std::uint64_t &Count, TimePoint Now) -> void;

  const PlatformProtocol &Protocol;
  TargetTable &Targets;
  EventLog &Events;
  std::function<void(const TargetRecord &)> OnChange;
  Counts Total;
  TimePoint NextUnreadableLineAt = LongAgo;
};

} // namespace buckthornring
