// Canonical JSON of bundles and manifests; parse errors name the invalid field.
#include "chalkwell/bundle/bundle.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>

#include "chalkwell/core/error.hpp"
#include "chalkwell/core/json.hpp"

namespace chalkwell::bundle {
namespace {

using core::internal::ParseObject;
using core::internal::RequireArray;
using core::internal::RequireString;
using core::internal::RequireUnsigned;
using core::internal::ThrowFieldError;
using nlohmann::json;

constexpr std::string_view kModelKind = "model";
constexpr std::string_view kAdapterKind = "adapter";

core::Digest RequireDigest(const json& object, const std::string& field) {
  const auto digest = core::Digest::FromHex(RequireString(object, field));
  if (!digest) {
    ThrowFieldError(field, "must be 64 hexadecimal digits");
  }
  return *digest;
}

bool IsSafePath(std::string_view path) {
  if (path.empty() || path.front() == '/' || path.back() == '/' ||
      path.find('\\') != std::string_view::npos ||
      path.find('\0') != std::string_view::npos) {
    return false;
  }
  while (!path.empty()) {
    const auto slash = path.find('/');
    const auto part = path.substr(0, slash);
    if (part.empty() || part == "." || part == "..") {
      return false;
    }
    path = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  }
  return true;
}

FileKind ParseKind(const std::string& text) {
  if (text == kModelKind) {
    return FileKind::kModel;
  }
  if (text == kAdapterKind) {
    return FileKind::kAdapter;
  }
  ThrowFieldError("files.kind", "must be \"model\" or \"adapter\"");
}

Chunk ParseChunk(const json& entry) {
  Chunk chunk{.digest_ = RequireDigest(entry, "digest"),
              .size_ = RequireUnsigned(entry, "size")};
  if (chunk.size_ == 0) {
    ThrowFieldError("chunks.size", "must be at least 1");
  }
  return chunk;
}

ManifestFile ParseFile(const json& entry) {
  ManifestFile file;
  file.path_ = RequireString(entry, "path");
  if (!IsSafePath(file.path_)) {
    ThrowFieldError("files.path",
                    "must be a relative path with '/' between non-empty "
                    "components, none of them '.' or '..', and without "
                    "backslashes or zero bytes: " +
                        file.path_);
  }
  file.kind_ = ParseKind(RequireString(entry, "kind"));
  for (const auto& chunk : RequireArray(entry, "chunks")) {
    file.chunks_.push_back(ParseChunk(chunk));
  }
  return file;
}

std::vector<std::string> ParseNames(const json& object,
                                    const std::string& field) {
  std::vector<std::string> names;
  for (const auto& name : RequireArray(object, field)) {
    if (!name.is_string() || name.get<std::string>().empty()) {
      ThrowFieldError(field, "must hold non-empty strings");
    }
    names.push_back(name.get<std::string>());
  }
  if (std::set<std::string>(names.begin(), names.end()).size() !=
      names.size()) {
    ThrowFieldError(field,
                    "contains the same name twice; remove the duplicate");
  }
  return names;
}

}  // namespace

std::uint64_t ManifestFile::size() const noexcept {
  return std::accumulate(
      chunks_.begin(), chunks_.end(), std::uint64_t{0},
      [](std::uint64_t sum, const Chunk& chunk) { return sum + chunk.size_; });
}

std::vector<Chunk> Manifest::AllChunks() const {
  std::vector<Chunk> chunks;
  for (const auto& file : files_) {
    chunks.insert(chunks.end(), file.chunks_.begin(), file.chunks_.end());
  }
  return chunks;
}

std::uint64_t Manifest::total_size() const noexcept {
  return std::accumulate(files_.begin(), files_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const ManifestFile& file) {
                           return sum + file.size();
                         });
}

bool Bundle::AppliesTo(const core::Role& role) const noexcept {
  return std::ranges::find(roles_, role) != roles_.end();
}

std::string Serialize(const Bundle& bundle) {
  json roles = json::array();
  for (const auto& role : bundle.roles_) {
    roles.push_back(role.value());
  }
  return json{{"version", bundle.version_},
              {"model", bundle.model_},
              {"adapters", bundle.adapters_},
              {"roles", roles},
              {"manifest", bundle.manifest_.ToHex()},
              {"total_size", bundle.total_size_}}
      .dump();
}

std::string Serialize(const Manifest& manifest) {
  json files = json::array();
  for (const auto& file : manifest.files_) {
    json chunks = json::array();
    for (const auto& chunk : file.chunks_) {
      chunks.push_back(
          {{"digest", chunk.digest_.ToHex()}, {"size", chunk.size_}});
    }
    const auto kind =
        file.kind_ == FileKind::kModel ? kModelKind : kAdapterKind;
    files.push_back({{"path", file.path_}, {"kind", kind}, {"chunks", chunks}});
  }
  return json{{"files", files}}.dump();
}

Bundle ParseBundle(std::string_view text) {
  const json root = ParseObject(text, "bundle");
  Bundle bundle;
  bundle.version_ = RequireUnsigned(root, "version");
  if (bundle.version_ == 0) {
    ThrowFieldError("version", "must be at least 1");
  }
  bundle.model_ = RequireString(root, "model");
  bundle.adapters_ = ParseNames(root, "adapters");
  for (auto& role : ParseNames(root, "roles")) {
    bundle.roles_.emplace_back(std::move(role));
  }
  if (bundle.roles_.empty()) {
    ThrowFieldError("roles", "must name at least one role");
  }
  bundle.manifest_ = RequireDigest(root, "manifest");
  bundle.total_size_ = RequireUnsigned(root, "total_size");
  return bundle;
}

Manifest ParseManifest(std::string_view text) {
  const json root = ParseObject(text, "manifest");
  Manifest manifest;
  std::set<std::string> paths;
  for (const auto& entry : RequireArray(root, "files")) {
    manifest.files_.push_back(ParseFile(entry));
    const auto& path = manifest.files_.back().path_;
    if (!paths.insert(path).second) {
      ThrowFieldError("files.path",
                      "names " + path + " twice; remove the duplicate");
    }
  }
  if (manifest.total_size() == 0) {
    ThrowFieldError("files", "must hold at least one chunk");
  }
  return manifest;
}

}  // namespace chalkwell::bundle
