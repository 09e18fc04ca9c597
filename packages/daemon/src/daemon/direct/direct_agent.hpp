// The agent of a deployment whose endpoints are called directly: it tells the
// entries what its engine reports, and keeps the engine on the newest weights.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/direct/hooks.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/direct/weights_keeper.hpp"
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
  void OnPublished(const Published& published);
  void FindModel(const config::TrafficRules& rules);
  void ReadRules();
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
  std::unique_ptr<HttpServer> admin_;
  std::optional<LoadMessage> last_pushed_;
  core::TimePoint pushed_at_;
  bool engine_answers_ = false;
  Timer poll_;
  Timer rules_;
};

}  // namespace chalkwell::daemon::direct
