// Signatures use libsodium; envelopes are JSON with hexadecimal signatures.
#include "chalkwell/bundle/signature.hpp"

#include <sodium.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/error.hpp"
#include "chalkwell/core/json.hpp"

namespace chalkwell::bundle {
namespace {

constexpr std::size_t kKeyIdDigits = 16;

std::string ToHexText(const std::uint8_t* data, std::size_t size) {
  std::string text(2 * size + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), data, size);
  text.pop_back();
  return text;
}

bool FromHexText(std::string_view text, std::uint8_t* data, std::size_t size) {
  std::size_t written = 0;
  const bool parsed = sodium_hex2bin(data, size, text.data(), text.size(),
                                     nullptr, &written, nullptr) == 0;
  return parsed && written == size && text.size() == 2 * size;
}

/// The bytes that a signature covers: context, a zero byte, payload.
std::string SignedBytes(std::string_view context, std::string_view payload) {
  std::string bytes(context);
  bytes.push_back('\0');
  bytes.append(payload);
  return bytes;
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string PublicKey::KeyId() const {
  const std::string_view view(reinterpret_cast<const char*>(bytes_.data()),
                              bytes_.size());
  return core::Digest::Of(view).ToHex().substr(0, kKeyIdDigits);
}

std::string PublicKey::ToHex() const {
  return ToHexText(bytes_.data(), bytes_.size());
}

std::optional<PublicKey> PublicKey::FromHex(std::string_view text) {
  PublicKey key;
  if (!FromHexText(text, key.bytes_.data(), key.bytes_.size())) {
    return std::nullopt;
  }
  return key;
}

KeyPair KeyPair::Generate() {
  KeyPair pair;
  crypto_sign_keypair(pair.public_.bytes_.data(), pair.secret_.data());
  return pair;
}

KeyPair KeyPair::FromSeed(std::string_view seed) {
  std::array<std::uint8_t, crypto_sign_SEEDBYTES> bytes{};
  std::copy_n(seed.begin(), std::min(seed.size(), bytes.size()), bytes.begin());
  KeyPair pair;
  crypto_sign_seed_keypair(pair.public_.bytes_.data(), pair.secret_.data(),
                           bytes.data());
  return pair;
}

std::string KeyPair::SecretToHex() const {
  return ToHexText(secret_.data(), secret_.size());
}

std::optional<KeyPair> KeyPair::FromSecretHex(std::string_view text) {
  KeyPair pair;
  if (!FromHexText(text, pair.secret_.data(), pair.secret_.size())) {
    return std::nullopt;
  }
  crypto_sign_ed25519_sk_to_pk(pair.public_.bytes_.data(), pair.secret_.data());
  return pair;
}

SignedEnvelope Sign(const KeyPair& key, std::string_view context,
                    std::string payload) {
  const std::string bytes = SignedBytes(context, payload);
  SignedEnvelope envelope{.payload_ = std::move(payload),
                          .key_id_ = key.public_.KeyId(),
                          .signature_ = std::string(crypto_sign_BYTES, '\0')};
  crypto_sign_detached(
      reinterpret_cast<unsigned char*>(envelope.signature_.data()), nullptr,
      Bytes(bytes), bytes.size(), key.secret_.data());
  return envelope;
}

std::string Serialize(const SignedEnvelope& envelope) {
  return nlohmann::json{{"payload", envelope.payload_},
                        {"key_id", envelope.key_id_},
                        {"signature", ToHexText(Bytes(envelope.signature_),
                                                envelope.signature_.size())}}
      .dump();
}

SignedEnvelope ParseEnvelope(std::string_view text) {
  const auto root = core::internal::ParseObject(text, "signed document");
  SignedEnvelope envelope;
  envelope.payload_ = core::internal::RequireString(root, "payload");
  envelope.key_id_ = core::internal::RequireString(root, "key_id");
  const auto signature = core::internal::RequireString(root, "signature");
  envelope.signature_.assign(crypto_sign_BYTES, '\0');
  if (!FromHexText(signature,
                   reinterpret_cast<std::uint8_t*>(envelope.signature_.data()),
                   envelope.signature_.size())) {
    core::internal::ThrowFieldError("signature",
                                    "must be 128 hexadecimal digits");
  }
  return envelope;
}

TrustedKeys::TrustedKeys(const std::vector<PublicKey>& keys) {
  for (const auto& key : keys) {
    keys_.emplace(key.KeyId(), key);
  }
}

SignatureVerdict TrustedKeys::Verify(const SignedEnvelope& envelope,
                                     std::string_view context) const {
  const auto key = keys_.find(envelope.key_id_);
  if (key == keys_.end()) {
    return SignatureVerdict::kUntrustedKey;
  }
  const std::string bytes = SignedBytes(context, envelope.payload_);
  const bool valid =
      crypto_sign_verify_detached(Bytes(envelope.signature_), Bytes(bytes),
                                  bytes.size(), key->second.bytes_.data()) == 0;
  return valid ? SignatureVerdict::kValid : SignatureVerdict::kInvalid;
}

}  // namespace chalkwell::bundle
