// Datagrams that the processes of a deployment exchange. Messages are encoded
// as MessagePack arrays, which carry no field names; the first byte of a
// datagram is its DatagramKind.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/config/evacuation_table.hpp"
#include "chalkwell/membership/gossip_table.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_quarantine.hpp"

namespace chalkwell::daemon::direct {

/// @brief Kind of a datagram, encoded as its first byte.
enum class DatagramKind : char {
  /// A MeshMessage.
  kMesh = 'M',
  /// A LoadMessage without an envelope: the most frequent datagram.
  kReport = 'R',
};

/// @brief Wire form of a member.
struct MemberMessage {
  std::string id_;
  /// Random number that the process draws when it starts.
  std::uint64_t incarnation_ = 0;
  std::uint8_t kind_ = 0;
  std::string domain_;
  std::string address_;
  std::uint64_t heartbeat_ = 0;
  bool leaving_ = false;
  /// Live entries that the member knows in its own failure domain, including
  /// itself; 0 if it does not report them. The size of the deployment is
  /// computed from these.
  std::uint32_t local_members_ = 0;
  MSGPACK_DEFINE(id_, incarnation_, kind_, domain_, address_, heartbeat_,
                 leaving_, local_members_)
};

/// @brief Load report of an agent's engine.
struct LoadMessage {
  /// Address of the engine, "ip:port".
  std::string endpoint_;
  std::uint32_t active_ = 0;
  std::uint32_t queued_ = 0;
  bool accepting_ = true;
  /// 0 while the engine holds no complete weights.
  std::uint64_t version_ = 0;
  /// Duration of an engine step relative to the engine's profile, in
  /// thousandths; above 1000 the engine is slower.
  std::uint32_t slowdown_ = 1000;
  /// Send time, by the agent's steady clock.
  std::uint64_t sent_ms_ = 0;
  /// Queueing delay of the agent's link for inbound traffic, which also delays
  /// requests.
  std::uint32_t inbound_ms_ = 0;
  /// Instance id of the engine; empty when unknown, and omitted from most
  /// reports. With the start time it identifies the incarnation.
  std::string instance_id_;
  /// Start time of the engine; 0 when unknown.
  std::int64_t started_ms_ = 0;
  /// Number of subscribers; 0 when unknown.
  std::uint32_t subscribers_ = 0;
  /// The engine states that it is draining.
  bool leaving_ = false;
  MSGPACK_DEFINE(endpoint_, active_, queued_, accepting_, version_, slowdown_,
                 sent_ms_, inbound_ms_, instance_id_, started_ms_, subscribers_,
                 leaving_)
};

/// @brief Chunks of a version that an agent can serve to its peers.
struct HeldChunksMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  std::uint32_t chunks_ = 0;
  /// Held chunks, as encoded by swarm::ChunkSet::ToBytes().
  std::string bits_;
  /// Version that the agent's engine serves; 0 for none.
  std::uint64_t serving_ = 0;
  /// Whether the agent can serve the manifest of the version.
  bool has_manifest_ = false;
  /// Other members are preferred for origin fetches: this member's link carries
  /// far less than its configured rate, or it fetches an older version first.
  bool degraded_ = false;
  /// Another version of which the agent can serve chunks; 0 for none.
  std::uint64_t older_version_ = 0;
  /// As `bits_`.
  std::string older_bits_;
  bool has_older_manifest_ = false;
  MSGPACK_DEFINE(model_, version_, chunks_, bits_, serving_, has_manifest_,
                 degraded_, older_version_, older_bits_, has_older_manifest_)
};

/// @brief Wire form of a store revision. The era is last: a peer that does not
/// know it sends none, which decodes as 0.
struct StoreRevisionMessage {
  std::uint64_t number_ = 0;
  std::uint64_t era_ = 0;
  MSGPACK_DEFINE(number_, era_)
};

/// @brief Row of the published list of endpoints.
struct EndpointRowMessage {
  std::string id_;
  std::string service_;
  std::string address_;
  std::string domain_;
  std::uint32_t slots_ = 1;
  bool leaving_ = false;
  /// 0 for none.
  std::uint64_t version_ = 0;
  StoreRevisionMessage created_revision_;
  /// 0 when unknown.
  std::int64_t started_ms_ = 0;
  /// -1 when unknown.
  std::int64_t slow_start_left_ms_ = -1;
  MSGPACK_DEFINE(id_, service_, address_, domain_, slots_, leaving_, version_,
                 created_revision_, started_ms_, slow_start_left_ms_)
};

/// @brief The endpoint list, or its changes between two reads of one reader.
struct EndpointListMessage {
  /// Revisions of the list; a `to_` without a number means that the message
  /// carries no list.
  StoreRevisionMessage from_;
  StoreRevisionMessage to_;
  std::vector<EndpointRowMessage> rows_;
  std::vector<std::string> removed_;
  /// The rows are the full list, not a delta.
  bool full_ = false;
  /// Full lists only: false when endpoints that still run may be missing.
  bool complete_ = true;
  /// Announces only that a read of the list failed.
  bool read_failed_ = false;
  /// Time since the store was queried, at the time of sending.
  std::uint64_t age_ms_ = 0;
  /// The change is too large for a datagram: it has no rows, and the receiver
  /// fetches the list from the sender.
  bool fetch_ = false;
  MSGPACK_DEFINE(from_, to_, rows_, removed_, full_, complete_, read_failed_,
                 age_ms_, fetch_)
};

/// @brief Wire form of an endpoint incarnation: instance id and start time.
struct IncarnationMessage {
  std::string id_;
  /// 0 when unknown.
  std::int64_t started_ms_ = 0;
  MSGPACK_DEFINE(id_, started_ms_)
};

/// @brief Endpoints that were found draining or removed from the list.
struct DepartedMessage {
  std::vector<IncarnationMessage> leaving_;
  std::vector<IncarnationMessage> removed_;
  MSGPACK_DEFINE(leaving_, removed_)
};

/// @brief Wire form of an endpoint crash.
struct CrashMessage {
  IncarnationMessage endpoint_;
  /// Entry that observed the crash.
  std::string reporter_;
  /// Time since the crash, at the time of sending.
  std::uint64_t age_ms_ = 0;
  /// The crash is no longer attributed to the request.
  bool cleared_ = false;
  /// Time that the request had been in flight at the endpoint.
  std::uint64_t elapsed_ms_ = 0;
  /// Nearly all requests of the service held this prompt part.
  bool widespread_ = false;
  MSGPACK_DEFINE(endpoint_, reporter_, age_ms_, cleared_, elapsed_ms_,
                 widespread_)
};

/// @brief Values of CrashRecordMessage::trial_ms_ below 1, which are not
/// durations.
enum class TrialChange : std::int64_t { kNone = -1, kEnded = 0 };

/// @brief Endpoints that crashed while requests were in flight there.
struct CrashRecordMessage {
  /// Digests of the requests with these crashes, as bytes, one after the other.
  std::string requests_;
  std::vector<CrashMessage> crashes_;
  /// Upper limit on the remaining time of the trial (an attempt of the
  /// suspected request) that the sender runs; a TrialChange when not positive.
  std::int64_t trial_ms_ = static_cast<std::int64_t>(TrialChange::kNone);
  MSGPACK_DEFINE(requests_, crashes_, trial_ms_)
};

/// @brief Wire form of a rate limit that an endpoint stated.
struct RateLimitMessage {
  IncarnationMessage endpoint_;
  /// Requests per second from all entries together; -1 for no limit.
  double requests_per_second_ = -1;
  /// Time since the statement, at the time of sending.
  std::uint64_t age_ms_ = 0;
  MSGPACK_DEFINE(endpoint_, requests_per_second_, age_ms_)
};

/// @brief Wire form of a published version of a model's weights.
struct PublishedVersionMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  /// Time since its publication, at the time of sending.
  std::uint64_t age_ms_ = 0;
  MSGPACK_DEFINE(model_, version_, age_ms_)
};

/// @brief Wire form of the state of an evacuation.
struct EvacuationMessage {
  std::string domain_;
  bool active_ = false;
  StoreRevisionMessage revision_;
  MSGPACK_DEFINE(domain_, active_, revision_)
};

/// @brief Body of a mesh datagram.
struct MeshMessage {
  MemberMessage sender_;
  std::vector<MemberMessage> rows_;
  std::vector<HeldChunksMessage> held_chunks_;
  /// Newest weights version known to the sender, by model.
  std::map<std::string, std::uint64_t> weights_;
  /// The sender requests a reply, which proves that the receiver is alive.
  bool requests_reply_ = false;
  /// The sender subscribes to the load reports of the receiving agent's engine
  /// for a few seconds.
  bool subscribes_ = false;
  DepartedMessage departed_;
  /// Send time, by the sender's steady clock.
  std::uint64_t sent_ms_ = 0;
  EndpointListMessage list_;
  /// Version of the sender's active rules; 0 for none.
  std::uint64_t rules_version_ = 0;
  /// The sender watches the rules in the store, so that the other members of
  /// its failure domain need not.
  bool watches_rules_ = false;
  std::vector<CrashRecordMessage> crashes_;
  /// States of all evacuations known to the sender.
  std::vector<EvacuationMessage> evacuations_;
  std::vector<RateLimitMessage> rate_limits_;
  /// Versions that limit the use of older weights, of all models.
  std::vector<PublishedVersionMessage> published_versions_;
  MSGPACK_DEFINE(sender_, rows_, held_chunks_, weights_, requests_reply_,
                 subscribes_, departed_, sent_ms_, list_, rules_version_,
                 watches_rules_, crashes_, evacuations_, rate_limits_,
                 published_versions_)
};

/// A slowdown is encoded in thousandths.
constexpr double kSlowdownUnit = 1000;

[[nodiscard]] StoreRevisionMessage ToMessage(
    const core::StoreRevision& revision);
[[nodiscard]] core::StoreRevision ToRevision(
    const StoreRevisionMessage& message);
[[nodiscard]] EvacuationMessage ToMessage(const config::Evacuation& evacuation);
[[nodiscard]] config::Evacuation ToEvacuation(const EvacuationMessage& message);
[[nodiscard]] MemberMessage ToMessage(const membership::Member& member);
[[nodiscard]] membership::Member ToMember(const MemberMessage& message);
[[nodiscard]] IncarnationMessage ToMessage(
    const routing::EndpointIncarnation& incarnation);
[[nodiscard]] routing::EndpointIncarnation ToIncarnation(
    const IncarnationMessage& message);
/// @brief Decodes an age. A larger one than the limit of an hour is clamped.
[[nodiscard]] core::Duration ToAge(std::uint64_t ms);
/// @return milliseconds, rounded up and clamped to the limit of ToAge().
[[nodiscard]] std::uint64_t ToAgeMs(core::Duration age);
/// @brief Encodes a start time; 0 for none.
[[nodiscard]] std::int64_t ToMs(const std::optional<core::StartTime>& started);
[[nodiscard]] std::optional<core::StartTime> ToStartTime(std::int64_t ms);
[[nodiscard]] EndpointListMessage ToMessage(
    const routing::EndpointListChange& change, core::TimePoint now);
/// @param sent_at when the message was sent, by the local clock.
[[nodiscard]] routing::EndpointListChange ToChange(
    const EndpointListMessage& message, core::TimePoint sent_at);
/// @brief Encodes a record; the trial field is left unset.
[[nodiscard]] CrashRecordMessage ToMessage(const routing::CrashRecord& record,
                                           core::TimePoint now);
/// @param sent_at when the message was sent, by the local clock.
/// @return nothing when the message holds no valid request digests.
[[nodiscard]] std::vector<routing::CrashRecord> ToRecords(
    const CrashRecordMessage& message, core::TimePoint sent_at);
/// @brief Joins messages with equal crashes and trials, as those of prompt
/// parts that were in flight together.
/// @param max_requests limit of the requests in one message.
[[nodiscard]] std::vector<CrashRecordMessage> JoinEqual(
    std::vector<CrashRecordMessage> messages, std::size_t max_requests);
[[nodiscard]] RateLimitMessage ToMessage(
    const routing::RateLimitStatement& statement, core::TimePoint now);
/// @param sent_at when the message was sent, by the local clock.
/// @return nothing when the message holds no valid limit.
[[nodiscard]] std::optional<routing::RateLimitStatement> ToStatement(
    const RateLimitMessage& message, core::TimePoint sent_at);
/// @brief Decodes a load report.
/// @param outbound queueing delay of the agent's link for outbound traffic, as
/// observed for this report. The path delay of an endpoint is the sum of both
/// directions: requests wait inbound, their responses outbound.
[[nodiscard]] routing::LoadReport ToReport(const LoadMessage& message,
                                           core::Duration outbound);

}  // namespace chalkwell::daemon::direct
