// Conversions between the messages and the library's types.
#include "daemon/messages.hpp"

#include <algorithm>
#include <utility>

#include "daemon/deflate.hpp"

namespace chalkwell::daemon {

namespace {

std::string ToBytes(const core::Digest& digest) {
  if (digest.empty()) {
    return "";
  }
  return {digest.bytes().begin(), digest.bytes().end()};
}

core::Digest FromBytes(const std::string& text) {
  core::Digest::Bytes bytes{};
  std::copy_n(text.begin(), std::min(text.size(), bytes.size()), bytes.begin());
  return core::Digest(bytes);
}

std::string InflateDocument(const DocumentMessage& message,
                            const std::string& peer) {
  if (message.size_ > kMaxDocumentBytes) {
    throw core::Error(core::Step::kParse, peer,
                      "document '" + message.key_ + "' is over " +
                          std::to_string(kMaxDocumentBytes) + " bytes");
  }
  auto body = Inflate(message.deflated_, message.size_);
  if (!body) {
    throw core::Error(
        core::Step::kParse, peer,
        "document '" + message.key_ + "' does not inflate to its size");
  }
  return std::move(*body);
}

}  // namespace

std::map<std::string, StampMessage> ToMessage(
    const config::AcceptedDocuments::Versions& stamps) {
  std::map<std::string, StampMessage> message;
  for (const auto& [key, stamp] : stamps) {
    message[key] = {stamp.sequence_, ToBytes(stamp.manifest_),
                    ToBytes(stamp.content_)};
  }
  return message;
}

config::AcceptedDocuments::Versions FromMessage(
    const std::map<std::string, StampMessage>& stamps) {
  config::AcceptedDocuments::Versions result;
  for (const auto& [key, stamp] : stamps) {
    result[key] = {stamp.sequence_, FromBytes(stamp.manifest_),
                   FromBytes(stamp.content_)};
  }
  return result;
}

std::vector<DocumentMessage> ToMessage(
    const std::vector<config::Document>& documents) {
  std::vector<DocumentMessage> message;
  message.reserve(documents.size());
  for (const auto& document : documents) {
    message.push_back({document.key_, document.revision_,
                       Deflate(document.body_), document.body_.size()});
  }
  return message;
}

std::vector<config::Document> FromMessage(
    const std::vector<DocumentMessage>& messages, const std::string& peer) {
  std::vector<config::Document> documents;
  documents.reserve(messages.size());
  for (const auto& message : messages) {
    documents.push_back(
        {message.key_, message.revision_, InflateDocument(message, peer)});
  }
  return documents;
}

std::uint64_t Fingerprint(const config::AcceptedDocuments::Versions& stamps) {
  std::uint64_t sum = 0;
  for (const auto& [key, stamp] : stamps) {
    sum += core::RendezvousScore(
        key, std::to_string(stamp.sequence_) + stamp.content_.ToHex());
  }
  return sum;
}

}  // namespace chalkwell::daemon
