#include "Gateway/AnnouncementRecorder.h"

#include "IO/BootClock.h"

namespace buckthornring {

namespace {

/// Interval of log lines on fields that cannot be read; a faulty target may
/// send one in each response.
constexpr Duration UnreadableLineInterval = std::chrono::seconds(10);

constexpr unsigned MisdirectedRequest = 421;

} // namespace

auto AnnouncementRecorder::record(const TargetRecord &Target, unsigned Status,
                                  const HttpHeaders &Fields) -> void {
  // Another target may have the address now.
  if (Status == MisdirectedRequest)
    return;
  const TimePoint Now = bootNow();
  const TargetNotices Notices = Protocol.ReadNotices(Status, Fields);
  if (Notices.UnreadablePause)
    onUnreadable(Target, "target-pause-unreadable", Total.UnreadablePauses,
                 Now);
  if (Notices.UnreadableHandover)
    onUnreadable(Target, "target-handover-unreadable",
                 Total.UnreadableHandovers, Now);
  if (!Notices.Leaving && !Notices.RequestedPause)
    return;
  const AnnouncementChange Change = Targets.announced(Target, Notices, Now);
  if (Change.Leaving) {
    ++Total.Leaving;
    logChange(Target, "leaving", Duration(0), "self");
  }
  if (Change.Paused) {
    ++Total.Pauses;
    // A target may ask for one short pause after another.
    if (Events.admits(EventClass::Failure, Now))
      logChange(Target, "pause", *Notices.RequestedPause, "self");
  }
  if (OnChange && (Change.Leaving || Change.Paused))
    OnChange(Target);
}

auto AnnouncementRecorder::recordReported(const TargetRecord &Target,
                                          const InstanceId &Reporter) -> void {
  TargetNotices Notices;
  Notices.Leaving = true;
  if (Targets.announced(Target, Notices, bootNow()).Leaving)
    logChange(Target, "leaving", Duration(0), Reporter.str());
}

auto AnnouncementRecorder::logChange(const TargetRecord &Target,
                                     const char *Notice, Duration Pause,
                                     std::string_view Source) -> void {
  Events.write(EventLine("target-announced")
                   .field("target", Target.Id.str())
                   .field("service", Target.Service.str())
                   .field("notice", Notice)
                   .field("told", Source)
                   .field("pause_ms", Pause));
}

auto AnnouncementRecorder::onUnreadable(const TargetRecord &Target,
                                        const char *Event, std::uint64_t &Count,
                                        TimePoint Now) -> void {
  ++Count;
  if (Now < NextUnreadableLineAt)
    return;
  NextUnreadableLineAt = Now + UnreadableLineInterval;
  Events.write(EventLine(Event)
                   .field("target", Target.Id.str())
                   .field("service", Target.Service.str())
                   .field("count", Count));
}

} // namespace buckthornring
