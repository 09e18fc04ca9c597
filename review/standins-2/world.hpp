// Stand-ins of the platform's store, of runners and of the origin, and a small
// deployment of real entry and agent processes around them.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace review {

/// Ports are alike on all machines, as on the platform.
inline constexpr std::uint16_t kFrontPort = 18005;
inline constexpr std::uint16_t kReadyPort = 18002;
inline constexpr std::uint16_t kPeerPort = 17700;
inline constexpr std::uint16_t kAdminPort = 19464;
inline constexpr std::uint16_t kRunnerPort = 18001;
inline constexpr std::uint16_t kOriginPort = 18006;
inline constexpr std::uint16_t kStorePort = 18007;

inline const std::string kModel = "daka51";
inline const std::string kZone = "pl-hall-a";
inline const std::string kKey = "jnbanfqasnmgkcuyj8pj";
inline const std::string kHost = "hulo84.example";

/// @brief record.txt: a line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point begun_ = Clock::now();
};

/// @brief Store of the platform: ranges, and watches that wait.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);
  [[nodiscard]] std::string address() const { return server_->address(); }

 private:
  struct Item {
    std::string value_;
    std::uint64_t rev_ = 0;
    std::uint64_t created_ = 0;
    bool removed_ = false;
  };

  bool Handle(const Request& request, Connection& connection);
  [[nodiscard]] nlohmann::json ItemsAfter(const std::string& prefix,
                                          std::uint64_t rev, bool events);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t rev_ = 1;
  bool ended_ = false;
  std::unique_ptr<Server> server_;
};

/// @brief Bytes of a piece of a version.
[[nodiscard]] std::string Piece(std::uint64_t version, std::size_t index);
/// @brief SHA-256 in hex.
[[nodiscard]] std::string Sha256(const std::string& bytes);

/// @brief Origin of weights.
class Origin {
 public:
  /// @param pieces pieces of each version.
  /// @param piece_time time that its link needs for a piece.
  Origin(const std::string& ip, std::size_t pieces, Milliseconds piece_time,
         Record& record);

  /// @brief Names the newest version; only this one and the one before are
  /// handed out.
  void SetNewest(std::uint64_t version) { newest_ = version; }
  /// @brief The next manifest has one changed digit in a digest.
  void SpoilNextManifest() { spoil_next_ = true; }
  [[nodiscard]] std::string address() const { return server_->address(); }
  [[nodiscard]] int answers() const { return answers_; }
  [[nodiscard]] int spoilt() const { return spoilt_; }

 private:
  bool Handle(const Request& request, Connection& connection);

  std::size_t pieces_;
  Milliseconds piece_time_;
  Record& record_;
  std::atomic<std::uint64_t> newest_{1};
  std::atomic<bool> spoil_next_{false};
  std::atomic<int> answers_{0};
  std::atomic<int> spoilt_{0};
  std::mutex link_;
  std::unique_ptr<Server> server_;
};

/// @brief What a runner does with a request that it runs.
/// @return whether the connection is kept.
using Work = std::function<bool(const Request&, Connection&)>;

/// @brief Options of a runner.
struct RunnerOptions {
  std::string ip_;
  std::string service_;
  unsigned slots_ = 16;
  /// Pieces of its weights; 0 for a runner without a model.
  std::size_t pieces_ = 0;
  /// Version that it holds at the start, staged as well.
  std::uint64_t version_ = 0;
  Milliseconds warmup_{300};
};

/// @brief Runner of a service, with staging and orders if it has a model.
class Runner {
 public:
  Runner(RunnerOptions options, Store& store, Record& record);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// @brief Sets what it does with requests; before the first one.
  void OnRun(Work work) { work_ = std::move(work); }
  /// @brief Called when an order has arrived, before it is taken.
  void OnOrder(std::function<void()> handler) {
    on_order_ = std::move(handler);
  }
  /// @brief From now on it reads nothing and answers nothing for a time, then
  /// goes on with what has arrived.
  void FallSilent(Milliseconds time);
  /// @brief Its process ends and starts again after a time.
  /// @param power whether what it holds and what is staged is lost, too.
  void Crash(Milliseconds down, bool power);
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const std::string& ip() const { return options_.ip_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::uint64_t orders() const { return seq_; }
  /// @brief Layers of a token made now that were taken from pieces of another
  /// version, or without one; empty if the weights are whole.
  [[nodiscard]] std::string Unsound() const;
  [[nodiscard]] int crashes() const { return crashes_; }

 private:
  bool Handle(const Request& request, Connection& connection);
  bool HandleRequest(const Request& request, Connection& connection);
  bool HandleOrder(const Request& request, Connection& connection);
  bool HandleStaged(const Request& request, Connection& connection);
  [[nodiscard]] nlohmann::json Report();
  [[nodiscard]] nlohmann::json Models() const;
  void WaitWhileSilent() const;
  [[nodiscard]] bool TakeSlot();
  void Load(std::uint64_t version);
  void Beat();
  void WriteRow();

  RunnerOptions options_;
  Store& store_;
  Record& record_;
  std::string id_;
  Work work_;
  std::function<void()> on_order_;
  mutable std::mutex mutex_;
  std::map<std::size_t, std::string> staged_;
  std::map<std::size_t, std::string> loaded_;
  std::uint64_t loaded_version_ = 0;
  std::atomic<std::uint64_t> version_{0};
  std::atomic<std::uint64_t> seq_{0};
  std::atomic<bool> loading_{false};
  std::atomic<int> running_{0};
  std::atomic<int> waiting_{0};
  std::atomic<int> crashes_{0};
  std::atomic<std::int64_t> born_{0};
  std::atomic<Clock::time_point> silent_until_{Clock::time_point{}};
  std::atomic<bool> up_{true};
  std::atomic<bool> ended_{false};
  std::uint64_t beat_ = 0;
  std::unique_ptr<Server> server_;
  std::vector<std::thread> helpers_;
  std::thread beats_;
};

/// @brief A child process that ends with this one.
class Process {
 public:
  Process(const std::vector<std::string>& words, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @brief Kills it and waits for its end.
  void Kill();
  void Signal(int number) const;

 private:
  pid_t pid_ = 0;
};

/// @brief A small deployment of one zone.
class World {
 public:
  /// @param folder where record.txt is written.
  explicit World(const std::string& folder);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// @brief Address of a machine of the deployment.
  [[nodiscard]] std::string Ip(int machine) const;
  /// @brief Writes the configuration: a service with a model ("pool", routes
  /// /pool/) and one without ("plain", routes /plain/).
  void PutConfig(const std::string& origin, std::size_t pieces);
  void NameVersion(std::uint64_t version);
  void StartEntry(int machine, bool bootstrap = true);
  void StartAgent(int machine, const std::string& service,
                  bool bootstrap = true);
  void KillNode(int machine) { nodes_.erase(machine); }
  void SignalNode(int machine, int number) const {
    nodes_.at(machine)->Signal(number);
  }
  /// @brief Waits until an entry says that it is ready.
  [[nodiscard]] bool WaitReady(int machine) const;
  /// @brief Sends a request as a client does; records it and its answer.
  /// @param extra further header lines, each with its line end.
  Answer Send(int entry, const std::string& method, const std::string& path,
              const std::string& extra, const std::string& body,
              Milliseconds time_budget);

  Record record_;
  std::unique_ptr<Store> store_;

 private:
  void Start(int machine, const std::string& role, const std::string& text);

  std::string subnet_;
  std::string folder_;
  std::map<int, std::unique_ptr<Process>> nodes_;
  std::atomic<int> requests_{0};
};

/// @brief Whether the case is played with its disruption (TROUBLE is not 0).
[[nodiscard]] bool Trouble();
/// @brief Runs a case; one that cannot run exits with 2.
/// @param main_case returns the exit code.
int RunCase(const std::function<int()>& main_case) noexcept;
/// @brief Folder of the case, the first argument.
[[nodiscard]] std::string FolderOf(int count, char** arguments);

}  // namespace review
