// Fake of a model engine: continuous batching by priority, a bounded cache of
// prompt prefixes, streams that can be resumed and cancelled, export and import
// of KV cache. Cache events are delayed and have gaps, and the reported load
// lags behind. Orders carry fencing numbers, which it can be set to ignore.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::standins {

/// @brief Settings and injected faults of the fake.
struct EngineSettings {
  daemon::Address address_;
  /// Interval between two output tokens of a run.
  core::Duration token_time_ = std::chrono::milliseconds(5);
  /// Prefill time of a prompt whose prefix is not cached.
  core::Duration prefill_time_ = std::chrono::milliseconds(20);
  /// Maximum number of runs in the batch.
  std::size_t batch_ = 32;
  /// Capacity of the prefix cache.
  std::size_t cached_prefixes_ = 64;
  /// Time to load staged weights.
  core::Duration load_time_ = std::chrono::milliseconds(200);
  /// Interval at which the reported load is updated.
  core::Duration load_lag_ = std::chrono::milliseconds(500);
  /// From a change of the prefix cache until its event is visible.
  core::Duration event_delay_ = std::chrono::milliseconds(500);
  /// Whether orders with an old fencing number are rejected.
  bool checks_fencing_ = true;
  /// Whether loads of weights fail.
  bool fails_loads_ = false;
  /// Percentage of the completions that get 500.
  std::uint64_t fail_percent_ = 0;
  /// One of this many cache events is omitted; 0 for none.
  std::uint64_t event_gap_ = 10;
};

/// @brief Serves completions from the loaded weights.
class Engine {
 public:
  Engine(daemon::Loop& loop, const EngineSettings& settings);

 private:
  struct StagedWeights {
    std::vector<bundle::Chunk> chunks_;
    std::set<std::size_t> received_;
    bool sealed_ = false;
  };
  struct Run {
    daemon::HttpExchangePtr exchange_;
    std::string request_;
    std::string prompt_;
    std::uint64_t tokens_ = 0;
    std::uint64_t next_ = 0;
    std::int64_t priority_ = 0;
    bool stream_ = true;
    core::TimePoint ready_at_;
    std::string text_;
  };
  using RunPtr = std::shared_ptr<Run>;
  struct CacheEvent {
    std::uint64_t number_ = 0;
    std::string prefix_;
    bool stored_ = true;
    core::TimePoint visible_at_;
  };

  void OnRequest(const daemon::HttpExchangePtr& exchange);
  void OnControl(const daemon::HttpExchangePtr& exchange);
  void OnStaging(const daemon::HttpExchangePtr& exchange);
  void OnOrder(const daemon::HttpExchangePtr& exchange);
  void OnCompletion(const daemon::HttpExchangePtr& exchange);
  void OnCacheEvents(const daemon::HttpExchangePtr& exchange);
  void OnKv(const daemon::HttpExchangePtr& exchange);
  void Step();
  void Emit(const RunPtr& run);
  void FinishRun(const RunPtr& run);
  [[nodiscard]] bool TouchPrefix(const std::string& prefix);
  [[nodiscard]] std::string State() const;
  [[nodiscard]] std::string Record() const;

  daemon::Loop& loop_;
  EngineSettings settings_;
  /// Hexadecimal manifest digest of the loaded weights; empty for none.
  std::string weights_;
  std::uint64_t version_ = 0;
  /// Highest fencing number of an order.
  std::uint64_t fence_ = 0;
  std::string role_;
  bool loading_ = false;
  /// Digests of the chunks of the loaded weights.
  std::set<core::Digest> loaded_chunks_;
  std::map<std::string, StagedWeights> staging_;
  std::deque<RunPtr> waiting_;
  std::vector<RunPtr> batch_;
  /// Most recently used first.
  std::list<std::string> prefixes_;
  std::deque<CacheEvent> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t cache_hits_ = 0;
  std::size_t lagged_load_ = 0;
  /// Number of runs started, by request id.
  std::map<std::string, std::uint64_t> started_;
  /// Completions received while weights were loaded.
  std::uint64_t offered_ = 0;
  std::uint64_t failed_ = 0;
  std::map<std::string, std::uint64_t> finished_;
  std::uint64_t cancelled_ = 0;
  /// Runs in progress when other weights were loaded; must stay 0.
  std::uint64_t runs_with_mixed_weights_ = 0;
  /// Orders to activate weights that were not staged completely.
  std::uint64_t incomplete_orders_ = 0;
  /// "VERSION:DIGEST" of the loaded weights, in order.
  std::vector<std::string> activations_;
  daemon::Timer step_timer_;
  daemon::Timer load_report_timer_;
  daemon::HttpServer server_;
};

}  // namespace chalkwell::standins
