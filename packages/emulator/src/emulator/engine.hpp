// Engine with continuous batching, in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::emulator {

/// @brief A request to an engine.
struct EngineRequest {
  std::uint64_t id_ = 0;
  double prompt_tokens_ = 0;
  double output_tokens_ = 0;
  /// 0 is the highest priority.
  std::uint32_t priority_ = 0;
};

/// @brief Notifications about the requests of an engine, called from
/// AdvanceTo() and Submit().
struct EngineCallbacks {
  std::function<void(std::uint64_t id, core::TimePoint now)> on_first_event_;
  /// Only for complete requests, not after Cancel() or Restart().
  std::function<void(std::uint64_t id, core::TimePoint now)> on_end_;
};

/// @brief Simulates an engine pass by pass. Each pass admits waiting requests,
/// prefills up to 2,048 prompt tokens in order of admission, and generates
/// tokens for each request whose prompt is complete.
class Engine {
 public:
  /// @param queue_limit maximum number of waiting requests.
  Engine(config::EngineProfile profile, std::size_t queue_limit,
         EngineCallbacks callbacks);

  /// @return false if the queue is full or the engine not ready; the request is
  /// then not run.
  bool Submit(const EngineRequest& request, core::TimePoint now);
  /// @brief Removes a request, for example because its caller timed out.
  void Cancel(std::uint64_t id);
  /// @brief Discards all requests and accepts none until `ready_at`.
  void Restart(core::TimePoint ready_at);
  /// @brief Runs the passes that start no later than `now`.
  void AdvanceTo(core::TimePoint now);
  [[nodiscard]] routing::LoadReport Report(core::TimePoint now) const;
  /// @brief Number of requests, running and waiting.
  [[nodiscard]] std::size_t requests() const noexcept {
    return running_.size() + waiting_.size();
  }

 private:
  struct Running {
    EngineRequest request_;
    double remaining_prompt_ = 0;
    double remaining_output_ = 0;
    bool started_ = false;
  };

  void AdmitWaiting();
  /// @brief Runs one pass: prefill and decode.
  /// @param started requests that got their first event.
  /// @param finished requests that are complete.
  /// @return duration of the pass.
  [[nodiscard]] core::Duration RunPass(std::vector<std::uint64_t>& started,
                                       std::vector<std::uint64_t>& finished);

  config::EngineProfile profile_;
  std::size_t queue_limit_;
  EngineCallbacks callbacks_;
  /// Ordered by priority, then by arrival.
  std::deque<EngineRequest> waiting_;
  /// At most as many as the profile has slots.
  std::vector<Running> running_;
  /// End of the current pass, or when the engine became idle.
  core::TimePoint next_pass_at_;
  core::TimePoint ready_at_;
};

}  // namespace chalkwell::emulator
