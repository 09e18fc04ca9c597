// Measures how entries handle requests: goodput and fairness under overload,
// extra attempts while endpoints fail calls, and latency and losses that
// callers see when an endpoint is killed, freezes or stops.
//
// Usage: bench_requests [overload|retries|gone]...; all parts by default.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <numeric>
#include <thread>

#include "chalkwell/core/digest.hpp"
#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"
#include "usage.hpp"

namespace chalkwell::bench {
namespace {

using fleet::Fleet;
using fleet::FleetSpec;
using namespace std::chrono_literals;

constexpr unsigned kEngines = 4;
constexpr unsigned kEntries = 2;
constexpr unsigned kBatchSize = 8;
constexpr std::uint64_t kTokenMs = 20;
constexpr std::uint64_t kTokens = 10;
constexpr std::uint64_t kPrefillMs = 60;
constexpr std::uint64_t kDeadlineMs = 1500;
constexpr auto kRunTime = 8s;
const std::vector<std::string> kAccounts{"north", "east", "south", "west"};

/// Requests a second that the engines can complete when every prefix is cached.
constexpr double kCapacityPerSecond =
    1000.0 * kEngines * kBatchSize /
    static_cast<double>(kTokenMs * (kTokens + 1));

std::string MakeAccountKey(const std::string& account) {
  return "key-of-" + account;
}

/// @brief Parameters of one load generator; several run side by side.
struct LoadSpec {
  std::string account_ = "north";
  double requests_per_second_ = 20;
  /// Calls that a caller makes at most for one request.
  unsigned max_tries_ = 1;
  /// Number of different prompt prefixes.
  unsigned prefixes_ = 8;
  std::uint64_t deadline_ms_ = kDeadlineMs;
  /// Share of calls to plain services; the others are streamed completions.
  double service_share_ = 0;
};

FleetSpec MakeFleetSpec(const std::string& folder) {
  FleetSpec spec;
  spec.entries_ = kEntries;
  spec.engines_ = kEngines;
  spec.folder_ = folder;
  spec.engine_arguments_ = {"--token-ms",   std::to_string(kTokenMs),
                            "--prefill-ms", std::to_string(kPrefillMs),
                            "--batch",      std::to_string(kBatchSize)};
  spec.agent_settings_ = {{"endpoint.capacity", std::to_string(kBatchSize)}};
  return spec;
}

void PublishAccounts(Fleet& fleet) {
  auto accounts = nlohmann::json::array();
  for (const auto& name : kAccounts) {
    accounts.push_back(
        {{"id", name},
         {"key_digest", core::Digest::Of(MakeAccountKey(name)).ToHex()},
         {"weight", 1}});
  }
  fleet.Publish("accounts", nlohmann::json{{"accounts", accounts}}.dump());
}

/// @brief A live fleet with the accounts kAccounts, all of weight 1.
class LiveFleet {
 public:
  /// @param adjust_spec may change the spec of the fleet before it starts.
  /// @throws std::runtime_error if the fleet does not become live.
  explicit LiveFleet(
      const std::function<void(FleetSpec&)>& adjust_spec = nullptr) {
    auto spec = MakeFleetSpec(scratch_.path());
    if (adjust_spec) {
      adjust_spec(spec);
    }
    fleet_ = std::make_unique<Fleet>(std::move(spec));
    fleet_->StartExternalServices();
    fleet_->PublishFleet();
    PublishAccounts(*fleet_);
    fleet_->Publish("bundle", fleet_->MakeBundle(1, 1, 1 << 20, 256 << 10));
    fleet_->StartNodes();
    if (!fleet_->WaitLive(1, 60s) || !fleet_->WaitEntriesReady(20s)) {
      throw std::runtime_error("the fleet did not become live");
    }
  }

  [[nodiscard]] Fleet& fleet() noexcept { return *fleet_; }

  /// @brief Runs load generators side by side while an action runs; stops them
  /// when it returns.
  /// @return the result of each load generator, in the order of `specs`.
  std::vector<nlohmann::json> Run(const std::vector<LoadSpec>& specs,
                                  const std::function<void()>& action) {
    std::vector<fleet::Child> loads;
    std::vector<std::string> result_paths;
    for (const auto& spec : specs) {
      result_paths.push_back(fleet_->folder() + "/load-" +
                             std::to_string(++run_count_) + ".json");
      std::vector<std::string> command{
          fleet::StandinPath(),
          "load",
          "--key",
          MakeAccountKey(spec.account_),
          "--rps",
          std::to_string(spec.requests_per_second_),
          "--service-share",
          std::to_string(spec.service_share_),
          "--tokens",
          std::to_string(kTokens),
          "--seed",
          std::to_string(run_count_),
          "--max-tries",
          std::to_string(spec.max_tries_),
          "--prefixes",
          std::to_string(spec.prefixes_),
          "--deadline-ms",
          std::to_string(spec.deadline_ms_),
          "--out",
          result_paths.back()};
      for (const auto* entry : fleet_->Entries()) {
        command.insert(command.end(), {"--entry", entry->caller_address_});
      }
      loads.emplace_back(command, result_paths.back() + ".log");
    }
    const auto start = std::chrono::steady_clock::now();
    action();
    for (auto& load : loads) {
      load.Signal(SIGTERM);
    }
    std::vector<nlohmann::json> results;
    for (std::size_t i = 0; i < loads.size(); ++i) {
      (void)loads[i].Wait(60s);
      std::ifstream file(result_paths[i]);
      results.push_back(nlohmann::json::parse(file, nullptr, false));
    }
    // Responses that arrive after the stop count, and so does the time until
    // the last of them.
    run_duration_ = std::chrono::steady_clock::now() - start;
    return results;
  }

  /// @brief Duration of the last run, in seconds.
  [[nodiscard]] double run_seconds() const noexcept {
    return run_duration_.count();
  }

  std::vector<nlohmann::json> Run(const std::vector<LoadSpec>& specs) {
    return Run(specs, [] { std::this_thread::sleep_for(kRunTime); });
  }

 private:
  fleet::TemporaryFolder scratch_;
  std::unique_ptr<Fleet> fleet_;
  unsigned run_count_ = 0;
  std::chrono::duration<double> run_duration_{};
};

/// Sum of a field over several results.
double SumField(const std::vector<nlohmann::json>& results, const char* name) {
  return std::accumulate(results.begin(), results.end(), 0.0,
                         [name](double sum, const nlohmann::json& result) {
                           return sum + result.value(name, 0.0);
                         });
}

/// Jain's fairness index of the answered requests: 1 when all loads got the
/// same number of responses.
double ComputeJainIndex(const std::vector<nlohmann::json>& results) {
  double sum = 0;
  double squares = 0;
  for (const auto& result : results) {
    const auto answered = result.value("answered", 0.0);
    sum += answered;
    squares += answered * answered;
  }
  return sum * sum / (static_cast<double>(results.size()) * squares);
}

/// Runs that engines started and that were cancelled, over all engines so far.
double ReadCancelledRuns(Fleet& fleet) {
  double sum = 0;
  for (const auto* engine : fleet.Engines()) {
    const auto record =
        fleet::GetJson(engine->backend_address_, "/control/record");
    sum += record.value("cancelled", 0.0);
  }
  return sum;
}

void MeasureOverloadRun(const std::string& name, LiveFleet& bench,
                        const std::vector<LoadSpec>& loads) {
  const auto cancelled_before = ReadCancelledRuns(bench.fleet());
  const auto results = bench.Run(loads);
  PrintFigure(
      name + "_goodput_share",
      SumField(results, "answered") / bench.run_seconds() / kCapacityPerSecond);
  PrintFigure(name + "_fairness", ComputeJainIndex(results));
  PrintFigure(name + "_sent", SumField(results, "sent"));
  PrintFigure(name + "_failed_or_broken",
              SumField(results, "failed") + SumField(results, "broken"));
  PrintFigure(name + "_wasted_runs",
              ReadCancelledRuns(bench.fleet()) - cancelled_before);
  PrintFigure(name + "_unknown", SumField(results, "unknown"));
  PrintFigure(name + "_wrong", SumField(results, "wrong"));
}

void MeasureOverload() {
  LiveFleet bench;
  PrintFigure("overload_capacity_per_second", kCapacityPerSecond);
  for (const int load_factor : {1, 2, 4}) {
    std::vector<LoadSpec> loads;
    loads.reserve(kAccounts.size());
    for (const auto& account : kAccounts) {
      loads.push_back(
          {.account_ = account,
           .requests_per_second_ = load_factor * kCapacityPerSecond / 4});
    }
    MeasureOverloadRun("overload_x" + std::to_string(load_factor), bench,
                       loads);
  }
  // One account sends ten times its share, the others 1.2 times theirs.
  std::vector<LoadSpec> loads;
  loads.reserve(kAccounts.size());
  for (const auto& account : kAccounts) {
    const double load_factor = account == kAccounts.front() ? 10 : 1.2;
    loads.push_back(
        {.account_ = account,
         .requests_per_second_ = load_factor * kCapacityPerSecond / 4});
  }
  MeasureOverloadRun("overload_loud", bench, loads);
  // Baseline: with all requests in one account they are served first come,
  // first served.
  for (auto& load : loads) {
    load.account_ = kAccounts.front();
  }
  MeasureOverloadRun("overload_loud_fcfs", bench, loads);
}

/// Runs that entries sent to engines, over all engines so far.
double ReadOfferedRuns(Fleet& fleet) {
  double sum = 0;
  for (const auto* engine : fleet.Engines()) {
    const auto record =
        fleet::GetJson(engine->backend_address_, "/control/record");
    sum += record.value("offered", 0.0);
  }
  return sum;
}

/// Measures extra attempts while 2 of 6 endpoints fail half of their calls.
void MeasureRetries() {
  struct Row {
    std::string name_;
    fleet::ExtraSettings entry_;
  };
  const std::vector<Row> rows{
      {"retry", {}},
      // Baseline: up to three retries of every request, without a retry budget.
      {"retry_blind",
       {{"requests.retry_share", "1"},
        {"requests.retry_reserve", "100000"},
        {"requests.max_attempts", "4"}}}};
  for (const auto& row : rows) {
    LiveFleet bench([&row](FleetSpec& spec) {
      spec.engines_ = 6;
      spec.entry_settings_ = row.entry_;
    });
    const auto engines = bench.fleet().Engines();
    for (const std::size_t i : {0, 1}) {
      (void)fleet::Post(engines.at(i)->backend_address_,
                        "/control/switches?fail_percent=50", "");
    }
    const auto offered_before = ReadOfferedRuns(bench.fleet());
    const auto results =
        bench.Run({{.account_ = "north",
                    .requests_per_second_ = 0.5 * kCapacityPerSecond},
                   {.account_ = "south",
                    .requests_per_second_ = 0.5 * kCapacityPerSecond}});
    const auto sent = SumField(results, "sent");
    PrintFigure(row.name_ + "_amplification",
                (ReadOfferedRuns(bench.fleet()) - offered_before) / sent);
    PrintFigure(row.name_ + "_answered_share",
                SumField(results, "answered") / sent);
    PrintFigure(row.name_ + "_wrong", SumField(results, "wrong"));
  }
}

/// Measures what callers see when an endpoint is killed, freezes or stops.
void MeasureEndpointLoss() {
  struct Row {
    std::string name_;
    int signal_;
  };
  for (const auto& row :
       {Row{"kill", SIGKILL}, Row{"freeze", SIGSTOP}, Row{"leave", SIGTERM}}) {
    // The published list names the endpoint throughout the run.
    LiveFleet bench;
    auto& engine = *bench.fleet().Engines().front();
    const auto results = bench.Run({{.requests_per_second_ = 100,
                                     .max_tries_ = 5,
                                     .deadline_ms_ = 10'000}},
                                   [&] {
                                     std::this_thread::sleep_for(2s);
                                     engine.process_.Signal(row.signal_);
                                     std::this_thread::sleep_for(5s);
                                     engine.process_.Signal(SIGCONT);
                                   });
    const auto& result = results.front();
    PrintFigure("gone_" + row.name_ + "_first_p95_ms",
                result.value("first_p95_ms", 0.0));
    PrintFigure("gone_" + row.name_ + "_total_p99_ms",
                result.value("total_p99_ms", 0.0));
    PrintFigure("gone_" + row.name_ + "_broken", result.value("broken", 0.0));
    PrintFigure("gone_" + row.name_ + "_answered_share",
                result.value("answered", 0.0) / result.value("sent", 1.0));
  }
}

}  // namespace
}  // namespace chalkwell::bench

int main(int argc, char** argv) {
  using chalkwell::bench::MeasureEndpointLoss;
  using chalkwell::bench::MeasureOverload;
  using chalkwell::bench::MeasureRetries;
  const std::map<std::string, std::function<void()>> parts{
      {"overload", MeasureOverload},
      {"retries", MeasureRetries},
      {"gone", MeasureEndpointLoss}};
  std::vector<std::string> selected(argv + 1, argv + argc);
  if (selected.empty()) {
    for (const auto& [name, part] : parts) {
      selected.push_back(name);
    }
  }
  try {
    for (const auto& name : selected) {
      std::cout << "# requests: " << name << std::endl;
      parts.at(name)();
    }
  } catch (const std::exception& error) {
    std::cerr << "bench-requests: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
