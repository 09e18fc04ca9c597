// What the processes of the system say to each other in datagrams. All of them
// are arrays, to spare the names of fields; the first byte names the kind.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/membership/gossip_table.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_quarantine.hpp"

namespace chalkwell::daemon::direct {

/// @brief Kinds of datagrams, by their first byte.
enum class DatagramKind : char {
  /// A MeshMessage.
  kMesh = 'M',
  /// A LoadMessage alone, the most frequent of all.
  kReport = 'R',
};

/// @brief Wire form of a member.
struct MemberMessage {
  std::string id_;
  std::uint64_t incarnation_ = 0;
  std::uint8_t kind_ = 0;
  std::string domain_;
  std::string address_;
  std::uint64_t heartbeat_ = 0;
  bool leaving_ = false;
  std::uint32_t local_members_ = 0;
  MSGPACK_DEFINE(id_, incarnation_, kind_, domain_, address_, heartbeat_,
                 leaving_, local_members_)
};

/// @brief What an agent's engine reported.
struct LoadMessage {
  /// Address of the engine, "ip:port".
  std::string endpoint_;
  std::uint32_t active_ = 0;
  std::uint32_t queued_ = 0;
  bool accepting_ = true;
  /// 0 while the engine holds no whole weights.
  std::uint64_t version_ = 0;
  /// Thousandths.
  std::uint32_t slowdown_ = 1000;
  /// By the agent's steady clock.
  std::uint64_t sent_ms_ = 0;
  /// How long the agent's link holds back what comes in, requests included.
  std::uint32_t inbound_ms_ = 0;
  /// Of the engine; empty when it is not known, and in most reports.
  std::string incarnation_;
  /// Start of the engine's life; 0 when it is not told.
  std::int64_t started_ms_ = 0;
  MSGPACK_DEFINE(endpoint_, active_, queued_, accepting_, version_, slowdown_,
                 sent_ms_, inbound_ms_, incarnation_, started_ms_)
};

/// @brief Which pieces of a version an agent can give.
struct HeldChunksMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  std::uint32_t chunks_ = 0;
  std::string bits_;
  /// Version that its engine serves; 0 for none.
  std::uint64_t serving_ = 0;
  /// Whether it can give the list of the version's pieces.
  bool has_manifest_ = false;
  /// Others come first in drawing pieces: its machine's link carries far less
  /// than it is set to, or it fetches an older version first.
  bool degraded_ = false;
  /// Another version of which it can give pieces; 0 for none.
  std::uint64_t older_version_ = 0;
  std::string older_bits_;
  bool has_older_manifest_ = false;
  MSGPACK_DEFINE(model_, version_, chunks_, bits_, serving_, has_manifest_,
                 degraded_, older_version_, older_bits_, has_older_manifest_)
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
  std::uint64_t created_ = 0;
  /// 0 when it is not told.
  std::int64_t started_ms_ = 0;
  MSGPACK_DEFINE(id_, service_, address_, domain_, slots_, leaving_, version_,
                 created_, started_ms_)
};

/// @brief What a reader of the list saw change between two of its reads.
struct EndpointListMessage {
  /// Revisions of the list; `to_` 0 means that nothing is told.
  std::uint64_t from_ = 0;
  std::uint64_t to_ = 0;
  std::vector<EndpointRowMessage> rows_;
  std::vector<std::string> removed_;
  /// The rows are the whole list.
  bool full_ = false;
  /// Whole lists only: false when rows may be missing that are not gone.
  bool complete_ = true;
  /// Nothing but that a read was tried in vain.
  bool read_failed_ = false;
  /// Since the store was asked for it, as the message is sent.
  std::uint64_t age_ms_ = 0;
  MSGPACK_DEFINE(from_, to_, rows_, removed_, full_, complete_, read_failed_,
                 age_ms_)
};

/// @brief Wire form of one life of an endpoint.
struct IncarnationMessage {
  std::string id_;
  /// 0 when it is not told.
  std::int64_t started_ms_ = 0;
  MSGPACK_DEFINE(id_, started_ms_)
};

/// @brief Endpoints that are seen to leave or to be gone.
struct DepartedMessage {
  std::vector<IncarnationMessage> leaving_;
  std::vector<IncarnationMessage> removed_;
  MSGPACK_DEFINE(leaving_, removed_)
};

/// @brief Wire form of one crash of an endpoint.
struct CrashMessage {
  IncarnationMessage endpoint_;
  /// Entry that saw it.
  std::string reporter_;
  /// Since the crash, as the message is sent.
  std::uint64_t age_ms_ = 0;
  bool cleared_ = false;
  /// How long the request had been under way there.
  std::uint64_t elapsed_ms_ = 0;
  MSGPACK_DEFINE(endpoint_, reporter_, age_ms_, cleared_, elapsed_ms_)
};

/// @brief Values of CrashRecordMessage::trial_ms_ below 1.
enum class TrialChange : std::int64_t { kNone = -1, kEnded = 0 };

/// @brief Endpoints that crashed while a request was under way there.
struct CrashRecordMessage {
  /// Bytes of the request's digest.
  std::string request_;
  std::vector<CrashMessage> crashes_;
  /// The sender has an attempt of the suspected request under way, for this
  /// long at the most; a TrialChange when not positive.
  std::int64_t trial_ms_ = static_cast<std::int64_t>(TrialChange::kNone);
  MSGPACK_DEFINE(request_, crashes_, trial_ms_)
};

/// @brief One datagram.
struct MeshMessage {
  MemberMessage sender_;
  std::vector<MemberMessage> rows_;
  std::vector<HeldChunksMessage> held_chunks_;
  /// Newest weights the sender has heard of, by model.
  std::map<std::string, std::uint64_t> weights_;
  /// Whether the sender wants an answer, to know that the other lives.
  bool requests_reply_ = false;
  /// The sender wants the reports of the endpoint beside this agent for some
  /// seconds.
  bool subscribes_ = false;
  DepartedMessage departed_;
  /// By the sender's steady clock.
  std::uint64_t sent_ms_ = 0;
  EndpointListMessage list_;
  /// Version of the rules that the sender has in force; 0 for none.
  std::uint64_t rules_version_ = 0;
  /// The sender takes the rules from the store: its neighbours need not.
  bool watches_rules_ = false;
  std::vector<CrashRecordMessage> crashes_;
  MSGPACK_DEFINE(sender_, rows_, held_chunks_, weights_, requests_reply_,
                 subscribes_, departed_, sent_ms_, list_, rules_version_,
                 watches_rules_, crashes_)
};

/// A pace travels in thousandths.
constexpr double kSlowdownUnit = 1000;

[[nodiscard]] MemberMessage ToMessage(const membership::Member& member);
[[nodiscard]] membership::Member ToMember(const MemberMessage& message);
[[nodiscard]] IncarnationMessage ToMessage(
    const routing::EndpointIncarnation& life);
[[nodiscard]] routing::EndpointIncarnation ToIncarnation(
    const IncarnationMessage& message);
/// @brief An age as it travels; any number may be told.
[[nodiscard]] core::Duration ToAge(std::uint64_t ms);
/// @return whole milliseconds, rounded up.
[[nodiscard]] std::uint64_t ToAgeMs(core::Duration age);
/// @brief A start time on the wire; 0 for none.
[[nodiscard]] std::int64_t ToMs(const std::optional<core::StartTime>& started);
[[nodiscard]] std::optional<core::StartTime> ToStartTime(std::int64_t ms);
[[nodiscard]] EndpointListMessage ToMessage(
    const routing::EndpointListChange& change, core::TimePoint now);
/// @param sent_at when the message was sent, by the own clock.
[[nodiscard]] routing::EndpointListChange ToChange(
    const EndpointListMessage& message, core::TimePoint sent_at);
/// @brief The record as it is sent; it says nothing of a trial.
[[nodiscard]] CrashRecordMessage ToMessage(const routing::CrashRecord& record,
                                           core::TimePoint now);
/// @param sent_at when the message was sent, by the own clock.
/// @return nothing when the message names no request.
[[nodiscard]] std::optional<routing::CrashRecord> ToRecord(
    const CrashRecordMessage& message, core::TimePoint sent_at);
/// @brief A report as its reader believes it.
/// @param outbound how long the agent's link held the report back; requests
/// wait on the way in, their answers on the way out.
[[nodiscard]] routing::LoadReport ToReport(const LoadMessage& message,
                                           core::Duration outbound);

}  // namespace chalkwell::daemon::direct
