// Offers pass the library's acceptance; what changed is parsed once.
#include "daemon/config_node.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon {
ConfigNode::ConfigNode(core::InstanceId self,
                       const std::vector<bundle::PublicKey>& trusted,
                       EventLog& log, Metrics& metrics)
    : self_(std::move(self)),
      log_(log),
      metrics_(metrics),
      documents_(trusted) {}

SyncMessage ConfigNode::FirstRequest() const {
  return {.sender_ = self_.value(),
          .fingerprint_ = fingerprint_,
          .reaches_service_ = reaches_service_,
          .wants_documents_ = false,
          .stamps_ = {},
          .documents_ = {},
          .recent_ = {},
          .wanted_ = {}};
}

SyncMessage ConfigNode::PushRequest(
    const std::vector<std::string>& keys) const {
  auto request = FirstRequest();
  auto recent = documents_.stamps();
  std::erase_if(recent, [&](const auto& entry) {
    return std::ranges::find(keys, entry.first) == keys.end();
  });
  request.recent_ = ToMessage(recent);
  return request;
}

std::vector<std::string> ConfigNode::LackedOf(
    const config::AcceptedDocuments::Stamps& theirs) const {
  std::vector<std::string> lacked;
  for (const auto& [key, stamp] : theirs) {
    if (documents_.IsBehind({{key, stamp}})) {
      lacked.push_back(key);
    }
  }
  return lacked;
}

void ConfigNode::OnChange(
    std::function<void(const std::vector<std::string>&)> observer) {
  observers_.push_back(std::move(observer));
}

void ConfigNode::Report(const config::Document& document,
                        const config::Acceptance& acceptance,
                        const std::string& source) {
  using enum config::Verdict;
  const auto verdict = acceptance.verdict_;
  if (verdict == kUnchanged || verdict == kOlder) {
    return;
  }
  auto number = core::EventNumber::kDocumentRefused;
  if (verdict == kAccepted) {
    number = core::EventNumber::kDocumentAccepted;
  } else if (verdict == kConflict || verdict == kAcceptedOverConflict) {
    number = core::EventNumber::kDocumentConflict;
  }
  log_.Write(number, {{"key", document.key_},
                      {"revision", std::to_string(document.revision_)},
                      {"verdict", std::string(config::ToString(verdict))},
                      {"reason", acceptance.reason_},
                      {"peer", source}});
  metrics_.Count("documents_total",
                 {{"verdict", std::string(config::ToString(verdict))}});
}

void ConfigNode::Offer(const std::vector<config::Document>& documents,
                       const std::string& source) {
  std::vector<std::string> changed;
  for (const auto& document : documents) {
    const auto acceptance = documents_.Apply(document);
    Report(document, acceptance, source);
    if (config::IsAccepted(acceptance.verdict_)) {
      changed.push_back(document.key_);
    }
  }
  if (changed.empty()) {
    return;
  }
  Parse();
  for (const auto& observer : observers_) {
    observer(changed);
  }
}

void ConfigNode::Parse() {
  instances_.clear();
  for (const auto* document : documents_.All()) {
    if (config::IsInstancesKey(document->key_)) {
      auto part = config::ParseInstances(document->body_);
      instances_.insert(instances_.end(), part.begin(), part.end());
    } else if (document->key_ == config::kAccountsKey) {
      accounts_ = config::ParseAccounts(document->body_);
    } else if (document->key_ == config::kRoutesKey) {
      routes_ = config::ParseRoutes(document->body_);
    }
  }
  fingerprint_ = Fingerprint(documents_.stamps());
}

SyncMessage ConfigNode::HandleSync(const SyncMessage& message) {
  Offer(FromMessage(message.documents_, message.sender_), message.sender_);
  auto answer = FirstRequest();
  // What a push leaves different is repaired by the next periodic exchange, so
  // its answers carry no stamps.
  const bool carries_push =
      !message.documents_.empty() && message.stamps_.empty();
  if (message.fingerprint_ == fingerprint_ || carries_push) {
    return answer;
  }
  if (!message.recent_.empty()) {
    answer.wanted_ = LackedOf(daemon::FromMessage(message.recent_));
    return answer;
  }
  answer.stamps_ = ToMessage(documents_.stamps());
  if (message.wants_documents_) {
    answer.documents_ =
        ToMessage(documents_.NewerThan(daemon::FromMessage(message.stamps_)));
  }
  return answer;
}

SyncMessage ConfigNode::DocumentsFor(
    const std::vector<std::string>& keys) const {
  auto request = FirstRequest();
  std::vector<config::Document> documents;
  for (const auto* document : documents_.All()) {
    if (std::ranges::find(keys, document->key_) != keys.end()) {
      documents.push_back(*document);
    }
  }
  request.documents_ = ToMessage(documents);
  return request;
}

std::optional<SyncMessage> ConfigNode::HandlePushAnswer(
    const SyncMessage& answer) const {
  return answer.wanted_.empty() ? std::nullopt
                                : std::optional(DocumentsFor(answer.wanted_));
}

std::optional<SyncMessage> ConfigNode::HandleAnswer(const SyncMessage& answer) {
  Offer(FromMessage(answer.documents_, answer.sender_), answer.sender_);
  if (answer.fingerprint_ == fingerprint_) {
    return std::nullopt;
  }
  const auto theirs = daemon::FromMessage(answer.stamps_);
  auto request = FirstRequest();
  request.wants_documents_ = documents_.IsBehind(theirs);
  if (request.wants_documents_) {
    request.stamps_ = ToMessage(documents_.stamps());
  }
  request.documents_ = ToMessage(documents_.NewerThan(theirs));
  if (!request.wants_documents_ && request.documents_.empty()) {
    return std::nullopt;
  }
  return request;
}

}  // namespace chalkwell::daemon
