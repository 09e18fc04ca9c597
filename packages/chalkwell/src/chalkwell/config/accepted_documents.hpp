// Acceptance of published documents: each is verified, and a newer one is never
// replaced by an older one, whichever process sends it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/bundle/signature.hpp"
#include "chalkwell/config/fwd.hpp"
#include "chalkwell/core/digest.hpp"

namespace chalkwell::config {

/// @brief Keys of the documents that operators publish.
inline constexpr const char* kBundleKey = "bundle";
inline constexpr const char* kTrustKey = "trust";
inline constexpr const char* kInstancesKey = "instances";
inline constexpr const char* kAccountsKey = "accounts";
inline constexpr const char* kRoutesKey = "routes";

/// @brief Whether a key names a list of instances: `instances` itself or a
/// shard of it, `instances/` followed by any name, usually that of a failure
/// domain. Large deployments publish shards, so that a change transfers one
/// shard and not the complete list.
[[nodiscard]] bool IsInstancesKey(std::string_view key) noexcept;

/// @brief A published document.
struct Document {
  std::string key_;
  /// Assigned by the configuration store; increases with each write of the
  /// key.
  std::uint64_t revision_ = 0;
  std::string body_;
};

/// @brief Position of a document in the total order of its key's documents.
struct DocumentVersion {
  /// The signed version of a signed document, else the revision that the
  /// configuration store assigned.
  std::uint64_t sequence_ = 0;
  /// Digest of a bundle's manifest, by which different contents of one version
  /// are ordered, as in rollout::Target; empty for other documents.
  core::Digest manifest_;
  /// Breaks the remaining ties, so that all processes converge on the same
  /// content.
  core::Digest content_;

  friend bool operator==(const DocumentVersion&,
                         const DocumentVersion&) = default;
  friend auto operator<=>(const DocumentVersion&,
                          const DocumentVersion&) = default;
};

/// @brief Result of applying a document.
enum class Verdict : std::uint8_t {
  kAccepted,
  /// Accepted; replaces different content of the same version.
  kAcceptedOverConflict,
  kUnchanged,
  kOlder,
  /// Different content of the accepted version; lost the tie-break.
  kConflict,
  /// Cannot be parsed, violates a rule, or its document key is unknown.
  kMalformed,
  /// Signed with a key that is not trusted.
  kUntrustedSigningKey,
  kWrongSignature,
};

[[nodiscard]] bool IsAccepted(Verdict verdict) noexcept;
[[nodiscard]] std::string_view ToString(Verdict verdict) noexcept;

/// @brief Verdict on a document and a message for the log.
struct Acceptance {
  Verdict verdict_ = Verdict::kMalformed;
  std::string reason_;
};

/// @brief Faults that tests inject to show that their checks detect them.
struct AcceptanceFaults {
  bool accept_older_ = false;
  bool accept_conflicts_ = false;
  bool skip_signature_ = false;
};

/// @brief The accepted documents of one process.
///
/// The accepted DocumentVersion of a key only increases, also for documents
/// from the configuration store: the store itself may return stale data.
class AcceptedDocuments {
 public:
  using Versions = std::map<std::string, DocumentVersion>;

  /// @param trusted keys from the settings: the root of trust.
  explicit AcceptedDocuments(const std::vector<bundle::PublicKey>& trusted,
                             AcceptanceFaults faults = {});

  /// @brief The accepted document of a key, or null.
  [[nodiscard]] const Document* Find(const std::string& key) const;
  /// @brief All accepted documents, ordered by key.
  [[nodiscard]] std::vector<const Document*> All() const;
  /// @brief The accepted bundle, or null.
  [[nodiscard]] const bundle::Bundle* AcceptedBundle() const noexcept;
  /// @brief Versions of all accepted documents by key, to be sent to a peer.
  [[nodiscard]] Versions versions() const;
  /// @brief Accepted documents that are newer than the peer's. The list of
  /// trusted keys comes first: it may be needed to verify the others.
  [[nodiscard]] std::vector<Document> NewerThan(
      const Versions& peer_versions) const;
  /// @brief Whether the peer has a document that is newer or unknown here.
  [[nodiscard]] bool IsBehind(const Versions& peer_versions) const;

  /// @brief Accepts the document if it is valid and newer.
  [[nodiscard]] Acceptance Apply(const Document& document);

 private:
  struct Entry {
    Document document_;
    DocumentVersion version_;
  };
  struct Validated {
    Acceptance acceptance_;
    DocumentVersion version_;
    std::optional<bundle::Bundle> bundle_;
    std::vector<bundle::PublicKey> keys_;
  };

  [[nodiscard]] Validated Validate(const Document& document) const;
  void ValidateSigned(const Document& document, Validated& result) const;
  [[nodiscard]] Acceptance Compare(const std::string& key,
                                   const DocumentVersion& version) const;

  AcceptanceFaults faults_;
  /// All keys are replaced when a list of trusted keys is accepted.
  bundle::TrustedKeys trusted_;
  /// By key; the version of an entry only increases.
  std::map<std::string, Entry> entries_;
  /// Parsed form of the document under kBundleKey.
  std::optional<bundle::Bundle> bundle_;
};

/// @brief Parses the payload of a list of trusted keys.
/// @param version set to the version of the list.
/// @throws core::Error with the invalid field and the expected value.
[[nodiscard]] std::vector<bundle::PublicKey> ParseTrustedKeys(
    std::string_view text, std::uint64_t& version);

}  // namespace chalkwell::config
