// The bundle, which operators sign, and the manifest that it refers to by
// digest. The manifest lists the chunks of each file by digest.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/bundle/fwd.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::bundle {

/// @brief A contiguous range of one file; ranges follow each other in the order
/// of ManifestFile::chunks_.
struct Chunk {
  core::Digest digest_;
  /// Bytes, more than zero.
  std::uint64_t size_ = 0;

  friend bool operator==(const Chunk&, const Chunk&) = default;
};

/// @brief How the engine uses a file.
enum class FileKind : std::uint8_t { kModel, kAdapter };

/// @brief One file of the weights.
struct ManifestFile {
  /// Relative, without "." or ".." components.
  std::string path_;
  FileKind kind_ = FileKind::kModel;
  std::vector<Chunk> chunks_;

  [[nodiscard]] std::uint64_t size() const noexcept;
};

/// @brief All files of one version of the weights, identified by the
/// BLAKE2b-256 digest of its serialized form.
struct Manifest {
  /// Ordered by path; paths are unique.
  std::vector<ManifestFile> files_;

  /// @brief Chunks of all files in order. The index in the returned list
  /// identifies a chunk in the rest of the system.
  [[nodiscard]] std::vector<Chunk> AllChunks() const;
  [[nodiscard]] std::uint64_t total_size() const noexcept;
};

/// @brief The weights that the endpoints of the given roles have to serve, as
/// published by operators.
struct Bundle {
  /// At least 1, incremented by operators; the highest signed version is
  /// active.
  std::uint64_t version_ = 0;
  /// Name of the model.
  std::string model_;
  /// Names of the adapters (variants of the model, in files of kind
  /// FileKind::kAdapter); a request may name one instead of the model.
  std::vector<std::string> adapters_;
  /// Roles of the endpoints that serve it; at least one.
  std::vector<core::Role> roles_;
  /// Digest that identifies the manifest.
  core::Digest manifest_;
  /// Total size of all chunks in bytes.
  std::uint64_t total_size_ = 0;

  [[nodiscard]] bool AppliesTo(const core::Role& role) const noexcept;
};

/// @brief Writes canonical JSON: equal bundles give equal bytes.
[[nodiscard]] std::string Serialize(const Bundle& bundle);
/// @brief Writes canonical JSON: equal manifests give equal bytes.
[[nodiscard]] std::string Serialize(const Manifest& manifest);
/// @throws core::Error that names the invalid field and how to correct it.
[[nodiscard]] Bundle ParseBundle(std::string_view text);
/// @throws core::Error that names the invalid field and how to correct it, also
/// for paths that leave the root directory and duplicate paths.
[[nodiscard]] Manifest ParseManifest(std::string_view text);

}  // namespace chalkwell::bundle
