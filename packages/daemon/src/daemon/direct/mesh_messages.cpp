// Conversions between the wire messages and the library's types.
#include "daemon/direct/mesh_messages.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Larger ages are clamped to this: data of this age is never used.
constexpr auto kMaxAge = std::chrono::hours(1);
constexpr std::int64_t kUnknownRemaining = -1;
constexpr double kNoRateLimit = -1;

std::int64_t ToRemainingMs(const std::optional<core::Duration>& left) {
  return left ? static_cast<std::int64_t>(ToAgeMs(*left)) : kUnknownRemaining;
}

std::optional<core::Duration> ToRemaining(std::int64_t ms) {
  return ms < 0 ? std::nullopt
                : std::optional(ToAge(static_cast<std::uint64_t>(ms)));
}

}  // namespace

core::Duration ToAge(std::uint64_t ms) {
  constexpr auto kMaxAgeMs =
      static_cast<std::uint64_t>(std::chrono::milliseconds(kMaxAge).count());
  return std::chrono::milliseconds(std::min(ms, kMaxAgeMs));
}

std::uint64_t ToAgeMs(core::Duration age) {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(age);
  return static_cast<std::uint64_t>(
      std::clamp<std::chrono::milliseconds>(rounded, {}, kMaxAge).count());
}

StoreRevisionMessage ToMessage(const core::StoreRevision& revision) {
  return {revision.number_, revision.era_};
}

core::StoreRevision ToRevision(const StoreRevisionMessage& message) {
  return core::StoreRevision(message.era_, message.number_);
}

EvacuationMessage ToMessage(const config::Evacuation& evacuation) {
  return {evacuation.domain_.value(), evacuation.active_,
          ToMessage(evacuation.revision_)};
}

config::Evacuation ToEvacuation(const EvacuationMessage& message) {
  return {core::FailureDomainId(message.domain_), message.active_,
          ToRevision(message.revision_)};
}

MemberMessage ToMessage(const membership::Member& member) {
  return {.id_ = member.id_.value(),
          .incarnation_ = member.incarnation_,
          .kind_ = static_cast<std::uint8_t>(member.kind_),
          .domain_ = member.domain_.value(),
          .address_ = member.address_,
          .heartbeat_ = member.heartbeat_,
          .leaving_ = member.leaving_,
          .local_members_ = member.local_members_};
}

membership::Member ToMember(const MemberMessage& message) {
  membership::Member member;
  member.id_ = core::InstanceId(message.id_);
  member.incarnation_ = message.incarnation_;
  member.kind_ = message.kind_ == 0 ? membership::MemberKind::kEntry
                                    : membership::MemberKind::kAgent;
  member.domain_ = core::FailureDomainId(message.domain_);
  member.address_ = message.address_;
  member.heartbeat_ = message.heartbeat_;
  member.leaving_ = message.leaving_;
  member.local_members_ = message.local_members_;
  return member;
}

std::int64_t ToMs(const std::optional<core::StartTime>& started) {
  return started ? started->time_since_epoch().count() : 0;
}

std::optional<core::StartTime> ToStartTime(std::int64_t ms) {
  return ms == 0
             ? std::nullopt
             : std::optional(core::StartTime(std::chrono::milliseconds(ms)));
}

IncarnationMessage ToMessage(const routing::EndpointIncarnation& incarnation) {
  return {incarnation.id_.value(), ToMs(incarnation.started_)};
}

routing::EndpointIncarnation ToIncarnation(const IncarnationMessage& message) {
  return {core::InstanceId(message.id_), ToStartTime(message.started_ms_)};
}

EndpointListMessage ToMessage(const routing::EndpointListChange& change,
                              core::TimePoint now) {
  EndpointListMessage message;
  message.age_ms_ = ToAgeMs(now - change.as_of_);
  message.from_ = ToMessage(change.from_);
  message.to_ = ToMessage(change.to_);
  message.full_ = change.full_;
  message.complete_ = change.complete_;
  for (const auto& row : change.rows_) {
    message.rows_.push_back(
        {.id_ = row.id_.value(),
         .service_ = row.service_,
         .address_ = row.address_,
         .domain_ = row.domain_.value(),
         .slots_ = row.slots_,
         .leaving_ = row.leaving_,
         .version_ = row.weights_version_.value_or(0),
         .created_revision_ = ToMessage(row.created_revision_),
         .started_ms_ = ToMs(row.started_),
         .slow_start_left_ms_ = ToRemainingMs(row.slow_start_left_)});
  }
  for (const auto& id : change.removed_) {
    message.removed_.push_back(id.value());
  }
  return message;
}

routing::EndpointListChange ToChange(const EndpointListMessage& message,
                                     core::TimePoint sent_at) {
  routing::EndpointListChange change;
  change.as_of_ = sent_at - ToAge(message.age_ms_);
  change.from_ = ToRevision(message.from_);
  change.to_ = ToRevision(message.to_);
  change.full_ = message.full_;
  change.complete_ = message.complete_;
  for (const auto& row_message : message.rows_) {
    routing::EndpointRow row;
    row.id_ = core::InstanceId(row_message.id_);
    row.service_ = row_message.service_;
    row.address_ = row_message.address_;
    row.domain_ = core::FailureDomainId(row_message.domain_);
    row.slots_ = row_message.slots_;
    row.leaving_ = row_message.leaving_;
    row.created_revision_ = ToRevision(row_message.created_revision_);
    row.started_ = ToStartTime(row_message.started_ms_);
    row.slow_start_left_ = ToRemaining(row_message.slow_start_left_ms_);
    if (row_message.version_ > 0) {
      row.weights_version_ = row_message.version_;
    }
    change.rows_.push_back(std::move(row));
  }
  for (const auto& id : message.removed_) {
    change.removed_.emplace_back(id);
  }
  return change;
}

CrashRecordMessage ToMessage(const routing::CrashRecord& record,
                             core::TimePoint now) {
  CrashRecordMessage message;
  message.requests_ = record.request_.ToBytes();
  for (const auto& crash : record.crashes_) {
    message.crashes_.push_back({.endpoint_ = ToMessage(crash.endpoint_),
                                .reporter_ = crash.reporter_.value(),
                                .age_ms_ = ToAgeMs(now - crash.crashed_at_),
                                .cleared_ = crash.cleared_,
                                .elapsed_ms_ = ToAgeMs(crash.elapsed_),
                                .widespread_ = crash.widespread_});
  }
  return message;
}

std::vector<routing::CrashRecord> ToRecords(const CrashRecordMessage& message,
                                            core::TimePoint sent_at) {
  constexpr auto kSize = routing::RequestDigest::kSize;
  const std::string_view requests = message.requests_;
  if (requests.size() % kSize != 0) {
    return {};
  }
  std::vector<routing::EndpointCrash> crashes;
  for (const auto& crash : message.crashes_) {
    crashes.push_back({.endpoint_ = ToIncarnation(crash.endpoint_),
                       .reporter_ = core::InstanceId(crash.reporter_),
                       .crashed_at_ = sent_at - ToAge(crash.age_ms_),
                       .elapsed_ = ToAge(crash.elapsed_ms_),
                       .cleared_ = crash.cleared_,
                       .widespread_ = crash.widespread_});
  }
  std::vector<routing::CrashRecord> records;
  for (std::size_t at = 0; at < requests.size(); at += kSize) {
    records.push_back({.request_ = *routing::RequestDigest::FromBytes(
                           requests.substr(at, kSize)),
                       .crashes_ = crashes});
  }
  return records;
}

std::vector<CrashRecordMessage> JoinEqual(
    std::vector<CrashRecordMessage> messages, std::size_t max_requests) {
  std::vector<CrashRecordMessage> joined;
  // Position of the last message with these crashes and this trial.
  std::map<std::string, std::size_t> positions;
  for (auto& message : messages) {
    msgpack::sbuffer key;
    msgpack::pack(key, message.crashes_);
    msgpack::pack(key, message.trial_ms_);
    const auto [found, added] = positions.try_emplace(
        std::string(key.data(), key.size()), joined.size());
    const bool full =
        !added && joined[found->second].requests_.size() >=
                      max_requests * routing::RequestDigest::kSize;
    if (added || full) {
      found->second = joined.size();
      joined.push_back(std::move(message));
    } else {
      joined[found->second].requests_ += message.requests_;
    }
  }
  return joined;
}

RateLimitMessage ToMessage(const routing::RateLimitStatement& statement,
                           core::TimePoint now) {
  return {.endpoint_ = ToMessage(statement.endpoint_),
          .requests_per_second_ =
              statement.requests_per_second_.value_or(kNoRateLimit),
          .age_ms_ = ToAgeMs(now - statement.stated_at_)};
}

std::optional<routing::RateLimitStatement> ToStatement(
    const RateLimitMessage& message, core::TimePoint sent_at) {
  const auto rate = message.requests_per_second_;
  const bool limited = rate != kNoRateLimit;
  if (limited && !(std::isfinite(rate) && rate >= 0)) {
    return std::nullopt;
  }
  return routing::RateLimitStatement{
      .endpoint_ = ToIncarnation(message.endpoint_),
      .requests_per_second_ = limited ? std::optional(rate) : std::nullopt,
      .stated_at_ = sent_at - ToAge(message.age_ms_)};
}

routing::LoadReport ToReport(const LoadMessage& message,
                             core::Duration outbound) {
  routing::LoadReport report;
  report.active_ = message.active_;
  report.queued_ = message.queued_;
  report.accepting_ = message.accepting_;
  report.leaving_ = message.leaving_;
  report.slowdown_ = message.slowdown_ / kSlowdownUnit;
  report.subscribers_ = message.subscribers_;
  if (message.version_ > 0) {
    report.weights_version_ = message.version_;
  }
  report.incarnation_ = core::InstanceId(message.instance_id_);
  report.started_ = ToStartTime(message.started_ms_);
  report.path_delay_ =
      outbound + std::chrono::milliseconds(message.inbound_ms_);
  return report;
}

}  // namespace chalkwell::daemon::direct
