// Documents are accepted by config::AcceptedDocuments and parsed once for each
// batch that contains a change.
#include "daemon/config_replica.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon {
ConfigReplica::ConfigReplica(core::InstanceId self,
                             const std::vector<bundle::PublicKey>& trusted,
                             EventLog& log, Metrics& metrics)
    : self_(std::move(self)),
      log_(log),
      metrics_(metrics),
      documents_(trusted) {}

SyncMessage ConfigReplica::FirstRequest() const {
  return {.sender_ = self_.value(),
          .fingerprint_ = fingerprint_,
          .reaches_service_ = reaches_service_,
          .wants_documents_ = false,
          .stamps_ = {},
          .documents_ = {},
          .recent_ = {},
          .wanted_ = {}};
}

SyncMessage ConfigReplica::PushRequest(
    const std::vector<std::string>& keys) const {
  auto request = FirstRequest();
  auto recent = documents_.versions();
  std::erase_if(recent, [&](const auto& entry) {
    return std::ranges::find(keys, entry.first) == keys.end();
  });
  request.recent_ = ToMessage(recent);
  return request;
}

std::vector<std::string> ConfigReplica::MissingKeys(
    const config::AcceptedDocuments::Versions& peer_stamps) const {
  std::vector<std::string> missing;
  for (const auto& [key, stamp] : peer_stamps) {
    if (documents_.IsBehind({{key, stamp}})) {
      missing.push_back(key);
    }
  }
  return missing;
}

void ConfigReplica::OnChange(
    std::function<void(const std::vector<std::string>&)> observer) {
  observers_.push_back(std::move(observer));
}

void ConfigReplica::LogVerdict(const config::Document& document,
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

void ConfigReplica::Apply(const std::vector<config::Document>& documents,
                          const std::string& source) {
  std::vector<std::string> changed;
  for (const auto& document : documents) {
    const auto acceptance = documents_.Apply(document);
    LogVerdict(document, acceptance, source);
    if (config::IsAccepted(acceptance.verdict_)) {
      changed.push_back(document.key_);
    }
  }
  if (changed.empty()) {
    return;
  }
  ParseDocuments();
  for (const auto& observer : observers_) {
    observer(changed);
  }
}

void ConfigReplica::ParseDocuments() {
  instances_.clear();
  for (const auto* document : documents_.All()) {
    if (config::IsInstancesKey(document->key_)) {
      auto shard = config::ParseInstances(document->body_);
      instances_.insert(instances_.end(), shard.begin(), shard.end());
    } else if (document->key_ == config::kAccountsKey) {
      accounts_ = config::ParseAccounts(document->body_);
    } else if (document->key_ == config::kRoutesKey) {
      routes_ = config::ParseRoutes(document->body_);
    }
  }
  fingerprint_ = Fingerprint(documents_.versions());
}

SyncMessage ConfigReplica::HandleSync(const SyncMessage& message) {
  Apply(FromMessage(message.documents_, message.sender_), message.sender_);
  auto response = FirstRequest();
  // Differences that remain after a push are resolved by the next periodic
  // exchange, so the responses of a push carry no stamps.
  const bool carries_push =
      !message.documents_.empty() && message.stamps_.empty();
  if (message.fingerprint_ == fingerprint_ || carries_push) {
    return response;
  }
  if (!message.recent_.empty()) {
    response.wanted_ = MissingKeys(daemon::FromMessage(message.recent_));
    return response;
  }
  response.stamps_ = ToMessage(documents_.versions());
  if (message.wants_documents_) {
    response.documents_ =
        ToMessage(documents_.NewerThan(daemon::FromMessage(message.stamps_)));
  }
  return response;
}

SyncMessage ConfigReplica::DocumentsRequest(
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

std::optional<SyncMessage> ConfigReplica::HandlePushResponse(
    const SyncMessage& response) const {
  return response.wanted_.empty()
             ? std::nullopt
             : std::optional(DocumentsRequest(response.wanted_));
}

std::optional<SyncMessage> ConfigReplica::HandleExchangeResponse(
    const SyncMessage& response) {
  Apply(FromMessage(response.documents_, response.sender_), response.sender_);
  if (response.fingerprint_ == fingerprint_) {
    return std::nullopt;
  }
  const auto peer_stamps = daemon::FromMessage(response.stamps_);
  auto request = FirstRequest();
  request.wants_documents_ = documents_.IsBehind(peer_stamps);
  if (request.wants_documents_) {
    request.stamps_ = ToMessage(documents_.versions());
  }
  request.documents_ = ToMessage(documents_.NewerThan(peer_stamps));
  if (!request.wants_documents_ && request.documents_.empty()) {
    return std::nullopt;
  }
  return request;
}

}  // namespace chalkwell::daemon
