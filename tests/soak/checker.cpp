// Arrivals are compared with the times of the store's acknowledgements.
#include "soak/checker.hpp"

#include <algorithm>

#include "platform/standins.hpp"

namespace chalkwell::soak {
namespace {

constexpr int kNotFound = 404;

TimePoint Now() { return std::chrono::steady_clock::now(); }

milliseconds Since(TimePoint then, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - then);
}

std::string EntryOf(const std::string& request) {
  return request.substr(0, request.find('/'));
}

/// The address in the id of an endpoint, which ends with its incarnation.
std::string AddressOf(const std::string& endpoint) {
  return endpoint.substr(0, endpoint.rfind('-'));
}

/// Name of a request "ENTRY/NAME/NUMBER" that begins with a mark; empty for
/// others.
std::string NameWith(const std::string& mark, const std::string& request) {
  const auto begin = request.find('/') + 1;
  const auto name = request.substr(begin, request.find('/', begin) - begin);
  return name.starts_with(mark) ? name : "";
}

/// Name of a crashing request; empty for others.
std::string CrashingName(const std::string& request) {
  return NameWith(kCrashMark, request);
}

}  // namespace

milliseconds DurationSample::Quantile(double share) const {
  if (durations_.empty()) {
    return milliseconds(0);
  }
  auto sorted = durations_;
  std::ranges::sort(sorted);
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(share * last)];
}

void Checker::OnDepartureAcknowledged(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  departed_at_.try_emplace(endpoint, Now());
}

void Checker::OnListed(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  departed_at_.erase(endpoint);
  stated_leaving_.OnListed(endpoint);
}

void Checker::OnDisturbed(const std::string& entry) {
  const std::lock_guard lock(mutex_);
  disturbed_at_[entry] = Now();
  stated_leaving_.OnDisturbed(entry);
  retry_after_.OnDisturbed(entry);
  incomplete_.OnDisturbed(entry, Now());
}

void Checker::OnBreaks(const std::string& endpoint, milliseconds duration) {
  const std::lock_guard lock(mutex_);
  incomplete_.OnBreaks(AddressOf(endpoint), Now() + duration);
}

void Checker::OnSent(const std::string& request, milliseconds timeout) {
  const std::lock_guard lock(mutex_);
  incomplete_.OnSent(request, EntryOf(request), timeout, Now());
}

void Checker::OnIncomplete(const std::string& request, bool started) {
  const std::lock_guard lock(mutex_);
  const auto after = incomplete_.OnIncomplete(request, started, Now());
  if (after) {
    findings_.push_back(
        {started ? "response cut off" : "no response", "", request, *after});
  }
}

void Checker::OnRulesAcknowledged(unsigned version) {
  const std::lock_guard lock(mutex_);
  rules_.OnAcknowledged(version, Now());
}

unsigned Checker::DueRules() const {
  const std::lock_guard lock(mutex_);
  return rules_.Due(Now());
}

std::size_t Checker::rules_probes() const {
  const std::lock_guard lock(mutex_);
  return rules_.probes();
}

void Checker::CheckProbe(const std::string& request, int status,
                         TimePoint now) {
  if (status == 0 || !IsUndisturbed(EntryOf(request), now)) {
    return;
  }
  const auto name = NameWith(kProbeMark, request);
  const auto version = std::stoul(name.substr(kProbeMark.size()));
  if (const auto after = rules_.OnProbe(static_cast<unsigned>(version),
                                        status == kNotFound, now)) {
    findings_.push_back({"rules not in force", "", request, *after});
  }
}

void Checker::OnPathHeld(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  path_held_until_[endpoint] = TimePoint::max();
}

void Checker::OnPathReleased(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  path_held_until_[endpoint] = Now();
}

bool Checker::IsUndisturbed(const std::string& entry, TimePoint now) const {
  return std::ranges::all_of(std::vector<std::string>{entry, ""},
                             [&](const std::string& name) {
                               const auto found = disturbed_at_.find(name);
                               return found == disturbed_at_.end() ||
                                      now - found->second >= bounds_.recovery_;
                             });
}

bool Checker::IsPathHeld(const std::string& endpoint, TimePoint now) const {
  const auto found = path_held_until_.find(endpoint);
  return found != path_held_until_.end() &&
         (found->second == TimePoint::max() ||
          now - found->second < bounds_.recovery_);
}

void Checker::OnArrival(const std::string& endpoint, const std::string& service,
                        const std::string& request) {
  const auto now = Now();
  const std::lock_guard lock(mutex_);
  ++arrivals_;
  CheckDeparted(endpoint, request, now);
  CheckLateArrival(endpoint, request, now);
  CheckCrashing(endpoint, request, now);
  CheckRateLimit(endpoint, request, now);
  CheckStatedLeaving(endpoint, request, now);
  CheckRetryAfter(endpoint, request, now);
  CheckRetries(endpoint, service, request, now);
  incomplete_.OnArrival(AddressOf(endpoint), request, now);
}

void Checker::CheckCrashing(const std::string& endpoint,
                            const std::string& request, TimePoint now) {
  const auto name = CrashingName(request);
  if (name.empty()) {
    return;
  }
  const auto entry = EntryOf(request);
  const bool undisturbed = IsUndisturbed(entry, now);
  crashing_arrivals_[request] = {{}, now, entry, undisturbed};
  const auto found = crashes_.find(name);
  if (found == crashes_.end() ||
      found->second.size() < bounds_.quarantine_crashes_ || !undisturbed) {
    return;
  }
  const auto after =
      Since(found->second[bounds_.quarantine_crashes_ - 1].at_, now);
  if (after > bounds_.recovery_ && ++attempts_after_quarantine_[name] >
                                       bounds_.max_attempts_after_quarantine_) {
    findings_.push_back(
        {"sent although quarantined", endpoint, request, after});
  }
}

void Checker::OnRateLimit(const std::string& endpoint, double per_second) {
  const std::lock_guard lock(mutex_);
  rate_limits_.OnStated(endpoint, per_second, Now());
}

void Checker::OnStatesLeaving(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  stated_leaving_.OnStated(endpoint);
}

void Checker::OnRefusing(const std::string& endpoint, milliseconds time) {
  const std::lock_guard lock(mutex_);
  retry_after_.OnRefusing(endpoint, time);
}

void Checker::CheckRetryAfter(const std::string& endpoint,
                              const std::string& request, TimePoint now) {
  const auto after = retry_after_.OnArrival(endpoint, EntryOf(request), now);
  if (after && !IsPathHeld(endpoint, now)) {
    findings_.push_back(
        {"sent in the time of a refusal", endpoint, request, *after});
  }
}

// Disturbances excuse nobody: the bound is of all entries, whatever they know.
void Checker::CheckRetries(const std::string& endpoint,
                           const std::string& service,
                           const std::string& request, TimePoint now) {
  if (retries_.OnArrival(service, request, now)) {
    findings_.push_back({"retries beyond their budget", endpoint, request, {}});
  }
}

RetryBudgetCheck Checker::retries() const {
  const std::lock_guard lock(mutex_);
  return retries_;
}

void Checker::CheckStatedLeaving(const std::string& endpoint,
                                 const std::string& request, TimePoint now) {
  const auto after =
      stated_leaving_.OnArrival(endpoint, request, EntryOf(request), now);
  if (after && !IsPathHeld(endpoint, now)) {
    findings_.push_back(
        {"sent although it stated that it leaves", endpoint, request, *after});
  }
}

void Checker::CheckRateLimit(const std::string& endpoint,
                             const std::string& request, TimePoint now) {
  const auto entry = EntryOf(request);
  const auto after = rate_limits_.OnArrival(endpoint, request, entry,
                                            !IsUndisturbed(entry, now), now);
  if (after) {
    findings_.push_back(
        {"stated rate limit exceeded", endpoint, request, *after});
  }
}

void Checker::OnCrash(const std::string& request) {
  const std::lock_guard lock(mutex_);
  auto seen = crashing_arrivals_[request];
  seen.at_ = Now();
  crashes_[CrashingName(request)].push_back(seen);
}

void Checker::CheckDeparted(const std::string& endpoint,
                            const std::string& request, TimePoint now) {
  const auto left = departed_at_.find(endpoint);
  if (left == departed_at_.end() || !IsUndisturbed(EntryOf(request), now)) {
    return;
  }
  const auto after = Since(left->second, now);
  if (!IsPathHeld(endpoint, now)) {
    arrivals_after_departure_.Add(after);
  }
  if (after > bounds_.drain_) {
    const auto* kind = IsPathHeld(endpoint, now)
                           ? "arrived after departure, path held"
                           : "arrived after departure";
    findings_.push_back({kind, endpoint, request, after});
  }
}

void Checker::CheckLateArrival(const std::string& endpoint,
                               const std::string& request, TimePoint now) {
  const auto answered = responded_at_.find(request);
  if (answered == responded_at_.end() ||
      !IsUndisturbed(EntryOf(request), now)) {
    return;
  }
  const auto after = Since(answered->second, now);
  if (after > bounds_.late_arrival_) {
    findings_.push_back(
        {"arrived after its response", endpoint, request, after});
  }
}

void Checker::OnStream(const std::string& request, const std::string& body,
                       bool end_stated) {
  const auto events = standins::CountEvents(body);
  const bool inside_event = !body.empty() && !body.ends_with("\n\n");
  const bool truncated = end_stated && events < standins::kStreamEvents;
  const std::lock_guard lock(mutex_);
  unframed_streams_ += end_stated ? 0 : 1;
  if (inside_event || truncated) {
    findings_.push_back(
        {"truncated stream looks complete", "", request, milliseconds(0)});
  }
}

void Checker::OnResponse(const std::string& request, int status,
                         const std::string& body) {
  const std::lock_guard lock(mutex_);
  if (CrashingName(request).empty()) {
    refused_as_suspected_ +=
        body.find("suspected: ") != std::string::npos ? 1 : 0;
    if (body.find("quarantined: ") != std::string::npos) {
      findings_.push_back({kWronglyQuarantined, "", request, milliseconds(0)});
    }
  }
  const auto now = Now();
  incomplete_.OnEnded(request);
  responded_at_[request] = now;
  if (status != 0) {
    stated_leaving_.OnResponse(request, now);
  }
  if (status == 200) {
    rate_limits_.OnResponse(request, now);
  }
  ++responses_[status];
  if (!NameWith(kProbeMark, request).empty()) {
    CheckProbe(request, status, now);
    return;
  }
  if (status >= 400 && status < 500) {
    findings_.push_back(
        {"valid request rejected with " + std::to_string(status), "", request,
         milliseconds(0)});
  }
}

std::vector<Finding> Checker::findings() const {
  const std::lock_guard lock(mutex_);
  return findings_;
}

std::map<int, std::uint64_t> Checker::responses() const {
  const std::lock_guard lock(mutex_);
  return responses_;
}

std::uint64_t Checker::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

DurationSample Checker::arrivals_after_departure() const {
  const std::lock_guard lock(mutex_);
  return arrivals_after_departure_;
}

std::uint64_t Checker::unframed_streams() const {
  const std::lock_guard lock(mutex_);
  return unframed_streams_;
}

std::map<std::string, std::vector<CrashRecord>> Checker::crashes() const {
  const std::lock_guard lock(mutex_);
  return crashes_;
}

std::uint64_t Checker::rate_limited_arrivals() const {
  const std::lock_guard lock(mutex_);
  return rate_limits_.checked();
}

std::size_t Checker::forwarded_departures() const {
  const std::lock_guard lock(mutex_);
  return stated_leaving_.forwarded();
}

std::size_t Checker::refusals() const {
  const std::lock_guard lock(mutex_);
  return retry_after_.refusals();
}

ResponseCheck Checker::incomplete() const {
  const std::lock_guard lock(mutex_);
  return incomplete_;
}

std::uint64_t Checker::refused_as_suspected() const {
  const std::lock_guard lock(mutex_);
  return refused_as_suspected_;
}

}  // namespace chalkwell::soak
