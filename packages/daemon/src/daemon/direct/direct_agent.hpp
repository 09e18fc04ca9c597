// The agent of a deployment whose endpoints are called directly: it tells the
// entries what its engine reports, and keeps the engine on the newest weights.
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

/// @brief One agent beside one engine.
class DirectAgent {
 public:
  DirectAgent(ProcessBase& process, Adapter adapter);

  /// @brief Runs until a planned stop.
  void Run();

 private:
  void PollEngine();
  void OnReport(const std::optional<EngineReport>& report);
  void OnPublished(const StoreSnapshot& published);
  void TakeFacts(const EngineFacts& facts);
  /// @brief Asks what the engine's service is, and which other agents there
  /// are, from time to time.
  void AskFacts();
  /// @brief Reads from the store what entries say else, while none says it.
  void ReadIfAlone(core::TimePoint now);
  void OnSubscribe(const membership::Member& entry);
  /// @brief Tells a report to the entries that are due.
  void Tell(LoadMessage load, bool changed, bool urgent, core::TimePoint now);
  /// @brief Asks a restarted engine which incarnation it is.
  void AskIncarnation();
  /// @brief Whether the engine is another life than at the last report.
  [[nodiscard]] bool Restarted(const EngineReport& report) const;
  /// @brief How long the own link holds back what comes in.
  [[nodiscard]] core::Duration InboundDelay(core::TimePoint now) const;
  [[nodiscard]] std::string Status() const;

  ProcessBase& process_;
  Adapter adapter_;
  std::string service_;
  std::string endpoint_;
  std::string model_;
  PublishedReader reader_;
  MeshNode mesh_;
  WeightsKeeper weights_;
  FactsAsker facts_;
  /// Pauses between own reads of the rules.
  core::Backoff rules_pause_;
  /// Pauses between own reads of weights wanted and agents.
  core::Backoff alone_pause_;
  core::TimePoint started_at_;
  /// Whether the rules were read once in case they are small.
  bool read_small_ = false;
  std::unique_ptr<HttpServer> admin_;
  /// Entries that use the engine.
  membership::ReportSubscribers audience_;
  /// The last report that differed from the one before it.
  std::optional<LoadMessage> last_load_;
  bool engine_answers_ = false;
  std::string health_path_;
  /// Of the engine; empty while it is not known.
  core::InstanceId incarnation_;
  core::TimePoint incarnation_asked_at_;
  /// Start, orders and version of the last report.
  std::optional<core::StartTime> started_;
  std::uint64_t orders_ = 0;
  std::uint64_t version_ = 0;
  Timer poll_;
  Timer facts_timer_;
};

}  // namespace chalkwell::daemon::direct
