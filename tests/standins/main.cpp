// chalkwell-standin: fakes of all external systems and the load generator, each
// a subcommand.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "daemon/loop.hpp"
#include "standins/blob_server.hpp"
#include "standins/engine.hpp"
#include "standins/load.hpp"
#include "standins/platform.hpp"
#include "standins/service.hpp"

namespace {

using chalkwell::daemon::Loop;
using chalkwell::daemon::ParseAddress;
using std::chrono::milliseconds;

/// Options of all subcommands; each subcommand uses some of them.
struct Options {
  std::vector<std::string> addresses_;
  std::string folder_;
  std::uint64_t rate_ = 0;
  std::uint64_t requests_rate_ = 0;
  std::uint64_t held_ = 100;
  std::uint64_t lag_ms_ = 0;
  std::uint64_t token_ms_ = 5;
  std::uint64_t prefill_ms_ = 20;
  std::uint64_t load_ms_ = 200;
  std::uint64_t batch_ = 32;
  std::uint64_t time_ms_ = 10;
  std::uint64_t duration_ms_ = 0;
  bool ignore_fencing_ = false;
  chalkwell::standins::LoadSettings load_;
};

CLI::App* AddServer(CLI::App& app, const char* name, const char* help,
                    Options& options) {
  auto* command = app.add_subcommand(name, help);
  command->add_option("--listen", options.addresses_, "ip:port")->required();
  return command;
}

void RunLoop(Loop& loop) {
  std::signal(SIGPIPE, SIG_IGN);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  std::cout.flush();
  std::_Exit(0);
}

void RunEngines(Loop& loop, const Options& options) {
  std::vector<std::unique_ptr<chalkwell::standins::Engine>> engines;
  for (const auto& address : options.addresses_) {
    engines.push_back(std::make_unique<chalkwell::standins::Engine>(
        loop, chalkwell::standins::EngineSettings{
                  .address_ = ParseAddress(address),
                  .token_time_ = milliseconds(options.token_ms_),
                  .prefill_time_ = milliseconds(options.prefill_ms_),
                  .batch_ = options.batch_,
                  .load_time_ = milliseconds(options.load_ms_),
                  .checks_fencing_ = !options.ignore_fencing_}));
  }
  RunLoop(loop);
}

void RunServices(Loop& loop, const Options& options) {
  std::vector<std::unique_ptr<chalkwell::standins::Service>> services;
  for (const auto& address : options.addresses_) {
    services.push_back(std::make_unique<chalkwell::standins::Service>(
        loop, chalkwell::standins::ServiceSettings{
                  .address_ = ParseAddress(address),
                  .time_ = milliseconds(options.time_ms_)}));
  }
  RunLoop(loop);
}

void RunLoad(Loop& loop, const Options& options) {
  auto settings = options.load_;
  for (const auto& address : options.addresses_) {
    settings.entries_.push_back(ParseAddress(address));
  }
  settings.duration_ = milliseconds(options.duration_ms_);
  chalkwell::standins::Load load(loop, settings);
  std::signal(SIGPIPE, SIG_IGN);
  loop.OnSignal(SIGTERM, [&load] { load.Stop(); });
  loop.Run();
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "chalkwell-standin: fakes of external systems for tests and the demo"};
  app.require_subcommand(1);
  Options options;
  auto* platform = AddServer(app, "platform", "configuration store", options);
  platform->add_option("--list-lag-ms", options.lag_ms_);
  auto* blobs = AddServer(app, "blobs", "weights store or origin", options);
  blobs->add_option("--folder", options.folder_)->required();
  blobs->add_option("--rate", options.rate_, "bytes per second");
  blobs->add_option("--requests-rate", options.requests_rate_);
  blobs->add_option("--held", options.held_,
                    "percentage of the blobs that it holds");
  auto* engine = AddServer(app, "engine", "model engines", options);
  engine->add_option("--token-ms", options.token_ms_);
  engine->add_option("--prefill-ms", options.prefill_ms_);
  engine->add_option("--load-ms", options.load_ms_);
  engine->add_option("--batch", options.batch_);
  engine->add_flag("--ignore-fencing", options.ignore_fencing_);
  auto* service = AddServer(app, "service", "plain services", options);
  service->add_option("--time-ms", options.time_ms_);
  auto* load =
      app.add_subcommand("load", "send requests and check the responses");
  load->add_option("--entry", options.addresses_, "ip:port")->required();
  load->add_option("--key", options.load_.key_)->required();
  load->add_option("--rps", options.load_.requests_per_second_);
  load->add_option("--service-share", options.load_.service_share_);
  load->add_option("--tokens", options.load_.tokens_);
  load->add_option("--seed", options.load_.seed_);
  load->add_option("--model", options.load_.model_);
  load->add_option("--out", options.load_.out_);
  load->add_option("--duration-ms", options.duration_ms_);
  load->add_option("--max-tries", options.load_.max_tries_);
  load->add_option("--deadline-ms", options.load_.deadline_ms_);
  load->add_option("--prefixes", options.load_.prefixes_);
  CLI11_PARSE(app, argc, argv);
  try {
    Loop loop;
    if (platform->parsed()) {
      const chalkwell::standins::Platform server(
          loop, {.address_ = ParseAddress(options.addresses_.front()),
                 .list_lag_ = milliseconds(options.lag_ms_)});
      RunLoop(loop);
    } else if (blobs->parsed()) {
      const chalkwell::standins::BlobServer server(
          loop, {.address_ = ParseAddress(options.addresses_.front()),
                 .folder_ = options.folder_,
                 .bytes_per_second_ = options.rate_,
                 .requests_per_second_ = options.requests_rate_,
                 .held_percent_ = options.held_});
      RunLoop(loop);
    } else if (engine->parsed()) {
      RunEngines(loop, options);
    } else if (service->parsed()) {
      RunServices(loop, options);
    } else {
      RunLoad(loop, options);
    }
  } catch (const std::exception& error) {
    std::cerr << "chalkwell-standin: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
