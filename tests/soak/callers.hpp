// Callers who keep using their connections: a steady stream of requests of all
// kinds to all entries that are up.
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

 private:
  void SendSome();
  void SendOne(const Target& target);

  std::vector<Target> targets_;
  unsigned rate_;
  std::minstd_rand random_;
  Judge& judge_;
  std::uint64_t sent_ = 0;
  std::chrono::steady_clock::time_point begun_;
  standins::LoopThread thread_;
  std::unique_ptr<daemon::HttpClient> http_;
  std::unique_ptr<daemon::Timer> timer_;
};

}  // namespace chalkwell::soak
