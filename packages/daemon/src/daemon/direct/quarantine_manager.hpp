// Quarantines requests that crash endpoints. It collects evidence of crashes,
// shares it with the other entries, and decides which requests are refused
// until their quarantine ends.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/routing/crash_detector.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/prompt_part_shares.hpp"
#include "chalkwell/routing/request_quarantine.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"
#include "daemon/tcp_stream.hpp"

namespace chalkwell::daemon::direct {

/// @brief Why a request is refused, and the delay to retry after.
struct QuarantineRefusal {
  /// What is suspected or quarantined: "content DIGEST", or "part ID, content
  /// DIGEST" with the digest of the part.
  std::string subject_;
  std::string reason_;
  core::Duration retry_after_{};
};

/// @brief Manages one entry's view of the quarantine.
class QuarantineManager {
 public:
  /// Identifies a request in flight.
  using Token = std::uint64_t;

  QuarantineManager(Loop& loop, const routing::EndpointTable& endpoints,
                    MeshNode& mesh, EventLog& log, Metrics& metrics);

  /// @brief Why a request must not be sent now; nothing if it may be.
  [[nodiscard]] std::optional<QuarantineRefusal> RefusalOf(
      const routing::RequestIdentity& request) const;
  /// @brief Whether an admitted request may be sent to an endpoint now, as a
  /// first attempt or as a retry.
  /// @param last the request's last attempt if the endpoint may have run it,
  /// none otherwise. It counts as a crash while the endpoint is being probed.
  [[nodiscard]] bool MaySend(
      const routing::RequestIdentity& request,
      const std::optional<routing::LostAttempt>& last) const;

  /// @brief Registers an admitted request to a service.
  /// @param abandon abandons its current attempt unless the response has
  /// started; called if the request is quarantined while it is in flight.
  [[nodiscard]] Token OnAdmitted(const routing::RequestIdentity& request,
                                 std::string_view service,
                                 core::TimePoint deadline,
                                 std::function<void()> abandon);
  void OnEnded(Token token);
  /// @brief The connection of an attempt broke before the response was
  /// complete.
  void OnAttemptLost(const routing::LostAttempt& attempt,
                     const routing::EndpointRow& endpoint);
  /// @brief The endpoint itself responded, so that it was running.
  void OnAnswered(const routing::EndpointRow& endpoint);
  /// @brief An endpoint ran the request to completion.
  void OnCompleted(const routing::RequestIdentity& request);

  /// @brief Merges records that another entry published, and forwards those
  /// that changed something.
  /// @param sent_at when they were sent, by the local clock.
  void OnRecords(const membership::Member& sender,
                 const std::vector<CrashRecordMessage>& records,
                 core::TimePoint sent_at);
  /// @brief Samples records to send to another entry by gossip.
  [[nodiscard]] std::vector<CrashRecordMessage> Sample(std::size_t max_records);

  /// @brief Lifts the quarantine of a request, here and at all other entries.
  /// @return false if no crash is attributed to the request.
  bool Lift(const routing::RequestDigest& request);
  /// @brief Suspected and quarantined requests, for the status page.
  [[nodiscard]] nlohmann::json Status() const;
  /// @brief Updates the gauges.
  void RefreshMetrics();

 private:
  struct InFlightRequest {
    routing::RequestIdentity request_;
    core::TimePoint deadline_;
    std::function<void()> abandon_;
  };

  /// @param probes_left how often the address is probed at most, this probe
  /// included.
  void Probe(const routing::EndpointRow& endpoint, unsigned probes_left);
  /// @param connection_refused whether the address refused the probe's
  /// connection, which shows a crash.
  void OnProbed(const routing::EndpointRow& endpoint, bool connection_refused,
                unsigned probes_left);
  void OnEndpointCrashed(const routing::EndpointIncarnation& endpoint,
                         const std::string& evidence);
  void CheckReplacedEndpoints();
  /// @brief Records a crash for the content and the shared parts of a request.
  void AddCrash(const routing::LostAttempt& attempt,
                const routing::EndpointIncarnation& endpoint,
                core::TimePoint at);
  void AddCrash(const routing::RequestDigest& request,
                const routing::EndpointCrash& crash);
  /// @brief Rank of this entry for trials among all live entries.
  [[nodiscard]] std::size_t TrialRank() const;
  /// @brief Counts, publishes and logs that crashes are no longer attributed to
  /// a request.
  /// @param before the request's standing before.
  void OnCleared(const routing::RequestDigest& request,
                 routing::Standing before, const std::string& reason);
  /// @brief Handles a changed record: logs a new standing, publishes a trial,
  /// and abandons the attempts of a request that was quarantined.
  /// @param before the request's standing before.
  void OnChanged(const routing::RequestDigest& request,
                 routing::Standing before);
  /// @brief Clears other requests of the crashes that a request explains which
  /// was quarantined now.
  void ClearExplainedBy(const routing::RequestDigest& quarantined);
  void Abandon(const routing::RequestDigest& request);
  void Publish(const routing::RequestDigest& request);
  void PublishPending();
  /// @param trial_ms remaining time of the sender's trial, or a TrialChange.
  /// @return whether other entries need the record.
  bool MergeRecord(const routing::CrashRecord& record, std::int64_t trial_ms,
                   core::TimePoint sent_at);
  [[nodiscard]] CrashRecordMessage MakeMessage(
      const routing::RequestDigest& request);
  /// @brief Latest deadline of the runs in flight at this entry of requests
  /// with this content or part; nothing if there are none.
  [[nodiscard]] std::optional<core::TimePoint> InFlightUntil(
      const routing::RequestDigest& request) const;
  /// @brief Id of a prompt part; empty for a content, and for a part that this
  /// entry lost no request with.
  [[nodiscard]] std::string PartIdOf(
      const routing::RequestDigest& request) const;
  void LogStanding(const routing::RequestDigest& request);
  void Tick();

  Loop& loop_;
  const routing::EndpointTable& endpoints_;
  MeshNode& mesh_;
  EventLog& log_;
  Metrics& metrics_;
  routing::CrashDetector crash_detector_;
  routing::RequestQuarantine quarantine_;
  routing::PromptPartShares part_shares_;
  Token last_token_ = 0;
  std::map<Token, InFlightRequest> in_flight_;
  /// Probes in progress, by endpoint id; at most one per endpoint.
  std::map<core::InstanceId, TcpStream::Ptr> probes_;
  /// Ids of the prompt parts for which this entry holds a crash.
  std::map<routing::RequestDigest, std::string> part_ids_;
  /// Requests whose records go into the next batch.
  std::set<routing::RequestDigest> pending_;
  /// Suspected requests whose trial at this entry was published to the others.
  std::set<routing::RequestDigest> own_trials_;
  Timer publish_timer_;
  Timer tick_timer_;
};

}  // namespace chalkwell::daemon::direct
