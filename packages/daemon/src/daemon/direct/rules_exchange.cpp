// Deltas are deflated too; each text is compared with its digest before use.
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
/// Documents that deltas may start from: in a series of changes a neighbour is
/// a few versions behind.
constexpr std::size_t kKept = 4;
/// No document is larger: the publisher's values hold a megabyte, and several
/// times that is far more than any entry can take.
constexpr std::size_t kLongest = std::size_t{16} << 20;

/// Wire form of a part of a delta.
struct PartMessage {
  std::uint64_t offset_ = 0;
  std::uint64_t length_ = 0;
  std::string text_;
  MSGPACK_DEFINE(offset_, length_, text_)
};

std::string ToBytes(const core::Digest& digest) {
  return {digest.bytes().begin(), digest.bytes().end()};
}

std::string PackDelta(const std::vector<config::DeltaPart>& delta) {
  std::vector<PartMessage> parts;
  parts.reserve(delta.size());
  for (const auto& part : delta) {
    parts.push_back({part.offset_, part.length_, part.text_});
  }
  return Pack(parts);
}

std::vector<config::DeltaPart> UnpackDelta(const std::string& bytes) {
  std::vector<config::DeltaPart> delta;
  for (auto& part : Unpack<std::vector<PartMessage>>(bytes, "peer")) {
    delta.push_back({part.offset_, part.length_, std::move(part.text_)});
  }
  return delta;
}

}  // namespace

RulesExchange::RulesExchange(Loop& loop, Metrics& metrics)
    : loop_(loop), metrics_(metrics) {}

void RulesExchange::Add(RulesDocument document) {
  const auto digest = core::Digest::Of(document.text_);
  kept_.push_front({std::move(document), digest});
  if (kept_.size() > kKept) {
    kept_.pop_back();
  }
  answers_.clear();
}

const RulesExchange::Kept* RulesExchange::Find(
    const std::string& digest) const {
  for (const auto& kept : kept_) {
    if (ToBytes(kept.digest_) == digest) {
      return &kept;
    }
  }
  return nullptr;
}

const std::string& RulesExchange::AnswerFor(const std::string& digest) {
  const auto* base = Find(digest);
  const auto key = base == nullptr ? std::string() : digest;
  if (const auto found = answers_.find(key); found != answers_.end()) {
    return found->second;
  }
  const auto& [document, newest] = kept_.front();
  const auto packed =
      base == nullptr
          ? document.text_
          : PackDelta(config::MakeDelta(base->document_.text_, document.text_));
  const RulesResponse answer{document.version_,
                             document.revision_,
                             ToBytes(newest),
                             document.text_.size(),
                             key,
                             packed.size(),
                             Deflate(packed)};
  return answers_[key] = Pack(answer);
}

bool RulesExchange::Answer(const PeerCallPtr& call) {
  if (call->path() != kRulesPath) {
    return false;
  }
  const auto ask = Unpack<RulesRequest>(call->body(), "peer");
  if (kept_.empty() || kept_.front().document_.version_ <= ask.version_) {
    call->Respond(kNotFound, "");
    return true;
  }
  const auto& answer = AnswerFor(ask.digest_);
  metrics_.Count("rules_peer_bytes_total", {{"way", "out"}},
                 static_cast<double>(answer.size()));
  call->Respond(kOk, answer);
  return true;
}

void RulesExchange::Fetch(const std::string& address, Done done) {
  auto& connection = connections_[address];
  if (connection == nullptr) {
    connection = std::make_unique<PeerConnection>(loop_, ParseAddress(address));
  }
  RulesRequest ask;
  if (!kept_.empty()) {
    ask.version_ = kept_.front().document_.version_;
    ask.digest_ = ToBytes(kept_.front().digest_);
  }
  connection->Ask(std::string(kRulesPath), Pack(ask),
                  [this, done = std::move(done)](PeerEnd end, int status,
                                                 const std::string& body) {
                    if (end != PeerEnd::kWhole || status != kOk) {
                      done(std::nullopt);
                      return;
                    }
                    metrics_.Count("rules_peer_bytes_total", {{"way", "in"}},
                                   static_cast<double>(body.size()));
                    done(Apply(Unpack<RulesResponse>(body, "peer")));
                  });
}

std::optional<RulesDocument> RulesExchange::Apply(
    const RulesResponse& answer) const {
  if (answer.size_ > kLongest || answer.packed_size_ > kLongest) {
    return std::nullopt;
  }
  auto packed = Inflate(answer.deflated_, answer.packed_size_);
  if (!packed) {
    return std::nullopt;
  }
  RulesDocument document{answer.version_, answer.revision_, {}};
  if (answer.base_.empty()) {
    document.text_ = std::move(*packed);
  } else {
    const auto* base = Find(answer.base_);
    auto text = base == nullptr
                    ? std::nullopt
                    : config::ApplyDelta(base->document_.text_,
                                         UnpackDelta(*packed), kLongest);
    if (!text) {
      return std::nullopt;
    }
    document.text_ = std::move(*text);
  }
  if (ToBytes(core::Digest::Of(document.text_)) != answer.digest_) {
    return std::nullopt;
  }
  return document;
}

}  // namespace chalkwell::daemon::direct
