// Acceptance of published documents: forwards only, verified, whoever offers.
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

/// @brief Whether a key holds a list of instances: `instances` itself or a
/// part of the list, such as `instances/grand-baie`. Large fleets publish
/// parts, so that a change moves a part and not the whole.
[[nodiscard]] bool IsInstancesKey(std::string_view key) noexcept;

/// @brief A published value.
struct Document {
  std::string key_;
  /// Given by the configuration service; rises with each write of the key.
  std::uint64_t revision_ = 0;
  std::string body_;
};

/// @brief Position of a document in the total order of its key.
struct DocumentVersion {
  /// Signed version for signed documents, the service's revision for others.
  std::uint64_t sequence_ = 0;
  /// Bundles: the manifest. Breaks ties as the rollout of endpoints does.
  core::Digest manifest_;
  /// Breaks the ties left, so that all processes settle on the same content.
  core::Digest content_;

  friend bool operator==(const DocumentVersion&,
                         const DocumentVersion&) = default;
  friend auto operator<=>(const DocumentVersion&,
                          const DocumentVersion&) = default;
};

/// @brief What became of an offered document.
enum class Verdict : std::uint8_t {
  kAccepted,
  /// Accepted, and another content of the same order stood before.
  kAcceptedOverConflict,
  kUnchanged,
  kOlder,
  /// Same order as the one in force, other content, loses the tie.
  kConflict,
  kMalformed,
  kUnknownKey,
  kWrongSignature,
};

[[nodiscard]] bool IsAccepted(Verdict verdict) noexcept;
[[nodiscard]] std::string_view ToString(Verdict verdict) noexcept;

/// @brief Verdict with the reason in words.
struct Acceptance {
  Verdict verdict_ = Verdict::kMalformed;
  std::string reason_;
};

/// @brief Faults that tests seed to show that the proofs can fail.
struct AcceptanceFaults {
  bool accept_older_ = false;
  bool accept_conflicts_ = false;
  bool skip_signature_ = false;
};

/// @brief The documents in force in one process.
///
/// Each key only ever moves to a greater stamp, whoever offers the document:
/// the configuration service itself may be stale.
class AcceptedDocuments {
 public:
  using Stamps = std::map<std::string, DocumentVersion>;

  /// @param trusted keys from the settings, the root of trust.
  explicit AcceptedDocuments(const std::vector<bundle::PublicKey>& trusted,
                             AcceptanceFaults faults = {});

  /// @brief The document of a key, or null.
  [[nodiscard]] const Document* Find(const std::string& key) const;
  /// @brief All documents in force, by key.
  [[nodiscard]] std::vector<const Document*> All() const;
  /// @brief The bundle in force, or null.
  [[nodiscard]] const bundle::Bundle* ActiveBundle() const noexcept;
  /// @brief What this process holds, to send to a peer.
  [[nodiscard]] Stamps stamps() const;
  /// @brief Documents in force here that are newer than the peer's; the list of
  /// trusted keys comes first, since others may need it.
  [[nodiscard]] std::vector<Document> NewerThan(const Stamps& theirs) const;
  /// @brief Whether the peer holds something newer than this process.
  [[nodiscard]] bool IsBehind(const Stamps& theirs) const;

  /// @brief Takes the document if it is valid and newer.
  [[nodiscard]] Acceptance Apply(const Document& document);

 private:
  struct Entry {
    Document document_;
    DocumentVersion stamp_;
  };
  struct Checked {
    Acceptance acceptance_;
    DocumentVersion stamp_;
    std::optional<bundle::Bundle> bundle_;
    std::vector<bundle::PublicKey> keys_;
  };

  [[nodiscard]] Checked Check(const Document& document) const;
  void CheckSigned(const Document& document, Checked& result) const;
  [[nodiscard]] Acceptance Compare(const std::string& key,
                                   const DocumentVersion& stamp) const;

  AcceptanceFaults faults_;
  /// Replaced as a whole when a list of trusted keys is accepted.
  bundle::TrustedKeys trusted_;
  /// Stamps only rise.
  std::map<std::string, Entry> entries_;
  /// Parsed form of the document under kBundleKey.
  std::optional<bundle::Bundle> in_force_;
};

/// @brief Parses the payload of a list of trusted keys.
/// @throws core::Error that names the field and the fix.
[[nodiscard]] std::vector<bundle::PublicKey> ParseTrustedKeys(
    std::string_view text, std::uint64_t& version);

}  // namespace chalkwell::config
