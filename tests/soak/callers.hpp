// Callers of the soak on keep-alive connections: a constant rate of requests of
// all kinds to random entries, half of them with the same body, and callers
// whose requests crash endpoints: repetitions of one, or different ones with a
// prompt part in common.
#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "daemon/http_client.hpp"
#include "platform/standins.hpp"
#include "soak/checker.hpp"

namespace chalkwell::soak {

/// @brief An entry: its name, as in ids of requests, and its address.
struct Target {
  std::string name_;
  std::string address_;
};

/// @brief Sends requests from its own thread until it is destroyed, and reports
/// the responses to the checker.
class Callers {
 public:
  /// @param rate requests per second over all targets.
  Callers(std::vector<Target> targets, unsigned rate, std::uint64_t seed,
          Checker& checker);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// @brief What the requests of a crashing series have in common.
  enum class Cause : std::uint8_t { kBody, kPromptPart };

  /// @brief Starts a series of attempts, at random entries, of requests that
  /// crash each endpoint that runs them.
  void StartCrashingSeries(Cause cause, std::chrono::milliseconds duration);

  /// @brief Sends probes of the newest rules that must be in force to all
  /// entries in turn, for so long.
  void ProbeRules(std::chrono::milliseconds duration);

 private:
  /// Attempts of requests that crash endpoints for one cause.
  struct CrashingSeries {
    Cause cause_ = Cause::kBody;
    /// Begins with kCrashMark; it is the body, or the id of the prompt part.
    std::string name_;
    std::string path_;
    std::chrono::steady_clock::time_point end_;
    std::chrono::steady_clock::time_point next_send_;
  };

  void SendDue();
  void SendCrashing();
  void SendProbes();
  void SendRegular(const Target& target);
  /// The part that all prompts begin with, and one that some share.
  [[nodiscard]] std::string RandomPart();
  void Send(const Target& target, const std::string& path, int deadline_ms,
            const std::string& id, const std::string& body,
            const std::string& parts);
  [[nodiscard]] const Target& RandomTarget() {
    return targets_[random_() % targets_.size()];
  }

  std::vector<Target> targets_;
  unsigned rate_;
  std::minstd_rand random_;
  Checker& checker_;
  std::uint64_t sent_ = 0;
  /// Attempts of crashing requests and probes, which `sent_` counts too.
  std::uint64_t extra_sent_ = 0;
  std::chrono::steady_clock::time_point probes_end_;
  std::chrono::steady_clock::time_point next_probe_;
  std::size_t next_probed_ = 0;
  std::uint64_t series_started_ = 0;
  std::vector<CrashingSeries> series_;
  std::chrono::steady_clock::time_point started_at_;
  standins::LoopThread thread_;
  std::unique_ptr<daemon::HttpClient> http_;
  std::unique_ptr<daemon::Timer> timer_;
};

}  // namespace chalkwell::soak
