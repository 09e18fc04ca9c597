// Content digests: BLAKE2b-256, the name by which weights are known here, and
// SHA-256 where a platform names them so.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief A 256-bit content digest; the default value names nothing.
class Digest {
 public:
  static constexpr std::size_t kSize = 32;
  using Bytes = std::array<std::uint8_t, kSize>;

  constexpr Digest() = default;
  explicit constexpr Digest(const Bytes& bytes) : bytes_(bytes) {}

  /// @brief Digest of the given content.
  [[nodiscard]] static Digest Of(std::string_view content);
  /// @brief SHA-256 of the given content, for weights that are named so.
  [[nodiscard]] static Digest Sha256Of(std::string_view content);
  /// @brief Parses 64 hexadecimal digits.
  /// @return nothing when the text has another length or other characters.
  [[nodiscard]] static std::optional<Digest> FromHex(std::string_view text);

  [[nodiscard]] std::string ToHex() const;
  [[nodiscard]] bool empty() const noexcept { return *this == Digest{}; }
  [[nodiscard]] const Bytes& bytes() const noexcept { return bytes_; }

  friend bool operator==(const Digest&, const Digest&) = default;
  friend auto operator<=>(const Digest&, const Digest&) = default;

 private:
  Bytes bytes_{};
};

/// @brief Score of `member` for `item`: the member with the highest score of a
/// set is its first choice (rendezvous hashing).
[[nodiscard]] std::uint64_t RendezvousScore(std::string_view item,
                                            std::string_view member) noexcept;

}  // namespace chalkwell::core
