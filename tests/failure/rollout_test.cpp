// Faults during a rollout: every engine ends with the complete weights of the
// newest signed version, and all responses are correct throughout.
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

#include "chalkwell/core/digest.hpp"
#include "fleet/scenario.hpp"

namespace chalkwell::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kModelBytes = 4 << 20;
constexpr std::uint64_t kChunkBytes = 256 << 10;

std::string MakeVersion(Fleet& fleet, std::uint64_t version) {
  return fleet.MakeBundle(version, 10 * version, kModelBytes, kChunkBytes);
}

void PublishVersion(Fleet& fleet, std::uint64_t version) {
  fleet.Publish("bundle", MakeVersion(fleet, version));
}

/// Adds a second agent for an endpoint, with addresses of its own, as a
/// platform does when it replaces one. The caller starts it and publishes the
/// list.
Node& AddReplacement(Fleet& fleet, const Node& original) {
  Node replacement;
  replacement.id_ = original.id_;
  replacement.domain_ = original.domain_;
  replacement.role_ = original.role_;
  replacement.is_engine_ = true;
  replacement.backend_address_ = original.backend_address_;
  replacement.admin_address_ = "127.0.0.1:" + std::to_string(FreePort());
  replacement.peer_address_ = "127.0.0.1:" + std::to_string(FreePort());
  replacement.settings_path_ = original.settings_path_ + ".new";
  replacement.log_path_ = original.log_path_ + ".new";
  fleet.nodes().push_back(std::move(replacement));
  return fleet.nodes().back();
}

void FreezeAgentDuringReplacement(Fleet& fleet) {
  fleet.nodes().reserve(fleet.nodes().size() + 1);
  auto& original = *fleet.Engines().front();
  original.process_.Signal(SIGSTOP);
  auto& replacement = AddReplacement(fleet, original);
  original.published_ = false;
  fleet.StartNode(replacement);
  fleet.PublishInstances();
  PublishVersion(fleet, 2);
  std::this_thread::sleep_for(3s);
  original.process_.Signal(SIGCONT);
}

void KillEngineWhileLoading(Fleet& fleet) {
  auto& engine = *fleet.Engines().front();
  (void)Post(engine.backend_address_, "/control/switches?load_ms=2000", "");
  PublishVersion(fleet, 2);
  std::this_thread::sleep_for(1500ms);
  engine.backend_process_.Kill();
  fleet.StartBackend(engine);
}

void KillAgentsWhileFetching(Fleet& fleet) {
  PublishVersion(fleet, 2);
  std::this_thread::sleep_for(150ms);
  for (auto* engine : fleet.Engines()) {
    engine->process_.Kill();
    fleet.StartNode(*engine);
  }
}

void CorruptAndTruncateChunks(Fleet& fleet) {
  (void)Post(fleet.store(), "/control/faults?corrupt=25&truncate=15", "");
  (void)Post(fleet.origin(), "/control/faults?corrupt=25&truncate=15", "");
  PublishVersion(fleet, 2);
}

void StallWeightStore(Fleet& fleet) {
  (void)Post(fleet.store(), "/control/faults?stall_ms=60000", "");
  PublishVersion(fleet, 2);
  std::this_thread::sleep_for(1s);
  (void)Post(fleet.store(), "/control/faults?stall_ms=0", "");
}

void SupersedeVersion(Fleet& fleet) {
  const auto newer_document = MakeVersion(fleet, 2);
  PublishVersion(fleet, 1);
  fleet.Publish("bundle", newer_document);
}

void FailLoads(Fleet& fleet) {
  auto& engine = *fleet.Engines().front();
  (void)Post(engine.backend_address_, "/control/switches?fails_loads=1", "");
  PublishVersion(fleet, 2);
  std::this_thread::sleep_for(2s);
  (void)Post(engine.backend_address_, "/control/switches?fails_loads=0", "");
}

struct Row {
  std::string name_;
  std::function<void(Fleet&)> inject_faults_;
  bool checks_fencing_ = true;
};

TEST_CASE("a rollout completes under every fault", "[rollout]") {
  const auto row =
      GENERATE(Row{"an agent frozen during its replacement",
                   FreezeAgentDuringReplacement},
               Row{"an engine killed while it loads", KillEngineWhileLoading},
               Row{"agents killed while they fetch", KillAgentsWhileFetching},
               Row{"agents killed, engine without fencing",
                   KillAgentsWhileFetching, false},
               Row{"corrupt and truncated chunks", CorruptAndTruncateChunks},
               Row{"a stalled weight store", StallWeightStore},
               Row{"a superseded version", SupersedeVersion},
               Row{"an engine whose loads fail for a while", FailLoads});
  FleetSpec spec{.entries_ = 1, .engines_ = 2, .services_ = 1};
  spec.checks_fencing_ = row.checks_fencing_;
  if (!row.checks_fencing_) {
    spec.engine_arguments_ = {"--ignore-fencing"};
  }
  Scenario scenario(std::move(spec));
  scenario.StartAndWaitUntilLive();
  scenario.StartLoad({.requests_per_second_ = 25});
  std::this_thread::sleep_for(500ms);
  auto& fleet = scenario.fleet();
  row.inject_faults_(fleet);
  CAPTURE(row.name_);
  CHECK(fleet.WaitLive(2, 60s));
  const auto result = scenario.StopLoad();
  CAPTURE(result.raw_.dump().substr(0, 400));
  CHECK(result.wrong_ == 0);
  CHECK(result.executed_repeatedly_ == 0);
  CHECK(result.lost_ == 0);
  for (const auto* engine : fleet.Engines()) {
    const auto record = GetJson(engine->backend_address_, "/control/record");
    CHECK(record.value("mixed", 1) == 0);
    CHECK(record.value("bad_orders", 1) == 0);
    CHECK(record["activations"].back().get<std::string>().starts_with("2:"));
  }
}

TEST_CASE("a manifest with another digest than the bundle's is not activated",
          "[rollout]") {
  Scenario scenario({.entries_ = 1, .engines_ = 1});
  scenario.StartAndWaitUntilLive();
  auto& fleet = scenario.fleet();
  const auto document = MakeVersion(fleet, 2);
  const auto payload = bundle::ParseEnvelope(document).payload_;
  const auto manifest = nlohmann::json::parse(payload)["manifest"];
  const auto path = fleet.folder() + "/blobs/" + manifest.get<std::string>();
  std::ofstream(path, std::ios::app) << " ";
  fleet.Publish("bundle", document);
  std::this_thread::sleep_for(2s);
  CHECK(fleet.CountServing(1) == 1);
  PublishVersion(fleet, 3);
  CHECK(fleet.WaitLive(3, 30s));
}

}  // namespace
}  // namespace chalkwell::fleet
