// Content digests: BLAKE2b-256, which identifies weights in this system, and
// SHA-256 for platforms that identify weights by it.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief A 256-bit content digest; the default value means no content.
class Digest {
 public:
  static constexpr std::size_t kSize = 32;
  using Bytes = std::array<std::uint8_t, kSize>;

  constexpr Digest() = default;
  explicit constexpr Digest(const Bytes& bytes) : bytes_(bytes) {}

  /// @brief BLAKE2b-256 of the given content.
  [[nodiscard]] static Digest Of(std::string_view content);
  /// @brief SHA-256 of the given content, for weights identified by SHA-256.
  [[nodiscard]] static Digest Sha256Of(std::string_view content);
  /// @brief Parses 64 hexadecimal digits.
  /// @return std::nullopt if the text has another length or other characters.
  [[nodiscard]] static std::optional<Digest> FromHex(std::string_view text);

  [[nodiscard]] std::string ToHex() const;
  [[nodiscard]] bool empty() const noexcept { return *this == Digest{}; }
  [[nodiscard]] const Bytes& bytes() const noexcept { return bytes_; }

  friend bool operator==(const Digest&, const Digest&) = default;
  friend auto operator<=>(const Digest&, const Digest&) = default;

 private:
  Bytes bytes_{};
};

/// @brief Rendezvous hashing score of `member` for `item`; the member of a set
/// with the highest score has rank 0.
[[nodiscard]] std::uint64_t RendezvousScore(std::string_view item,
                                            std::string_view member) noexcept;

}  // namespace chalkwell::core
