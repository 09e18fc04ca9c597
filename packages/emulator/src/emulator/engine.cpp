// Passes of a simulated engine.
#include "emulator/engine.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/routing/engine_model.hpp"

namespace chalkwell::emulator {
namespace {

/// Maximum number of prompt tokens that one pass processes.
constexpr double kMaxPrefillTokens = 2048;

}  // namespace

Engine::Engine(config::EngineProfile profile, std::size_t queue_limit,
               EngineCallbacks callbacks)
    : profile_(std::move(profile)),
      queue_limit_(queue_limit),
      callbacks_(std::move(callbacks)) {}

bool Engine::Submit(const EngineRequest& request, core::TimePoint now) {
  AdvanceTo(now);
  if (now < ready_at_ || waiting_.size() >= queue_limit_) {
    return false;
  }
  const auto position = std::ranges::upper_bound(waiting_, request.priority_,
                                                 {}, &EngineRequest::priority_);
  waiting_.insert(position, request);
  return true;
}

void Engine::Cancel(std::uint64_t id) {
  std::erase_if(waiting_,
                [id](const auto& queued) { return queued.id_ == id; });
  std::erase_if(running_, [id](const auto& running) {
    return running.request_.id_ == id;
  });
}

void Engine::Restart(core::TimePoint ready_at) {
  waiting_.clear();
  running_.clear();
  ready_at_ = ready_at;
  next_pass_at_ = ready_at;
}

void Engine::AdmitWaiting() {
  while (running_.size() < profile_.slots_ && !waiting_.empty()) {
    const auto& next = waiting_.front();
    running_.push_back({next, next.prompt_tokens_, next.output_tokens_, false});
    waiting_.pop_front();
  }
}

core::Duration Engine::RunPass(std::vector<std::uint64_t>& started,
                               std::vector<std::uint64_t>& finished) {
  const double tokens_per_pass = profile_.steps_per_pass_;
  double prefill_budget = kMaxPrefillTokens;
  double total_prefilled = 0;
  for (auto& running : running_) {
    const double prefilled =
        std::min(running.remaining_prompt_, prefill_budget);
    running.remaining_prompt_ -= prefilled;
    prefill_budget -= prefilled;
    total_prefilled += prefilled;
    if (running.remaining_prompt_ > 0) {
      continue;
    }
    running.remaining_output_ -= tokens_per_pass;
    if (!std::exchange(running.started_, true)) {
      started.push_back(running.request_.id_);
    }
    if (running.remaining_output_ <= 0) {
      finished.push_back(running.request_.id_);
    }
  }
  const auto decode_time =
      routing::StepTime(profile_, static_cast<std::uint32_t>(running_.size()));
  const std::chrono::duration<double> prefill_time(
      total_prefilled / profile_.prefill_tokens_per_second_);
  return decode_time * profile_.steps_per_pass_ +
         std::chrono::duration_cast<core::Duration>(prefill_time);
}

void Engine::AdvanceTo(core::TimePoint now) {
  while (next_pass_at_ <= now) {
    AdmitWaiting();
    if (running_.empty()) {
      next_pass_at_ = now;
      return;
    }
    std::vector<std::uint64_t> started;
    std::vector<std::uint64_t> finished;
    next_pass_at_ += RunPass(started, finished);
    for (const auto id : started) {
      callbacks_.on_first_event_(id, next_pass_at_);
    }
    for (const auto id : finished) {
      Cancel(id);
      callbacks_.on_end_(id, next_pass_at_);
    }
  }
}

routing::LoadReport Engine::Report(core::TimePoint now) const {
  routing::LoadReport report;
  report.active_ = static_cast<std::uint32_t>(running_.size());
  report.queued_ = static_cast<std::uint32_t>(waiting_.size());
  report.accepting_ = now >= ready_at_;
  if (report.accepting_) {
    report.weights_version_ = 1;
  }
  return report;
}

}  // namespace chalkwell::emulator
