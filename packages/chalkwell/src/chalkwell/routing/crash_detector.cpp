// One loss per endpoint incarnation: a crash breaks all attempts there.
#include "chalkwell/routing/crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {
namespace {

bool Contains(const std::vector<LostAttempt>& attempts,
              const RequestDigest& request) {
  return std::ranges::find(attempts, request, &LostAttempt::request_) !=
         attempts.end();
}

}  // namespace

CrashDetector::Loss* CrashDetector::Find(const EndpointIncarnation& endpoint) {
  const auto found = std::ranges::find_if(losses_, [&](const Loss& loss) {
    return MayBeSameIncarnation(loss.crash_.endpoint_, endpoint);
  });
  return found == losses_.end() ? nullptr : &*found;
}

void CrashDetector::Expire(core::TimePoint now) {
  std::erase_if(losses_, [&](const Loss& loss) {
    return now - loss.crash_.first_loss_at_ >= settings_.confirmation_timeout_;
  });
}

LossAction CrashDetector::OnLost(const LostAttempt& attempt,
                                 const EndpointIncarnation& endpoint,
                                 const std::string& address,
                                 core::TimePoint now) {
  Expire(now);
  auto* loss = Find(endpoint);
  if (loss != nullptr && loss->state_ == State::kCrashed) {
    return LossAction::kCrashed;
  }
  if (loss != nullptr && loss->state_ == State::kInconclusive) {
    // A later crash can't be the cause of the earlier losses.
    loss->crash_ = {endpoint, address, now, {attempt}};
    loss->state_ = State::kProbing;
    return LossAction::kProbe;
  }
  if (loss != nullptr) {
    auto& attempts = loss->crash_.attempts_;
    if (!Contains(attempts, attempt.request_) &&
        attempts.size() < settings_.max_requests_) {
      attempts.push_back(attempt);
    }
    return LossAction::kWait;
  }
  losses_.push_back({.crash_ = {endpoint, address, now, {attempt}},
                     .state_ = State::kProbing});
  if (losses_.size() > settings_.max_endpoints_) {
    losses_.pop_front();
  }
  return LossAction::kProbe;
}

SuspectedCrash CrashDetector::OnCrashed(const EndpointIncarnation& endpoint) {
  auto* loss = Find(endpoint);
  if (loss == nullptr || loss->state_ == State::kCrashed) {
    return {.endpoint_ = endpoint,
            .address_ = "",
            .first_loss_at_ = {},
            .attempts_ = {}};
  }
  loss->state_ = State::kCrashed;
  return loss->crash_;
}

void CrashDetector::OnInconclusive(const EndpointIncarnation& endpoint) {
  auto* loss = Find(endpoint);
  if (loss != nullptr && loss->state_ == State::kProbing) {
    loss->state_ = State::kInconclusive;
  }
}

std::vector<SuspectedCrash> CrashDetector::Unconfirmed(core::TimePoint now) {
  Expire(now);
  std::vector<SuspectedCrash> waiting;
  for (const auto& loss : losses_) {
    if (loss.state_ == State::kInconclusive) {
      waiting.push_back(loss.crash_);
    }
  }
  return waiting;
}

bool CrashDetector::ProbePending(const RequestDigest& request) const {
  return std::ranges::any_of(losses_, [&](const Loss& loss) {
    return loss.state_ == State::kProbing &&
           Contains(loss.crash_.attempts_, request);
  });
}

}  // namespace chalkwell::routing
