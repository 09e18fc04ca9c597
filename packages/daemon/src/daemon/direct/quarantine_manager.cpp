// Collects evidence of crashes, leaves the counting and the decisions to the
// library, and publishes the resulting records to the other entries as state.
#include "daemon/direct/quarantine_manager.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::daemon::direct {
namespace {

using routing::RequestDigest;
using routing::RequestIdentity;
using routing::Standing;
using std::chrono::milliseconds;

/// A probe whose connection is neither accepted nor refused within this time is
/// inconclusive.
constexpr auto kProbeTimeout = milliseconds(400);
/// Probes of an address that does not refuse the connection. One is not enough:
/// a packet may be lost, and a process that terminates may close its
/// connections before its listener.
constexpr unsigned kMaxProbes = 2;
constexpr auto kProbeInterval = milliseconds(50);
/// Changes are batched for this long, since a crash ends all attempts at the
/// endpoint at once.
constexpr auto kPublishDelay = milliseconds(5);
/// Records with different crashes per datagram; with 8 crashes each they take
/// some 20 KB. The requests of equal records take 16 bytes each.
constexpr std::size_t kMaxRecords = 32;
constexpr std::size_t kMaxRequests = 512;
/// Interval of the checks for endpoints that were replaced after a lost
/// attempt, and for expired records.
constexpr auto kTickInterval = milliseconds(1000);
/// Retry-After of a suspected request while a trial of it is in flight.
constexpr auto kTrialRetryAfter = milliseconds(500);
/// Longest time for which a trial at one entry blocks the request at the
/// others.
constexpr auto kMaxTrialDuration = std::chrono::seconds(10);
/// Entries are ranked for trials by their scores under this key.
constexpr std::string_view kTrialKey = "quarantine trial";
/// Crashes listed in one log line.
constexpr std::size_t kMaxLoggedCrashes = 8;

std::string Millis(core::Duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

/// Joins equal records and returns what each datagram holds.
std::vector<std::vector<CrashRecordMessage>> SplitIntoDatagrams(
    std::vector<CrashRecordMessage> records) {
  std::vector<std::vector<CrashRecordMessage>> datagrams;
  std::size_t requests = 0;
  for (auto& record : JoinEqual(std::move(records), kMaxRequests)) {
    const auto added = record.requests_.size() / RequestDigest::kSize;
    if (datagrams.empty() || datagrams.back().size() == kMaxRecords ||
        requests + added > kMaxRequests) {
      datagrams.emplace_back();
      requests = 0;
    }
    requests += added;
    datagrams.back().push_back(std::move(record));
  }
  return datagrams;
}

/// "ENDPOINT by REPORTER Nms ago", each; " (widespread)" follows a crash that
/// counts half.
std::string Describe(const routing::CrashRecord& record, core::TimePoint now) {
  std::string text;
  std::size_t logged = 0;
  for (const auto& crash : record.crashes_) {
    if (crash.cleared_ || logged++ == kMaxLoggedCrashes) {
      continue;
    }
    text += (text.empty() ? "" : ", ") + crash.endpoint_.id_.value() + " by " +
            crash.reporter_.value() + " " + Millis(now - crash.crashed_at_) +
            "ms ago" + (crash.widespread_ ? " (widespread)" : "");
  }
  return text;
}

}  // namespace

QuarantineManager::QuarantineManager(Loop& loop,
                                     const routing::EndpointTable& endpoints,
                                     MeshNode& mesh, EventLog& log,
                                     Metrics& metrics)
    : loop_(loop),
      endpoints_(endpoints),
      mesh_(mesh),
      log_(log),
      metrics_(metrics),
      publish_timer_(loop),
      tick_timer_(loop) {
  tick_timer_.Every(kTickInterval, [this] { Tick(); });
}

std::optional<QuarantineRefusal> QuarantineManager::RefusalOf(
    const RequestIdentity& request) const {
  const auto now = loop_.Now();
  const auto [verdict, cause] = quarantine_.Decide(
      request.digests_,
      {.in_flight_ =
           [this](const auto& held) { return InFlightUntil(held).has_value(); },
       .rank_ = [this] { return TrialRank(); }},
      now);
  if (verdict == routing::QuarantineVerdict::kAdmitted) {
    return std::nullopt;
  }
  const auto part = std::ranges::find(request.shared_parts_, cause,
                                      &routing::PromptPart::digest_);
  const auto subject =
      (part == request.shared_parts_.end() ? "" : "part " + part->id_ + ", ") +
      "content " + cause.ToHex();
  const auto crashes = "at least " +
                       std::to_string(quarantine_.AttributedCrashes(cause)) +
                       " endpoints crashed under it";
  if (verdict == routing::QuarantineVerdict::kQuarantined) {
    return QuarantineRefusal{subject, "quarantined: " + crashes,
                             quarantine_.QuarantinedUntil(cause) - now};
  }
  return QuarantineRefusal{
      subject,
      "suspected: " + crashes + ", and a trial is in flight or awaited",
      kTrialRetryAfter};
}

std::size_t QuarantineManager::TrialRank() const {
  const auto own = core::RendezvousScore(kTrialKey, mesh_.self().id_.value());
  return static_cast<std::size_t>(std::ranges::count_if(
      mesh_.LiveMembers(), [own](const membership::Member& member) {
        return member.kind_ == membership::MemberKind::kEntry &&
               core::RendezvousScore(kTrialKey, member.id_.value()) > own;
      }));
}

bool QuarantineManager::MaySend(
    const RequestIdentity& request,
    const std::optional<routing::LostAttempt>& last) const {
  const auto now = loop_.Now();
  const auto& digests = request.digests_;
  const bool may_send = quarantine_.MaySend(digests, now);
  if (!may_send || !last) {
    return may_send;
  }
  // Until its probe is finished, the endpoint of the last attempt counts as
  // crashed.
  const bool crashed = crash_detector_.ProbePending(request.content_);
  return std::ranges::all_of(digests, [&](const RequestDigest& digest) {
    const routing::EndpointCrash crash{
        .endpoint_ = {},
        .reporter_ = {},
        .crashed_at_ = now,
        .elapsed_ = last->elapsed_,
        .cleared_ = !crashed,
        .widespread_ = part_shares_.IsWidespread(last->service_, digest, now)};
    return quarantine_.AttributedCrashesWith(digest, crash) <
           quarantine_.suspected_crashes();
  });
}

QuarantineManager::Token QuarantineManager::OnAdmitted(
    const RequestIdentity& request, std::string_view service,
    core::TimePoint deadline, std::function<void()> abandon) {
  part_shares_.OnAdmitted(service, request, loop_.Now());
  in_flight_[++last_token_] = {request, deadline, std::move(abandon)};
  for (const auto& digest : request.digests_) {
    if (quarantine_.StandingOf(digest, loop_.Now()) != Standing::kClear) {
      own_trials_.insert(digest);
      Publish(digest);
    }
  }
  return last_token_;
}

void QuarantineManager::OnEnded(Token token) {
  const auto found = in_flight_.find(token);
  if (found == in_flight_.end()) {
    return;
  }
  const auto request = std::move(found->second.request_);
  in_flight_.erase(found);
  for (const auto& digest : request.digests_) {
    if (own_trials_.contains(digest) && !InFlightUntil(digest)) {
      Publish(digest);
    }
  }
}

void QuarantineManager::OnAttemptLost(const routing::LostAttempt& attempt,
                                      const routing::EndpointRow& endpoint) {
  const auto now = loop_.Now();
  const auto incarnation = endpoint.incarnation();
  if (endpoints_.IsLeavingOrRemoved(incarnation)) {
    return;
  }
  switch (
      crash_detector_.OnLost(attempt, incarnation, endpoint.address_, now)) {
    case routing::LossAction::kProbe:
      Probe(endpoint, kMaxProbes);
      return;
    case routing::LossAction::kWait:
    case routing::LossAction::kIgnore:
      return;
    case routing::LossAction::kCrashed:
      AddCrash(attempt, incarnation, now);
  }
}

void QuarantineManager::OnAnswered(const routing::EndpointRow& endpoint) {
  crash_detector_.OnAnswered(endpoint.incarnation());
}

// Only a refused connection shows a crash: a terminated process refuses at
// once, a machine that is unreachable or has lost power does not reply, and an
// endpoint whose connections were merely reset accepts.
void QuarantineManager::Probe(const routing::EndpointRow& endpoint,
                              unsigned probes_left) {
  StreamSettings settings;
  settings.connect_timeout_ = kProbeTimeout;
  probes_[endpoint.id_] = TcpStream::Connect(
      loop_, ParseAddress(endpoint.address_), settings,
      [this, endpoint, probes_left](bool) {
        const auto probe = probes_.extract(endpoint.id_);
        const bool connection_refused = probe && probe.mapped()->refused();
        if (probe) {
          probe.mapped()->Close();
        }
        OnProbed(endpoint, connection_refused, probes_left);
      });
}

void QuarantineManager::OnProbed(const routing::EndpointRow& endpoint,
                                 bool connection_refused,
                                 unsigned probes_left) {
  if (connection_refused) {
    OnEndpointCrashed(endpoint.incarnation(), "connection refused");
  } else if (probes_left > 1) {
    loop_.After(kProbeInterval, [this, endpoint, probes_left] {
      Probe(endpoint, probes_left - 1);
    });
  } else {
    crash_detector_.OnInconclusive(endpoint.incarnation());
  }
}

void QuarantineManager::CheckReplacedEndpoints() {
  for (const auto& loss : crash_detector_.Unconfirmed(loop_.Now())) {
    if (endpoints_.IsReplaced(loss.address_, loss.endpoint_)) {
      OnEndpointCrashed(loss.endpoint_, "another incarnation");
    }
  }
}

void QuarantineManager::OnEndpointCrashed(
    const routing::EndpointIncarnation& endpoint, const std::string& evidence) {
  const auto crash = crash_detector_.OnCrashed(endpoint);
  if (crash.attempts_.empty()) {
    return;
  }
  metrics_.Count("endpoint_crashes_total", {{"evidence", evidence}});
  log_.Write(core::EventNumber::kEndpointCrashed,
             {{"endpoint", endpoint.id_.value()},
              {"address", crash.address_},
              {"evidence", evidence},
              {"after_ms", Millis(loop_.Now() - crash.first_loss_at_)},
              {"requests", std::to_string(crash.attempts_.size())}});
  for (const auto& attempt : crash.attempts_) {
    AddCrash(attempt, endpoint, crash.first_loss_at_);
  }
}

void QuarantineManager::AddCrash(const routing::LostAttempt& attempt,
                                 const routing::EndpointIncarnation& endpoint,
                                 core::TimePoint at) {
  for (const auto& part : attempt.request_.shared_parts_) {
    part_ids_[part.digest_] = part.id_;
  }
  for (const auto& digest : attempt.request_.digests_) {
    AddCrash(digest, {.endpoint_ = endpoint,
                      .reporter_ = mesh_.self().id_,
                      .crashed_at_ = at,
                      .elapsed_ = attempt.elapsed_,
                      .cleared_ = false,
                      .widespread_ = part_shares_.IsWidespread(
                          attempt.service_, digest, loop_.Now())});
  }
}

void QuarantineManager::AddCrash(const RequestDigest& request,
                                 const routing::EndpointCrash& crash) {
  const auto before = quarantine_.StandingOf(request, loop_.Now());
  if (quarantine_.AddCrash(request, crash)) {
    Publish(request);
    OnChanged(request, before);
  }
}

void QuarantineManager::OnCompleted(const RequestIdentity& request) {
  const auto now = loop_.Now();
  for (const auto& digest : request.digests_) {
    const auto before = quarantine_.StandingOf(digest, now);
    if (quarantine_.OnCompleted(digest, now)) {
      OnCleared(digest, before, "completed");
    }
  }
}

bool QuarantineManager::Lift(const RequestDigest& request) {
  const auto before = quarantine_.StandingOf(request, loop_.Now());
  if (!quarantine_.Clear(request)) {
    return false;
  }
  OnCleared(request, before, "operator");
  return true;
}

void QuarantineManager::OnCleared(const RequestDigest& request, Standing before,
                                  const std::string& reason) {
  metrics_.Count("requests_cleared_total", {{"reason", reason}});
  Publish(request);
  OnChanged(request, before);
}

void QuarantineManager::OnChanged(const RequestDigest& request,
                                  Standing before) {
  const auto standing = quarantine_.StandingOf(request, loop_.Now());
  if (standing != before) {
    LogStanding(request);
  }
  if (standing == Standing::kSuspected && InFlightUntil(request)) {
    own_trials_.insert(request);
    Publish(request);
  }
  if (standing == Standing::kQuarantined) {
    ClearExplainedBy(request);
  }
  if (standing == Standing::kQuarantined && before != standing) {
    Abandon(request);
  }
}

void QuarantineManager::ClearExplainedBy(const RequestDigest& quarantined) {
  const auto now = loop_.Now();
  for (const auto& request : quarantine_.ClearExplainedBy(quarantined, now)) {
    metrics_.Count("requests_cleared_total", {{"reason", "explained"}});
    Publish(request);
    LogStanding(request);
  }
}

// Abandons the attempts in a later turn of the event loop, since the caller may
// be in the middle of ending one of them.
void QuarantineManager::Abandon(const RequestDigest& request) {
  for (const auto& [token, in_flight] : in_flight_) {
    if (in_flight.request_.Has(request)) {
      loop_.Post(in_flight.abandon_);
    }
  }
}

std::string QuarantineManager::PartIdOf(const RequestDigest& request) const {
  const auto found = part_ids_.find(request);
  return found == part_ids_.end() ? "" : found->second;
}

void QuarantineManager::LogStanding(const RequestDigest& request) {
  const auto now = loop_.Now();
  const auto standing = quarantine_.StandingOf(request, now);
  const auto* record = quarantine_.Find(request);
  const auto until = quarantine_.QuarantinedUntil(request);
  log_.Write(
      core::EventNumber::kRequestSuspicionChanged,
      {{"content", request.ToHex()},
       {"part", PartIdOf(request)},
       {"standing", std::string(ToString(standing))},
       {"crashes", record == nullptr ? "" : Describe(*record, now)},
       {"until_ms", standing == Standing::kQuarantined ? Millis(until - now)
                                                       : std::string("none")}});
  metrics_.Count("request_standings_total",
                 {{"standing", std::string(ToString(standing))}});
}

std::optional<core::TimePoint> QuarantineManager::InFlightUntil(
    const RequestDigest& request) const {
  std::optional<core::TimePoint> until;
  for (const auto& [token, in_flight] : in_flight_) {
    if (in_flight.request_.Has(request)) {
      until =
          std::max(until.value_or(in_flight.deadline_), in_flight.deadline_);
    }
  }
  return until;
}

void QuarantineManager::Publish(const RequestDigest& request) {
  if (pending_.empty()) {
    publish_timer_.Once(kPublishDelay, [this] { PublishPending(); });
  }
  pending_.insert(request);
}

void QuarantineManager::PublishPending() {
  std::vector<CrashRecordMessage> records;
  for (const auto& request : std::exchange(pending_, {})) {
    records.push_back(MakeMessage(request));
  }
  for (const auto& datagram : SplitIntoDatagrams(std::move(records))) {
    mesh_.PublishCrashes(datagram);
  }
}

CrashRecordMessage QuarantineManager::MakeMessage(
    const RequestDigest& request) {
  const auto now = loop_.Now();
  const auto* record = quarantine_.Find(request);
  auto message =
      record == nullptr
          ? CrashRecordMessage{.requests_ = request.ToBytes(), .crashes_ = {}}
          : ToMessage(*record, now);
  if (!own_trials_.contains(request)) {
    return message;
  }
  if (const auto until = InFlightUntil(request)) {
    message.trial_ms_ = static_cast<std::int64_t>(
        ToAgeMs(std::min<core::Duration>(*until - now, kMaxTrialDuration)));
  } else {
    own_trials_.erase(request);
    message.trial_ms_ = static_cast<std::int64_t>(TrialChange::kEnded);
  }
  return message;
}

void QuarantineManager::OnRecords(
    const membership::Member& sender,
    const std::vector<CrashRecordMessage>& records, core::TimePoint sent_at) {
  std::vector<CrashRecordMessage> forwarded;
  for (const auto& message : records) {
    const auto decoded = ToRecords(message, sent_at);
    if (decoded.empty()) {
      metrics_.Count("crash_records_refused_total", {});
    }
    for (const auto& record : decoded) {
      if (MergeRecord(record, message.trial_ms_, sent_at)) {
        forwarded.push_back(ToMessage(record, loop_.Now()));
        forwarded.back().trial_ms_ = message.trial_ms_;
      }
    }
  }
  for (const auto& datagram : SplitIntoDatagrams(std::move(forwarded))) {
    mesh_.ForwardCrashes(sender.domain_, datagram);
  }
}

bool QuarantineManager::MergeRecord(const routing::CrashRecord& record,
                                    std::int64_t trial_ms,
                                    core::TimePoint sent_at) {
  const auto before = quarantine_.StandingOf(record.request_, loop_.Now());
  const auto [changed, cleared] = quarantine_.Merge(record);
  const bool trial = trial_ms >= 0;
  if (trial) {
    const auto length = ToAge(static_cast<std::uint64_t>(trial_ms));
    quarantine_.SetTrialUntil(
        record.request_,
        sent_at + std::min<core::Duration>(length, kMaxTrialDuration));
  }
  if (cleared) {
    OnCleared(record.request_, before, "completed before");
  } else if (changed) {
    OnChanged(record.request_, before);
  }
  const bool published = cleared;
  return (changed && !published) || trial;
}

std::vector<CrashRecordMessage> QuarantineManager::Sample(
    std::size_t max_records) {
  const auto now = loop_.Now();
  std::vector<CrashRecordMessage> messages;
  for (const auto& record : quarantine_.Sample(max_records)) {
    messages.push_back(ToMessage(record, now));
  }
  return JoinEqual(std::move(messages), kMaxRequests);
}

nlohmann::json QuarantineManager::Status() const {
  const auto now = loop_.Now();
  auto rows = nlohmann::json::array();
  for (const auto& record : quarantine_.Records()) {
    const auto standing = quarantine_.StandingOf(record.request_, now);
    if (standing == Standing::kClear) {
      continue;
    }
    const auto left = quarantine_.QuarantinedUntil(record.request_) - now;
    rows.push_back({{"content", record.request_.ToHex()},
                    {"part", PartIdOf(record.request_)},
                    {"standing", ToString(standing)},
                    {"crashes", Describe(record, now)},
                    {"left_ms", std::max(0.0, core::ToMs(left))}});
  }
  return rows;
}

void QuarantineManager::RefreshMetrics() {
  const auto now = loop_.Now();
  std::map<Standing, double> counts{{Standing::kSuspected, 0},
                                    {Standing::kQuarantined, 0}};
  for (const auto& record : quarantine_.Records()) {
    ++counts[quarantine_.StandingOf(record.request_, now)];
  }
  counts.erase(Standing::kClear);
  metrics_.Set("crash_records_evicted", {},
               static_cast<double>(quarantine_.evicted()));
  for (const auto& [standing, count] : counts) {
    metrics_.Set("requests_by_standing",
                 {{"standing", std::string(ToString(standing))}}, count);
  }
}

void QuarantineManager::Tick() {
  CheckReplacedEndpoints();
  quarantine_.Expire(loop_.Now());
  std::erase_if(part_ids_, [this](const auto& part) {
    return quarantine_.Find(part.first) == nullptr;
  });
}

}  // namespace chalkwell::daemon::direct
