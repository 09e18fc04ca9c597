// Interface that a deployment's adapter implements: it translates between the
// deployment's wire formats and these types, and makes no decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/config/evacuation_table.hpp"
#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/store_revision.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "daemon/http_client.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief Fields of a caller's request beyond method, path and body.
struct CallerRequest {
  /// Id of this attempt of the caller; each of its attempts has its own.
  std::string id_;
  std::string host_;
  /// Bearer token; empty if none was given.
  std::string key_;
  /// Time that is left until the caller's deadline.
  std::optional<core::Duration> time_left_;
  /// Tokens of the prompt, and limit of the output tokens; 0 if not given.
  double prompt_tokens_ = 0;
  double max_output_tokens_ = 0;
  /// Ids of the parts of the prompt that other requests may share: all but the
  /// last one.
  std::vector<std::string> shared_prompt_parts_;
};

/// @brief What an attempt requires of its endpoint.
struct AttemptTerms {
  /// Instance id of the only incarnation that may run the request; any other
  /// refuses it.
  core::InstanceId instance_id_;
  /// The only weights version that may run the request; endpoints with another
  /// version refuse it.
  std::optional<std::uint64_t> weights_version_;
  core::ClientAccountId account_;
  core::Duration time_left_{};
  /// 0 is the most urgent.
  std::optional<std::uint32_t> priority_;
  /// Number of the last event that the caller has; the stream resumes after it.
  std::optional<std::uint64_t> resume_after_;
};

/// @brief What the head of an endpoint's response states.
struct ResponseHead {
  /// The endpoint states that it did not run the request.
  bool not_run_ = false;
  /// Refused because the endpoint has another incarnation or weights version
  /// than the attempt requires.
  bool mismatched_ = false;
  /// Instance id of the incarnation that responded; empty if not stated.
  core::InstanceId instance_id_;
  /// Signed by the endpoint. Without it, something else on the path may have
  /// sent the response.
  bool signed_ = false;
  /// The endpoint is draining: it accepts no new requests.
  bool leaving_ = false;
  /// A statement of that kind that could not be decoded; empty if there is
  /// none.
  std::string invalid_leaving_;
  /// A refusal states that the endpoint accepts no request of this entry for so
  /// long; none if it does not.
  std::optional<core::Duration> retry_after_;
  /// A statement of that kind that could not be decoded; empty if there is
  /// none.
  std::string invalid_retry_after_;
  /// Requests per second that the endpoint accepts from all entries together;
  /// none if it states no limit.
  std::optional<double> rate_limit_;
  /// A stated limit that could not be decoded; empty if there is none.
  std::string invalid_rate_limit_;
  /// Names of headers that the adapter does not know.
  std::vector<std::string> unknown_headers_;

  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// @brief Translates requests and responses.
struct RequestCodec {
  std::function<CallerRequest(const HttpRequest& request)> read_request_;
  std::function<HttpRequest(const HttpRequest& request,
                            const CallerRequest& caller,
                            const AttemptTerms& terms)>
      write_attempt_;
  std::function<ResponseHead(int status, const HttpHeaders& headers)>
      read_response_;
  /// Whether a response belongs to the request with this id.
  std::function<bool(const HttpHeaders& headers, const std::string& id)>
      matches_request_;
  /// Headers of an endpoint's response that are forwarded to the caller.
  std::function<HttpHeaders(const HttpHeaders& headers)> forwarded_headers_;
  /// Headers of a response that the entry itself generates.
  std::function<HttpHeaders(const std::string& id,
                            std::optional<core::Duration> retry_after)>
      own_headers_;
};

/// @brief Sections of the configuration store.
enum class Section : std::uint8_t {
  kRules,
  /// Target versions of weights.
  kWeights,
  kEndpoints,
  /// Everything that operators publish: the rules, the target versions and the
  /// evacuations.
  kOperations,
};

/// @brief Target version of a model's weights.
struct TargetVersion {
  std::string model_;
  std::uint64_t version_ = 0;

  friend bool operator==(const TargetVersion&, const TargetVersion&) = default;
};

/// @brief Outcome of a read or watch of the store.
enum class ReadOutcome : std::uint8_t {
  kRead,
  /// A watch timed out without a change.
  kUnchanged,
  /// The store no longer has the history after the revision; a full read is
  /// needed.
  kCompacted,
  /// The response to a watch could not be decoded; a full read is needed.
  kUndecodable,
  kUnreachable,
};

/// @brief Result of a read or watch of the store.
struct StoreSnapshot {
  ReadOutcome outcome_ = ReadOutcome::kUnreachable;
  /// When the store was queried: the result was current at this time or later.
  /// Set by the process that made the call; the adapter leaves it unset.
  core::TimePoint as_of_;
  /// Revision of the store when it replied. The era alone is set if the
  /// response has no content.
  core::StoreRevision revision_;
  std::optional<config::TrafficRules> rules_;
  /// The rules as published, undecoded, to be passed on to peers.
  std::string encoded_rules_;
  std::vector<TargetVersion> weights_;
  /// The active evacuations, or the changed ones if the snapshot is the result
  /// of a watch. Set for the operations section only.
  std::vector<config::Evacuation> evacuations_;
  /// The whole section was read, so that what it lacks is not published.
  bool whole_ = false;
  /// A read ended at a page that could not be read: what it lacks may be
  /// published. With kUnreachable, another call may get the page.
  bool truncated_ = false;
  std::vector<routing::EndpointRow> endpoints_;
  /// Last name that was read from the list of endpoints, which is ordered by
  /// name.
  core::InstanceId read_until_;
  /// Undecoded pages of a section without rules, to be forwarded to peers; set
  /// only if the whole section was read.
  std::vector<std::string> encoded_pages_;
  /// Pages that were received, of a read.
  std::size_t page_count_ = 0;
  /// Descriptions of rows that could not be decoded, for the log.
  std::vector<std::string> decode_errors_;
};

using SnapshotHandler = std::function<void(StoreSnapshot)>;

/// @brief Cancels a call in flight; its handler is not called afterwards.
using CancelCall = std::function<void()>;

/// @brief Reads from the configuration store.
struct StoreClient {
  /// Reads a whole section.
  std::function<CancelCall(Section section, SnapshotHandler done)> read_;
  /// Waits for a change of a section after a revision. The result holds only
  /// the changed values. Its era may differ from that of `after`: then changes
  /// may be missing, and a full read is needed.
  std::function<CancelCall(Section section, core::StoreRevision after,
                           core::Duration wait, SnapshotHandler done)>
      watch_;
  /// Decodes rules received from another process.
  std::function<StoreSnapshot(const std::string& text)> decode_rules_;
  /// Decodes pages that another process read from the store.
  /// @param era of the store when they were read.
  std::function<StoreSnapshot(Section section, std::uint64_t era,
                              const std::vector<std::string>& pages)>
      decode_;
};

/// @brief State that an engine reports.
struct EngineReport {
  routing::LoadReport load_;
  /// Version of each model whose weights are complete at the engine.
  std::map<std::string, std::uint64_t> model_versions_;
  /// Activation orders accepted in this incarnation.
  std::uint64_t activation_count_ = 0;
  /// Whether an activation is in progress.
  bool activating_ = false;
  /// Start of its incarnation; none if not reported.
  std::optional<core::StartTime> started_;
};

/// @brief Outcome of an activation order.
enum class OrderOutcome : std::uint8_t {
  /// The engine accepted the order and carries it out after its response.
  kStarted,
  /// The engine had carried out the order when it responded.
  kDone,
  /// The engine did not take the order.
  kRefused,
  /// No complete response, or none that tells; the engine may have taken the
  /// order, or may still take it.
  kNoReply
};

/// @brief Lists the chunks of a version.
struct WeightsManifest {
  std::string model_;
  std::uint64_t version_ = 0;
  /// SHA-256 of each chunk.
  std::vector<core::Digest> chunk_digests_;
};

/// @brief Result of reading a staged chunk back from the engine.
struct StagedChunk {
  /// Whether the engine replied to the read.
  bool replied_ = false;
  /// Empty if the chunk is not staged, or there was no reply.
  std::optional<std::string> bytes_;
};

/// @brief Calls to the engine that an agent manages, and to the origin, the
/// service from which all agents fetch weights.
struct WeightsClient {
  std::function<void(std::function<void(std::optional<EngineReport>)>)> report_;
  /// Requests the instance id of the engine's incarnation; empty if not
  /// reported.
  std::function<void(const std::string& health_path,
                     std::function<void(core::InstanceId)>)>
      incarnation_;
  /// Sends an activation order to the engine, which refuses it unless it has
  /// taken `taken_before` orders so far.
  std::function<void(const std::string& model, std::uint64_t version,
                     std::uint64_t taken_before,
                     std::function<void(OrderOutcome)>)>
      activate_;
  /// Writes a chunk to the engine's staging area.
  std::function<void(const std::string& model, std::size_t chunk,
                     std::string bytes, std::function<void(bool)>)>
      stage_chunk_;
  /// Reads a staged chunk back from the engine.
  std::function<void(const std::string& model, std::size_t chunk,
                     std::function<void(StagedChunk)>)>
      read_staged_chunk_;
  /// Fetches a manifest from the origin; version 0 requests the newest.
  std::function<void(const Address& origin, const std::string& model,
                     std::uint64_t version,
                     std::function<void(std::optional<WeightsManifest>)>)>
      fetch_manifest_;
  /// Fetches a chunk from the origin.
  std::function<void(const Address& origin, const std::string& model,
                     std::uint64_t version, std::size_t chunk,
                     std::function<void(std::optional<std::string>)>)>
      fetch_chunk_;
};

/// @brief Functions that a deployment's adapter provides.
struct Adapter {
  RequestCodec requests_;
  StoreClient store_;
  WeightsClient weights_;
};

/// @brief Creates the adapter of a process.
/// @param store address of the configuration store.
/// @param engine address of the engine that an agent manages; none for an
/// entry.
using AdapterFactory = std::function<Adapter(
    HttpClient& http, const Address& store, std::optional<Address> engine)>;

}  // namespace chalkwell::daemon::direct
