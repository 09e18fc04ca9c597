// The agent of a deployment whose endpoints are called directly: it sends its
// engine's load reports to the entries and keeps the engine on the target
// version.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "chalkwell/core/backoff.hpp"
#include "chalkwell/membership/report_subscribers.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/engine_facts.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/direct/weights_manager.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon::direct {

/// @brief Agent that runs beside one engine.
class DirectAgent {
 public:
  DirectAgent(ProcessBase& process, Adapter adapter);

  /// @brief Runs until a graceful shutdown.
  void Run();

 private:
  void PollEngine();
  void OnReport(const std::optional<EngineReport>& report);
  void OnPublished(const StoreSnapshot& snapshot);
  void ApplyFacts(const EngineFacts& facts);
  /// @brief Requests the facts of the engine's service and the list of agents,
  /// and schedules the next request.
  void RefreshFacts();
  /// @brief Time after the start in which entries are expected to respond.
  [[nodiscard]] core::Duration FactsWait() const;
  /// @brief Reads the target version and the agents from the store while no
  /// entry sends them.
  void ReadWithoutEntries(core::TimePoint now);
  void OnSubscribe(const membership::Member& entry);
  /// @brief Sends a load report to the entries for which one is due.
  void SendReports(LoadMessage load, bool changed, bool urgent,
                   core::TimePoint now);
  /// @brief Requests the incarnation id of a restarted engine.
  void RequestIncarnation();
  /// @brief Whether the engine restarted since the last report.
  [[nodiscard]] bool Restarted(const EngineReport& report) const;
  /// @brief Delay of incoming traffic on the local link.
  [[nodiscard]] core::Duration InboundDelay(core::TimePoint now) const;
  [[nodiscard]] std::string Status() const;

  ProcessBase& process_;
  Adapter adapter_;
  std::string service_;
  std::string endpoint_;
  std::string model_;
  PublishedReader reader_;
  MeshNode mesh_;
  WeightsManager weights_;
  FactsClient facts_;
  /// Backoff of reads of the rules from the store.
  core::Backoff rules_backoff_;
  /// Backoff of reads of the target version and agents from the store.
  core::Backoff store_backoff_;
  core::TimePoint started_at_;
  /// Whether a read of the rules with a short timeout was attempted, which
  /// succeeds if they are small.
  bool small_read_tried_ = false;
  std::unique_ptr<HttpServer> admin_;
  /// Entries that subscribed to the engine's load reports.
  membership::ReportSubscribers subscribers_;
  /// The last report that differed from the one before it.
  std::optional<LoadMessage> last_load_;
  bool engine_responds_ = false;
  std::string health_path_;
  /// Incarnation of the engine; empty while it is not known.
  core::InstanceId incarnation_;
  core::TimePoint incarnation_requested_at_;
  /// Start time, number of activation orders and version in the last report.
  std::optional<core::StartTime> started_;
  std::uint64_t activation_count_ = 0;
  std::uint64_t version_ = 0;
  Timer poll_;
  Timer facts_timer_;
};

}  // namespace chalkwell::daemon::direct
