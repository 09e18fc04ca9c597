// One record per endpoint incarnation, since a crash breaks all attempts there.
#include "chalkwell/routing/crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {
namespace {

bool Contains(const std::vector<LostAttempt>& attempts,
              const RequestDigest& content) {
  return std::ranges::any_of(attempts, [&](const LostAttempt& attempt) {
    return attempt.request_.content_ == content;
  });
}

/// Whether an attempt that was lost now had been sent by a point in time.
bool WasInFlight(const LostAttempt& attempt, core::TimePoint now,
                 core::TimePoint at) {
  return now - attempt.elapsed_ <= at;
}

}  // namespace

CrashDetector::Record* CrashDetector::Find(
    const EndpointIncarnation& endpoint) {
  const auto found = std::ranges::find_if(records_, [&](const Record& record) {
    return MayBeSameIncarnation(record.crash_.endpoint_, endpoint);
  });
  return found == records_.end() ? nullptr : &*found;
}

void CrashDetector::Expire(core::TimePoint now) {
  std::erase_if(records_, [&](const Record& record) {
    return now - record.crash_.first_loss_at_ >= settings_.record_retention_;
  });
}

LossAction CrashDetector::OnLost(const LostAttempt& attempt,
                                 const EndpointIncarnation& endpoint,
                                 const std::string& address,
                                 core::TimePoint now) {
  Expire(now);
  if (auto* record = Find(endpoint)) {
    switch (record->state_) {
      case State::kCrashed:
        return WasInFlight(attempt, now, record->crash_.first_loss_at_)
                   ? LossAction::kCrashed
                   : LossAction::kIgnore;
      case State::kInconclusive:
        return OnLostAgain(*record, attempt, now);
      case State::kProbing:
        AddAttempt(*record, attempt);
        return LossAction::kWait;
    }
  }
  records_.push_back({.crash_ = {endpoint, address, now, {attempt}},
                      .state_ = State::kProbing});
  if (records_.size() > settings_.max_endpoints_) {
    records_.pop_front();
  }
  return LossAction::kProbe;
}

LossAction CrashDetector::OnLostAgain(Record& record,
                                      const LostAttempt& attempt,
                                      core::TimePoint now) {
  auto& crash = record.crash_;
  record.state_ = State::kProbing;
  if (!WasInFlight(attempt, now, crash.first_loss_at_)) {
    return LossAction::kProbe;
  }
  if (now - crash.first_loss_at_ > settings_.max_break_spread_) {
    // The endpoint was still running at the first loss, which was therefore no
    // crash.
    crash.first_loss_at_ = now;
    crash.attempts_.clear();
  }
  AddAttempt(record, attempt);
  return LossAction::kProbe;
}

void CrashDetector::AddAttempt(Record& record, const LostAttempt& attempt) {
  auto& attempts = record.crash_.attempts_;
  if (!Contains(attempts, attempt.request_.content_) &&
      attempts.size() < settings_.max_requests_) {
    attempts.push_back(attempt);
  }
}

void CrashDetector::OnAnswered(const EndpointIncarnation& endpoint) {
  std::erase_if(records_, [&](const Record& record) {
    return record.state_ == State::kInconclusive &&
           MayBeSameIncarnation(record.crash_.endpoint_, endpoint);
  });
}

SuspectedCrash CrashDetector::OnCrashed(const EndpointIncarnation& endpoint) {
  auto* record = Find(endpoint);
  if (record == nullptr || record->state_ == State::kCrashed) {
    return {.endpoint_ = endpoint,
            .address_ = "",
            .first_loss_at_ = {},
            .attempts_ = {}};
  }
  record->state_ = State::kCrashed;
  return record->crash_;
}

void CrashDetector::OnInconclusive(const EndpointIncarnation& endpoint) {
  auto* record = Find(endpoint);
  if (record != nullptr && record->state_ == State::kProbing) {
    record->state_ = State::kInconclusive;
  }
}

std::vector<SuspectedCrash> CrashDetector::Unconfirmed(core::TimePoint now) {
  Expire(now);
  std::vector<SuspectedCrash> waiting;
  for (const auto& record : records_) {
    if (record.state_ == State::kInconclusive) {
      waiting.push_back(record.crash_);
    }
  }
  return waiting;
}

bool CrashDetector::ProbePending(const RequestDigest& content) const {
  return std::ranges::any_of(records_, [&](const Record& record) {
    return record.state_ == State::kProbing &&
           Contains(record.crash_.attempts_, content);
  });
}

}  // namespace chalkwell::routing
