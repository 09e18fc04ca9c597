// Evidence is gathered here, counted in the library, and published as state.
#include "daemon/direct/quarantine_manager.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::daemon::direct {
namespace {

using routing::RequestDigest;
using routing::Standing;
using std::chrono::milliseconds;

/// A probe that is neither accepted nor refused by then shows nothing.
constexpr auto kProbeTimeout = milliseconds(400);
/// Probes of an address that does not refuse: one packet may be lost, and a
/// process that ends may close its connections before its listener.
constexpr unsigned kProbes = 2;
constexpr auto kProbePause = milliseconds(50);
/// Changes are collected for this long: a crash ends all attempts there.
constexpr auto kPublishDelay = milliseconds(5);
/// Records of one datagram; 8 crashes each make some 20 KB.
constexpr std::size_t kMaxRecords = 32;
/// Between two looks for endpoints that were replaced after a loss, and for
/// records to forget.
constexpr auto kTick = milliseconds(1000);
/// Wait of a caller whose request is under way elsewhere.
constexpr auto kTrialPause = milliseconds(500);
/// Longest time for which one entry keeps the others from trying a request.
constexpr auto kLongestTrial = std::chrono::seconds(10);
/// Crashes named in a line of the log.
constexpr std::size_t kMaxNamed = 8;

std::string Millis(core::Duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

/// "ENDPOINT by REPORTER Nms ago", each.
std::string Describe(const routing::CrashRecord& record, core::TimePoint now) {
  std::string text;
  std::size_t named = 0;
  for (const auto& crash : record.crashes_) {
    if (crash.cleared_ || named++ == kMaxNamed) {
      continue;
    }
    text += (text.empty() ? "" : ", ") + crash.endpoint_.id_.value() + " by " +
            crash.reporter_.value() + " " + Millis(now - crash.crashed_at_) +
            "ms ago";
  }
  return text;
}

}  // namespace

QuarantineKeeper::QuarantineKeeper(Loop& loop,
                                   const routing::EndpointTable& endpoints,
                                   MeshNode& mesh, EventLog& log,
                                   Metrics& metrics)
    : loop_(loop),
      endpoints_(endpoints),
      mesh_(mesh),
      log_(log),
      metrics_(metrics),
      publish_timer_(loop),
      tick_(loop) {
  tick_.Every(kTick, [this] { Tick(); });
}

std::optional<QuarantineRefusal> QuarantineKeeper::RefusalOf(
    const RequestDigest& request) const {
  const auto now = loop_.Now();
  const auto standing = quarantine_.StandingOf(request, now);
  if (standing == Standing::kClear) {
    return std::nullopt;
  }
  const auto crashes = std::to_string(quarantine_.AttributedCrashes(request)) +
                       " endpoints crashed under it";
  if (standing == Standing::kQuarantined) {
    const auto left = quarantine_.QuarantinedUntil(request) - now;
    return QuarantineRefusal{"quarantined: " + crashes, left};
  }
  if (quarantine_.TrialActive(request, now) || UnderWayUntil(request)) {
    return QuarantineRefusal{
        "suspected: " + crashes + ", and one like it is under way",
        kTrialPause};
  }
  return std::nullopt;
}

bool QuarantineKeeper::MayRepeat(
    const RequestDigest& request,
    const std::optional<routing::LostAttempt>& last) const {
  const auto now = loop_.Now();
  if (quarantine_.StandingOf(request, now) == Standing::kQuarantined) {
    return false;
  }
  if (!last) {
    return true;
  }
  // Until a probe shows otherwise the last endpoint may have crashed.
  const routing::EndpointCrash crash{
      .endpoint_ = {},
      .reporter_ = {},
      .crashed_at_ = now,
      .elapsed_ = last->elapsed_,
      .cleared_ = !evidence_.ProbePending(request)};
  return quarantine_.AttributedCrashesWith(request, crash) <
         quarantine_.suspected_after();
}

QuarantineKeeper::Token QuarantineKeeper::OnBegun(
    const RequestDigest& request, core::TimePoint deadline,
    std::function<void()> abandon) {
  under_way_[++last_token_] = {request, deadline, std::move(abandon)};
  if (quarantine_.StandingOf(request, loop_.Now()) == Standing::kSuspected) {
    trials_.insert(request);
    Publish(request);
  }
  return last_token_;
}

void QuarantineKeeper::OnEnded(Token token) {
  const auto found = under_way_.find(token);
  if (found == under_way_.end()) {
    return;
  }
  const auto request = found->second.request_;
  under_way_.erase(found);
  if (!UnderWayUntil(request) && trials_.contains(request)) {
    Publish(request);
  }
}

void QuarantineKeeper::OnLost(const routing::LostAttempt& attempt,
                              const routing::EndpointRow& endpoint) {
  const auto now = loop_.Now();
  const auto life = endpoint.incarnation();
  if (endpoints_.IsLeavingOrRemoved(life)) {
    return;
  }
  switch (evidence_.OnLost(attempt, life, endpoint.address_, now)) {
    case routing::LossAction::kProbe:
      Probe(endpoint, kProbes);
      return;
    case routing::LossAction::kWait:
      return;
    case routing::LossAction::kCrashed:
      AddCrash(attempt, life, now);
  }
}

// A process that has ended refuses connections at once; a machine that is cut
// off or has lost power says nothing, and a path that was reset accepts them.
void QuarantineKeeper::Probe(const routing::EndpointRow& endpoint,
                             unsigned tries) {
  StreamSettings settings;
  settings.connect_timeout_ = kProbeTimeout;
  probes_[endpoint.id_] = TcpStream::Connect(
      loop_, ParseAddress(endpoint.address_), settings,
      [this, endpoint, tries](bool) {
        const auto probe = probes_.extract(endpoint.id_);
        const bool refused = probe && probe.mapped()->refused();
        if (probe) {
          probe.mapped()->Close();
        }
        OnProbed(endpoint, refused, tries);
      });
}

void QuarantineKeeper::OnProbed(const routing::EndpointRow& endpoint,
                                bool refused, unsigned tries) {
  if (refused) {
    OnCrashed(endpoint.incarnation(), "connection refused");
  } else if (tries > 1) {
    loop_.After(kProbePause,
                [this, endpoint, tries] { Probe(endpoint, tries - 1); });
  } else {
    evidence_.OnInconclusive(endpoint.incarnation());
  }
}

void QuarantineKeeper::CheckReplaced() {
  for (const auto& loss : evidence_.Unconfirmed(loop_.Now())) {
    if (endpoints_.IsReplaced(loss.address_, loss.endpoint_)) {
      OnCrashed(loss.endpoint_, "another incarnation");
    }
  }
}

void QuarantineKeeper::OnCrashed(const routing::EndpointIncarnation& endpoint,
                                 const std::string& evidence) {
  const auto crash = evidence_.OnCrashed(endpoint);
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

void QuarantineKeeper::AddCrash(const routing::LostAttempt& attempt,
                                const routing::EndpointIncarnation& endpoint,
                                core::TimePoint at) {
  const auto& request = attempt.request_;
  const auto before = quarantine_.StandingOf(request, loop_.Now());
  const routing::EndpointCrash crash{.endpoint_ = endpoint,
                                     .reporter_ = mesh_.self().id_,
                                     .crashed_at_ = at,
                                     .elapsed_ = attempt.elapsed_,
                                     .cleared_ = false};
  if (quarantine_.AddCrash(request, crash)) {
    Publish(request);
    OnChanged(request, before);
  }
}

void QuarantineKeeper::OnAnswered(const RequestDigest& request) {
  const auto now = loop_.Now();
  const auto before = quarantine_.StandingOf(request, now);
  if (quarantine_.OnCompleted(request, now)) {
    OnCleared(request, before, "completed");
  }
}

bool QuarantineKeeper::Lift(const RequestDigest& request) {
  const auto before = quarantine_.StandingOf(request, loop_.Now());
  if (!quarantine_.Clear(request)) {
    return false;
  }
  OnCleared(request, before, "operator");
  return true;
}

void QuarantineKeeper::OnCleared(const RequestDigest& request, Standing before,
                                 const std::string& reason) {
  metrics_.Count("requests_cleared_total", {{"reason", reason}});
  Publish(request);
  OnChanged(request, before);
}

void QuarantineKeeper::OnChanged(const RequestDigest& request,
                                 Standing before) {
  const auto standing = quarantine_.StandingOf(request, loop_.Now());
  if (standing != before) {
    LogStanding(request);
  }
  if (standing == Standing::kSuspected && UnderWayUntil(request)) {
    trials_.insert(request);
    Publish(request);
  }
  if (standing == Standing::kQuarantined && before != standing) {
    Abandon(request);
  }
}

// They end in a later turn: whoever calls may be ending one of them.
void QuarantineKeeper::Abandon(const RequestDigest& request) {
  for (const auto& [token, under_way] : under_way_) {
    if (under_way.request_ == request) {
      loop_.Post(under_way.abandon_);
    }
  }
}

void QuarantineKeeper::LogStanding(const RequestDigest& request) {
  const auto now = loop_.Now();
  const auto standing = quarantine_.StandingOf(request, now);
  const auto* record = quarantine_.Find(request);
  const auto until = quarantine_.QuarantinedUntil(request);
  log_.Write(
      core::EventNumber::kRequestStanding,
      {{"content", request.ToHex()},
       {"standing", std::string(ToString(standing))},
       {"crashes", record == nullptr ? "" : Describe(*record, now)},
       {"until_ms", standing == Standing::kQuarantined ? Millis(until - now)
                                                       : std::string("none")}});
  metrics_.Count("request_standings_total",
                 {{"standing", std::string(ToString(standing))}});
}

std::optional<core::TimePoint> QuarantineKeeper::UnderWayUntil(
    const RequestDigest& request) const {
  std::optional<core::TimePoint> until;
  for (const auto& [token, under_way] : under_way_) {
    if (under_way.request_ == request) {
      until =
          std::max(until.value_or(under_way.deadline_), under_way.deadline_);
    }
  }
  return until;
}

void QuarantineKeeper::Publish(const RequestDigest& request) {
  if (pending_.empty()) {
    publish_timer_.Once(kPublishDelay, [this] { PublishPending(); });
  }
  pending_.insert(request);
}

void QuarantineKeeper::PublishPending() {
  std::vector<CrashRecordMessage> records;
  for (const auto& request : std::exchange(pending_, {})) {
    records.push_back(MessageOf(request));
    if (records.size() == kMaxRecords) {
      mesh_.PublishCrashes(std::exchange(records, {}));
    }
  }
  if (!records.empty()) {
    mesh_.PublishCrashes(records);
  }
}

CrashRecordMessage QuarantineKeeper::MessageOf(const RequestDigest& request) {
  const auto now = loop_.Now();
  const auto* record = quarantine_.Find(request);
  auto message =
      record == nullptr
          ? CrashRecordMessage{.request_ = request.ToBytes(), .crashes_ = {}}
          : ToMessage(*record, now);
  if (!trials_.contains(request)) {
    return message;
  }
  if (const auto until = UnderWayUntil(request)) {
    message.trial_ms_ = static_cast<std::int64_t>(
        ToAgeMs(std::min<core::Duration>(*until - now, kLongestTrial)));
  } else {
    trials_.erase(request);
    message.trial_ms_ = static_cast<std::int64_t>(TrialChange::kEnded);
  }
  return message;
}

void QuarantineKeeper::OnRecords(const membership::Member& sender,
                                 const std::vector<CrashRecordMessage>& records,
                                 core::TimePoint sent_at) {
  std::vector<CrashRecordMessage> news;
  for (const auto& message : records) {
    const auto record = ToRecord(message, sent_at);
    if (!record) {
      metrics_.Count("crash_records_refused_total", {});
      continue;
    }
    const auto before = quarantine_.StandingOf(record->request_, loop_.Now());
    const auto [changed, cleared] = quarantine_.Merge(*record);
    const bool trial = message.trial_ms_ >= 0;
    if (trial) {
      const auto length = ToAge(static_cast<std::uint64_t>(message.trial_ms_));
      quarantine_.SetTrialUntil(
          record->request_,
          sent_at + std::min<core::Duration>(length, kLongestTrial));
    }
    if (cleared) {
      OnCleared(record->request_, before, "completed before");
    } else if (changed) {
      OnChanged(record->request_, before);
    }
    const bool published = cleared;
    if ((changed && !published) || trial) {
      news.push_back(ToMessage(*record, loop_.Now()));
      news.back().trial_ms_ = message.trial_ms_;
    }
  }
  if (!news.empty()) {
    mesh_.ForwardCrashes(sender.domain_, news);
  }
}

std::vector<CrashRecordMessage> QuarantineKeeper::Sample(std::size_t most) {
  const auto now = loop_.Now();
  std::vector<CrashRecordMessage> messages;
  for (const auto& record : quarantine_.Sample(most)) {
    messages.push_back(ToMessage(record, now));
  }
  return messages;
}

nlohmann::json QuarantineKeeper::Status() const {
  const auto now = loop_.Now();
  auto rows = nlohmann::json::array();
  for (const auto& record : quarantine_.Records()) {
    const auto standing = quarantine_.StandingOf(record.request_, now);
    if (standing == Standing::kClear) {
      continue;
    }
    const auto left = quarantine_.QuarantinedUntil(record.request_) - now;
    rows.push_back({{"content", record.request_.ToHex()},
                    {"standing", ToString(standing)},
                    {"crashes", Describe(record, now)},
                    {"left_ms", std::max(0.0, core::ToMs(left))}});
  }
  return rows;
}

void QuarantineKeeper::RefreshMetrics() {
  const auto now = loop_.Now();
  std::map<Standing, double> counts{{Standing::kSuspected, 0},
                                    {Standing::kQuarantined, 0}};
  for (const auto& record : quarantine_.Records()) {
    ++counts[quarantine_.StandingOf(record.request_, now)];
  }
  counts.erase(Standing::kClear);
  for (const auto& [standing, count] : counts) {
    metrics_.Set("requests_by_standing",
                 {{"standing", std::string(ToString(standing))}}, count);
  }
}

void QuarantineKeeper::Tick() {
  CheckReplaced();
  quarantine_.Expire(loop_.Now());
}

}  // namespace chalkwell::daemon::direct
