// A small deployment on loopback addresses: the platform's store, the origin of
// weights and runners as stand-ins, and the project's own programs as
// processes.
#pragma once

#include <sys/types.h>

#include <array>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "wire.hpp"

namespace review {

using Json = nlohmann::json;

/// @brief Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// @brief Lines of record.txt, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

/// @brief The platform's metadata store.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  void Put(const std::string& key, const Json& value);
  [[nodiscard]] std::string address() const {
    return server_->address().ToString();
  }

 private:
  struct Item {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
  };

  bool Handle(const ChannelPtr& channel, const Message& request);
  [[nodiscard]] Json ItemsAfter(const std::string& prefix,
                                std::uint64_t revision) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 1;
  bool stopping_ = false;
  std::unique_ptr<Server> server_;
};

/// @brief Pieces of a model's versions.
struct Weights {
  std::string model_ = "daka510000";
  std::size_t count_ = 96;
  std::size_t bytes_ = 24576;

  [[nodiscard]] std::string Piece(std::uint64_t version,
                                  std::size_t piece) const;
  [[nodiscard]] Json Manifest(std::uint64_t version) const;
};

/// @brief The origin of weights, on a link of 7.3 Mbit/s.
class Origin {
 public:
  Origin(const std::string& ip, Weights weights, Record& record);
  [[nodiscard]] std::string address() const {
    return server_->address().ToString();
  }

 private:
  bool Handle(const ChannelPtr& channel, const Message& request);

  Weights weights_;
  Record& record_;
  /// Guards `link_free_at_`.
  std::mutex mutex_;
  /// When the origin's link has sent what it was given so far.
  Clock::time_point link_free_at_;
  std::unique_ptr<Server> server_;
};

/// @brief Options of a runner.
struct RunnerOptions {
  std::string id_ = {};
  std::string service_ = {};
  std::string zone_ = "pl-hall-a";
  int slots_ = 6;
  /// Time of a run, apart from streams.
  Milliseconds work_{60};
  /// Time of an answer to /stage-get.
  Milliseconds staging_read_{0};
};

/// @brief A runner: a plain service, or a model engine with staging.
class Runner {
 public:
  Runner(const std::string& ip, RunnerOptions options, Record& record,
         std::optional<Weights> weights = std::nullopt);

  [[nodiscard]] Json Row();
  [[nodiscard]] Address address() const { return server_->address(); }
  [[nodiscard]] const std::string& id() const { return options_.id_; }
  /// @brief Replaces what happens with a request that is to be run; the
  /// default runs it.
  void OnRequest(Handler handler) { on_request_ = std::move(handler); }
  /// @brief Called after each answer to /stage-get, with the piece.
  void OnStagingRead(std::function<void(std::size_t piece)> handler) {
    on_staging_read_ = std::move(handler);
  }
  /// @brief Runs a request and answers it.
  bool Run(const ChannelPtr& channel, const Message& request);
  /// @brief Notes that a request begins to run.
  void NoteRun(const std::string& id);
  /// @brief Called when a request begins to run, with the version.
  void OnRun(std::function<void(const std::string& id, std::uint64_t version)>
                 handler) {
    on_run_ = std::move(handler);
  }
  /// @return whether all pieces of a version are staged.
  [[nodiscard]] bool Staged(std::uint64_t version);
  /// @brief Answers nothing for a time, then goes on.
  void FallSilent(Milliseconds time);
  /// @brief A staged piece turns bad.
  void Rot(std::size_t piece);
  /// @brief Pieces that were bad for longer than `excused` when they were
  /// taken.
  [[nodiscard]] std::set<std::size_t> TakenBad(Milliseconds excused);
  [[nodiscard]] std::uint64_t version();
  /// @brief Runs that began since the last order was carried out.
  [[nodiscard]] int runs_since_order();
  /// @brief Identities of requests that have run, each as often as it ran.
  [[nodiscard]] std::multiset<std::string> runs();

 private:
  bool Handle(const ChannelPtr& channel, const Message& request);
  bool HandleStaging(const ChannelPtr& channel, const Message& request);
  bool HandleOrder(const ChannelPtr& channel, const Message& request);
  bool HandleRequest(const ChannelPtr& channel, const Message& request);
  bool Stream(const ChannelPtr& channel, const Message& request);
  [[nodiscard]] Json Models() const;

  RunnerOptions options_;
  Record& record_;
  std::optional<Weights> weights_;
  Handler on_request_;
  std::function<void(std::size_t piece)> on_staging_read_;
  std::function<void(const std::string& id, std::uint64_t version)> on_run_;
  std::mutex mutex_;
  std::map<std::size_t, std::string> staged_;
  std::map<std::size_t, Clock::time_point> bad_since_;
  /// Of the pieces that the last order took, how long each bad one was bad.
  std::map<std::size_t, Milliseconds> taken_bad_for_;
  Clock::time_point silent_until_;
  /// An order waits for what is running; nothing new is accepted.
  bool ordered_ = false;
  int active_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t orders_ = 0;
  /// Since the last order.
  int runs_since_order_ = 0;
  std::multiset<std::string> runs_;
  std::unique_ptr<Server> server_;
};

/// @brief A process of the project; the destructor kills it.
class Process {
 public:
  Process(std::vector<std::string> command, std::string log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void Start();
  void Signal(int number) const;
  /// @brief Ends the process with SIGKILL.
  void Kill();
  [[nodiscard]] bool Running();
  /// @brief Resident memory in megabytes.
  [[nodiscard]] std::size_t MemoryMb() const;

 private:
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = 0;
};

/// @brief Where a process listens, and its settings.
struct Node {
  std::string name_;
  std::string ip_;
  Address front_;
  Address ready_;
  std::unique_ptr<Process> process_;
  /// Text of the template, path of the settings and the values of the gaps.
  std::string template_;
  std::string settings_;
  std::map<std::string, std::string> values_;

  /// @param bootstrap whether the whole system starts for the first time.
  void WriteSettings(bool bootstrap) const;
  [[nodiscard]] bool Ready() const;
};

/// @brief Addresses, settings and processes of one run. Its folder is removed
/// at the end.
class Deployment {
 public:
  /// @param arguments folder of the case, folder of the repository.
  explicit Deployment(const std::vector<std::string>& arguments);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// @brief Whether the disruption is made (TROUBLE is not 0).
  [[nodiscard]] bool trouble() const { return trouble_; }
  [[nodiscard]] Record& record() { return record_; }
  [[nodiscard]] Store& store() { return *store_; }
  /// @brief Loopback address of a machine.
  [[nodiscard]] std::string Ip(int machine) const;

  /// @brief Starts an entry or an agent by the deploy file's command, with the
  /// template filled in.
  Node& StartEntry(int machine, const std::string& zone = "pl-hall-a");
  Node& StartAgent(int machine, const Runner& runner,
                   const std::string& service,
                   const std::string& zone = "pl-hall-a");
  /// @brief Ends a process with SIGKILL.
  void KillOne(const std::string& name);
  /// @brief Ends all processes with SIGKILL.
  void KillAll();
  /// @brief Starts them again, with the settings of a later start. To be called
  /// by the main thread: processes end with the thread that started them.
  void StartAllAgain();
  /// @return false if an entry isn't ready after 20 s.
  [[nodiscard]] bool WaitUntilReady() const;
  /// @brief Seeds of processes started from now on.
  void SetSeeds(const std::vector<int>& machines);

 private:
  Node& Start(int machine, const std::string& role,
              std::map<std::string, std::string> values);

  std::string repository_;
  bool trouble_;
  Record record_;
  std::string folder_;
  std::string network_;
  int peer_port_ = 0;
  std::string seeds_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

/// @brief Runners of one service on machines from 20 on, with their rows in the
/// store.
[[nodiscard]] std::vector<std::unique_ptr<Runner>> StartRunners(
    Deployment& deployment, int count, RunnerOptions options,
    const std::optional<Weights>& weights = std::nullopt);

/// @brief Runs a case and maps errors to kCouldNotRun.
/// @param run gets the folder of the case and that of the repository.
[[nodiscard]] int RunCase(
    int argc, char** argv,
    const std::function<int(const std::vector<std::string>& arguments)>& run);

/// @brief A route as in the published examples.
struct Route {
  std::string prefix_;
  std::string kind_;
  std::string service_;
  int timeout_ms_ = 2000;
  int max_attempts_ = 1;
  bool resumable_ = false;
};

/// @brief Configuration with these routes; the services are "plain" and
/// "pool", the latter if there are weights.
[[nodiscard]] Json Configuration(std::uint64_t version,
                                 const std::vector<Route>& routes,
                                 const std::optional<Weights>& weights,
                                 const std::string& origin);

inline constexpr const char* kKey = "jnbanfqasnmgkcuyj8pj";
inline constexpr const char* kHost = "jepu9.example";

/// @brief Text of a client's request.
[[nodiscard]] std::string RequestText(
    const std::string& method, const std::string& path, const std::string& id,
    int deadline_ms, const std::string& body,
    const std::map<std::string, std::string>& extra = {});

/// @brief Identity of the N-th request.
[[nodiscard]] std::string RequestId(std::uint64_t number);

}  // namespace review
