// chalkwelld: the two daemons, entry and agent.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "chalkwell/core/error.hpp"
#include "daemon/agent.hpp"
#include "daemon/crash_report.hpp"
#include "daemon/direct/direct_agent.hpp"
#include "daemon/direct/direct_entry.hpp"
#include "daemon/entry.hpp"
#include "daemon/version.hpp"
#include "platform/adapter.hpp"

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitFailed = 1;

struct Options {
  std::string config_;
  bool check_ = false;
  /// Name of the adapter to a deployment's platform; empty for the product's
  /// own interface.
  std::string adapter_;
};

CLI::App* AddCommand(CLI::App& app, const char* name, const char* help,
                     Options& options) {
  auto* command = app.add_subcommand(name, help);
  command->add_option("--config", options.config_, "settings file (INI)")
      ->required();
  command->add_flag("--check", options.check_,
                    "check the settings, report every fault, and exit");
  command
      ->add_option("--adapter", options.adapter_,
                   "serve a deployment's own platform through its adapter")
      ->check(CLI::IsMember({"platform"}));
  return command;
}

/// Entry or agent that speaks a deployment's platform.
void RunDirect(chalkwell::daemon::Loop& loop,
               const chalkwell::daemon::Settings& settings, bool is_entry) {
  namespace direct = chalkwell::daemon::direct;
  using chalkwell::daemon::ParseAddress;
  static chalkwell::daemon::ProcessBase process(loop, settings,
                                                is_entry ? "entry" : "agent");
  const auto store = ParseAddress(settings.Text("platform", "address"));
  if (is_entry) {
    static direct::DirectEntry entry(
        process,
        chalkwell::platform::MakeAdapter(process.http(), store, std::nullopt));
    entry.Run();
  } else {
    const auto engine = ParseAddress(settings.Text("endpoint", "backend"));
    static direct::DirectAgent agent(
        process,
        chalkwell::platform::MakeAdapter(process.http(), store, engine));
    agent.Run();
  }
}

void RunOwn(chalkwell::daemon::Loop& loop,
            const chalkwell::daemon::Settings& settings, bool is_entry) {
  static chalkwell::daemon::Process process(loop, settings,
                                            is_entry ? "entry" : "agent");
  if (is_entry) {
    static chalkwell::daemon::Entry entry(process);
    entry.Run();
  } else {
    static chalkwell::daemon::Agent agent(process);
    agent.Run();
  }
}

int RunDaemon(const Options& options, bool is_entry) {
  using chalkwell::daemon::UsedBy;
  chalkwell::daemon::ReportCrashes();
  // Until the loop listens for it, a hang-up must not end the process.
  std::signal(SIGHUP, SIG_IGN);
  const bool direct = !options.adapter_.empty();
  const auto own = is_entry ? UsedBy::kEntry : UsedBy::kAgent;
  const auto adapted = is_entry ? UsedBy::kDirectEntry : UsedBy::kDirectAgent;
  const auto settings = chalkwell::daemon::Settings::Load(
      options.config_, direct ? adapted : own);
  if (options.check_) {
    std::cout << options.config_ << ": settings are valid\n";
    return 0;
  }
  static chalkwell::daemon::Loop loop;
  if (direct) {
    RunDirect(loop, settings, is_entry);
  } else {
    RunOwn(loop, settings, is_entry);
  }
  // Connections may still refer to the parts of the process: leave at once.
  std::cout.flush();
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"chalkwelld: serves model requests and rolls model weights"};
  app.footer("Exit codes: 0 planned stop, 1 failure, 2 faulty settings.");
  app.set_version_flag("--version", std::string(chalkwell::daemon::kVersion));
  app.require_subcommand(1);
  Options options;
  auto* entry = AddCommand(
      app, "entry", "meet callers, route their requests, spread configuration",
      options);
  AddCommand(app, "agent",
             "guard one endpoint: fetch and activate weights, run requests",
             options);
  CLI11_PARSE(app, argc, argv);
  try {
    return RunDaemon(options, entry->parsed());
  } catch (const chalkwell::core::Error& error) {
    std::cerr << "chalkwelld: " << error.what() << "\n";
    return error.step() == chalkwell::core::Step::kSettings ? kExitSettings
                                                            : kExitFailed;
  } catch (const std::exception& error) {
    std::cerr << "chalkwelld: " << error.what() << "\n";
    return kExitFailed;
  }
}
