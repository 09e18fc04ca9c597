// BLAKE2b over the fields. Each is preceded by its length, so that different
// contents have different serializations.
#include "chalkwell/routing/request_digest.hpp"

#include <sodium.h>

#include <algorithm>
#include <set>

namespace chalkwell::routing {
namespace {

constexpr std::string_view kPromptPartField = "prompt part";

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
  digest.bytes_.back() &= static_cast<std::uint8_t>(~kPartBit);
  return digest;
}

// The serialization has fewer fields than that of any content.
RequestDigest RequestDigest::OfPromptPart(std::string_view id) {
  RequestDigest digest;
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kSize);
  Update(state, kPromptPartField);
  Update(state, id);
  crypto_generichash_final(&state, digest.bytes_.data(), kSize);
  digest.bytes_.back() |= kPartBit;
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

RequestIdentity RequestIdentity::Of(
    const RequestContent& content,
    const std::vector<std::string>& shared_part_ids) {
  RequestIdentity identity{.content_ = RequestDigest::Of(content),
                           .shared_parts_ = {},
                           .digests_ = {}};
  std::set<RequestDigest> known{identity.content_};
  for (const auto& id : shared_part_ids) {
    const auto digest = RequestDigest::OfPromptPart(id);
    if (known.insert(digest).second) {
      identity.shared_parts_.push_back({id, digest});
    }
  }
  identity.digests_.assign(known.begin(), known.end());
  return identity;
}

bool RequestIdentity::Has(const RequestDigest& digest) const {
  return std::ranges::binary_search(digests_, digest);
}

}  // namespace chalkwell::routing
