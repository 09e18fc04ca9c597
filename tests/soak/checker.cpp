// Endpoints judge by their own clock against the store's acknowledgement.
#include "soak/judge.hpp"

#include <algorithm>

namespace chalkwell::soak {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

milliseconds Since(TimePoint then, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - then);
}

std::string EntryOf(const std::string& request) {
  return request.substr(0, request.find('/'));
}

/// Name of a request that crashes endpoints; empty for others.
std::string CrashingName(const std::string& request) {
  const auto begin = request.find('/') + 1;
  const auto name = request.substr(begin, request.find('/', begin) - begin);
  return name.starts_with(kCrashMark) ? name : "";
}

}  // namespace

milliseconds Times::Quantile(double share) const {
  if (times_.empty()) {
    return milliseconds(0);
  }
  auto sorted = times_;
  std::ranges::sort(sorted);
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(share * last)];
}

void Judge::OnLeft(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  left_.try_emplace(endpoint, Now());
}

void Judge::OnBack(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  left_.erase(endpoint);
}

void Judge::OnDisturbed(const std::string& entry) {
  const std::lock_guard lock(mutex_);
  disturbed_[entry] = Now();
}

void Judge::OnPathHeld(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  held_until_[endpoint] = TimePoint::max();
}

void Judge::OnPathBack(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  held_until_[endpoint] = Now();
}

bool Judge::InTouch(const std::string& entry, TimePoint now) const {
  return std::ranges::all_of(std::vector<std::string>{entry, ""},
                             [&](const std::string& name) {
                               const auto found = disturbed_.find(name);
                               return found == disturbed_.end() ||
                                      now - found->second >= bounds_.contact_;
                             });
}

bool Judge::PathHeld(const std::string& endpoint, TimePoint now) const {
  const auto found = held_until_.find(endpoint);
  return found != held_until_.end() && (found->second == TimePoint::max() ||
                                        now - found->second < bounds_.contact_);
}

void Judge::OnArrival(const std::string& endpoint, const std::string& request) {
  const auto now = Now();
  const std::lock_guard lock(mutex_);
  ++arrivals_;
  JudgeLeft(endpoint, request, now);
  JudgeStray(endpoint, request, now);
  JudgeCrashing(endpoint, request, now);
}

void Judge::JudgeCrashing(const std::string& endpoint,
                          const std::string& request, TimePoint now) {
  const auto name = CrashingName(request);
  if (name.empty()) {
    return;
  }
  const auto entry = EntryOf(request);
  const bool in_touch = InTouch(entry, now);
  crashing_arrivals_[request] = {{}, now, entry, in_touch};
  const auto found = crashes_.find(name);
  if (found == crashes_.end() || found->second.size() < bounds_.crashes_ ||
      !in_touch) {
    return;
  }
  const auto after = Since(found->second[bounds_.crashes_ - 1].at_, now);
  if (after > bounds_.contact_ && ++tries_after_[name] > bounds_.tries_after_) {
    findings_.push_back(
        {"sent although it crashes endpoints", endpoint, request, after});
  }
}

void Judge::OnCrash(const std::string& request) {
  const std::lock_guard lock(mutex_);
  auto seen = crashing_arrivals_[request];
  seen.at_ = Now();
  crashes_[CrashingName(request)].push_back(seen);
}

void Judge::JudgeLeft(const std::string& endpoint, const std::string& request,
                      TimePoint now) {
  const auto left = left_.find(endpoint);
  if (left == left_.end() || !InTouch(EntryOf(request), now)) {
    return;
  }
  const auto after = Since(left->second, now);
  if (!PathHeld(endpoint, now)) {
    late_sends_.Add(after);
  }
  if (after > bounds_.drain_) {
    const auto* what = PathHeld(endpoint, now)
                           ? "reached one that left, held up"
                           : "reached one that left";
    findings_.push_back({what, endpoint, request, after});
  }
}

void Judge::JudgeStray(const std::string& endpoint, const std::string& request,
                       TimePoint now) {
  const auto answered = answered_.find(request);
  if (answered == answered_.end() || !InTouch(EntryOf(request), now)) {
    return;
  }
  const auto after = Since(answered->second, now);
  if (after > bounds_.stray_) {
    findings_.push_back({"arrived after its answer", endpoint, request, after});
  }
}

void Judge::OnAnswered(const std::string& request, int status,
                       const std::string& body) {
  const std::lock_guard lock(mutex_);
  if (CrashingName(request).empty()) {
    suspected_ += body.find("suspected: ") != std::string::npos ? 1 : 0;
    if (body.find("quarantined: ") != std::string::npos) {
      findings_.push_back(
          {"innocent, but quarantined", "", request, milliseconds(0)});
    }
  }
  answered_[request] = Now();
  ++answers_[status];
  if (status >= 400 && status < 500) {
    findings_.push_back({"proper, denied with " + std::to_string(status), "",
                         request, milliseconds(0)});
  }
}

std::vector<Finding> Judge::findings() const {
  const std::lock_guard lock(mutex_);
  return findings_;
}

std::map<int, std::uint64_t> Judge::answers() const {
  const std::lock_guard lock(mutex_);
  return answers_;
}

std::uint64_t Judge::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

Times Judge::late_sends() const {
  const std::lock_guard lock(mutex_);
  return late_sends_;
}

std::map<std::string, std::vector<CrashSeen>> Judge::crashes() const {
  const std::lock_guard lock(mutex_);
  return crashes_;
}

std::uint64_t Judge::suspected() const {
  const std::lock_guard lock(mutex_);
  return suspected_;
}

}  // namespace chalkwell::soak
