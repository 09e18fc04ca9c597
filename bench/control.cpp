// Measures the cost of the control plane: processor time, memory and peer
// traffic of entries and agents, fitted as lines over the number of endpoints,
// entries, list rows, changes and tokens; how long a change takes to be active
// in every process; calls to the configuration store.
// Usage: bench_control [PART], PART a name of RunParts; all parts by default.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"
#include "usage.hpp"

namespace chalkwell::bench {
namespace {

using fleet::Fleet;
using fleet::FleetSpec;
using fleet::Node;
using namespace std::chrono_literals;

constexpr auto kMeasurementWindow = 8s;
constexpr auto kSettleTime = 3s;
constexpr std::size_t kShardRows = 64;
const std::vector<std::string> kDomains{"port-louis", "grand-baie",
                                        "mahebourg"};

FleetSpec MakeFleetSpec(unsigned entries, unsigned engines,
                        const std::string& folder) {
  FleetSpec spec;
  spec.domains_ = kDomains;
  spec.entries_ = entries;
  spec.engines_ = engines;
  spec.folder_ = folder;
  spec.shared_backends_ = true;
  return spec;
}

/// Starts the fleet, waits until version 1 is live, then lets the load settle.
void StartAndWaitUntilLive(Fleet& fleet) {
  fleet.StartExternalServices();
  fleet.PublishFleet();
  fleet.Publish("bundle", fleet.MakeBundle(1, 1, 1 << 20, 256 << 10));
  fleet.StartNodes();
  if (!fleet.WaitLive(1, 120s)) {
    throw std::runtime_error("the fleet did not become live");
  }
  std::this_thread::sleep_for(kSettleTime);
}

/// One document of the instance list with endpoints of another failure domain
/// and of a role that no route names, so that no entry connects to them.
/// @param variant changes the peer addresses, so that a new variant is a change
/// of the document.
std::string MakeInstanceShard(std::size_t shard, std::size_t rows,
                              std::uint64_t variant) {
  auto instances = nlohmann::json::array();
  for (std::size_t i = 0; i < rows; ++i) {
    instances.push_back(
        {{"id", "far-" + std::to_string(shard) + "-" + std::to_string(i)},
         {"kind", "endpoint"},
         {"domain", "far"},
         {"role", "elsewhere"},
         {"backend", "engine"},
         {"peer", "127.0.0.1:" + std::to_string(1 + variant % 9)}});
  }
  return nlohmann::json{{"instances", instances}}.dump();
}

void PublishRemoteInstances(Fleet& fleet, std::size_t rows) {
  for (std::size_t shard = 0; shard * kShardRows < rows; ++shard) {
    const auto count = std::min(kShardRows, rows - shard * kShardRows);
    fleet.Publish("instances/far-" + std::to_string(shard),
                  MakeInstanceShard(shard, count, 0));
  }
}

/// Mean usage of entries and of agents at each value of a variable.
struct Measurements {
  std::vector<double> x_;
  std::vector<MeanUsage> entry_;
  std::vector<MeanUsage> agent_;

  /// Measures the fleet's entries, then its agents.
  void Measure(double x, Fleet& fleet) {
    const auto entry = MeasureMeanUsage(fleet.Entries(), kMeasurementWindow);
    const auto agent = MeasureMeanUsage(fleet.Engines(), kMeasurementWindow);
    Add(x, entry, agent);
  }

  void Add(double x, const MeanUsage& entry, const MeanUsage& agent) {
    x_.push_back(x);
    entry_.push_back(entry);
    agent_.push_back(agent);
    std::cout << "point x=" << x << " entry: cpu " << entry.cpu_share_
              << " rss " << entry.resident_bytes_ << " bytes/s "
              << entry.peer_bytes_per_second_ << "; agent: cpu "
              << agent.cpu_share_ << " rss " << agent.resident_bytes_
              << " bytes/s " << agent.peer_bytes_per_second_ << std::endl;
  }
};

void PrintFit(const std::string& name, const std::vector<double>& x,
              const std::vector<MeanUsage>& rates, double MeanUsage::*member) {
  std::vector<double> y;
  y.reserve(rates.size());
  for (const auto& rate : rates) {
    y.push_back(rate.*member);
  }
  const auto line = FitLine(x, y);
  PrintFigure(name + "_at_zero", line.intercept_);
  PrintFigure(name + "_slope", line.slope_);
}

void PrintFits(const std::string& variable, const Measurements& measurements) {
  const auto print_role = [&](const std::string& role,
                              const std::vector<MeanUsage>& rates) {
    const auto name = role + "_by_" + variable;
    PrintFit(name + "_cpu", measurements.x_, rates, &MeanUsage::cpu_share_);
    PrintFit(name + "_rss", measurements.x_, rates,
             &MeanUsage::resident_bytes_);
    PrintFit(name + "_bytes", measurements.x_, rates,
             &MeanUsage::peer_bytes_per_second_);
  };
  print_role("entry", measurements.entry_);
  print_role("agent", measurements.agent_);
}

void MeasureByEndpoints() {
  Measurements measurements;
  for (const unsigned engines : {3U, 10U, 30U, 60U}) {
    const fleet::TemporaryFolder scratch;
    Fleet fleet(MakeFleetSpec(2, engines, scratch.path()));
    StartAndWaitUntilLive(fleet);
    // Streams of an entry by the default settings: up to 64 to local endpoints
    // and up to 16 to remote ones.
    const double streams = std::min(engines, 64U) + std::min(2 * engines, 16U);
    measurements.Measure(streams, fleet);
  }
  PrintFits("endpoints", measurements);
}

void MeasureByEntries() {
  Measurements measurements;
  for (const unsigned entries : {1U, 3U, 6U, 10U}) {
    const fleet::TemporaryFolder scratch;
    Fleet fleet(MakeFleetSpec(entries, 5, scratch.path()));
    StartAndWaitUntilLive(fleet);
    measurements.Measure(3.0 * entries, fleet);
  }
  PrintFits("entries", measurements);
}

void MeasureByRows() {
  Measurements measurements;
  for (const std::size_t rows : {0UL, 1000UL, 2000UL, 3400UL}) {
    const fleet::TemporaryFolder scratch;
    auto spec = MakeFleetSpec(2, 3, scratch.path());
    spec.entry_settings_ = {{"routing.attach_foreign", "0"}};
    Fleet fleet(spec);
    StartAndWaitUntilLive(fleet);
    PublishRemoteInstances(fleet, rows);
    std::this_thread::sleep_for(4s);
    measurements.Measure(static_cast<double>(rows), fleet);
  }
  PrintFits("rows", measurements);
}

void MeasureByChanges() {
  Measurements measurements;
  constexpr std::size_t kRows = 3400;
  for (const double rate : {0.0, 0.5, 1.0, 2.0}) {
    const fleet::TemporaryFolder scratch;
    auto spec = MakeFleetSpec(3, 20, scratch.path());
    spec.entry_settings_ = {{"routing.attach_foreign", "0"}};
    Fleet fleet(spec);
    StartAndWaitUntilLive(fleet);
    PublishRemoteInstances(fleet, kRows);
    std::this_thread::sleep_for(4s);
    // A second thread publishes changes during the measurement.
    std::thread publisher;
    std::atomic<bool> stop{false};
    if (rate > 0) {
      publisher = std::thread([&, address = fleet.platform()] {
        daemon::Loop loop;
        daemon::HttpClient client(loop, 5s);
        std::uint64_t variant = 0;
        while (!stop) {
          ++variant;
          client.Fetch(
              daemon::ParseAddress(address),
              {.method_ = "POST",
               .path_ = "/control/values/instances/far-" +
                        std::to_string(variant % (kRows / kShardRows)),
               .body_ = MakeInstanceShard(variant % (kRows / kShardRows),
                                          kShardRows, variant)},
              [&loop](const daemon::HttpResponse&) { loop.Stop(); });
          loop.Run();
          std::this_thread::sleep_for(std::chrono::duration<double>(1 / rate));
        }
      });
    }
    measurements.Measure(rate, fleet);
    stop = true;
    if (publisher.joinable()) {
      publisher.join();
    }
  }
  PrintFits("changes", measurements);
}

void MeasureByTokens() {
  Measurements measurements;
  constexpr std::uint64_t kTokens = 64;
  for (const double requests : {5.0, 20.0, 40.0, 80.0}) {
    const fleet::TemporaryFolder scratch;
    Fleet fleet(MakeFleetSpec(1, 2, scratch.path()));
    StartAndWaitUntilLive(fleet);
    std::vector<std::string> command{
        fleet::StandinPath(),   "load",  "--key",
        Fleet::CallerKey(),     "--rps", std::to_string(requests),
        "--service-share",      "0",     "--tokens",
        std::to_string(kTokens)};
    for (const auto* entry : fleet.Entries()) {
      command.insert(command.end(), {"--entry", entry->caller_address_});
    }
    fleet::Child load(command, fleet.folder() + "/load.log");
    std::this_thread::sleep_for(2s);
    const auto entry = MeasureMeanUsage(fleet.Entries(), kMeasurementWindow);
    const auto agent = MeasureMeanUsage(fleet.Engines(), kMeasurementWindow);
    load.Signal(SIGTERM);
    (void)load.Wait(30s);
    measurements.Add(requests * kTokens, entry, agent);
  }
  // The variable is the tokens a second of the whole fleet, which 3 entries and
  // 6 agents share.
  PrintFits("tokens", measurements);
}

/// When a process accepted a document, in seconds since the epoch, by its log.
/// @param logged_fields key and revision as the log writes them.
/// @return 0 when the log has no such line.
double FindAcceptanceTime(const Node& node, const std::string& logged_fields) {
  std::ifstream log(node.log_path_);
  for (std::string line; std::getline(log, line);) {
    if (line.find("document-accepted") != std::string::npos &&
        line.find(logged_fields) != std::string::npos) {
      return ParseLogTime(line);
    }
  }
  return 0;
}

/// Publishes a change and waits until every process has accepted it.
/// @param revision that the store will give the change.
/// @return seconds until the last process accepted it, -1 when one had not
/// after 30 s.
double MeasureActivationSeconds(Fleet& fleet, std::uint64_t revision) {
  const auto published_at =
      std::chrono::duration<double>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  fleet.Publish("routes", R"({"routes":[{"prefix":"/v1/","role":"chat",)"
                          R"("repeatable":true}]})");
  const auto logged_fields =
      "key=\"routes\" revision=\"" + std::to_string(revision) + "\"";
  double last_accepted = 0;
  const bool active_everywhere = Fleet::WaitFor(
      [&] {
        last_accepted = 0;
        for (const auto& node : fleet.nodes()) {
          const auto accepted_at = FindAcceptanceTime(node, logged_fields);
          if (accepted_at == 0) {
            return false;
          }
          last_accepted = std::max(last_accepted, accepted_at);
        }
        return true;
      },
      30s);
  return active_everywhere ? std::max(0.0, last_accepted - published_at) : -1;
}

std::uint64_t ReadStoreRevision(Fleet& fleet) {
  return fleet::GetJson(fleet.platform(), "/control/stats")
      .value("revision", std::uint64_t{0});
}

/// Measures a fleet of 30 entries and 198 agents.
/// @param one_reader true: the configuration store is reachable from one entry
/// only, and all others learn changes from peers.
void MeasureLargeFleet(bool one_reader) {
  const fleet::TemporaryFolder scratch;
  auto spec = MakeFleetSpec(10, 66, scratch.path());
  if (one_reader) {
    spec.entry_settings_ = {{"platform.address", "127.0.0.1:9"}};
    spec.agent_settings_ = {{"platform.address", "127.0.0.1:9"}};
  }
  Fleet fleet(spec);
  const std::string suffix = one_reader ? "_one_reader" : "";
  if (one_reader) {
    fleet.SetNodeSetting("port-louis-entry-1", "platform.address",
                         fleet.platform());
  }
  const auto begin = std::chrono::steady_clock::now();
  fleet.StartExternalServices();
  fleet.PublishFleet();
  fleet.Publish("bundle", fleet.MakeBundle(1, 1, 1 << 20, 256 << 10));
  fleet.StartNodes();
  if (!fleet.WaitLive(1, 180s)) {
    throw std::runtime_error("the large fleet did not become live");
  }
  const std::chrono::duration<double> start_duration =
      std::chrono::steady_clock::now() - begin;
  PrintFigure("config_start_to_live_seconds" + suffix, start_duration.count());
  const auto stats = fleet::GetJson(fleet.platform(), "/control/stats?reset=1");
  PrintFigure("config_peak_calls_per_second_at_start" + suffix,
              stats.value("peak_calls", 0.0));
  std::this_thread::sleep_for(10s);
  const auto idle_stats = fleet::GetJson(fleet.platform(), "/control/stats");
  PrintFigure(
      "config_calls_per_second_at_rest" + suffix,
      idle_stats.value("calls", 0.0) / 10 + idle_stats.value("watches", 0.0));
  PrintFigure("config_watches" + suffix, idle_stats.value("watches", 0.0));
  double max_seconds = 0;
  for (int i = 0; i < 3; ++i) {
    const auto seconds =
        MeasureActivationSeconds(fleet, ReadStoreRevision(fleet) + 1);
    max_seconds = seconds < 0 ? 1e9 : std::max(max_seconds, seconds);
  }
  PrintFigure("config_in_force_seconds" + suffix, max_seconds);
  const auto entries = MeasureMeanUsage(fleet.Entries(), kMeasurementWindow);
  PrintFigure("large_entry_cpu" + suffix, entries.cpu_share_);
  PrintFigure("large_entry_rss" + suffix, entries.resident_bytes_);
  PrintFigure("large_entry_bytes" + suffix, entries.peer_bytes_per_second_);
}

/// Runs the part of the given name, or all parts when the name is empty.
int RunParts(const std::string& selected) {
  const std::map<std::string, std::function<void()>> parts{
      {"endpoints", MeasureByEndpoints},
      {"entries", MeasureByEntries},
      {"rows", MeasureByRows},
      {"changes", MeasureByChanges},
      {"tokens", MeasureByTokens},
      {"large", [] { MeasureLargeFleet(false); }},
      {"one-reader", [] { MeasureLargeFleet(true); }}};
  for (const auto& [name, run] : parts) {
    if (selected.empty() || name == selected) {
      std::cout << "# " << name << std::endl;
      run();
    }
  }
  return 0;
}

}  // namespace
}  // namespace chalkwell::bench

int main(int argc, char** argv) {
  try {
    return chalkwell::bench::RunParts(argc < 2 ? "" : argv[1]);
  } catch (const std::exception& error) {
    std::cerr << "bench-control: " << error.what() << "\n";
    return 1;
  }
}
