// Digests use libsodium (BLAKE2b, SHA-256), rendezvous scores use xxHash.
#include "chalkwell/core/digest.hpp"

#include <sodium.h>
#include <xxhash.h>

namespace chalkwell::core {

Digest Digest::Of(std::string_view content) {
  Bytes bytes{};
  crypto_generichash(bytes.data(), bytes.size(),
                     reinterpret_cast<const unsigned char*>(content.data()),
                     content.size(), nullptr, 0);
  return Digest(bytes);
}

Digest Digest::Sha256Of(std::string_view content) {
  static_assert(crypto_hash_sha256_BYTES == kSize);
  Bytes bytes{};
  crypto_hash_sha256(bytes.data(),
                     reinterpret_cast<const unsigned char*>(content.data()),
                     content.size());
  return Digest(bytes);
}

std::optional<Digest> Digest::FromHex(std::string_view text) {
  if (text.size() != 2 * kSize) {
    return std::nullopt;
  }
  Bytes bytes{};
  std::size_t size = 0;
  const char* end = nullptr;
  const int failed = sodium_hex2bin(bytes.data(), bytes.size(), text.data(),
                                    text.size(), nullptr, &size, &end);
  if (failed != 0 || size != kSize) {
    return std::nullopt;
  }
  return Digest(bytes);
}

std::string Digest::ToHex() const {
  std::string text(2 * kSize + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes_.data(), bytes_.size());
  text.pop_back();
  return text;
}

std::uint64_t RendezvousScore(std::string_view item,
                              std::string_view member) noexcept {
  const std::uint64_t seed = XXH64(item.data(), item.size(), 0);
  return XXH64(member.data(), member.size(), seed);
}

}  // namespace chalkwell::core
