// Ed25519 keys and signed envelopes. Several keys may be trusted at a time.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/bundle/fwd.hpp"
#include "chalkwell/core/fwd.hpp"

namespace chalkwell::bundle {

/// @brief Ed25519 public key.
struct PublicKey {
  std::array<std::uint8_t, 32> bytes_{};

  /// @brief Key id: the first 16 hexadecimal digits of the key's BLAKE2b-256
  /// digest.
  [[nodiscard]] std::string KeyId() const;
  [[nodiscard]] std::string ToHex() const;
  /// @return std::nullopt unless the text is 64 hexadecimal digits.
  [[nodiscard]] static std::optional<PublicKey> FromHex(std::string_view text);

  friend bool operator==(const PublicKey&, const PublicKey&) = default;
};

/// @brief Ed25519 key pair. @warning Never log the secret part.
struct KeyPair {
  PublicKey public_;
  std::array<std::uint8_t, 64> secret_{};

  [[nodiscard]] static KeyPair Generate();
  /// @brief Derives the pair from a seed, which is truncated or zero-padded to
  /// 32 bytes; for tests and demos only.
  [[nodiscard]] static KeyPair FromSeed(std::string_view seed);
  [[nodiscard]] std::string SecretToHex() const;
  /// @return std::nullopt unless the text is 128 hexadecimal digits. Whether
  /// they are a valid secret key is not checked.
  [[nodiscard]] static std::optional<KeyPair> FromSecretHex(
      std::string_view text);
};

/// @brief A payload with the signature over its context and its exact bytes.
struct SignedEnvelope {
  std::string payload_;
  std::string key_id_;
  /// 64 raw bytes.
  std::string signature_;
};

/// @brief Signs a payload deterministically.
/// @param context domain separation: identifies the kind of document, so that a
/// signature is not valid for another kind.
[[nodiscard]] SignedEnvelope Sign(const KeyPair& key, std::string_view context,
                                  std::string payload);
[[nodiscard]] std::string Serialize(const SignedEnvelope& envelope);
/// @throws core::Error that names the invalid field and how to correct it.
[[nodiscard]] SignedEnvelope ParseEnvelope(std::string_view text);

/// @brief Result of verifying a signature.
enum class SignatureVerdict : std::uint8_t { kValid, kUntrustedKey, kInvalid };

/// @brief The set of keys whose signatures are accepted.
class TrustedKeys {
 public:
  TrustedKeys() = default;
  explicit TrustedKeys(const std::vector<PublicKey>& keys);

  [[nodiscard]] SignatureVerdict Verify(const SignedEnvelope& envelope,
                                        std::string_view context) const;
  [[nodiscard]] std::size_t size() const noexcept { return keys_.size(); }

 private:
  /// By key id.
  std::map<std::string, PublicKey> keys_;
};

/// @brief Signature context of bundles.
inline constexpr std::string_view kBundleContext = "chalkwell-bundle-v1";
/// @brief Signature context of lists of trusted keys.
inline constexpr std::string_view kTrustContext = "chalkwell-trust-v1";

}  // namespace chalkwell::bundle
