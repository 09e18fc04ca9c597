// Keeps requests that crash endpoints from crashing more of them: gathers what
// shows that an endpoint crashed, shares it with the other entries, and says
// which requests are refused meanwhile.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/routing/crash_detector.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_quarantine.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"
#include "daemon/tcp_stream.hpp"

namespace chalkwell::daemon::direct {

/// @brief Why a request is not run now.
struct QuarantineRefusal {
  std::string reason_;
  core::Duration retry_after_{};
};

/// @brief The quarantine of one entry.
class QuarantineKeeper {
 public:
  /// Names one request under way.
  using Token = std::uint64_t;

  QuarantineKeeper(Loop& loop, const routing::EndpointTable& endpoints,
                   MeshNode& mesh, EventLog& log, Metrics& metrics);

  /// @brief Whether a request must not be sent now.
  [[nodiscard]] std::optional<QuarantineRefusal> RefusalOf(
      const routing::RequestDigest& request) const;
  /// @brief Whether a request may go to a further endpoint within its try.
  /// @param last the last attempt if it may have run.
  [[nodiscard]] bool MayRepeat(
      const routing::RequestDigest& request,
      const std::optional<routing::LostAttempt>& last) const;

  /// @brief A request was admitted.
  /// @param abandon ends its attempt if nothing was answered; called when the
  /// request is quarantined meanwhile.
  [[nodiscard]] Token OnBegun(const routing::RequestDigest& request,
                              core::TimePoint deadline,
                              std::function<void()> abandon);
  void OnEnded(Token token);
  /// @brief The connection of an attempt broke before the answer was complete.
  void OnLost(const routing::LostAttempt& attempt,
              const routing::EndpointRow& endpoint);
  /// @brief An endpoint ran the request to its end.
  void OnAnswered(const routing::RequestDigest& request);

  /// @brief Another entry published records.
  /// @param sent_at when it did, by the own clock.
  void OnRecords(const membership::Member& sender,
                 const std::vector<CrashRecordMessage>& records,
                 core::TimePoint sent_at);
  /// @brief Some records for another entry.
  [[nodiscard]] std::vector<CrashRecordMessage> Sample(std::size_t most);

  /// @brief Ends the quarantine of a request, here and at all other entries.
  /// @return false when it is blamed for nothing.
  bool Lift(const routing::RequestDigest& request);
  /// @brief Suspected and quarantined requests, for the status page.
  [[nodiscard]] nlohmann::json Status() const;
  /// @brief Brings the gauges up to date.
  void RefreshMetrics();

 private:
  struct UnderWay {
    routing::RequestDigest request_;
    core::TimePoint deadline_;
    std::function<void()> abandon_;
  };

  /// @param tries how often the address is probed until it refuses.
  void Probe(const routing::EndpointRow& endpoint, unsigned tries);
  void OnProbed(const routing::EndpointRow& endpoint, bool refused,
                unsigned tries);
  void OnCrashed(const routing::EndpointIncarnation& endpoint,
                 const std::string& evidence);
  void CheckReplaced();
  void AddCrash(const routing::LostAttempt& attempt,
                const routing::EndpointIncarnation& endpoint,
                core::TimePoint at);
  /// @brief Publishes and logs that a request is blamed for less.
  /// @param before the request's standing before.
  void OnCleared(const routing::RequestDigest& request,
                 routing::Standing before, const std::string& reason);
  /// @brief Acts on a record that has changed.
  /// @param before the request's standing before.
  void OnChanged(const routing::RequestDigest& request,
                 routing::Standing before);
  void Abandon(const routing::RequestDigest& request);
  void Publish(const routing::RequestDigest& request);
  void PublishPending();
  [[nodiscard]] CrashRecordMessage MessageOf(
      const routing::RequestDigest& request);
  /// @brief Latest deadline of those under way; nothing when there are none.
  [[nodiscard]] std::optional<core::TimePoint> UnderWayUntil(
      const routing::RequestDigest& request) const;
  void LogStanding(const routing::RequestDigest& request);
  void Tick();

  Loop& loop_;
  const routing::EndpointTable& endpoints_;
  MeshNode& mesh_;
  EventLog& log_;
  Metrics& metrics_;
  routing::CrashDetector evidence_;
  routing::RequestQuarantine quarantine_;
  Token last_token_ = 0;
  std::map<Token, UnderWay> under_way_;
  /// By endpoint id; at most one for each loss under evidence.
  std::map<core::InstanceId, TcpStream::Ptr> probes_;
  /// Requests whose records are published next, together.
  std::set<routing::RequestDigest> pending_;
  /// Requests whose own attempt was published as the one under way.
  std::set<routing::RequestDigest> trials_;
  Timer publish_timer_;
  Timer tick_;
};

}  // namespace chalkwell::daemon::direct
