// Callers who keep using their connections: a steady stream of requests of all
// kinds to all entries that are up, many of them for the same, and callers who
// repeat a request that crashes endpoints.
#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "daemon/http_client.hpp"
#include "platform/standins.hpp"
#include "soak/judge.hpp"

namespace chalkwell::soak {

/// @brief Address of an entry, and the name under which it is judged.
struct Target {
  std::string name_;
  std::string address_;
};

/// @brief Sends until it is destroyed.
class Callers {
 public:
  /// @param rate requests a second, over all targets.
  Callers(std::vector<Target> targets, unsigned rate, std::uint64_t seed,
          Judge& judge);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// @brief From now on, for a while, a request is repeated at any entry whose
  /// runs crash their endpoints.
  void BeginCrashing(std::chrono::milliseconds length);

 private:
  /// Tries of one request that crashes endpoints.
  struct Series {
    /// Its body holds it.
    std::string name_;
    std::string path_;
    std::chrono::steady_clock::time_point until_;
    std::chrono::steady_clock::time_point next_;
  };

  void SendSome();
  void SendCrashing();
  void SendOne(const Target& target);
  void Send(const Target& target, const std::string& path, int deadline_ms,
            const std::string& id, const std::string& body);
  [[nodiscard]] const Target& AnyTarget() {
    return targets_[random_() % targets_.size()];
  }

  std::vector<Target> targets_;
  unsigned rate_;
  std::minstd_rand random_;
  Judge& judge_;
  std::uint64_t sent_ = 0;
  /// Of them, beyond the steady stream.
  std::uint64_t extra_ = 0;
  std::uint64_t series_begun_ = 0;
  std::vector<Series> series_;
  std::chrono::steady_clock::time_point begun_;
  standins::LoopThread thread_;
  std::unique_ptr<daemon::HttpClient> http_;
  std::unique_ptr<daemon::Timer> timer_;
};

}  // namespace chalkwell::soak
