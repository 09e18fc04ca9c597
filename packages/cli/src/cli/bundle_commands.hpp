// The commands keygen, trust and bundle: creation, signing and verification of
// what operators publish.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chalkwell::cli {

/// @brief Options of `bundle create`.
struct CreateOptions {
  std::uint64_t version_ = 0;
  std::string model_;
  std::vector<std::string> model_files_;
  /// Each as "name=file".
  std::vector<std::string> adapters_;
  std::vector<std::string> roles_;
  /// Size of a chunk; the last chunk of a file may be smaller.
  std::uint64_t chunk_bytes_ = 0;
  /// Folder to which blobs/ and bundle.json are written.
  std::string out_;
};

/// @brief Generates a key pair: the secret key in PATH (mode 0600), the public
/// key in PATH.pub.
/// @throws core::Error if PATH exists.
void GenerateKey(const std::string& path);
/// @brief Splits files into chunks and writes them as blobs named by their
/// digest, with the manifest and an unsigned bundle. Equal input gives equal
/// output.
/// @throws core::Error for a missing or empty file, or an invalid option.
void CreateBundle(const CreateOptions& options);
/// @brief Signs a bundle or a list of trusted keys.
/// @param in unsigned document; its content decides the signature context.
void SignFile(const std::string& key_path, const std::string& in,
              const std::string& out);
/// @brief Writes an unsigned list of trusted keys.
/// @param keys public keys in hexadecimal, or files that contain one.
void CreateTrustList(std::uint64_t version,
                     const std::vector<std::string>& keys,
                     const std::string& out);
/// @brief Verifies the signature, the manifest and all chunks of a bundle.
/// @param folder folder that contains blobs/.
/// @return the number of errors found; each is printed.
[[nodiscard]] int VerifyBundle(const std::string& bundle_path,
                               const std::vector<std::string>& keys,
                               const std::string& folder);
/// @brief Prints a bundle, signed or not.
void ShowBundle(const std::string& path);

}  // namespace chalkwell::cli
