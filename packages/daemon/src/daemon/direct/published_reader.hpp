// Keeps up with the published store: a watch on rules and weights, a poll of
// the endpoint list, both with jittered backoff while the store is away.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>

#include "daemon/direct/hooks.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief Settings of a reader.
struct PublishedReaderSettings {
  /// How long the store may hold a watch open.
  core::Duration watch_wait_ = std::chrono::seconds(15);
  /// Between two reads of the endpoint list by who reads it for others.
  core::Duration poll_interval_ = std::chrono::milliseconds(600);
  /// Longest wait before the store is asked again.
  core::Duration max_backoff_ = std::chrono::milliseconds(1000);
};

/// @brief Reader of the sections that a process needs.
class PublishedReader {
 public:
  using Handler = std::function<void(Section section, const Published&)>;

  PublishedReader(Loop& loop, const StoreClient& store,
                  PublishedReaderSettings settings, EventLog& log,
                  Metrics& metrics, Handler handler);

  /// @brief Reads a section and watches it from then on.
  void Watch(Section section);
  /// @brief Reads a section again and again.
  /// @param interval between two reads, asked for anew all the time.
  void Poll(Section section, std::function<core::Duration()> interval);
  /// @brief Reads a section once, now: also one that is watched, since a watch
  /// may have gone silent. One such read at a time.
  void ReadNow(Section section);

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
    Task(Loop& loop, Section section, bool watched)
        : section_(section), watched_(watched), timer_(loop) {}
    Section section_;
    bool watched_;
    /// 0 until the section was read whole.
    std::uint64_t revision_ = 0;
    unsigned failures_ = 0;
    bool asking_ = false;
    core::TimePoint asked_at_;
    /// Polled sections only.
    std::function<core::Duration()> interval_;
    Timer timer_;
  };

  Task& Start(Section section, bool watched);
  void Ask(Task& task);
  void PollWhenDue(Task& task);
  void OnAnswer(Task& task, const Published& published);
  void Schedule(Task& task, bool succeeded);
  void CountCall(Section section);
  void SetReachable(bool reachable);

  Loop& loop_;
  const StoreClient& store_;
  PublishedReaderSettings settings_;
  EventLog& log_;
  Metrics& metrics_;
  Handler handler_;
  std::map<Section, Task> tasks_;
  std::set<Section> reading_;
  std::mt19937_64 random_;
  bool reachable_ = false;
  core::TimePoint since_;
  core::TimePoint last_read_;
};

}  // namespace chalkwell::daemon::direct
