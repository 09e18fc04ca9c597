// BLAKE2b over the fields. Each is preceded by its length, so that different
// contents have different serializations.
#include "chalkwell/routing/request_digest.hpp"

#include <sodium.h>

#include <algorithm>

namespace chalkwell::routing {
namespace {

void Update(crypto_generichash_state& state, std::string_view field) {
  const std::uint64_t size = field.size();
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(&size), sizeof(size));
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(field.data()),
      field.size());
}

}  // namespace

RequestDigest RequestDigest::Of(const RequestContent& content) {
  RequestDigest digest;
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kSize);
  Update(state, content.account_.value());
  Update(state, content.method_);
  Update(state, content.host_);
  Update(state, content.path_);
  Update(state, content.body_);
  crypto_generichash_final(&state, digest.bytes_.data(), kSize);
  return digest;
}

std::optional<RequestDigest> RequestDigest::FromBytes(std::string_view bytes) {
  if (bytes.size() != kSize) {
    return std::nullopt;
  }
  RequestDigest digest;
  std::ranges::copy(bytes, digest.bytes_.begin());
  return digest;
}

std::optional<RequestDigest> RequestDigest::FromHex(std::string_view text) {
  RequestDigest digest;
  std::size_t size = 0;
  const char* end = nullptr;
  const int failed = sodium_hex2bin(digest.bytes_.data(), kSize, text.data(),
                                    text.size(), nullptr, &size, &end);
  const bool complete = end == text.data() + text.size();
  return failed == 0 && complete && size == kSize ? std::optional(digest)
                                                  : std::nullopt;
}

std::string RequestDigest::ToBytes() const {
  return {bytes_.begin(), bytes_.end()};
}

std::string RequestDigest::ToHex() const {
  std::string text(2 * kSize + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes_.data(), kSize);
  text.pop_back();
  return text;
}

}  // namespace chalkwell::routing
