// Passes of an engine.
#include "emulator/engine.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/routing/engine_model.hpp"

namespace chalkwell::emulator {
namespace {

/// Prompt tokens that one pass reads at most.
constexpr double kReadChunk = 2048;

}  // namespace

Engine::Engine(config::EngineProfile profile, std::size_t queue,
               EngineHooks hooks)
    : profile_(std::move(profile)),
      queue_limit_(queue),
      hooks_(std::move(hooks)) {}

bool Engine::Offer(const EngineRequest& request, core::TimePoint now) {
  RunTo(now);
  if (now < ready_at_ || waiting_.size() >= queue_limit_) {
    return false;
  }
  const auto behind = std::ranges::upper_bound(waiting_, request.priority_, {},
                                               &EngineRequest::priority_);
  waiting_.insert(behind, request);
  return true;
}

void Engine::Drop(std::uint64_t id) {
  std::erase_if(waiting_, [id](const auto& held) { return held.id_ == id; });
  std::erase_if(running_,
                [id](const auto& held) { return held.request_.id_ == id; });
}

void Engine::Restart(core::TimePoint ready_at) {
  waiting_.clear();
  running_.clear();
  ready_at_ = ready_at;
  free_at_ = ready_at;
}

void Engine::LetIn() {
  while (running_.size() < profile_.slots_ && !waiting_.empty()) {
    const auto& next = waiting_.front();
    running_.push_back({next, next.prompt_tokens_, next.answer_tokens_, false});
    waiting_.pop_front();
  }
}

core::Duration Engine::Pass(std::vector<std::uint64_t>& firsts,
                            std::vector<std::uint64_t>& ends) {
  const double stride = profile_.steps_per_pass_;
  double may_read = kReadChunk;
  double read = 0;
  for (auto& running : running_) {
    const double now_read = std::min(running.unread_, may_read);
    running.unread_ -= now_read;
    may_read -= now_read;
    read += now_read;
    if (running.unread_ > 0) {
      continue;
    }
    running.unwritten_ -= stride;
    if (!std::exchange(running.begun_, true)) {
      firsts.push_back(running.request_.id_);
    }
    if (running.unwritten_ <= 0) {
      ends.push_back(running.request_.id_);
    }
  }
  const auto steps =
      routing::StepTime(profile_, static_cast<std::uint32_t>(running_.size()));
  const std::chrono::duration<double> reading(
      read / profile_.prefill_tokens_per_second_);
  return steps * profile_.steps_per_pass_ +
         std::chrono::duration_cast<core::Duration>(reading);
}

void Engine::RunTo(core::TimePoint now) {
  while (free_at_ <= now) {
    LetIn();
    if (running_.empty()) {
      free_at_ = now;
      return;
    }
    std::vector<std::uint64_t> firsts;
    std::vector<std::uint64_t> ends;
    free_at_ += Pass(firsts, ends);
    for (const auto id : firsts) {
      hooks_.on_first_event_(id, free_at_);
    }
    for (const auto id : ends) {
      Drop(id);
      hooks_.on_end_(id, free_at_);
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
