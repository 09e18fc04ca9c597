#include "fuzz/published_documents.hpp"

#include <algorithm>

namespace chalkwell::fuzz {
namespace {

constexpr std::uint64_t kVersionCount = 24;
/// Every fifth version has two different contents.
constexpr std::uint64_t kConflictInterval = 5;
/// Every fourth version is followed by a bundle with an untrusted signature.
constexpr std::uint64_t kUntrustedInterval = 4;
constexpr int kChunksPerVersion = 3;

}  // namespace

const PublishedDocuments& PublishedDocuments::Instance() {
  static const PublishedDocuments instance;
  return instance;
}

PublishedDocuments::PublishedDocuments() {
  const auto key = bundle::KeyPair::FromSeed("operator");
  const auto untrusted_key = bundle::KeyPair::FromSeed("stranger");
  trusted_key_ = key.public_;
  for (std::uint64_t version = 1; version <= kVersionCount; ++version) {
    Add(key, version, "first", true);
    if (version % kConflictInterval == 0) {
      Add(key, version, "second", true);
    }
    if (version % kUntrustedInterval == 0) {
      // Signed with an untrusted key. Its version is higher than any of the
      // operators', so that it would win if it were accepted.
      Add(untrusted_key, version + kVersionCount, "stranger", false);
    }
  }
}

void PublishedDocuments::Add(const bundle::KeyPair& key, std::uint64_t version,
                             const std::string& content,
                             bool signed_by_operator) {
  Weights weights;
  for (int i = 0; i < kChunksPerVersion; ++i) {
    // The first chunk is the same in all versions.
    weights.bytes_.push_back(i == 0 ? "shared chunk"
                                    : content + std::to_string(version) + "/" +
                                          std::to_string(i));
    weights.chunks_.push_back({core::Digest::Of(weights.bytes_.back()),
                               weights.bytes_.back().size()});
  }
  bundle::Bundle bundle;
  bundle.version_ = version;
  bundle.model_ = "model";
  bundle.roles_ = {core::Role("chat")};
  bundle.manifest_ = core::Digest::Of(content + std::to_string(version));
  bundle.total_size_ = 1;
  weights_[bundle.manifest_] = weights;
  if (signed_by_operator) {
    signed_manifests_[version].push_back(bundle.manifest_);
  }
  const auto envelope =
      bundle::Sign(key, bundle::kBundleContext, bundle::Serialize(bundle));
  documents_.push_back(
      {config::kBundleKey, documents_.size() + 1, bundle::Serialize(envelope)});
}

bool PublishedDocuments::IsSigned(std::uint64_t version,
                                  const core::Digest& manifest) const {
  const auto found = signed_manifests_.find(version);
  return found != signed_manifests_.end() &&
         std::ranges::find(found->second, manifest) != found->second.end();
}

}  // namespace chalkwell::fuzz
