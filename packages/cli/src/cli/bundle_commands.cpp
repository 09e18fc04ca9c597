// Creation, signing and verification of bundles.
#include "cli/bundle_commands.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/bundle/signature.hpp"
#include "chalkwell/config/accepted_documents.hpp"
#include "chalkwell/core/error.hpp"
#include "cli/files.hpp"

namespace chalkwell::cli {
namespace {

constexpr std::uint32_t kSecretFileMode = 0600;
constexpr std::uint32_t kPublicFileMode = 0644;
constexpr int kPercent = 100;

[[noreturn]] void ThrowError(const std::string& source,
                             const std::string& message) {
  throw core::Error(core::Step::kParse, source, message);
}

/// Prints progress in percent: on a terminal, in one line that is overwritten;
/// else, a line every 25 percent.
class ProgressPrinter {
 public:
  explicit ProgressPrinter(std::uint64_t total)
      : total_(total), is_terminal_(::isatty(STDERR_FILENO) == 1) {}

  void Add(std::uint64_t bytes) {
    done_ += bytes;
    const auto percent =
        static_cast<int>(total_ == 0 ? kPercent : done_ * kPercent / total_);
    if (percent == shown_percent_) {
      return;
    }
    shown_percent_ = percent;
    if (is_terminal_) {
      std::cerr << "\rchunks: " << percent << "%" << std::flush;
    } else if (percent % 25 == 0) {
      std::cerr << "chunks: " << percent << "%\n";
    }
    if (is_terminal_ && percent == kPercent) {
      std::cerr << "\n";
    }
  }

 private:
  std::uint64_t total_;
  std::uint64_t done_ = 0;
  int shown_percent_ = -1;
  bool is_terminal_;
};

std::string BlobPath(const std::string& folder, const core::Digest& digest) {
  return folder + "/blobs/" + digest.ToHex();
}

/// Splits a file into chunks and writes those that are not there yet.
bundle::ManifestFile SplitFile(const std::string& file, std::string path,
                               bundle::FileKind kind,
                               const CreateOptions& options,
                               ProgressPrinter& progress) {
  bundle::ManifestFile entry{
      .path_ = std::move(path), .kind_ = kind, .chunks_ = {}};
  std::ifstream stream(file, std::ios::binary);
  std::string buffer(options.chunk_bytes_, '\0');
  while (stream) {
    stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    const auto size = static_cast<std::size_t>(stream.gcount());
    if (size == 0) {
      break;
    }
    const std::string_view bytes(buffer.data(), size);
    const auto digest = core::Digest::Of(bytes);
    const auto blob = BlobPath(options.out_, digest);
    if (!std::filesystem::exists(blob)) {
      WriteFile(blob, bytes, kPublicFileMode);
    }
    entry.chunks_.push_back({digest, size});
    progress.Add(size);
  }
  if (entry.chunks_.empty()) {
    ThrowError(file, "is empty or cannot be read");
  }
  return entry;
}

std::uint64_t SizeOfFile(const std::string& path) {
  std::error_code error;
  if (!std::filesystem::is_regular_file(path, error)) {
    ThrowError(path, "is not a regular file");
  }
  return std::filesystem::file_size(path);
}

/// A file to add to a bundle.
struct InputFile {
  std::string file_;
  /// Path within the bundle.
  std::string path_;
  bundle::FileKind kind_ = bundle::FileKind::kModel;
};

/// The files of a bundle, sorted by their path within it.
/// @param adapter_names set to the names of the adapters.
std::vector<InputFile> CollectInputFiles(
    const CreateOptions& options, std::vector<std::string>& adapter_names) {
  std::vector<InputFile> inputs;
  for (const auto& file : options.model_files_) {
    const auto name = std::filesystem::path(file).filename().string();
    inputs.push_back({file, "model/" + name, bundle::FileKind::kModel});
  }
  for (const auto& adapter : options.adapters_) {
    const auto equals = adapter.find('=');
    if (equals == std::string::npos || equals == 0) {
      ThrowError(adapter, "adapter must be given as name=file");
    }
    const auto name = adapter.substr(0, equals);
    adapter_names.push_back(name);
    inputs.push_back({adapter.substr(equals + 1), "adapters/" + name,
                      bundle::FileKind::kAdapter});
  }
  std::ranges::sort(inputs, {}, &InputFile::path_);
  return inputs;
}

bundle::KeyPair ReadSecretKey(const std::string& path) {
  auto text = ReadFile(path);
  while (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  const auto key = bundle::KeyPair::FromSecretHex(text);
  if (!key) {
    ThrowError(path,
               "holds no secret key; generate one with 'chalkwell keygen'");
  }
  return *key;
}

/// @param text a public key in hexadecimal, or a file that contains one.
bundle::PublicKey ReadPublicKey(const std::string& text) {
  auto content = std::filesystem::exists(text) ? ReadFile(text) : text;
  while (!content.empty() && content.back() == '\n') {
    content.pop_back();
  }
  const auto key = bundle::PublicKey::FromHex(content);
  if (!key) {
    ThrowError(text, "is neither a public key nor a file that contains one");
  }
  return *key;
}

/// Signature context of a payload, which is a bundle or a list of trusted keys.
/// @throws core::Error if it is neither.
std::string_view ContextOf(const std::string& payload) {
  const auto root = nlohmann::json::parse(payload, nullptr, false);
  if (root.is_object() && root.contains("keys")) {
    std::uint64_t version = 0;
    (void)config::ParseTrustedKeys(payload, version);
    return bundle::kTrustContext;
  }
  (void)bundle::ParseBundle(payload);
  return bundle::kBundleContext;
}

/// Verifies the chunks of a manifest and prints errors.
/// @return the number of errors.
int VerifyChunks(const bundle::Manifest& manifest, const std::string& folder) {
  int errors = 0;
  for (const auto& file : manifest.files_) {
    for (std::size_t i = 0; i < file.chunks_.size(); ++i) {
      const auto& chunk = file.chunks_[i];
      const auto path = BlobPath(folder, chunk.digest_);
      const bool exists = std::filesystem::exists(path);
      if (exists && core::Digest::Of(ReadFile(path)) == chunk.digest_) {
        continue;
      }
      ++errors;
      std::cout << "chunk " << i << " of " << file.path_
                << (exists ? " differs from its digest: " : " is missing: ")
                << path << "\n";
    }
  }
  return errors;
}

}  // namespace

void GenerateKey(const std::string& path) {
  if (std::filesystem::exists(path)) {
    ThrowError(path, "already exists; keys are never overwritten");
  }
  const auto key = bundle::KeyPair::Generate();
  WriteFile(path, key.SecretToHex() + "\n", kSecretFileMode);
  WriteFile(path + ".pub", key.public_.ToHex() + "\n", kPublicFileMode);
  std::cout << "key id " << key.public_.KeyId() << "\nsecret key in " << path
            << " (mode 0600)\npublic key in " << path << ".pub\n";
}

void CreateBundle(const CreateOptions& options) {
  std::filesystem::create_directories(options.out_ + "/blobs");
  bundle::Bundle result;
  result.version_ = options.version_;
  result.model_ = options.model_;
  const auto inputs = CollectInputFiles(options, result.adapters_);
  std::ranges::sort(result.adapters_);
  for (const auto& role : options.roles_) {
    result.roles_.emplace_back(role);
  }
  std::uint64_t total = 0;
  for (const auto& input : inputs) {
    total += SizeOfFile(input.file_);
  }
  ProgressPrinter progress(total);
  bundle::Manifest manifest;
  for (const auto& input : inputs) {
    manifest.files_.push_back(
        SplitFile(input.file_, input.path_, input.kind_, options, progress));
  }
  const auto manifest_text = bundle::Serialize(manifest);
  // Rejects duplicate names now rather than when the bundle is used.
  (void)bundle::ParseManifest(manifest_text);
  result.manifest_ = core::Digest::Of(manifest_text);
  result.total_size_ = manifest.total_size();
  const auto text = bundle::Serialize(result);
  (void)bundle::ParseBundle(text);
  WriteFile(BlobPath(options.out_, result.manifest_), manifest_text,
            kPublicFileMode);
  WriteFile(options.out_ + "/bundle.json", text, kPublicFileMode);
  std::cout << "bundle version " << result.version_ << ", "
            << manifest.AllChunks().size() << " chunks, " << result.total_size_
            << " bytes\nmanifest " << result.manifest_.ToHex()
            << "\nwritten to " << options.out_ << "/bundle.json\n";
}

void SignFile(const std::string& key_path, const std::string& in,
              const std::string& out) {
  const auto key = ReadSecretKey(key_path);
  const auto payload = ReadFile(in);
  const auto envelope = bundle::Sign(key, ContextOf(payload), payload);
  WriteFile(out, bundle::Serialize(envelope), kPublicFileMode);
  std::cout << "signed by key " << envelope.key_id_ << ": " << out << "\n";
}

void CreateTrustList(std::uint64_t version,
                     const std::vector<std::string>& keys,
                     const std::string& out) {
  auto list = nlohmann::json::array();
  for (const auto& key : keys) {
    list.push_back(ReadPublicKey(key).ToHex());
  }
  const auto text = nlohmann::json{{"version", version}, {"keys", list}}.dump();
  std::uint64_t parsed = 0;
  (void)config::ParseTrustedKeys(text, parsed);
  WriteFile(out, text, kPublicFileMode);
  std::cout << "list of " << keys.size() << " trusted key(s): " << out << "\n";
}

int VerifyBundle(const std::string& bundle_path,
                 const std::vector<std::string>& keys,
                 const std::string& folder) {
  const auto envelope = bundle::ParseEnvelope(ReadFile(bundle_path));
  std::vector<bundle::PublicKey> trusted;
  trusted.reserve(keys.size());
  for (const auto& key : keys) {
    trusted.push_back(ReadPublicKey(key));
  }
  const auto verdict =
      bundle::TrustedKeys(trusted).Verify(envelope, bundle::kBundleContext);
  int errors = 0;
  if (verdict != bundle::SignatureVerdict::kValid) {
    ++errors;
    std::cout << (verdict == bundle::SignatureVerdict::kUntrustedKey
                      ? "signed by a key that is not trusted: "
                      : "signature does not match the bundle: ")
              << envelope.key_id_ << "\n";
  }
  const auto parsed = bundle::ParseBundle(envelope.payload_);
  const auto manifest_path = BlobPath(folder, parsed.manifest_);
  const auto manifest_text = ReadFile(manifest_path);
  if (core::Digest::Of(manifest_text) != parsed.manifest_) {
    std::cout << "manifest differs from its digest: " << manifest_path << "\n";
    return errors + 1;
  }
  const auto manifest = bundle::ParseManifest(manifest_text);
  errors += VerifyChunks(manifest, folder);
  if (errors == 0) {
    std::cout << "bundle version " << parsed.version_
              << " is complete: " << manifest.AllChunks().size()
              << " chunks, signed by key " << envelope.key_id_ << "\n";
  }
  return errors;
}

void ShowBundle(const std::string& path) {
  const auto text = ReadFile(path);
  const auto root = nlohmann::json::parse(text, nullptr, false);
  const bool is_signed = root.is_object() && root.contains("payload");
  std::string payload = text;
  std::string signer = "not signed";
  if (is_signed) {
    const auto envelope = bundle::ParseEnvelope(text);
    payload = envelope.payload_;
    signer = "signed by key " + envelope.key_id_;
  }
  const auto parsed = bundle::ParseBundle(payload);
  std::cout << "version   " << parsed.version_ << "\nmodel     "
            << parsed.model_ << "\nmanifest  " << parsed.manifest_.ToHex()
            << "\nbytes     " << parsed.total_size_ << "\nroles    ";
  for (const auto& role : parsed.roles_) {
    std::cout << " " << role.value();
  }
  std::cout << "\nadapters ";
  for (const auto& adapter : parsed.adapters_) {
    std::cout << " " << adapter;
  }
  std::cout << "\n" << signer << "\n";
}

}  // namespace chalkwell::cli
