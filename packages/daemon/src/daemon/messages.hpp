// Messages between the system's processes, encoded as msgpack maps so that
// receivers ignore unknown fields. Member names are the field names on the
// wire. docs/INTERFACES.md describes each message.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/config/accepted_documents.hpp"
#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {

/// Paths of the calls between processes.
inline constexpr std::string_view kSyncPath = "/v1/sync";
inline constexpr std::string_view kAttachPath = "/v1/attach";
inline constexpr std::string_view kRunPath = "/v1/run";
inline constexpr std::string_view kHavePath = "/v1/have";
inline constexpr std::string_view kChunkPath = "/v1/chunk";

/// @brief Version stamp of one document.
struct StampMessage {
  std::uint64_t sequence_ = 0;
  /// Digests of 32 bytes each; the manifest is empty except for bundles.
  std::string manifest_;
  std::string content_;
  /// Encoded as an array: an exchange carries a stamp for each document, and
  /// field names would enlarge each of them.
  MSGPACK_DEFINE(sequence_, manifest_, content_)
};

/// @brief One document. Its body is deflated, since lists of rows consist
/// mostly of names.
struct DocumentMessage {
  std::string key_;
  std::uint64_t revision_ = 0;
  std::string deflated_;
  /// Size of the inflated body in bytes; at most `kMaxDocumentBytes`.
  std::uint64_t size_ = 0;
  MSGPACK_DEFINE_MAP(key_, revision_, deflated_, size_)
};

/// Maximum size of a document; the configuration store holds no larger values.
inline constexpr std::uint64_t kMaxDocumentBytes = std::uint64_t{1} << 20;

/// @brief Request and response of /v1/sync.
///
/// A periodic exchange starts with the fingerprint alone. If the fingerprints
/// differ, the stamps follow, and only the documents that one side lacks are
/// sent. A push starts with the stamps of the documents that just changed. The
/// peer returns the keys of those that it lacks, and only they are sent.
struct SyncMessage {
  std::string sender_;
  /// Fingerprint of all documents that the sender holds.
  std::uint64_t fingerprint_ = 0;
  /// Whether the sender can read the configuration store.
  bool reaches_service_ = true;
  /// In a request: whether the response shall contain the documents that
  /// `stamps_` lacks.
  bool wants_documents_ = false;
  std::map<std::string, StampMessage> stamps_;
  std::vector<DocumentMessage> documents_;
  /// In a push: stamps of the documents that just changed at the sender.
  std::map<std::string, StampMessage> recent_;
  /// In the response to a push: keys of `recent_` that the responder lacks.
  std::vector<std::string> wanted_;
  MSGPACK_DEFINE_MAP(sender_, fingerprint_, reaches_service_, wants_documents_,
                     stamps_, documents_, recent_, wanted_)
};

/// @brief Request of /v1/attach, with which an entry opens its stream to an
/// agent.
struct AttachMessage {
  std::string sender_;
  MSGPACK_DEFINE_MAP(sender_)
};

/// @brief One frame of the response to /v1/attach: the state of the agent.
struct AgentFrame {
  /// Incarnation of the agent process; higher for a later process.
  std::uint64_t incarnation_ = 0;
  /// Number under which the entry issues tickets; set in the first frame, 0 in
  /// later ones.
  std::uint64_t minter_ = 0;
  bool ready_ = false;
  /// The process is draining.
  bool leaving_ = false;
  /// Digest of the weights served, in hexadecimal; empty for services without
  /// weights.
  std::string manifest_;
  std::uint64_t bundle_version_ = 0;
  /// Requests in flight, from all entries.
  std::uint64_t load_ = 0;
  /// Number of requests that the endpoint can run at once.
  std::uint64_t capacity_ = 1;
  /// Entries that recently sent requests to the agent.
  std::uint64_t sharers_ = 1;
  /// Fingerprint of the documents that the agent holds.
  std::uint64_t config_ = 0;
  MSGPACK_DEFINE_MAP(incarnation_, minter_, ready_, leaving_, manifest_,
                     bundle_version_, load_, capacity_, sharers_, config_)
};

/// @brief Request of /v1/run: one attempt of one request.
struct RunMessage {
  std::string sender_;
  std::string request_;
  std::uint32_t attempt_ = 0;
  std::string account_;
  std::string method_;
  std::string path_;
  std::string content_type_;
  std::string body_;
  /// Execution ticket; empty for repeatable requests.
  std::string ticket_;
  /// Digest of the weights that the response must use, in hexadecimal; empty
  /// for services without weights.
  std::string manifest_;
  /// Time left until the deadline, in milliseconds.
  std::uint64_t deadline_ms_ = 0;
  /// Number of events of the response stream that the caller already has; the
  /// response resumes after them.
  std::uint64_t resume_from_ = 0;
  std::string traceparent_;
  MSGPACK_DEFINE_MAP(sender_, request_, attempt_, account_, method_, path_,
                     content_type_, body_, ticket_, manifest_, deadline_ms_,
                     resume_from_, traceparent_)
};

/// @brief Kinds of frames in the response to /v1/run.
enum class RunFrameKind : std::uint8_t {
  /// The backend has begun its response.
  kBegin,
  kData,
  /// The response is complete.
  kComplete,
  /// The agent did not forward the request to the backend.
  kRefused,
  /// The backend executed the request and failed.
  kFailed,
  /// The agent cannot know whether the request was executed.
  kUnknown,
};

/// @brief One frame of the response to /v1/run.
struct RunFrame {
  /// A `RunFrameKind`.
  std::uint8_t kind_ = 0;
  int status_ = 0;
  std::string content_type_;
  /// Digest of the weights that the engine reports to use, in hexadecimal.
  std::string manifest_;
  std::string data_;
  std::string reason_;
  /// In frames that end a response: requests in flight or waiting at the agent,
  /// and entries that recently sent requests to it; 0 in other frames.
  std::uint64_t load_ = 0;
  std::uint64_t sharers_ = 0;
  /// Number of events after which the backend reports that it resumes the
  /// response.
  std::uint64_t resumed_from_ = 0;
  MSGPACK_DEFINE_MAP(kind_, status_, content_type_, manifest_, data_, reason_,
                     load_, sharers_, resumed_from_)
};

/// @brief Request of /v1/have, with which an agent subscribes to the chunks
/// that another agent holds.
struct HaveMessage {
  std::string sender_;
  std::string manifest_;
  MSGPACK_DEFINE_MAP(sender_, manifest_)
};

/// @brief One frame of the response to /v1/have.
struct HaveFrame {
  /// Indexes of the chunks added and removed since the last frame; the first
  /// frame contains all chunks.
  std::vector<std::uint32_t> added_;
  std::vector<std::uint32_t> removed_;
  /// Bundle version that the peer serves; 0 for none.
  std::uint64_t serving_ = 0;
  /// Bundle versions served, by member, as known to the peer.
  std::map<std::string, std::uint64_t> members_;
  MSGPACK_DEFINE_MAP(added_, removed_, serving_, members_)
};

/// @brief Request of /v1/chunk; the response body is the chunk itself.
struct ChunkMessage {
  std::string manifest_;
  /// 0 for the manifest, i + 1 for chunk i of the weights.
  std::uint32_t chunk_ = 0;
  MSGPACK_DEFINE_MAP(manifest_, chunk_)
};

/// @brief Serializes a message.
template <typename Message>
[[nodiscard]] std::string Pack(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// @brief Deserializes a message.
/// @param peer sender, named in errors.
/// @throws core::Error if the bytes are not a message of this type.
template <typename Message>
[[nodiscard]] Message Unpack(std::string_view bytes, const std::string& peer) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().template as<Message>();
  } catch (const std::exception& error) {
    throw core::Error(core::Step::kParse, peer,
                      std::string("malformed message: ") + error.what());
  }
}

/// @brief Decodes a stream of messages that arrives in buffers of any size.
class FrameReader {
 public:
  /// @brief Adds received bytes and returns the messages that are complete.
  /// @param peer sender, named in errors.
  /// @throws core::Error on malformed bytes.
  template <typename Frame>
  [[nodiscard]] std::vector<Frame> Read(std::string_view bytes,
                                        const std::string& peer) {
    try {
      unpacker_.reserve_buffer(bytes.size());
      bytes.copy(unpacker_.buffer(), bytes.size());
      unpacker_.buffer_consumed(bytes.size());
      std::vector<Frame> frames;
      msgpack::object_handle handle;
      while (unpacker_.next(handle)) {
        frames.push_back(handle.get().template as<Frame>());
      }
      return frames;
    } catch (const std::exception& error) {
      throw core::Error(core::Step::kParse, peer,
                        std::string("malformed frame: ") + error.what());
    }
  }

 private:
  msgpack::unpacker unpacker_;
};

[[nodiscard]] std::map<std::string, StampMessage> ToMessage(
    const config::AcceptedDocuments::Versions& stamps);
[[nodiscard]] config::AcceptedDocuments::Versions FromMessage(
    const std::map<std::string, StampMessage>& stamps);
[[nodiscard]] std::vector<DocumentMessage> ToMessage(
    const std::vector<config::Document>& documents);
/// @param peer sender, named in errors.
/// @throws core::Error if a body is larger than `kMaxDocumentBytes` or does not
/// inflate to its stated size.
[[nodiscard]] std::vector<config::Document> FromMessage(
    const std::vector<DocumentMessage>& messages, const std::string& peer);
/// @brief Fingerprint of all stamps; equal for equal documents.
[[nodiscard]] std::uint64_t Fingerprint(
    const config::AcceptedDocuments::Versions& stamps);

}  // namespace chalkwell::daemon
