// One engine that batches continuously, in simulated time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::emulator {

/// @brief A request as an engine sees it.
struct EngineRequest {
  std::uint64_t id_ = 0;
  double prompt_tokens_ = 0;
  double answer_tokens_ = 0;
  /// 0 is the most urgent.
  std::uint32_t priority_ = 0;
};

/// @brief What an engine tells of its requests.
struct EngineHooks {
  std::function<void(std::uint64_t id, core::TimePoint now)> on_first_event_;
  std::function<void(std::uint64_t id, core::TimePoint now)> on_end_;
};

/// @brief Plays passes: each lets in what waits, reads prompts in order and
/// gives every request that was read some tokens.
class Engine {
 public:
  /// @param queue requests that may wait.
  Engine(config::EngineProfile profile, std::size_t queue, EngineHooks hooks);

  /// @return false when it is full: the request has not run.
  bool Offer(const EngineRequest& request, core::TimePoint now);
  /// @brief A caller left; its request is dropped.
  void Drop(std::uint64_t id);
  /// @brief Loses all that it has and takes nothing until a time.
  void Restart(core::TimePoint ready_at);
  /// @brief Plays all passes that end until a time.
  void RunTo(core::TimePoint now);
  [[nodiscard]] routing::LoadReport Report(core::TimePoint now) const;

 private:
  struct Running {
    EngineRequest request_;
    double unread_ = 0;
    double unwritten_ = 0;
    bool begun_ = false;
  };

  void LetIn();
  /// @brief Reads and writes of one pass.
  /// @return how long it takes.
  [[nodiscard]] core::Duration Pass(std::vector<std::uint64_t>& firsts,
                                    std::vector<std::uint64_t>& ends);

  config::EngineProfile profile_;
  std::size_t queue_limit_;
  EngineHooks hooks_;
  /// In order of priority, then of arrival.
  std::deque<EngineRequest> waiting_;
  /// At most the profile's slots.
  std::vector<Running> running_;
  /// End of the pass under way, or when the engine fell idle.
  core::TimePoint free_at_;
  core::TimePoint ready_at_;
};

}  // namespace chalkwell::emulator
