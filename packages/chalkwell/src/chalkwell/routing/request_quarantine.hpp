// Quarantine of requests that crash endpoints. What was in flight at several
// endpoints when they crashed is suspected, then refused: the content of a
// request, or a prompt part that requests share. The table is
// replicated between entries: merging is commutative and idempotent, so records
// may arrive in any order, repeatedly and late.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
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

/// @brief A crash of an endpoint while a request was in flight there.
struct EndpointCrash {
  EndpointIncarnation endpoint_;
  /// Entry that detected it.
  core::InstanceId reporter_;
  /// By the clock of the process that holds the record.
  core::TimePoint crashed_at_;
  /// Time from sending the request there to the crash.
  core::Duration elapsed_{};
  /// The request is known not to be the cause: the same request completed
  /// afterwards, or an operator cleared it. Never reset.
  bool cleared_ = false;
  /// Nearly all requests that each reporter sent to the service held this
  /// prompt part (see PromptPartShares).
  bool widespread_ = false;

  friend bool operator==(const EndpointCrash&, const EndpointCrash&) = default;
};

/// @brief Crashes recorded for one content or prompt part. The functions below
/// call either a request.
struct CrashRecord {
  RequestDigest request_;
  /// Ordered by time; one per endpoint incarnation.
  std::vector<EndpointCrash> crashes_;
};

/// @brief How entries treat a request.
enum class Standing : std::uint8_t {
  kClear,
  /// Runs one at a time (each run is a trial) and is not retried by the entry.
  kSuspected,
  /// Refused.
  kQuarantined,
};

/// @brief Text of a standing in logs and metrics.
[[nodiscard]] std::string_view ToString(Standing standing) noexcept;

/// @brief Settings of RequestQuarantine.
struct QuarantineSettings {
  /// Numbers of attributed crashes at which a request becomes suspected, and
  /// quarantined.
  std::size_t suspected_crashes_ = 2;
  std::size_t quarantined_crashes_ = 3;
  /// A crash within this time of the last counted one is not counted, unless
  /// the request was sent after that one and ran for `min_run_time_`: endpoints
  /// that fail together have a common cause, and a frequent request is in
  /// flight at many of them. In addition, quarantine requires that the first
  /// and last counted crash are at least this far apart.
  core::Duration same_cause_window_ = std::chrono::milliseconds(250);
  /// Within `same_cause_window_`, minimum time from sending a request to a
  /// crash that it can cause: it has to arrive, be parsed and be started.
  core::Duration min_run_time_ = std::chrono::milliseconds(10);
  /// Maximum error of the interval between two crashes if another entry
  /// reported one of them.
  core::Duration max_clock_error_ = std::chrono::milliseconds(5);
  /// Time from the last crash until the request may be run again, one at a
  /// time; doubled with each crash beyond `quarantined_crashes_`, up to the
  /// maximum below.
  core::Duration initial_quarantine_ = std::chrono::seconds(60);
  core::Duration max_quarantine_ = std::chrono::minutes(30);
  /// Time from the last crash until the record is removed.
  core::Duration record_retention_ = std::chrono::hours(1);
  /// Maximum number of records: a request has as many prompt parts as fit into
  /// its header, and each of them gets a record at a crash. Those with the
  /// fewest attributed crashes are evicted, of these the oldest, several at a
  /// time.
  std::size_t max_records_ = 8192;
  /// Interval after a crash at which the number of entries that may start a
  /// trial doubles; all entries know of a trial by then.
  core::Duration trial_interval_ = std::chrono::milliseconds(500);
  /// Crashes kept per request; the oldest are evicted.
  std::size_t max_crashes_ = 8;
  /// Attributed crashes from which a quarantined request is refused even if
  /// another one was in flight at them.
  std::size_t max_explained_crashes_ = 5;
  /// How many times the changed record of a clear request is selected for
  /// sending to other entries. An entry whose own record it changes sends it as
  /// often in turn, so that every entry receives it.
  unsigned max_clear_sends_ = 6;
  /// Maximum number of records in a sample.
  std::size_t max_sampled_records_ = 64;
  /// How long a completion is kept, to clear its request of earlier crashes
  /// that are confirmed only afterwards, and the maximum number kept.
  core::Duration completion_retention_ = std::chrono::seconds(15);
  std::size_t max_completions_ = 8192;
};

/// @brief How a request is treated, with regard to all that it holds.
enum class QuarantineVerdict : std::uint8_t {
  kAdmitted,
  /// Refused until a trial has ended or may be started here.
  kTrialPending,
  /// Refused.
  kQuarantined,
};

/// @brief A decision on a request.
struct QuarantineDecision {
  QuarantineVerdict verdict_ = QuarantineVerdict::kAdmitted;
  /// What caused a refusal: the content or a prompt part.
  RequestDigest cause_;
};

/// @brief What a decision depends on beside the records.
struct QuarantineHooks {
  /// Whether a request that holds this is in flight at this entry.
  std::function<bool(const RequestDigest&)> in_flight_;
  /// Rank of this entry among all entries; 0 is the first.
  std::function<std::size_t()> rank_;
};

/// @brief Result of merging a record.
struct MergeResult {
  bool changed_ = false;
  /// The request completed here after a crash that the record attributes to it.
  bool cleared_ = false;
};

/// @brief Crash records and quarantine decisions of one entry.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(QuarantineSettings settings = {})
      : settings_(settings) {}

  /// @brief An endpoint crashed while the request was in flight there.
  /// @return whether the record changed.
  bool AddCrash(const RequestDigest& request, const EndpointCrash& crash);
  /// @brief Merges a record from another entry.
  MergeResult Merge(const CrashRecord& record);
  /// @brief The request completed: clears it of earlier crashes, including
  /// those that are reported later.
  /// @return whether any crash was not cleared before.
  bool OnCompleted(const RequestDigest& request, core::TimePoint now);
  /// @brief Clears other requests of the crashes that a quarantined request
  /// explains: those at the same endpoints, if the other request completed here
  /// within `completion_retention_` and the quarantined one did not.
  /// @return the requests of which a crash was not cleared before.
  std::vector<RequestDigest> ClearExplainedBy(const RequestDigest& quarantined,
                                              core::TimePoint now);
  /// @brief Clears the request of all its crashes, as when an operator lifts
  /// the quarantine.
  /// @return whether any crash was not cleared before.
  bool Clear(const RequestDigest& request);
  /// @brief Removes records and completions past their retention time.
  void Expire(core::TimePoint now);

  /// @brief Another entry has a trial of a suspected request in flight,
  /// until this time at most; the clock's epoch when it has ended.
  void SetTrialUntil(const RequestDigest& request, core::TimePoint until);
  [[nodiscard]] bool TrialActive(const RequestDigest& request,
                                 core::TimePoint now) const;

  [[nodiscard]] Standing StandingOf(const RequestDigest& request,
                                    core::TimePoint now) const;
  /// @brief Decides whether a request may be sent.
  /// @param held what it holds: its content and its prompt parts.
  [[nodiscard]] QuarantineDecision Decide(
      const std::vector<RequestDigest>& held, const QuarantineHooks& hooks,
      core::TimePoint now) const;
  /// @brief Whether a request that was admitted may still be sent.
  [[nodiscard]] bool MaySend(const std::vector<RequestDigest>& held,
                             core::TimePoint now) const;
  /// @brief When a quarantined request may be run again; the clock's epoch for
  /// other requests.
  [[nodiscard]] core::TimePoint QuarantinedUntil(
      const RequestDigest& request) const;
  /// @brief Number of independent crashes attributed to the request; those
  /// under a widespread prompt part count half.
  [[nodiscard]] std::size_t AttributedCrashes(
      const RequestDigest& request) const;
  /// @brief AttributedCrashes if this crash, later than those recorded, were
  /// added.
  [[nodiscard]] std::size_t AttributedCrashesWith(
      const RequestDigest& request, const EndpointCrash& crash) const;
  [[nodiscard]] std::size_t suspected_crashes() const noexcept {
    return settings_.suspected_crashes_;
  }
  [[nodiscard]] const CrashRecord* Find(const RequestDigest& request) const;
  [[nodiscard]] std::vector<CrashRecord> Records() const;
  /// @brief Selects records to send to other entries: those of suspected and
  /// quarantined requests first, each group by ascending number of times
  /// selected. Those of clear requests are selected `max_clear_sends_` times.
  /// @param max_count records with equal crashes, which are sent together,
  /// count as one.
  [[nodiscard]] std::vector<CrashRecord> Sample(std::size_t max_count);
  /// @brief Records evicted so far.
  [[nodiscard]] std::uint64_t evicted() const noexcept { return evicted_; }
  [[nodiscard]] std::size_t size() const noexcept { return table_.size(); }

 private:
  struct Row {
    CrashRecord record_;
    /// Time until which a trial may be in flight at another entry.
    core::TimePoint trial_until_;
    /// Number of times it was selected for sending since its last change.
    unsigned times_selected_ = 0;
  };

  bool Insert(Row& row, const EndpointCrash& crash);
  [[nodiscard]] Row& RowOf(const RequestDigest& request);
  void EvictIfFull();
  /// @brief Clears a record of the crashes that also belong to another one.
  /// @return whether any of them was not cleared before.
  static bool ClearShared(Row& row, const CrashRecord& other);
  /// @brief Whether a run would show which of several quarantined requests is
  /// the cause of their common crashes.
  ///
  /// Requests that were only ever in flight together are quarantined together.
  /// For each quarantined one that is held here, another one that is not held
  /// must explain its crashes. If the run completes, those held here are not
  /// the cause; if the endpoint crashes, the others are less likely to be.
  /// @param held what one request holds: its content and its prompt parts.
  [[nodiscard]] bool WouldDistinguish(const std::vector<RequestDigest>& held,
                                      core::TimePoint now) const;
  /// @brief Whether an entry may run a request for which WouldDistinguish()
  /// holds: first one entry may, then twice as many at each interval after the
  /// last crash, since most entries get no such request.
  /// @param rank of the entry among all entries; 0 is the first.
  [[nodiscard]] bool MayStartTrial(const std::vector<RequestDigest>& held,
                                   std::size_t rank, core::TimePoint now) const;
  /// @brief The first quarantined request of these; null if there is none.
  [[nodiscard]] const RequestDigest* FindQuarantined(
      const std::vector<RequestDigest>& held, core::TimePoint now) const;
  /// @brief Whether another request was in flight at all crashes attributed to
  /// a request. A prompt part may lack some, fewer than `suspected_crashes_`:
  /// these may have another cause. A content may not, since its retry makes it
  /// a suspect by itself.
  [[nodiscard]] bool Explains(const CrashRecord& other,
                              const CrashRecord& record) const;
  /// @brief Whether a quarantined request explains a crash of another one; see
  /// ClearExplainedBy().
  [[nodiscard]] bool IsExplained(const RequestDigest& request,
                                 const EndpointCrash& crash) const;
  /// @brief Whether a crash of a request that is reported now is known not to
  /// be caused by it.
  [[nodiscard]] bool IsInnocent(const RequestDigest& request,
                                const EndpointCrash& crash) const {
    return CompletedAfter(request, crash) || IsExplained(request, crash);
  }
  /// @brief Whether a run of the request completed after the crash.
  [[nodiscard]] bool CompletedAfter(const RequestDigest& request,
                                    const EndpointCrash& crash) const;
  void ExpireCompletions(core::TimePoint now);
  /// @brief Independent crashes attributed to one request.
  struct Attribution {
    std::size_t half_crashes_ = 0;
    core::TimePoint first_;
    core::TimePoint last_;

    [[nodiscard]] std::size_t crashes() const noexcept {
      return half_crashes_ / 2;
    }
  };

  /// @brief Counts the crash if it is not cleared and independent of the last
  /// one counted.
  void CountIfIndependent(Attribution& attribution,
                          const EndpointCrash& crash) const;
  [[nodiscard]] Attribution AttributionOf(const RequestDigest& request) const;
  [[nodiscard]] core::Duration QuarantineDuration(std::size_t crashes) const;

  QuarantineSettings settings_;
  std::map<RequestDigest, Row> table_;
  std::uint64_t evicted_ = 0;
  /// The last completed run of each request, in order of time; at most
  /// max_completions_.
  std::list<std::pair<core::TimePoint, RequestDigest>> completion_order_;
  /// Elements of `completion_order_` by request.
  std::map<RequestDigest, decltype(completion_order_)::iterator> completions_;
};

}  // namespace chalkwell::routing
