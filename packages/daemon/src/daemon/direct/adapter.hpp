// What a deployment's adapter supplies: it translates between the deployment's
// wire and these types, and decides nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "daemon/http_client.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief What a caller's request says, beyond method, path and body.
struct CallerRequest {
  /// Id of this try; each try of a caller has its own.
  std::string id_;
  std::string host_;
  /// Bearer key; empty when none was given.
  std::string key_;
  /// How long the caller will wait.
  std::optional<core::Duration> time_left_;
  /// Tokens of the prompt, and the most that may come out; 0 when not given.
  double prompt_tokens_ = 0;
  double max_output_tokens_ = 0;
};

/// @brief What an attempt demands of its endpoint.
struct AttemptTerms {
  /// Any other incarnation refuses.
  core::InstanceId incarnation_;
  /// Any other version of the weights refuses.
  std::optional<std::uint64_t> weights_version_;
  core::ClientAccountId account_;
  core::Duration time_left_{};
  /// 0 is the most urgent.
  std::optional<std::uint32_t> priority_;
  /// Events after this one are wanted; the caller has the others.
  std::optional<std::uint64_t> resume_after_;
};

/// @brief What the head of an endpoint's answer says.
struct ResponseHead {
  /// The endpoint states that it did not run the request.
  bool not_run_ = false;
  /// Another incarnation or other weights than demanded.
  bool mismatched_ = false;
  /// The incarnation that answered, where it is told.
  core::InstanceId incarnation_;
  /// Signed by the endpoint: only then the answer is its own.
  bool signed_ = false;
};

/// @brief Translation of requests and answers.
struct RequestCodec {
  std::function<CallerRequest(const HttpRequest& request)> read_request_;
  std::function<HttpRequest(const HttpRequest& request,
                            const CallerRequest& caller,
                            const AttemptTerms& terms)>
      write_attempt_;
  std::function<ResponseHead(int status, const HttpHeaders& headers)>
      read_response_;
  /// Whether an answer belongs to the request with this id.
  std::function<bool(const HttpHeaders& headers, const std::string& id)>
      matches_request_;
  /// Headers of an answer that go on to the caller.
  std::function<HttpHeaders(const HttpHeaders& headers)> forwarded_headers_;
  /// Headers of an answer of our own.
  std::function<HttpHeaders(const std::string& id,
                            std::optional<core::Duration> retry_after)>
      own_headers_;
};

/// @brief Parts of what is published.
enum class Section : std::uint8_t { kRules, kWeights, kEndpoints };

/// @brief Newest version of a model's weights.
struct TargetVersion {
  std::string model_;
  std::uint64_t version_ = 0;

  friend bool operator==(const TargetVersion&, const TargetVersion&) = default;
};

/// @brief How a read of the store ended.
enum class ReadOutcome : std::uint8_t {
  kRead,
  /// A watch saw nothing in its time.
  kUnchanged,
  /// The store forgot what came after the revision; read anew.
  kCompacted,
  kUnreachable,
};

/// @brief What a read brought.
struct StoreSnapshot {
  ReadOutcome outcome_ = ReadOutcome::kUnreachable;
  /// When the store was asked: what it said was so at this time, or later.
  core::TimePoint as_of_;
  /// Of the store, at the time of the answer.
  std::uint64_t revision_ = 0;
  std::optional<config::TrafficRules> rules_;
  /// The rules as published, undecoded; for peers.
  std::string encoded_rules_;
  std::vector<TargetVersion> weights_;
  std::vector<routing::EndpointRow> endpoints_;
  /// What the store said of endpoints or weights, undecoded, page by page, when
  /// it is the whole section; for peers.
  std::vector<std::string> encoded_pages_;
  /// Rows that could not be decoded, for the log.
  std::vector<std::string> decode_errors_;
};

using SnapshotHandler = std::function<void(StoreSnapshot)>;

/// @brief Ends a call under way; its handler is not called any more.
using CancelCall = std::function<void()>;

/// @brief Reads of the published store.
struct StoreClient {
  /// Reads one section whole.
  std::function<CancelCall(Section section, SnapshotHandler done)> read_;
  /// Waits for a change of a section after a revision. A change is told as the
  /// changed values alone.
  std::function<CancelCall(Section section, std::uint64_t after,
                           core::Duration wait, SnapshotHandler done)>
      watch_;
  /// Decodes rules that another process has.
  std::function<StoreSnapshot(const std::string& text)> decode_rules_;
  /// Decodes what another process heard from the store.
  std::function<StoreSnapshot(Section section,
                              const std::vector<std::string>& pages)>
      decode_;
};

/// @brief What an engine says of itself.
struct EngineReport {
  routing::LoadReport load_;
  /// Models that it holds whole, with their versions.
  std::map<std::string, std::uint64_t> model_versions_;
  /// Orders taken in this life.
  std::uint64_t activation_count_ = 0;
  /// An order is under way.
  bool activating_ = false;
  /// Start of its life; none when it does not say.
  std::optional<core::StartTime> started_;
};

/// @brief Answer to an order.
enum class OrderOutcome : std::uint8_t { kStarted, kDone, kRefused, kLost };

/// @brief List of a version's pieces.
struct WeightsManifest {
  std::string model_;
  std::uint64_t version_ = 0;
  /// SHA-256 of each piece.
  std::vector<core::Digest> chunk_digests_;
};

/// @brief Calls to the engine beside an agent, and to the source of weights.
struct WeightsClient {
  std::function<void(std::function<void(std::optional<EngineReport>)>)> report_;
  /// Asks the engine which incarnation it is; empty when it does not say.
  std::function<void(const std::string& health_path,
                     std::function<void(core::InstanceId)>)>
      incarnation_;
  std::function<void(const std::string& model, std::uint64_t version,
                     std::function<void(OrderOutcome)>)>
      activate_;
  std::function<void(const std::string& model, std::size_t piece,
                     std::string bytes, std::function<void(bool)>)>
      stage_chunk_;
  std::function<void(const std::string& model, std::size_t piece,
                     std::function<void(std::optional<std::string>)>)>
      read_staged_chunk_;
  /// Manifest from the source; version 0 asks for the newest.
  std::function<void(const Address& origin, const std::string& model,
                     std::uint64_t version,
                     std::function<void(std::optional<WeightsManifest>)>)>
      fetch_manifest_;
  std::function<void(const Address& origin, const std::string& model,
                     std::uint64_t version, std::size_t piece,
                     std::function<void(std::optional<std::string>)>)>
      fetch_chunk_;
};

/// @brief A deployment's adapter.
struct Adapter {
  RequestCodec requests_;
  StoreClient store_;
  WeightsClient weights_;
};

/// @brief Makes the adapter of a process.
/// @param store address of the published store.
/// @param engine address of the engine beside an agent; none for an entry.
using AdapterFactory = std::function<Adapter(
    HttpClient& http, const Address& store, std::optional<Address> engine)>;

}  // namespace chalkwell::daemon::direct
