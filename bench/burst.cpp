// Measures the distribution of new weights to N instances while streams run
// over the same links: time against the limit of the links, copies fetched from
// the origin, capacity that stays ready, latency of the streams. Without faults
// it runs the baseline transfers of baseline.hpp too.
//
// Usage: bench_burst N POLICY [faults]. With the POLICY `origin` one member
// is assigned to fetch each chunk from the origin, with `time` three.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <thread>

#include "baseline.hpp"
#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"
#include "usage.hpp"

namespace chalkwell::bench {
namespace {

using fleet::Fleet;
using fleet::FleetSpec;
using fleet::Node;
using namespace std::chrono_literals;

/// Sum of the link rates of all instances, limited by what the cores of the
/// machine can hash and copy.
constexpr std::uint64_t kTotalLinkBytesPerSecond = 90'000'000;
/// Rate of the origin in links of an instance.
constexpr std::uint64_t kOriginLinkFactor = 4;
/// Transfer time of one copy of the model over the link of an instance.
constexpr std::uint64_t kSecondsPerCopy = 12;
constexpr std::uint64_t kChunksPerModel = 144;

/// Sizes of a run. The more instances, the slower their links and the smaller
/// the model.
struct BurstSizes {
  explicit BurstSizes(unsigned instances)
      : link_bytes_per_second_(kTotalLinkBytesPerSecond / instances),
        chunk_bytes_(link_bytes_per_second_ * kSecondsPerCopy /
                     kChunksPerModel),
        model_bytes_(chunk_bytes_ * kChunksPerModel) {}

  std::uint64_t link_bytes_per_second_;
  std::uint64_t chunk_bytes_;
  std::uint64_t model_bytes_;
};

/// The baseline in which all nodes fetch from the origin transfers a model
/// smaller by this factor; its time is scaled up again.
constexpr std::uint64_t kOriginBaselineReduction = 16;
/// Largest share of a failure domain's endpoints that may be out of service.
constexpr double kMaxOutShare = 0.34;
const std::vector<std::string> kDomains{"port-louis", "grand-baie",
                                        "mahebourg"};

/// Seconds since the epoch, to compare with the times of log lines.
double WallClockSeconds() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A change of an endpoint's readiness; times in seconds since the epoch.
struct ReadinessChange {
  double time_ = 0;
  bool ready_ = false;
};

/// Reads the events endpoint-ready (C503) and endpoint-not-ready (C504) from
/// the log of a node.
std::vector<ReadinessChange> ReadReadinessChanges(const Node& node,
                                                  double since) {
  std::vector<ReadinessChange> changes;
  std::ifstream log(node.log_path_);
  for (std::string line; std::getline(log, line);) {
    const bool ready = line.find(" C503 ") != std::string::npos;
    const bool not_ready = line.find(" C504 ") != std::string::npos;
    if (ready || not_ready) {
      const auto time = ParseLogTime(line);
      if (time >= since) {
        changes.push_back({time, ready});
      }
    }
  }
  return changes;
}

double FindLastReadyTime(const std::vector<Node*>& engines, double since) {
  double last_ready = 0;
  for (const auto* engine : engines) {
    for (const auto& change : ReadReadinessChanges(*engine, since)) {
      last_ready =
          change.ready_ ? std::max(last_ready, change.time_) : last_ready;
    }
  }
  return last_ready;
}

/// Smallest share of a failure domain's endpoints that was ready at any time
/// since the given one.
double ComputeMinReadyShare(const std::vector<Node*>& engines, double since) {
  double min_share = 1;
  for (const auto& domain : kDomains) {
    std::vector<ReadinessChange> all_changes;
    std::size_t listed_engines = 0;
    for (const auto* engine : engines) {
      if (engine->domain_ == domain && engine->published_) {
        ++listed_engines;
        const auto engine_changes = ReadReadinessChanges(*engine, since);
        all_changes.insert(all_changes.end(), engine_changes.begin(),
                           engine_changes.end());
      }
    }
    std::ranges::sort(all_changes, {}, &ReadinessChange::time_);
    std::size_t out = 0;
    for (const auto& change : all_changes) {
      out = change.ready_ ? out - std::min<std::size_t>(out, 1) : out + 1;
      min_share =
          std::min(min_share, 1 - static_cast<double>(out) /
                                      static_cast<double>(listed_engines));
    }
  }
  return min_share;
}

/// Bytes sent by the origin and by the weight store.
double ReadOriginBytes(Fleet& fleet) {
  double sum = 0;
  for (const auto& address : {fleet.origin(), fleet.store()}) {
    const auto stats = fleet::GetJson(address, "/control/stats");
    sum += stats.is_object() ? stats.value("bytes", 0.0) : 0;
  }
  return sum;
}

/// Bytes of weights over a node's link, to and from peers and from the origin.
double ReadLinkBytes(const Node& node) {
  std::istringstream lines(fleet::Get(node.admin_address_, "/metrics").body_);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("chalkwell_peer_bytes_total{") ||
        line.starts_with("chalkwell_drawn_bytes_total{")) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

/// Runs an action while a load generator sends streams to all entries.
/// @param name of the result file and the log.
/// @return the load generator's result, discarded JSON when there is none.
nlohmann::json RunUnderLoad(Fleet& fleet, const std::string& name,
                            const std::function<void()>& action) {
  const auto out = fleet.folder() + "/" + name + ".json";
  std::vector<std::string> command{fleet::StandinPath(),
                                   "load",
                                   "--key",
                                   Fleet::CallerKey(),
                                   "--rps",
                                   "20",
                                   "--service-share",
                                   "0",
                                   "--tokens",
                                   "30",
                                   "--out",
                                   out};
  for (const auto* entry : fleet.Entries()) {
    command.insert(command.end(), {"--entry", entry->caller_address_});
  }
  fleet::Child load(command, fleet.folder() + "/" + name + ".log");
  action();
  load.Signal(SIGTERM);
  (void)load.Wait(60s);
  std::ifstream file(out);
  return nlohmann::json::parse(file, nullptr, false);
}

FleetSpec MakeFleetSpec(unsigned instances, bool optimizes_time,
                        const std::string& folder) {
  const BurstSizes sizes(instances);
  FleetSpec spec;
  spec.domains_ = kDomains;
  spec.entries_ = 1;
  spec.engines_ = instances / 3;
  spec.folder_ = folder;
  spec.shared_backends_ = true;
  spec.engine_arguments_ = {"--load-ms", "100", "--batch", "256"};
  spec.origin_arguments_ = {
      "--rate",
      std::to_string(kOriginLinkFactor * sizes.link_bytes_per_second_)};
  spec.store_arguments_ = {"--held", "0"};
  spec.agent_settings_ = {
      {"weights.link_bytes_per_second",
       std::to_string(sizes.link_bytes_per_second_)},
      {"weights.origin_copies", optimizes_time ? "3" : "1"},
      {"weights.chunk_timeout_ms", "8000"},
      {"rollout.max_out_share", std::to_string(kMaxOutShare)}};
  return spec;
}

/// Faults during the distribution: a stalled origin, corrupt chunks, two frozen
/// agents, and every tenth agent killed and restarted without chunks.
void InjectFaults(Fleet& fleet) {
  auto engines = fleet.Engines();
  std::this_thread::sleep_for(4s);
  (void)fleet::Post(fleet.origin(), "/control/faults?corrupt=1&stall_ms=1500",
                    "");
  engines.at(1)->process_.Signal(SIGSTOP);
  engines.at(2)->process_.Signal(SIGSTOP);
  for (std::size_t i = 5; i < engines.size(); i += 10) {
    engines[i]->process_.Kill();
    fleet.StartNode(*engines[i]);
  }
  std::this_thread::sleep_for(1500ms);
  (void)fleet::Post(fleet.origin(), "/control/faults?corrupt=1&stall_ms=0", "");
  std::this_thread::sleep_for(4s);
  engines.at(1)->process_.Signal(SIGCONT);
  engines.at(2)->process_.Signal(SIGCONT);
}

/// Prints the times of the baselines as multiples of the measured one.
void RunBaselines(unsigned instances, double burst_seconds) {
  const BurstSizes sizes(instances);
  BaselineSpec spec{.node_count_ = instances,
                    .total_bytes_ = sizes.model_bytes_,
                    .chunk_bytes_ = sizes.chunk_bytes_,
                    .node_bytes_per_second_ = sizes.link_bytes_per_second_,
                    .origin_bytes_per_second_ =
                        kOriginLinkFactor * sizes.link_bytes_per_second_,
                    .uses_tree_ = true};
  const auto suffix = "_" + std::to_string(instances);
  PrintFigure("burst_tree_over_ours" + suffix,
              RunBaseline(spec).count() / burst_seconds);
  spec.uses_tree_ = false;
  spec.total_bytes_ = sizes.model_bytes_ / kOriginBaselineReduction;
  PrintFigure(
      "burst_naive_over_ours" + suffix,
      RunBaseline(spec).count() * kOriginBaselineReduction / burst_seconds);
}

int RunBurst(unsigned instances, bool optimizes_time, bool faults) {
  const BurstSizes sizes(instances);
  const fleet::TemporaryFolder scratch;
  Fleet fleet(MakeFleetSpec(instances, optimizes_time, scratch.path()));
  fleet.StartExternalServices();
  fleet.PublishFleet();
  fleet.Publish("bundle", fleet.MakeBundle(1, 1, 1 << 20, 256 << 10));
  fleet.StartNodes();
  if (!fleet.WaitLive(1, 120s)) {
    std::cerr << "version 1 did not become live\n";
    return 1;
  }
  std::this_thread::sleep_for(4s);
  const auto idle_load =
      RunUnderLoad(fleet, "calm", [] { std::this_thread::sleep_for(8s); });
  const auto engines = fleet.Engines();
  const auto document =
      fleet.MakeBundle(2, 20, sizes.model_bytes_, sizes.chunk_bytes_);
  const auto origin_before = ReadOriginBytes(fleet);
  std::map<std::string, double> link_bytes_before;
  double cpu_before = 0;
  for (const auto* engine : engines) {
    link_bytes_before[engine->id_] = ReadLinkBytes(*engine);
    cpu_before += ReadProcessUsage(*engine).cpu_seconds_;
  }
  double published_at = 0;
  bool live = false;
  const auto burst_load = RunUnderLoad(fleet, "busy", [&] {
    std::this_thread::sleep_for(500ms);
    published_at = WallClockSeconds();
    fleet.Publish("bundle", document);
    if (faults) {
      InjectFaults(fleet);
    }
    live = fleet.WaitLive(2, 180s);
  });
  const double burst_seconds =
      FindLastReadyTime(engines, published_at) - published_at;
  const double weights_bytes = static_cast<double>(sizes.model_bytes_) +
                               static_cast<double>(sizes.chunk_bytes_) / 2;
  const double min_seconds =
      weights_bytes / static_cast<double>(sizes.link_bytes_per_second_);
  double max_link_bytes = 0;
  double cpu = -cpu_before;
  for (const auto* engine : engines) {
    max_link_bytes =
        std::max(max_link_bytes,
                 ReadLinkBytes(*engine) - link_bytes_before[engine->id_]);
    cpu += ReadProcessUsage(*engine).cpu_seconds_;
  }
  const std::string name = faults ? "burst_fault_" : "burst_";
  const std::string suffix = "_" + std::to_string(instances);
  PrintFigure(name + "live" + suffix, live ? 1 : 0);
  PrintFigure(name + "seconds" + suffix, burst_seconds);
  PrintFigure(name + "time_over_limit" + suffix, burst_seconds / min_seconds);
  PrintFigure(name + "origin_copies" + suffix,
              (ReadOriginBytes(fleet) - origin_before) / weights_bytes);
  PrintFigure(name + "link_copies_max" + suffix,
              max_link_bytes / weights_bytes);
  PrintFigure(name + "capacity_min_share" + suffix,
              ComputeMinReadyShare(engines, published_at));
  PrintFigure(name + "agents_cpu_cores" + suffix, cpu / burst_seconds);
  PrintFigure(
      name + "itl_ratio" + suffix,
      burst_load.value("gap_p95_ms", 0.0) / idle_load.value("gap_p95_ms", 1.0));
  PrintFigure(name + "ttft_ratio" + suffix,
              burst_load.value("first_p95_ms", 0.0) /
                  idle_load.value("first_p95_ms", 1.0));
  PrintFigure(name + "wrong_answers" + suffix, burst_load.value("wrong", -1.0));
  double bad_activations = 0;
  for (const auto* engine : engines) {
    const auto record =
        fleet::GetJson(engine->backend_address_, "/control/record");
    bad_activations +=
        record.value("bad_orders", 1.0) + record.value("mixed", 1.0);
  }
  PrintFigure(name + "bad_activations" + suffix, bad_activations);
  if (!faults) {
    RunBaselines(instances, burst_seconds);
  }
  return live ? 0 : 1;
}

}  // namespace
}  // namespace chalkwell::bench

int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "usage: bench_burst N origin|time [faults]\n";
    return 2;
  }
  try {
    const auto instances = static_cast<unsigned>(std::stoul(argv[1]));
    std::cout << "# burst N=" << instances << " POLICY=" << argv[2]
              << (argc > 3 ? " faults" : "") << std::endl;
    return chalkwell::bench::RunBurst(instances, std::string(argv[2]) == "time",
                                      argc > 3);
  } catch (const std::exception& error) {
    std::cerr << "bench-burst: " << error.what() << "\n";
    return 1;
  }
}
