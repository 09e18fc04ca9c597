// Runs the load and compares its result with the services' execution logs.
#include "fleet/scenario.hpp"

#include <csignal>
#include <fstream>
#include <map>
#include <stdexcept>

#include "standins/service.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kModelBytes = 4 << 20;
constexpr std::uint64_t kChunkBytes = 256 << 10;

}  // namespace

Scenario::Scenario(FleetSpec spec) {
  spec.folder_ = scratch_.path();
  spec.agent_settings_.try_emplace("rollout.pause_lease_ms", "1000");
  spec.agent_settings_.try_emplace("weights.draw_silence_ms", "500");
  spec.agent_settings_.try_emplace("weights.chunk_timeout_ms", "2000");
  spec.agent_settings_.try_emplace("rollout.turn_lease_ms", "2000");
  spec.agent_settings_.try_emplace("platform.silence_ms", "2000");
  spec.entry_settings_.try_emplace("platform.silence_ms", "2000");
  spec.entry_settings_.try_emplace("peer.silence_ms", "1500");
  fleet_ = std::make_unique<Fleet>(std::move(spec));
}

void Scenario::StartAndWaitUntilLive() {
  fleet_->StartExternalServices();
  fleet_->PublishFleet();
  fleet_->Publish("bundle", fleet_->MakeBundle(1, 1, kModelBytes, kChunkBytes));
  fleet_->StartNodes();
  if (!fleet_->WaitLive(1, 40s) || !fleet_->WaitEntriesReady(20s)) {
    throw std::runtime_error(
        "engines and entries did not become ready with version 1");
  }
}

void Scenario::StartLoad(const LoadOptions& options) {
  result_path_ = fleet_->folder() + "/load.json";
  std::vector<std::string> command{
      StandinPath(),     "load",
      "--key",           Fleet::CallerKey(),
      "--rps",           std::to_string(options.requests_per_second_),
      "--service-share", std::to_string(options.service_share_),
      "--tokens",        std::to_string(options.tokens_),
      "--seed",          std::to_string(options.seed_),
      "--out",           result_path_};
  for (const auto* entry : fleet_->Entries()) {
    if (entry->published_) {
      command.insert(command.end(), {"--entry", entry->caller_address_});
    }
  }
  load_ = Child(command, fleet_->folder() + "/load.log");
}

LoadResult Scenario::StopLoad() {
  load_.Signal(SIGTERM);
  if (load_.Wait(60s) != 0) {
    throw std::runtime_error(
        "the load process failed or did not end within 60 s");
  }
  std::ifstream file(result_path_);
  LoadResult result;
  result.raw_ = nlohmann::json::parse(file);
  const auto read_count = [&](const char* name) {
    return result.raw_.at(name).get<std::uint64_t>();
  };
  result.sent_ = read_count("sent");
  result.answered_ = read_count("answered");
  result.refused_ = read_count("refused");
  result.unknown_ = read_count("unknown");
  result.failed_ = read_count("failed");
  result.lost_ = read_count("lost");
  result.wrong_ = read_count("wrong");
  result.broken_ = read_count("broken");
  std::map<std::string, std::uint64_t> executed;
  for (auto* node : fleet_->Services()) {
    std::ifstream log(fleet_->folder() + "/" + node->id_ + "-backend.log");
    for (std::string line; std::getline(log, line);) {
      const std::string prefix = standins::kExecutedPrefix;
      if (line.starts_with(prefix)) {
        ++executed[line.substr(prefix.size())];
      }
    }
  }
  for (const auto& [id, executions] : executed) {
    result.executed_repeatedly_ += executions > 1 ? 1 : 0;
  }
  for (const auto& id : result.raw_.at("service_answered")) {
    result.never_executed_ += executed.contains(id.get<std::string>()) ? 0 : 1;
  }
  return result;
}

}  // namespace chalkwell::fleet
