// Identifies a request by its content: the digest is the same in each retry and
// at each entry.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

/// @brief A 128-bit digest of a request's content.
///
/// It is collision resistant, since a caller must not be able to construct a
/// request with the digest of another account's request.
class RequestDigest {
 public:
  static constexpr std::size_t kSize = 16;

  constexpr RequestDigest() = default;

  [[nodiscard]] static RequestDigest Of(const RequestContent& content);
  /// @return none if the size is not kSize.
  [[nodiscard]] static std::optional<RequestDigest> FromBytes(
      std::string_view bytes);
  /// @return none if the text is not hexadecimal or has another length.
  [[nodiscard]] static std::optional<RequestDigest> FromHex(
      std::string_view text);

  [[nodiscard]] std::string ToBytes() const;
  [[nodiscard]] std::string ToHex() const;

  friend bool operator==(const RequestDigest&, const RequestDigest&) = default;
  friend auto operator<=>(const RequestDigest&, const RequestDigest&) = default;

 private:
  std::array<std::uint8_t, kSize> bytes_{};
};

}  // namespace chalkwell::routing
