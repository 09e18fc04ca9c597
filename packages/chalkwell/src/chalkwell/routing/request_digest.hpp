// Identity of what a caller asks for, the same in each of its tries and at each
// entry.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief What makes two requests the same; ids, deadlines and other headers
/// differ from try to try.
struct RequestContent {
  core::ClientAccountId account_;
  std::string_view method_;
  std::string_view host_;
  /// With the query.
  std::string_view path_;
  std::string_view body_;
};

/// @brief A 128-bit digest of a request's content.
///
/// The digest is collision resistant, not merely well distributed: a caller
/// must not be able to construct a request that bears the digest of another
/// account's.
class RequestDigest {
 public:
  static constexpr std::size_t kSize = 16;

  constexpr RequestDigest() = default;

  [[nodiscard]] static RequestDigest Of(const RequestContent& content);
  /// @return nothing when the text does not hold kSize bytes.
  [[nodiscard]] static std::optional<RequestDigest> FromBytes(
      std::string_view bytes);
  /// @return nothing when the text is not hexadecimal or has another length.
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
