// Identifies a request by its content and by the prompt parts that it shares
// with others: the digests are the same in each retry and at each entry.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief Fields by which requests are identified. Ids, deadlines and other
/// headers are excluded, as they differ between retries.
struct RequestContent {
  core::ClientAccountId account_;
  std::string_view method_;
  std::string_view host_;
  /// Includes the query.
  std::string_view path_;
  std::string_view body_;
};

/// @brief A 128-bit digest of a request's content, or of the id of a prompt
/// part.
///
/// It is collision resistant, since a caller must not be able to construct a
/// request with the digest of another account's request.
class RequestDigest {
 public:
  static constexpr std::size_t kSize = 16;

  constexpr RequestDigest() = default;

  [[nodiscard]] static RequestDigest Of(const RequestContent& content);
  /// @brief Digest of a prompt part; no content has the same one.
  [[nodiscard]] static RequestDigest OfPromptPart(std::string_view id);
  /// @return none if the size is not kSize.
  [[nodiscard]] static std::optional<RequestDigest> FromBytes(
      std::string_view bytes);
  /// @return none if the text is not hexadecimal or has another length.
  [[nodiscard]] static std::optional<RequestDigest> FromHex(
      std::string_view text);

  /// @brief Whether it is the digest of a prompt part.
  [[nodiscard]] bool is_part() const noexcept {
    return (bytes_.back() & kPartBit) != 0;
  }
  [[nodiscard]] std::string ToBytes() const;
  [[nodiscard]] std::string ToHex() const;

  friend bool operator==(const RequestDigest&, const RequestDigest&) = default;
  friend auto operator<=>(const RequestDigest&, const RequestDigest&) = default;

 private:
  /// Set in the last byte of digests of prompt parts only.
  static constexpr std::uint8_t kPartBit = 1;

  std::array<std::uint8_t, kSize> bytes_{};
};

/// @brief A part of a prompt that other requests may share.
struct PromptPart {
  std::string id_;
  RequestDigest digest_;
};

/// @brief What may make a request crash endpoints: its whole content, or one of
/// the prompt parts that it shares with other requests.
struct RequestIdentity {
  RequestDigest content_;
  /// In order of their first occurrence; each once.
  std::vector<PromptPart> shared_parts_;
  /// The digests of the content and of the shared parts, sorted.
  std::vector<RequestDigest> digests_;

  [[nodiscard]] static RequestIdentity Of(
      const RequestContent& content,
      const std::vector<std::string>& shared_part_ids);
  [[nodiscard]] bool Has(const RequestDigest& digest) const;
};

}  // namespace chalkwell::routing
