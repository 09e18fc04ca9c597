// Stand-ins of the users' platform, written from its published pages: store,
// endpoints, source of weights. All run on one loop in a thread of their own.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "daemon/http1_server.hpp"

namespace chalkwell::standins {

/// Any free port of this machine.
inline const daemon::Address kAnyPort{"127.0.0.1", 0};

/// @brief A loop on a thread; what is built on it is touched only through Do.
class LoopThread {
 public:
  LoopThread();
  ~LoopThread();
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  [[nodiscard]] daemon::Loop& loop() noexcept { return loop_; }
  /// @brief Runs a task on the loop and waits for it.
  void Do(const std::function<void()>& task);

 private:
  daemon::Loop loop_;
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  std::atomic<bool> stopped_{false};
  std::unique_ptr<daemon::Timer> poll_;
  std::thread thread_;
};

/// @brief The metadata store: read, page and watch.
class StoreStandin {
 public:
  /// @param page items of one answer; few, so that paging is always tried.
  explicit StoreStandin(LoopThread& thread,
                        const daemon::Address& listen = kAnyPort,
                        std::size_t page = 2);
  ~StoreStandin();

  [[nodiscard]] std::string address() const;
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);
  /// @brief While true every call gets 503.
  void SetBusy(bool busy) { busy_ = busy; }
  /// @brief From now on this many of a thousand calls get 503.
  void SetBusyShare(unsigned per_mille) { busy_share_ = per_mille; }
  /// @brief From now on reads are answered so much later.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  /// @brief Forgets its history once: the next watch gets 410.
  void Forget() { forget_ = true; }
  /// @brief Watches are taken and never answered, as on a connection that went
  /// silent.
  void SetWatchesSilent() { watches_silent_ = true; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  /// @brief Answers that carried a value below a prefix, reads and watches.
  [[nodiscard]] int Told(const std::string& prefix) const;
  /// @brief Watches of a prefix that wait for a change.
  [[nodiscard]] int Watching(const std::string& prefix) const;

 private:
  struct Item {
    std::string value_;
    std::uint64_t revision_ = 0;
  };
  struct Watch {
    daemon::HttpExchangePtr exchange_;
    std::string prefix_;
    std::uint64_t after_ = 0;
  };

  void OnCall(const daemon::HttpExchangePtr& exchange);
  void AnswerRange(const daemon::HttpExchangePtr& exchange);
  bool AnswerWatch(const Watch& watch);
  void WakeWatches();

  LoopThread& thread_;
  std::size_t page_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 0;
  std::vector<Watch> watches_;
  /// Watches that are never answered.
  std::vector<daemon::HttpExchangePtr> silent_;
  std::atomic<bool> busy_{false};
  std::atomic<unsigned> busy_share_{0};
  std::atomic<std::chrono::milliseconds> delay_{};
  std::minstd_rand random_{1};
  std::atomic<bool> forget_{false};
  std::atomic<bool> watches_silent_{false};
  std::atomic<std::uint64_t> calls_{0};
  /// By prefix that was asked for.
  std::map<std::string, int> told_;
  std::unique_ptr<daemon::Http1Server> server_;
  /// Gone once answers that are still awaited must not touch this any more.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

/// @brief How an endpoint treats requests.
enum class Behaviour : std::uint8_t {
  kServe,
  /// Says that it did not run the request.
  kShed,
  /// Runs it and resets without an answer.
  kLose,
  /// Runs it and answers a failure of its own.
  kFail,
  /// Sends half the events of a stream, the last one not whole, and resets.
  kCutStream,
  /// Answers in the name of another request first.
  kLateAnswer,
  /// Answers without its signature.
  kUnsigned,
  /// Begins to answer and never goes on.
  kHang,
};

/// @brief A model engine or plain service.
class EndpointStandin {
 public:
  EndpointStandin(LoopThread& thread, std::string id,
                  daemon::Address listen = kAnyPort);
  ~EndpointStandin();

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] std::string address() const;
  /// @brief Row as the endpoint writes it into the store.
  [[nodiscard]] nlohmann::json Row(const std::string& service,
                                   const std::string& zone,
                                   const std::string& state = "ready") const;
  void SetBehaviour(Behaviour behaviour) { behaviour_ = behaviour; }
  void SetVersion(std::uint64_t version) { version_ = version; }
  /// @brief A restarted endpoint: another id at the same address.
  void SetId(const std::string& id);
  /// @brief Start of its life, as it tells it; 0 for one that does not.
  void SetBorn(std::uint64_t born) { born_ = born; }
  /// @brief The address that it names as its own, where a relay stands before
  /// it.
  void SetNamed(const std::string& address) { named_ = address; }
  /// @brief From now on answers take so long.
  void SetWork(std::chrono::milliseconds work) { work_ = work; }
  /// @brief Told of each request that it did not refuse as another's, as it
  /// arrives.
  void OnArrival(std::function<void(const std::string& request)> handler);
  /// @brief From now on its process ends as it begins a request whose body
  /// holds this text; empty for never.
  void CrashOn(const std::string& text);
  /// @brief Called at each crash, on the loop, with the request's id.
  void OnCrash(std::function<void(const std::string& request)> handler);
  /// @brief Its process ends: connections break, new ones are refused.
  void Stop();
  /// @brief Its process starts again, at the same address.
  void Start();
  [[nodiscard]] bool running();
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] int runs() const { return runs_; }
  [[nodiscard]] int gone() const { return gone_; }
  [[nodiscard]] int crashes() const { return crashes_; }
  /// @brief Times that its agent asked for its report.
  [[nodiscard]] int reports() const { return reports_; }
  [[nodiscard]] std::uint64_t orders() const { return orders_; }
  /// @brief Requests that ran, as they arrived.
  [[nodiscard]] std::vector<daemon::HttpRequest> requests() const;
  [[nodiscard]] std::map<std::size_t, std::string> staged() const;
  /// @brief Spoils a staged piece.
  void Spoil(std::size_t piece);

 private:
  void OnCall(const daemon::HttpExchangePtr& exchange);
  void Run(const daemon::HttpExchangePtr& exchange);
  void Answer(const daemon::HttpExchangePtr& exchange);
  void Stream(const daemon::HttpExchangePtr& exchange, bool cut);
  void Crash(const daemon::HttpExchangePtr& exchange);
  void Report(const daemon::HttpExchangePtr& exchange) const;
  void Order(const daemon::HttpExchangePtr& exchange);
  void StageGet(const daemon::HttpExchangePtr& exchange) const;

  LoopThread& thread_;
  daemon::Address listen_;
  mutable std::mutex mutex_;
  std::string id_;
  std::string named_;
  std::atomic<std::uint64_t> born_{0};
  std::atomic<std::chrono::milliseconds> work_{};
  std::function<void(const std::string&)> on_arrival_;
  std::string crash_text_;
  std::function<void(const std::string&)> on_crash_;
  std::atomic<int> crashes_{0};
  std::atomic<Behaviour> behaviour_{Behaviour::kServe};
  std::atomic<std::uint64_t> version_{0};
  std::atomic<std::uint64_t> orders_{0};
  std::atomic<int> runs_{0};
  std::atomic<int> gone_{0};
  mutable std::atomic<int> reports_{0};
  std::vector<daemon::HttpRequest> requests_;
  std::map<std::size_t, std::string> staged_;
  std::vector<daemon::HttpExchangePtr> held_;
  std::unique_ptr<daemon::Http1Server> server_;
  /// Gone once answers that are still awaited must not touch this any more.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

/// @brief The source of weights.
class OriginStandin {
 public:
  OriginStandin(LoopThread& thread, std::size_t pieces);
  ~OriginStandin();

  [[nodiscard]] std::string address() const;
  [[nodiscard]] static std::string Piece(std::uint64_t version,
                                         std::size_t piece);
  [[nodiscard]] int drawn() const { return drawn_; }
  /// @brief Times that its manifest was asked for, refused ones included.
  [[nodiscard]] int manifests() const { return manifests_; }
  /// @brief Connections that are open, at rest or in use.
  [[nodiscard]] std::size_t connections();
  /// @brief While true every call gets 503.
  void SetDown(bool down) { down_ = down; }
  /// @brief After so many more pieces every call gets 503.
  void GoDownAfter(int pieces) { down_after_ = drawn_ + pieces; }
  /// @brief The next piece arrives spoilt.
  void SpoilNext() { spoil_ = true; }

 private:
  void OnCall(const daemon::HttpExchangePtr& exchange);

  LoopThread& thread_;
  std::size_t pieces_;
  std::atomic<int> drawn_{0};
  std::atomic<int> manifests_{0};
  std::atomic<bool> spoil_{false};
  std::atomic<bool> down_{false};
  /// Pieces after which it is down; 0 for never.
  std::atomic<int> down_after_{0};
  std::unique_ptr<daemon::Http1Server> server_;
};

}  // namespace chalkwell::standins
