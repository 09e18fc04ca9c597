// Documents that operators publish in a simulation. They are signed once and
// shared by all simulations of the process.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/bundle/signature.hpp"
#include "chalkwell/config/accepted_documents.hpp"

namespace chalkwell::fuzz {

/// @brief The chunks of one manifest.
struct Weights {
  std::vector<bundle::Chunk> chunks_;
  /// Content of each chunk.
  std::vector<std::string> bytes_;
};

/// @brief All documents and weights, in the order of publication.
class PublishedDocuments {
 public:
  [[nodiscard]] static const PublishedDocuments& Instance();

  /// @brief Bundles with increasing versions, some versions with two different
  /// contents, and bundles signed with an untrusted key, to be refused.
  [[nodiscard]] const std::vector<config::Document>& documents()
      const noexcept {
    return documents_;
  }
  /// @brief The operators' key.
  [[nodiscard]] const bundle::PublicKey& trusted_key() const noexcept {
    return trusted_key_;
  }
  /// @brief Weights of a manifest digest.
  /// @throws std::out_of_range if the manifest is unknown.
  [[nodiscard]] const Weights& WeightsOf(const core::Digest& manifest) const {
    return weights_.at(manifest);
  }
  /// @brief Whether operators signed a bundle of this version and manifest.
  [[nodiscard]] bool IsSigned(std::uint64_t version,
                              const core::Digest& manifest) const;

 private:
  PublishedDocuments();
  /// @param content name of the content, to distinguish the contents of one
  /// version.
  void Add(const bundle::KeyPair& key, std::uint64_t version,
           const std::string& content, bool signed_by_operator);

  bundle::PublicKey trusted_key_;
  std::vector<config::Document> documents_;
  std::map<core::Digest, Weights> weights_;
  /// Manifests that operators signed, by version.
  std::map<std::uint64_t, std::vector<core::Digest>> signed_manifests_;
};

}  // namespace chalkwell::fuzz
