// chalkwelld: the daemons `entry` and `agent`.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "chalkwell/core/error.hpp"
#include "daemon/agent.hpp"
#include "daemon/allocator.hpp"
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
  /// Name of the adapter to a deployment's platform; empty if the product's own
  /// interface is used.
  std::string adapter_;
};

CLI::App* AddCommand(CLI::App& app, const char* name, const char* help,
                     Options& options) {
  auto* command = app.add_subcommand(name, help);
  command->add_option("--config", options.config_, "settings file (INI)")
      ->required();
  command->add_flag("--check", options.check_,
                    "check the settings, report all errors, and exit");
  command
      ->add_option("--adapter", options.adapter_,
                   "name of the adapter to a deployment's own platform")
      ->check(CLI::IsMember({"platform"}));
  return command;
}

/// Runs an entry or agent that uses a deployment's platform through its
/// adapter.
void RunWithAdapter(chalkwell::daemon::Loop& loop,
                    const chalkwell::daemon::Settings& settings,
                    bool is_entry) {
  namespace direct = chalkwell::daemon::direct;
  using chalkwell::daemon::ParseAddress;
  static chalkwell::daemon::ProcessBase process(loop, settings,
                                                is_entry ? "entry" : "agent");
  const auto store = ParseAddress(settings.Text("platform", "address"));
  if (is_entry) {
    static direct::DirectEntry entry(
        process, chalkwell::platform::MakeAdapter(process.http_client(), store,
                                                  std::nullopt));
    entry.Run();
  } else {
    const auto engine = ParseAddress(settings.Text("endpoint", "backend"));
    static direct::DirectAgent agent(
        process,
        chalkwell::platform::MakeAdapter(process.http_client(), store, engine));
    agent.Run();
  }
}

/// Runs an entry or agent that uses the product's own interface.
void RunWithOwnInterface(chalkwell::daemon::Loop& loop,
                         const chalkwell::daemon::Settings& settings,
                         bool is_entry) {
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
  chalkwell::daemon::InstallCrashHandler();
  chalkwell::daemon::ConfigureAllocator();
  // SIGHUP must not end the process before the loop handles it.
  std::signal(SIGHUP, SIG_IGN);
  const bool has_adapter = !options.adapter_.empty();
  const auto own_interface = is_entry ? UsedBy::kEntry : UsedBy::kAgent;
  const auto with_adapter =
      is_entry ? UsedBy::kDirectEntry : UsedBy::kDirectAgent;
  const auto settings = chalkwell::daemon::Settings::Load(
      options.config_, has_adapter ? with_adapter : own_interface);
  if (options.check_) {
    std::cout << options.config_ << ": settings are valid\n";
    return 0;
  }
  static chalkwell::daemon::Loop loop;
  if (has_adapter) {
    RunWithAdapter(loop, settings, is_entry);
  } else {
    RunWithOwnInterface(loop, settings, is_entry);
  }
  // Connections may still refer to parts of the process, so exit without
  // destroying static objects.
  std::cout.flush();
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"chalkwelld: serves model requests and rolls out model weights"};
  app.footer("Exit codes: 0 graceful shutdown, 1 failure, 2 invalid settings.");
  app.set_version_flag("--version", std::string(chalkwell::daemon::kVersion));
  app.require_subcommand(1);
  Options options;
  auto* entry = AddCommand(
      app, "entry",
      "accept and route requests of callers, disseminate configuration",
      options);
  AddCommand(app, "agent",
             "manage one endpoint: fetch and activate weights, run requests",
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
