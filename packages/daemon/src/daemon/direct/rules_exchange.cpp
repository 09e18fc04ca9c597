// Full texts and deltas are deflated; a received text is verified against its
// digest before use.
#include "daemon/direct/rules_exchange.hpp"

#include <utility>
#include <vector>

#include "chalkwell/config/document_delta.hpp"
#include "daemon/deflate.hpp"
#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr std::string_view kRulesPath = "/v1/rules";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// Stored documents, any of which a delta may start from: during a series of
/// changes, peers are a few versions behind.
constexpr std::size_t kMaxDocuments = 4;
/// Size limit of a document. A value of the store holds a megabyte, and an
/// entry cannot handle several times that.
constexpr std::size_t kMaxDocumentBytes = std::size_t{16} << 20;

/// Wire form of a DeltaPart.
struct DeltaPartMessage {
  std::uint64_t offset_ = 0;
  std::uint64_t length_ = 0;
  std::string text_;
  MSGPACK_DEFINE(offset_, length_, text_)
};

std::string ToBytes(const core::Digest& digest) {
  return {digest.bytes().begin(), digest.bytes().end()};
}

std::string PackDelta(const std::vector<config::DeltaPart>& delta) {
  std::vector<DeltaPartMessage> parts;
  parts.reserve(delta.size());
  for (const auto& part : delta) {
    parts.push_back({part.offset_, part.length_, part.text_});
  }
  return Pack(parts);
}

std::vector<config::DeltaPart> UnpackDelta(const std::string& bytes) {
  std::vector<config::DeltaPart> delta;
  for (auto& part : Unpack<std::vector<DeltaPartMessage>>(bytes, "peer")) {
    delta.push_back({part.offset_, part.length_, std::move(part.text_)});
  }
  return delta;
}

}  // namespace

RulesExchange::RulesExchange(Loop& loop, Metrics& metrics)
    : metrics_(metrics), connections_(loop) {}

void RulesExchange::Add(RulesDocument document) {
  const auto digest = core::Digest::Of(document.text_);
  documents_.push_front({std::move(document), digest});
  if (documents_.size() > kMaxDocuments) {
    documents_.pop_back();
  }
  responses_.clear();
}

const RulesExchange::StoredDocument* RulesExchange::FindByDigest(
    const std::string& digest) const {
  for (const auto& stored : documents_) {
    if (ToBytes(stored.digest_) == digest) {
      return &stored;
    }
  }
  return nullptr;
}

const std::string& RulesExchange::PackedResponseFor(const std::string& digest) {
  const auto* base = FindByDigest(digest);
  const auto key = base == nullptr ? std::string() : digest;
  if (const auto found = responses_.find(key); found != responses_.end()) {
    return found->second;
  }
  const auto& [document, digest_of_newest] = documents_.front();
  const auto packed =
      base == nullptr
          ? document.text_
          : PackDelta(config::MakeDelta(base->document_.text_, document.text_));
  const RulesResponse response{document.version_,
                               ToMessage(document.revision_),
                               ToBytes(digest_of_newest),
                               document.text_.size(),
                               key,
                               packed.size(),
                               Deflate(packed)};
  return responses_[key] = Pack(response);
}

bool RulesExchange::HandleCall(const PeerCallPtr& call) {
  if (call->path() != kRulesPath) {
    return false;
  }
  const auto request = Unpack<RulesRequest>(call->body(), "peer");
  if (documents_.empty() ||
      documents_.front().document_.version_ <= request.version_) {
    call->Respond(kNotFound, "");
    return true;
  }
  const auto& response = PackedResponseFor(request.digest_);
  metrics_.Count("rules_peer_bytes_total", {{"way", "out"}},
                 static_cast<double>(response.size()));
  call->Respond(kOk, response);
  return true;
}

void RulesExchange::Fetch(const std::string& address, Done done,
                          std::function<void()> on_silent) {
  RulesRequest request;
  if (!documents_.empty()) {
    request.version_ = documents_.front().document_.version_;
    request.digest_ = ToBytes(documents_.front().digest_);
  }
  connections_.Fetch(
      address, std::string(kRulesPath), Pack(request),
      [this, done = std::move(done)](PeerEnd end, int status,
                                     const std::string& body) {
        if (end != PeerEnd::kComplete || status != kOk) {
          done(std::nullopt);
          return;
        }
        metrics_.Count("rules_peer_bytes_total", {{"way", "in"}},
                       static_cast<double>(body.size()));
        done(Apply(Unpack<RulesResponse>(body, "peer")));
      },
      std::move(on_silent));
}

std::optional<RulesDocument> RulesExchange::Apply(
    const RulesResponse& response) const {
  if (response.size_ > kMaxDocumentBytes ||
      response.packed_size_ > kMaxDocumentBytes) {
    return std::nullopt;
  }
  auto packed = Inflate(response.deflated_, response.packed_size_);
  if (!packed) {
    return std::nullopt;
  }
  RulesDocument document{response.version_, ToRevision(response.revision_), {}};
  if (response.base_.empty()) {
    document.text_ = std::move(*packed);
  } else {
    const auto* base = FindByDigest(response.base_);
    auto text = base == nullptr ? std::nullopt
                                : config::ApplyDelta(base->document_.text_,
                                                     UnpackDelta(*packed),
                                                     kMaxDocumentBytes);
    if (!text) {
      return std::nullopt;
    }
    document.text_ = std::move(*text);
  }
  if (ToBytes(core::Digest::Of(document.text_)) != response.digest_) {
    return std::nullopt;
  }
  return document;
}

}  // namespace chalkwell::daemon::direct
