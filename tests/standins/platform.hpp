// Fake of the configuration store: allows reads and watches only, limits the
// rate of calls and the size of values to 1 MB, and delays the instance list.
// Control calls make it unavailable or stale.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/http_server.hpp"

namespace chalkwell::standins {

/// @brief Settings of the fake.
struct PlatformSettings {
  daemon::Address address_;
  /// More calls get 429.
  std::uint64_t calls_per_second_ = 2000;
  /// From publishing a change of the instance list until readers see it.
  core::Duration list_lag_{};
};

/// @brief Serves reads and watches to the system. The paths under /control are
/// called by operators and tests only.
class Platform {
 public:
  Platform(daemon::Loop& loop, const PlatformSettings& settings);

 private:
  struct Value {
    std::uint64_t revision_ = 0;
    std::string text_;
  };
  using Values = std::map<std::string, Value>;
  struct Watch {
    daemon::HttpExchangePtr exchange_;
    std::uint64_t after_ = 0;
    core::TimePoint until_;
  };

  void OnRequest(const daemon::HttpExchangePtr& exchange);
  void OnWatch(const daemon::HttpExchangePtr& exchange);
  void OnControl(const daemon::HttpExchangePtr& exchange);
  void Publish(const std::string& key, std::string text);
  void RespondToWatch(const Watch& watch) const;
  void RespondToDueWatches();
  [[nodiscard]] bool CountCall();
  [[nodiscard]] const Values& Visible() const;
  [[nodiscard]] std::uint64_t Revision(const Values& values) const;
  [[nodiscard]] std::string Stats() const;

  daemon::Loop& loop_;
  PlatformSettings settings_;
  Values values_;
  /// Earlier states, newest last, from which a stale state is selected.
  std::deque<Values> history_;
  /// Served instead of the current state; null unless stale.
  std::unique_ptr<Values> stale_;
  std::uint64_t revision_ = 0;
  bool down_ = false;
  std::vector<Watch> watches_;
  core::TimePoint window_start_;
  std::uint64_t window_calls_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t peak_calls_ = 0;
  daemon::Timer watch_timer_;
  daemon::HttpServer server_;
};

}  // namespace chalkwell::standins
