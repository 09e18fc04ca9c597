// Encodes all bytes but the unreserved ones of RFC 3986, and in queries the
// slash.
#include "daemon/request_target.hpp"

#include <algorithm>

namespace chalkwell::daemon {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool IsUnreserved(char byte) noexcept {
  static constexpr std::string_view kMarks = "-._~";
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') ||
         kMarks.find(byte) != std::string_view::npos;
}

void AppendEncoded(std::string& target, std::string_view text,
                   bool keep_slashes) {
  for (const auto byte : text) {
    if (IsUnreserved(byte) || (keep_slashes && byte == '/')) {
      target += byte;
      continue;
    }
    const auto value = static_cast<unsigned char>(byte);
    target += '%';
    target += kHexDigits[value >> 4];
    target += kHexDigits[value & 15];
  }
}

}  // namespace

std::string BuildTarget(std::initializer_list<std::string_view> segments,
                        std::initializer_list<QueryParameter> query) {
  std::string target;
  for (const auto segment : segments) {
    target += '/';
    AppendEncoded(target, segment, false);
  }
  char separator = '?';
  for (const auto& [name, value] : query) {
    target += separator;
    target += name;
    target += '=';
    AppendEncoded(target, value, true);
    separator = '&';
  }
  return target;
}

bool IsSendableTarget(std::string_view target) noexcept {
  return target.starts_with('/') && std::ranges::none_of(target, [](char byte) {
           const auto value = static_cast<unsigned char>(byte);
           return value <= ' ' || value == 0x7f;
         });
}

}  // namespace chalkwell::daemon
