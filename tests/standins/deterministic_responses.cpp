// Tokens and receipts are hashes of the request.
#include "standins/deterministic_responses.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace chalkwell::standins {
namespace {

std::string Hex(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return text.data();
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

std::string ResponseToken(std::string_view prompt, std::string_view weights,
                          std::string_view request, std::uint64_t index) {
  const auto seed = Hash(request, Hash(weights, Hash(prompt, index)));
  return Hex(seed).substr(0, 8);
}

std::string Receipt(std::string_view body, std::string_view request) {
  return Hex(Hash(request, Hash(body, 0)));
}

}  // namespace chalkwell::standins
