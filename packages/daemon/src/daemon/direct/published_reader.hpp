// Reads the configuration store: watches rules and weights and polls the
// endpoint list, both with jittered backoff while the store is unreachable.
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

/// @brief Settings of a PublishedReader.
struct PublishedReaderSettings {
  /// Maximum time that the store may hold a watch open.
  core::Duration watch_wait_ = std::chrono::seconds(15);
  /// Interval between two reads of the endpoint list by the designated reader.
  core::Duration poll_interval_ = std::chrono::milliseconds(600);
  /// Delay between the first read of a section and its watch. When all
  /// processes start at once they discover each other in this time, and most
  /// need no watch.
  core::Duration first_watch_delay_ = std::chrono::milliseconds(300);
};

/// @brief Reader of the published sections that a process needs.
class PublishedReader {
 public:
  using Handler = std::function<void(Section section, const StoreSnapshot&)>;

  PublishedReader(Loop& loop, const StoreClient& store,
                  PublishedReaderSettings settings, EventLog& log,
                  Metrics& metrics, Handler handler);

  /// @brief Reads a section, unless it was received before, and watches it from
  /// then on.
  void Watch(Section section);
  /// @brief Sets the maximum time that the store may hold the next watches of a
  /// section open.
  void SetWatchWait(Section section, core::Duration wait);
  [[nodiscard]] core::Duration default_watch_wait() const noexcept {
    return settings_.watch_wait_;
  }
  /// @brief Ends a watch and cancels its call in flight.
  void Unwatch(Section section);
  /// @brief A section was received from elsewhere as of a revision; the next
  /// watch starts after it. A call in flight for an earlier revision is
  /// cancelled, since its response may fill the link with data that is known
  /// already.
  void AdvanceTo(Section section, core::StoreRevision revision);
  /// @brief The store is in this era, as known from a response or a peer. If it
  /// is newer than the known one, watched sections are read again in full: the
  /// store may pass a revision that is known already.
  void OnEra(std::uint64_t era);
  /// @brief Reads a section periodically.
  /// @param interval supplies the interval between two reads; it is evaluated
  /// anew at each check, also while reads fail.
  /// @param on_failed called for each read that found the store unreachable.
  /// @param first_wait time until the first read, unless the section is
  /// received from elsewhere and `interval` has become longer.
  void Poll(Section section, std::function<core::Duration()> interval,
            std::function<void()> on_failed, core::Duration first_wait);
  /// @brief Reads a section once, immediately, also while it is watched, since
  /// the connection of a watch may have gone silent. At most one such read per
  /// section is in flight.
  /// @param timeout after which the read is abandoned; without one it runs for
  /// as long as bytes arrive.
  void ReadNow(Section section,
               std::optional<core::Duration> timeout = std::nullopt);

  /// @brief Checks once whether a watched section has changed since the known
  /// revision, on a new connection: that of the watch may have gone silent, as
  /// may those of all other processes that would announce the change.
  void Confirm(Section section);

  /// @brief Whether the last call reached the store.
  [[nodiscard]] bool reachable() const noexcept { return reachable_; }
  /// @brief When reachable() last changed.
  [[nodiscard]] core::TimePoint reachable_since() const noexcept {
    return reachable_since_;
  }
  /// @brief When a read or watch last succeeded.
  [[nodiscard]] core::TimePoint last_read() const noexcept {
    return last_read_;
  }

 private:
  /// A watched or polled section.
  struct Task {
    Task(Loop& loop, Section section, bool watched, core::Duration wait);
    Section section_;
    bool watched_;
    /// Between Watch() and Unwatch().
    bool active_ = false;
    /// None until the full section was received.
    core::StoreRevision revision_;
    core::Backoff backoff_;
    /// Maximum time that the store may hold a watch open.
    core::Duration watch_wait_;
    /// The last call failed.
    bool failed_ = false;
    bool call_pending_ = false;
    /// A call of Confirm() is in flight.
    bool confirming_ = false;
    /// Cancels the call in flight.
    CancelCall cancel_;
    /// When the last call was sent.
    core::TimePoint requested_at_;
    /// Polled sections only.
    std::function<core::Duration()> interval_;
    std::function<void()> on_failed_;
    Timer timer_;
  };

  Task& TaskFor(Section section, bool watched);
  void StartCall(Task& task);
  [[nodiscard]] CancelCall SendCall(Task& task, SnapshotHandler done);
  void Probe(Task& task);
  void CancelCallInFlight(Task& task);
  void PollWhenDue(Task& task);
  void OnConfirmed(Task& task, const core::StoreRevision& after,
                   const StoreSnapshot& snapshot);
  void OnResponse(Task& task, const StoreSnapshot& snapshot);
  /// @param first whether the section was read for the first time.
  void Schedule(Task& task, bool succeeded, bool first);
  [[nodiscard]] static StoreCallCause CauseOf(const Task& task);
  /// @brief Logs values that cannot be decoded; each is logged once until its
  /// error changes or disappears.
  void LogDecodeErrors(Section section, const std::vector<std::string>& errors);
  void CountResponse(Section section, const StoreSnapshot& snapshot);
  /// @brief Logs a change of the store's era, or a response of an older one.
  void NoteEra(Section section, const StoreSnapshot& snapshot);
  /// @brief Whether the response to a watch can't be applied to what is known
  /// as of the revision after which the watch was started.
  [[nodiscard]] static bool BreaksWatch(const core::StoreRevision& after,
                                        const StoreSnapshot& snapshot);
  void SetReachable(bool reachable);

  Loop& loop_;
  const StoreClient& store_;
  PublishedReaderSettings settings_;
  EventLog& log_;
  Metrics& metrics_;
  StoreCallCounter call_count_;
  Handler handler_;
  std::map<Section, Task> tasks_;
  /// Numbers of the one-time reads in flight, by section.
  std::map<Section, std::uint64_t> reads_in_flight_;
  std::uint64_t last_read_number_ = 0;
  /// Decoding errors of the last response, by section.
  std::map<Section, std::set<std::string>> decode_errors_;
  /// Highest known era of the store; never decreases.
  std::uint64_t era_ = 0;
  /// Revision of the last response of that era; none before the first.
  core::StoreRevision last_revision_;
  /// When a response of an older era was last logged.
  core::TimePoint older_era_logged_at_;
  bool reachable_ = false;
  core::TimePoint reachable_since_;
  core::TimePoint last_read_;
  Timer call_log_timer_;
};

}  // namespace chalkwell::daemon::direct
