// Requests under which endpoints crash. A request that was under way at several
// endpoints as they crashed is suspected, then refused. The table is state that
// entries merge: records arrive in any order, more than once, and late.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/request_digest.hpp"

namespace chalkwell::routing {

/// @brief An endpoint that crashed while a request was under way there.
struct EndpointCrash {
  EndpointIncarnation endpoint_;
  /// Entry that saw it.
  core::InstanceId reporter_;
  /// By the clock of who holds the record.
  core::TimePoint crashed_at_;
  /// How long the request had been under way there.
  core::Duration elapsed_{};
  /// The request is known not to be the cause: one like it ran to its end
  /// afterwards, or an operator said so. Never taken back.
  bool cleared_ = false;
};

/// @brief What is known of one request.
struct CrashRecord {
  RequestDigest request_;
  /// In order of time; one for each endpoint life.
  std::vector<EndpointCrash> crashes_;
};

/// @brief How a request is treated.
enum class Standing : std::uint8_t {
  kClear,
  /// Runs one at a time, and is not repeated within a try.
  kSuspected,
  /// Refused.
  kQuarantined,
};

/// @brief Text of a standing in logs and metrics.
[[nodiscard]] std::string_view ToString(Standing standing) noexcept;

/// @brief Settings of a quarantine.
struct QuarantineSettings {
  std::size_t suspected_after_ = 2;
  std::size_t quarantined_after_ = 3;
  /// Crashes that follow each other within this time count as one, unless the
  /// request was sent after the earlier one: endpoints that fail together have
  /// a cause of their own, and a popular request is under way at many of them.
  /// From the first to the last crash of a quarantined request it is as long.
  core::Duration same_cause_window_ = std::chrono::milliseconds(250);
  /// A request that was sent after a crash needs as long to cause another: it
  /// has to arrive, to be read and to begin.
  core::Duration min_run_time_ = std::chrono::milliseconds(10);
  /// How far the times of two crashes may be off that came from another entry.
  core::Duration max_clock_error_ = std::chrono::milliseconds(5);
  /// From the last crash until the request may be tried again, one at a time;
  /// doubled with each further crash.
  core::Duration initial_duration_ = std::chrono::seconds(60);
  core::Duration max_duration_ = std::chrono::minutes(30);
  /// From the last crash until the request is forgotten.
  core::Duration record_retention_ = std::chrono::hours(1);
  /// Records kept; those whose last crash is oldest give way.
  std::size_t max_records_ = 1024;
  /// Crashes kept of one request, the newest.
  std::size_t max_crashes_ = 8;
  /// How often a record is sampled that makes its request neither suspected nor
  /// quarantined: by then every entry has it.
  unsigned max_clear_samples_ = 6;
  /// How long a completed run clears its request of crashes that are confirmed
  /// only afterwards, and how many requests are remembered for that.
  core::Duration completion_retention_ = std::chrono::seconds(15);
  std::size_t max_completions_ = 8192;
};

/// @brief What merging a record did.
struct MergeResult {
  bool changed_ = false;
  /// The request completed here after a crash that the record blames it for.
  bool cleared_ = false;
};

/// @brief Requests suspected at one entry.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(QuarantineSettings settings = {})
      : settings_(settings) {}

  /// @brief An endpoint crashed while the request was under way there.
  /// @return whether that is new.
  bool AddCrash(const RequestDigest& request, const EndpointCrash& crash);
  /// @brief Merges what another entry knows.
  MergeResult Merge(const CrashRecord& record);
  /// @brief The request ran to its end: clears it of crashes before, also of
  /// those that are learned of later.
  /// @return whether it was blamed for anything.
  bool OnCompleted(const RequestDigest& request, core::TimePoint now);
  /// @brief An operator lifts the quarantine.
  /// @return whether it was blamed for anything.
  bool Clear(const RequestDigest& request);
  /// @brief Forgets what is older than the memory.
  void Expire(core::TimePoint now);

  /// @brief Another attempt of a suspected request is under way somewhere, for
  /// this long at the most; zero when it has ended.
  void SetTrialUntil(const RequestDigest& request, core::TimePoint until);
  [[nodiscard]] bool TrialActive(const RequestDigest& request,
                                 core::TimePoint now) const;

  [[nodiscard]] Standing StandingOf(const RequestDigest& request,
                                    core::TimePoint now) const;
  /// @brief When a quarantined request may be tried again; the clock's epoch
  /// for others.
  [[nodiscard]] core::TimePoint QuarantinedUntil(
      const RequestDigest& request) const;
  /// @brief Crashes with causes of their own that the request is blamed for.
  [[nodiscard]] std::size_t AttributedCrashes(
      const RequestDigest& request) const;
  /// @brief The same after one more crash.
  [[nodiscard]] std::size_t AttributedCrashesWith(
      const RequestDigest& request, const EndpointCrash& crash) const;
  [[nodiscard]] std::size_t suspected_after() const noexcept {
    return settings_.suspected_after_;
  }
  [[nodiscard]] const CrashRecord* Find(const RequestDigest& request) const;
  [[nodiscard]] std::vector<CrashRecord> Records() const;
  /// @brief Some records for other entries: suspected requests first, of these
  /// those that were sampled least often.
  [[nodiscard]] std::vector<CrashRecord> Sample(std::size_t most);
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    CrashRecord record_;
    /// Until when a trial may be under way elsewhere.
    core::TimePoint trial_until_;
    /// How often it was sampled since it changed.
    unsigned sampled_ = 0;
  };

  bool Insert(Entry& entry, const EndpointCrash& crash);
  [[nodiscard]] Entry& EntryOf(const RequestDigest& request);
  void MakeRoom();
  /// @brief Whether a run completed after the crash.
  [[nodiscard]] bool CompletedAfter(const RequestDigest& request,
                                    const EndpointCrash& crash) const;
  void ForgetCompletions(core::TimePoint now);
  /// Crashes of one request that have a cause of their own.
  struct Causes {
    std::size_t count_ = 0;
    core::TimePoint first_;
    core::TimePoint last_;
  };

  void Add(Causes& causes, const EndpointCrash& crash) const;
  [[nodiscard]] Causes CausesOf(const RequestDigest& request) const;
  [[nodiscard]] core::Duration TermAfter(std::size_t blames) const;

  QuarantineSettings settings_;
  std::map<RequestDigest, Entry> entries_;
  /// When a run of a request last completed; at most max_completions_.
  std::map<RequestDigest, core::TimePoint> completions_;
  /// Completions in order of time; one superseded in `completions_` stays until
  /// it expires.
  std::deque<std::pair<core::TimePoint, RequestDigest>> completion_order_;
};

}  // namespace chalkwell::routing
