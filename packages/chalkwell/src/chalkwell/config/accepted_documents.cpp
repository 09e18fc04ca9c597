// Validates received documents; an accepted one is replaced only by a newer
// one.
#include "chalkwell/config/accepted_documents.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/config/published_lists.hpp"
#include "chalkwell/core/error.hpp"
#include "chalkwell/core/json.hpp"

namespace chalkwell::config {

bool IsInstancesKey(std::string_view key) noexcept {
  return key == kInstancesKey || key.starts_with("instances/");
}

bool IsAccepted(Verdict verdict) noexcept {
  return verdict == Verdict::kAccepted ||
         verdict == Verdict::kAcceptedOverConflict;
}

std::string_view ToString(Verdict verdict) noexcept {
  switch (verdict) {
    case Verdict::kAccepted:
      return "accepted";
    case Verdict::kAcceptedOverConflict:
      return "accepted over conflict";
    case Verdict::kUnchanged:
      return "unchanged";
    case Verdict::kOlder:
      return "older";
    case Verdict::kConflict:
      return "conflict";
    case Verdict::kMalformed:
      return "malformed";
    case Verdict::kUntrustedSigningKey:
      return "unknown key";
    case Verdict::kWrongSignature:
      return "wrong signature";
  }
  return "unknown";
}

std::vector<bundle::PublicKey> ParseTrustedKeys(std::string_view text,
                                                std::uint64_t& version) {
  const auto root = core::internal::ParseObject(text, "trust");
  version = core::internal::RequireUnsigned(root, "version");
  std::vector<bundle::PublicKey> keys;
  for (const auto& entry : core::internal::RequireArray(root, "keys")) {
    const auto key = entry.is_string()
                         ? bundle::PublicKey::FromHex(entry.get<std::string>())
                         : std::nullopt;
    if (!key) {
      core::internal::ThrowFieldError("keys",
                                      "entries must be 64 hexadecimal digits");
    }
    keys.push_back(*key);
  }
  if (keys.empty()) {
    core::internal::ThrowFieldError("keys", "must contain at least one key");
  }
  return keys;
}

AcceptedDocuments::AcceptedDocuments(
    const std::vector<bundle::PublicKey>& trusted, AcceptanceFaults faults)
    : faults_(faults), trusted_(trusted) {}

const Document* AcceptedDocuments::Find(const std::string& key) const {
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? nullptr : &entry->second.document_;
}

std::vector<const Document*> AcceptedDocuments::All() const {
  std::vector<const Document*> documents;
  for (const auto& [key, entry] : entries_) {
    documents.push_back(&entry.document_);
  }
  return documents;
}

const bundle::Bundle* AcceptedDocuments::AcceptedBundle() const noexcept {
  return bundle_ ? &*bundle_ : nullptr;
}

AcceptedDocuments::Versions AcceptedDocuments::versions() const {
  Versions versions;
  for (const auto& [key, entry] : entries_) {
    versions.emplace(key, entry.version_);
  }
  return versions;
}

std::vector<Document> AcceptedDocuments::NewerThan(
    const Versions& peer_versions) const {
  std::vector<Document> newer;
  for (const auto& [key, entry] : entries_) {
    const auto known = peer_versions.find(key);
    if (known == peer_versions.end() || known->second < entry.version_) {
      newer.push_back(entry.document_);
    }
  }
  std::stable_partition(
      newer.begin(), newer.end(),
      [](const Document& document) { return document.key_ == kTrustKey; });
  return newer;
}

bool AcceptedDocuments::IsBehind(const Versions& peer_versions) const {
  for (const auto& [key, version] : peer_versions) {
    const auto entry = entries_.find(key);
    if (entry == entries_.end() || entry->second.version_ < version) {
      return true;
    }
  }
  return false;
}

Acceptance AcceptedDocuments::Apply(const Document& document) {
  Validated validated;
  try {
    validated = Validate(document);
  } catch (const core::Error& error) {
    return {Verdict::kMalformed, error.what()};
  }
  if (!IsAccepted(validated.acceptance_.verdict_)) {
    return validated.acceptance_;
  }
  auto acceptance = Compare(document.key_, validated.version_);
  if (!IsAccepted(acceptance.verdict_)) {
    return acceptance;
  }
  entries_[document.key_] = Entry{document, validated.version_};
  if (validated.bundle_) {
    bundle_ = std::move(validated.bundle_);
  }
  if (!validated.keys_.empty()) {
    trusted_ = bundle::TrustedKeys(validated.keys_);
  }
  return acceptance;
}

AcceptedDocuments::Validated AcceptedDocuments::Validate(
    const Document& document) const {
  Validated result;
  result.acceptance_ = {Verdict::kAccepted, ""};
  result.version_ = {document.revision_, {}, core::Digest::Of(document.body_)};
  if (document.key_ == kBundleKey || document.key_ == kTrustKey) {
    ValidateSigned(document, result);
  } else if (IsInstancesKey(document.key_)) {
    (void)ParseInstances(document.body_);
  } else if (document.key_ == kAccountsKey) {
    (void)ParseAccounts(document.body_);
  } else if (document.key_ == kRoutesKey) {
    (void)ParseRoutes(document.body_);
  } else {
    core::internal::ThrowFieldError(
        "key", "is not a known document key: " + document.key_);
  }
  return result;
}

void AcceptedDocuments::ValidateSigned(const Document& document,
                                       Validated& result) const {
  const bool is_bundle = document.key_ == kBundleKey;
  const auto context =
      is_bundle ? bundle::kBundleContext : bundle::kTrustContext;
  const auto envelope = bundle::ParseEnvelope(document.body_);
  const auto verdict = faults_.skip_signature_
                           ? bundle::SignatureVerdict::kValid
                           : trusted_.Verify(envelope, context);
  if (verdict == bundle::SignatureVerdict::kUntrustedKey) {
    result.acceptance_ = {Verdict::kUntrustedSigningKey,
                          "signed by untrusted key " + envelope.key_id_};
    return;
  }
  if (verdict == bundle::SignatureVerdict::kInvalid) {
    result.acceptance_ = {Verdict::kWrongSignature,
                          "signature does not match the payload"};
    return;
  }
  result.version_.content_ = core::Digest::Of(envelope.payload_);
  if (is_bundle) {
    result.bundle_ = bundle::ParseBundle(envelope.payload_);
    result.version_.sequence_ = result.bundle_->version_;
    result.version_.manifest_ = result.bundle_->manifest_;
  } else {
    result.keys_ =
        ParseTrustedKeys(envelope.payload_, result.version_.sequence_);
  }
}

Acceptance AcceptedDocuments::Compare(const std::string& key,
                                      const DocumentVersion& version) const {
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) {
    return {Verdict::kAccepted, ""};
  }
  const auto& current = entry->second.version_;
  if (version == current) {
    return {Verdict::kUnchanged, ""};
  }
  if (version.sequence_ < current.sequence_ && !faults_.accept_older_) {
    return {Verdict::kOlder, "version " + std::to_string(version.sequence_) +
                                 " is older than the accepted version " +
                                 std::to_string(current.sequence_)};
  }
  if (version.sequence_ != current.sequence_ || faults_.accept_conflicts_) {
    return {Verdict::kAccepted, ""};
  }
  const std::string reason = "different contents with the same version " +
                             std::to_string(version.sequence_);
  return {
      version > current ? Verdict::kAcceptedOverConflict : Verdict::kConflict,
      reason};
}

}  // namespace chalkwell::config
