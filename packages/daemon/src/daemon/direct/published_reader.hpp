// Keeps up with the published store: a watch on rules and weights, a poll of
// the endpoint list, both with jittered backoff while the store is away.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "chalkwell/core/backoff.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/store_call_counter.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief Settings of a reader.
struct PublishedReaderSettings {
  /// How long the store may hold a watch open.
  core::Duration watch_wait_ = std::chrono::seconds(15);
  /// Between two reads of the endpoint list by who reads it for others.
  core::Duration poll_interval_ = std::chrono::milliseconds(600);
  /// Between the first read of a section and its watch: after a start of all
  /// processes they find each other in it, and most need not watch.
  core::Duration first_watch_delay_ = std::chrono::milliseconds(300);
};

/// @brief Reader of the sections that a process needs.
class PublishedReader {
 public:
  using Handler = std::function<void(Section section, const StoreSnapshot&)>;

  PublishedReader(Loop& loop, const StoreClient& store,
                  PublishedReaderSettings settings, EventLog& log,
                  Metrics& metrics, Handler handler);

  /// @brief Reads a section, unless it was heard before, and watches it from
  /// then on.
  void Watch(Section section);
  /// @brief How long the store may hold the next watches of a section open.
  void SetWatchWait(Section section, core::Duration wait);
  [[nodiscard]] core::Duration default_watch_wait() const noexcept {
    return settings_.watch_wait_;
  }
  /// @brief Ends a watch and the call that is under way for it.
  void Unwatch(Section section);
  /// @brief A section was heard elsewhere as it was at a revision: what the
  /// store is asked for begins after it. A call under way that began before it
  /// is ended, since it may fill the link with what is known.
  void AdvanceTo(Section section, std::uint64_t revision);
  /// @brief Reads a section again and again.
  /// @param interval between two reads, asked for anew all the time, also
  /// while reads fail.
  /// @param on_failed called for each read that the store did not answer.
  void Poll(Section section, std::function<core::Duration()> interval,
            std::function<void()> on_failed);
  /// @brief Reads a section once, now: also one that is watched, since a watch
  /// may have gone silent. One such read at a time.
  /// @param longest the read is given up after this; none for as long as bytes
  /// arrive.
  void ReadNow(Section section,
               std::optional<core::Duration> longest = std::nullopt);

  /// @brief Whether the last answer of the store was one.
  [[nodiscard]] bool reachable() const noexcept { return reachable_; }
  /// @brief When the store was last lost or found.
  [[nodiscard]] core::TimePoint reachable_since() const noexcept {
    return since_;
  }
  [[nodiscard]] core::TimePoint last_read() const noexcept {
    return last_read_;
  }

 private:
  struct Task {
    Task(Loop& loop, Section section, bool watched, core::Duration wait);
    Section section_;
    bool watched_;
    /// False while nobody wants it.
    bool active_ = true;
    /// 0 until the section was heard whole.
    std::uint64_t revision_ = 0;
    core::Backoff backoff_;
    /// Longest wait of a watch.
    core::Duration wait_;
    /// The last call failed.
    bool failed_ = false;
    bool asking_ = false;
    /// Ends the call under way.
    CancelCall cancel_;
    core::TimePoint asked_at_;
    /// Polled sections only.
    std::function<core::Duration()> interval_;
    std::function<void()> on_failed_;
    Timer timer_;
  };

  Task& Start(Section section, bool watched);
  void Ask(Task& task);
  [[nodiscard]] CancelCall Call(Task& task, SnapshotHandler done);
  void Probe(Task& task);
  void EndCall(Task& task);
  void PollWhenDue(Task& task);
  void OnAnswer(Task& task, const StoreSnapshot& published);
  /// @param first whether the section was read for the first time.
  void Schedule(Task& task, bool succeeded, bool first);
  [[nodiscard]] static StoreCallCause CauseOf(const Task& task);
  /// @brief Logs values that cannot be decoded, each once until it changes.
  void LogFaults(Section section, const std::vector<std::string>& faults);
  void CountAnswer(Section section, const StoreSnapshot& published);
  void SetReachable(bool reachable);

  Loop& loop_;
  const StoreClient& store_;
  PublishedReaderSettings settings_;
  EventLog& log_;
  Metrics& metrics_;
  StoreCallCounter calls_;
  Handler handler_;
  std::map<Section, Task> tasks_;
  /// Reads under way, by section, with their numbers.
  std::map<Section, std::uint64_t> reading_;
  std::uint64_t reads_ = 0;
  /// Faults of the last answer, by section.
  std::map<Section, std::set<std::string>> faults_;
  bool reachable_ = false;
  core::TimePoint since_;
  core::TimePoint last_read_;
  Timer tell_;
};

}  // namespace chalkwell::daemon::direct
