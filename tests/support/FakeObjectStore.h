#pragma once

#include "Gateway/Protocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace buckthornring::test {

/// Contents of an object store. A test changes them while instances use the
/// store.
class StoreContents {
public:
  using Key = std::pair<std::string, std::string>;

  auto set(const std::string &Kind, const std::string &Name,
           nlohmann::json Value) -> void {
    const std::lock_guard Guard(Mutex);
    put(Kind, Name, std::move(Value));
  }
  auto remove(const std::string &Kind, const std::string &Name) -> void {
    const std::lock_guard Guard(Mutex);
    History.push_back({Kind, {Name, ++Revision, true, {}}});
    Objects.erase({Kind, Name});
  }
  /// While down, reads end as StoreStatus::Unreachable and writes as
  /// StoreStatus::Unknown.
  auto setDown(bool IsDown) -> void {
    const std::lock_guard Guard(Mutex);
    Down = IsDown;
  }
  auto dropHistory() -> void {
    const std::lock_guard Guard(Mutex);
    OldestKeptRevision = Revision + 1;
    History.clear();
  }
  auto value(const std::string &Kind, const std::string &Name) const
      -> std::optional<nlohmann::json> {
    const std::lock_guard Guard(Mutex);
    const auto Found = Objects.find({Kind, Name});
    if (Found == Objects.end())
      return std::nullopt;
    return Found->second.Value;
  }
  auto calls() const -> std::size_t {
    const std::lock_guard Guard(Mutex);
    return Calls;
  }

private:
  friend class FakeObjectStore;

  auto put(const std::string &Kind, const std::string &Name,
           nlohmann::json Value) -> StoredObject {
    StoredObject Object{Name, ++Revision, false, std::move(Value)};
    Objects[{Kind, Name}] = Object;
    History.push_back({Kind, Object});
    return Object;
  }

  mutable std::mutex Mutex;
  std::map<Key, StoredObject> Objects;
  std::vector<std::pair<std::string, StoredObject>> History;
  std::uint64_t Revision = 1;
  std::uint64_t OldestKeptRevision = 0;
  std::size_t Calls = 0;
  bool Down = false;
};

/// One instance's client of the contents.
class FakeObjectStore final : public ObjectStore {
public:
  FakeObjectStore(boost::asio::io_context &Context,
                  std::shared_ptr<StoreContents> Contents)
      : Context(Context), Contents(std::move(Contents)) {}

  auto list(const std::string &Kind, ChangesHandler Done) -> ReadPtr override {
    StoreChanges Changes;
    const std::lock_guard Guard(Contents->Mutex);
    ++Contents->Calls;
    if (!Contents->Down) {
      Changes.Status = StoreStatus::Done;
      Changes.Revision = Contents->Revision;
      for (const auto &[Key, Object] : Contents->Objects)
        if (Key.first == Kind)
          Changes.Objects.push_back(Object);
    }
    postAnswer(std::move(Done), std::move(Changes));
    return nullptr;
  }

  auto watch(const std::string &Kind, std::uint64_t Revision, Duration Wait,
             ChangesHandler Done) -> ReadPtr override {
    {
      const std::lock_guard Guard(Contents->Mutex);
      ++Contents->Calls;
    }
    poll(Kind, Revision, std::chrono::steady_clock::now() + Wait,
         std::move(Done));
    return nullptr;
  }

  auto write(const std::string &Kind, const std::string &Name,
             std::uint64_t Expected, nlohmann::json Value, WriteHandler Done)
      -> void override {
    StoreWriteResult Write;
    const std::lock_guard Guard(Contents->Mutex);
    ++Contents->Calls;
    if (!Contents->Down) {
      const auto Found = Contents->Objects.find({Kind, Name});
      const std::uint64_t CurrentRevision =
          Found == Contents->Objects.end() ? 0 : Found->second.Revision;
      Write.Status = CurrentRevision == Expected ? StoreStatus::Done
                                                 : StoreStatus::Conflict;
      Write.Object = CurrentRevision == Expected
                         ? Contents->put(Kind, Name, std::move(Value))
                         : Found->second;
    }
    postAnswer(std::move(Done), std::move(Write));
  }

private:
  template <class Handler, class Answer>
  auto postAnswer(Handler Done, Answer Result) -> void {
    boost::asio::post(Context, [Done = std::move(Done),
                                Result = std::move(Result)] { Done(Result); });
  }

  auto poll(const std::string &Kind, std::uint64_t Revision,
            std::chrono::steady_clock::time_point Until, ChangesHandler Done)
      -> void {
    StoreChanges Changes;
    {
      const std::lock_guard Guard(Contents->Mutex);
      if (!Contents->Down && Revision + 1 < Contents->OldestKeptRevision)
        Changes.Status = StoreStatus::HistoryLost;
      else if (!Contents->Down)
        for (const auto &[EntryKind, Object] : Contents->History)
          if (EntryKind == Kind && Object.Revision > Revision)
            Changes.Objects.push_back(Object);
      const bool TimedOut = std::chrono::steady_clock::now() >= Until;
      if (!Changes.Objects.empty() || (TimedOut && !Contents->Down)) {
        Changes.Status = StoreStatus::Done;
        Changes.Revision = Contents->Revision;
      }
      if (Changes.Status != StoreStatus::Unreachable || Contents->Down)
        return postAnswer(std::move(Done), std::move(Changes));
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
    Timer->expires_after(std::chrono::milliseconds(5));
    Timer->async_wait(
        [this, Timer, Kind, Revision, Until, Done = std::move(Done)](
            const boost::system::error_code &Cancelled) mutable {
          if (!Cancelled)
            poll(Kind, Revision, Until, std::move(Done));
        });
  }

  boost::asio::io_context &Context;
  std::shared_ptr<StoreContents> Contents;
};

} // namespace buckthornring::test
