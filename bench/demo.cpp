// The demo: three failure domains on one machine, two rollouts of weights, the
// second under load while one endpoint is killed and one entry is stopped.
// With KEEP in the environment the fleet keeps running after the report.
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"

namespace {

using chalkwell::fleet::Child;
using chalkwell::fleet::Fleet;
using chalkwell::fleet::GetJson;
using chalkwell::fleet::Node;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr std::uint64_t kModelBytes = std::uint64_t{64} << 20;
constexpr auto kLiveTimeout = 40s;
constexpr int kBarWidth = 30;

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

void Print(const std::string& text) { std::cout << text << std::endl; }

/// Prints and runs a command of the chalkwell CLI, as an operator would type
/// it.
/// @throws std::runtime_error if the exit code is not 0.
void RunCli(const std::vector<std::string>& arguments,
            const std::string& log_path) {
  std::vector<std::string> command{chalkwell::fleet::CliPath()};
  std::ostringstream command_line;
  command_line << "  $ chalkwell";
  for (const auto& argument : arguments) {
    command.push_back(argument);
    command_line << " " << argument;
  }
  Print(command_line.str());
  const auto exit_code = Child(command, log_path).Wait(30s);
  if (exit_code != 0) {
    throw std::runtime_error("chalkwell failed; see " + log_path);
  }
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Shows how many engines serve a version: as a progress bar on a terminal,
/// else as one line for each change.
class ProgressDisplay {
 public:
  void Show(std::size_t serving, std::size_t total, std::uint64_t version) {
    if (serving == last_serving_) {
      return;
    }
    last_serving_ = serving;
    if (is_terminal_) {
      const auto filled = static_cast<int>(serving * kBarWidth /
                                           std::max<std::size_t>(1, total));
      std::cout << "\r  version " << version << " [" << std::string(filled, '#')
                << std::string(kBarWidth - filled, '.') << "] " << serving
                << "/" << total << (serving == total ? "\n" : "") << std::flush;
    } else {
      std::cout << "  version " << version << " is live on " << serving
                << " of " << total << std::endl;
    }
  }

 private:
  std::size_t last_serving_ = SIZE_MAX;
  bool is_terminal_ = ::isatty(STDOUT_FILENO) == 1;
};

/// Waits until all listed engines serve a version, at most kLiveTimeout.
bool WaitLiveWithProgress(Fleet& fleet, std::uint64_t version) {
  const auto engines = fleet.Engines();
  const auto listed_engines = static_cast<std::size_t>(std::ranges::count_if(
      engines, [](const Node* node) { return node->published_; }));
  ProgressDisplay progress;
  return Fleet::WaitFor(
      [&] {
        const auto serving = fleet.CountServing(version);
        progress.Show(serving, listed_engines, version);
        return serving == listed_engines;
      },
      kLiveTimeout);
}

/// Creates, signs, verifies and publishes a bundle through the CLI.
void MakeBundle(Fleet& fleet, std::uint64_t version) {
  const auto& folder = fleet.folder();
  const auto number = std::to_string(version);
  const auto model = folder + "/pitch-advisor.bin";
  const auto adapter = folder + "/creole-" + number + ".bin";
  // The first half of the model is the same in all versions.
  chalkwell::fleet::WriteRandomFile(model, 1, kModelBytes / 2);
  const auto half = folder + "/half.bin";
  chalkwell::fleet::WriteRandomFile(half, 100 + version, kModelBytes / 2);
  std::ofstream(model, std::ios::binary | std::ios::app) << ReadAll(half);
  chalkwell::fleet::WriteRandomFile(adapter, 200 + version, 1 << 20);
  const auto log_path = folder + "/operator.log";
  const auto bundle = folder + "/bundle.json";
  const auto signed_bundle = folder + "/bundle-" + number + ".signed.json";
  RunCli({"bundle", "create", "--version", number, "--model", "pitch-advisor",
          "--model-file", model, "--adapter", "creole=" + adapter, "--role",
          "chat", "--chunk-bytes", "1048576", "--out", folder},
         log_path);
  RunCli({"bundle", "sign", "--key", folder + "/operator.key", "--in", bundle,
          "--out", signed_bundle},
         log_path);
  RunCli({"bundle", "verify", signed_bundle, "--trusted",
          folder + "/operator.key.pub", "--folder", folder},
         log_path);
  fleet.Publish("bundle", ReadAll(signed_bundle));
}

/// Bytes sent by the origin and by the weight store.
std::uint64_t OriginBytes(Fleet& fleet) {
  return GetJson(fleet.origin(), "/control/stats").value("bytes", 0ULL) +
         GetJson(fleet.store(), "/control/stats").value("bytes", 0ULL);
}

/// Calls to plain services that were executed more than once, by the record of
/// the services.
std::uint64_t CountRepeatedExecutions(Fleet& fleet) {
  std::map<std::string, std::uint64_t> executed;
  for (auto* node : fleet.Services()) {
    const auto record = GetJson(node->backend_address_, "/control/record");
    for (const auto& [id, times] : record["executed"].items()) {
      executed[id] += times.get<std::uint64_t>();
    }
  }
  return static_cast<std::uint64_t>(std::ranges::count_if(
      executed, [](const auto& entry) { return entry.second > 1; }));
}

void PrintExampleCommands(Fleet& fleet) {
  const auto& entry = *fleet.Entries().back();
  const auto key = Fleet::CallerKey();
  Print("\nThe fleet keeps running; try:");
  Print("  curl -N http://" + entry.caller_address_ +
        "/v1/chat/completions -H 'authorization: Bearer " + key +
        "' -d '{\"prompt\":\"a pitch by the sea\",\"stream\":true}'");
  Print("  curl -i http://" + entry.caller_address_ +
        "/records/orders -H 'authorization: Bearer " + key +
        "' -d '{\"order\":\"bell 7\"}'");
  Print("  chalkwell status " + entry.admin_address_);
  Print("  curl http://" + entry.admin_address_ + "/metrics");
  Print("Press Ctrl-C to stop all processes.");
}

/// What the demo measures of the rollout under load.
struct Figures {
  double seconds_to_live_ = 0;
  double origin_copies_ = 0;
  nlohmann::json load_result_;
  std::uint64_t repeated_executions_ = 0;
  std::size_t final_version_instances_ = 0;
};

/// Prints the figures.
/// @return true if no request was lost, wrong or executed more than once, and
/// all expected instances serve the final version.
bool Report(const Figures& figures, std::size_t expected_instances) {
  const auto count = [&](const char* name) {
    return figures.load_result_.value(name, std::uint64_t{0});
  };
  std::cout << "\nfigure demo_seconds_to_live " << figures.seconds_to_live_
            << "\nfigure demo_origin_copies " << figures.origin_copies_
            << "\nfigure demo_requests_sent " << count("sent")
            << "\nfigure demo_requests_answered " << count("answered")
            << "\nfigure demo_requests_refused " << count("refused")
            << "\nfigure demo_requests_unknown " << count("unknown")
            << "\nfigure demo_requests_failed " << count("failed")
            << "\nfigure demo_requests_lost " << count("lost")
            << "\nfigure demo_requests_doubled " << figures.repeated_executions_
            << "\nfigure demo_wrong_answers " << count("wrong")
            << "\nfigure demo_final_version_instances "
            << figures.final_version_instances_ << std::endl;
  const bool passed = count("sent") > 0 && count("lost") == 0 &&
                      count("wrong") == 0 &&
                      figures.repeated_executions_ == 0 &&
                      figures.final_version_instances_ == expected_instances;
  Print(passed ? "demo: passed" : "demo: FAILED");
  return passed;
}

std::unique_ptr<Fleet> MakeFleet(const std::string& folder,
                                 const std::string& public_key) {
  return std::make_unique<Fleet>(chalkwell::fleet::FleetSpec{
      .domains_ = {"port-louis", "grand-baie", "mahebourg"},
      .entries_ = 2,
      .engines_ = 3,
      .services_ = 1,
      .folder_ = folder,
      .entry_settings_ = {{"bundle.trusted_keys", public_key}},
      .agent_settings_ = {{"bundle.trusted_keys", public_key},
                          {"weights.link_bytes_per_second", "40000000"}},
      .origin_arguments_ = {"--rate", "80000000"}});
}

/// Publishes version 2 under load; kills an endpoint and stops an entry during
/// the rollout.
void RolloutUnderLoad(Fleet& fleet, Figures& figures) {
  const auto result_path = fleet.folder() + "/load.json";
  std::vector<std::string> command{chalkwell::fleet::StandinPath(),
                                   "load",
                                   "--key",
                                   Fleet::CallerKey(),
                                   "--rps",
                                   "60",
                                   "--service-share",
                                   "0.25",
                                   "--model",
                                   "pitch-advisor",
                                   "--out",
                                   result_path};
  for (const auto* entry : fleet.Entries()) {
    command.insert(command.end(), {"--entry", entry->caller_address_});
  }
  Print(
      "\nstarting streamed chat completions and plain-service calls, 60 a "
      "second");
  Child load(command, fleet.folder() + "/load.log");
  std::this_thread::sleep_for(2s);

  Print("creating, signing and publishing bundle 2 under load");
  const auto origin_bytes_before = OriginBytes(fleet);
  MakeBundle(fleet, 2);
  const auto published_at = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(1s);

  auto& killed_engine = *fleet.Engines().at(4);
  Print("sending SIGKILL to endpoint " + killed_engine.id_ +
        " (agent and engine)");
  killed_engine.process_.Signal(SIGKILL);
  killed_engine.backend_process_.Signal(SIGKILL);
  killed_engine.published_ = false;
  auto& stopped_entry = *fleet.Entries().at(1);
  Print("stopping entry " + stopped_entry.id_);
  stopped_entry.process_.Signal(SIGTERM);
  stopped_entry.published_ = false;
  fleet.PublishInstances();

  if (!WaitLiveWithProgress(fleet, 2)) {
    Print("version 2 did not become live in time");
  }
  figures.seconds_to_live_ = SecondsSince(published_at);
  const std::uint64_t changed_bytes =
      kModelBytes / 2 + (std::uint64_t{1} << 20);
  figures.origin_copies_ =
      static_cast<double>(OriginBytes(fleet) - origin_bytes_before) /
      static_cast<double>(changed_bytes);
  const auto exit_code = stopped_entry.process_.Wait(15s);
  Print("the stopped entry exited with code " +
        (exit_code ? std::to_string(*exit_code) : std::string("none yet")));
  std::this_thread::sleep_for(2s);
  load.Signal(SIGTERM);
  if (!load.Wait(30s)) {
    Print("requests are still in flight after 30 s");
  }
  figures.load_result_ =
      nlohmann::json::parse(ReadAll(result_path), nullptr, false);
  if (!figures.load_result_.is_object()) {
    figures.load_result_ = nlohmann::json::object();
  }
}

int RunDemo(const std::string& folder, bool keep_running) {
  Print(
      "chalkwell demo: 3 failure domains, 6 entries, 9 model engines, 3 plain "
      "services");
  RunCli({"keygen", folder + "/operator.key"}, folder + "/operator.log");
  auto public_key = ReadAll(folder + "/operator.key.pub");
  public_key.pop_back();
  const auto fleet = MakeFleet(folder, public_key);
  fleet->StartExternalServices();
  fleet->PublishFleet();
  fleet->StartNodes();
  Print("creating, signing and publishing bundle 1");
  MakeBundle(*fleet, 1);
  const auto first_published = std::chrono::steady_clock::now();
  if (!WaitLiveWithProgress(*fleet, 1) || !fleet->WaitEntriesReady(10s)) {
    Print("demo: FAILED: bundle 1 did not become live; logs are in " + folder);
    return 1;
  }
  std::cout << "  bundle 1 was live after " << SecondsSince(first_published)
            << " s\n";
  Figures figures;
  RolloutUnderLoad(*fleet, figures);
  figures.repeated_executions_ = CountRepeatedExecutions(*fleet);
  figures.final_version_instances_ = fleet->CountServing(2);
  const bool passed = Report(figures, fleet->Engines().size() - 1);
  if (keep_running) {
    PrintExampleCommands(*fleet);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    int signal = 0;
    sigwait(&signals, &signal);
  }
  return passed ? 0 : 1;
}

}  // namespace

int main() {
  try {
    const chalkwell::fleet::TemporaryFolder scratch;
    return RunDemo(scratch.path(), std::getenv("KEEP") != nullptr);
  } catch (const std::exception& error) {
    std::cerr << "demo: FAILED: " << error.what() << "\n";
    return 1;
  }
}
