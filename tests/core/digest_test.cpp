// Tests of digests and rendezvous scores.
#include "chalkwell/core/digest.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::core {
namespace {

TEST_CASE("a digest round-trips through its hexadecimal form", "[core]") {
  const auto digest = Digest::Of("bell");
  CHECK(Digest::FromHex(digest.ToHex()) == digest);
  CHECK(digest != Digest::Of("bells"));
}

TEST_CASE("texts that are not digests are refused", "[core]") {
  const auto text = GENERATE(as<std::string>{}, "", "ab", std::string(63, 'a'),
                             std::string(65, 'a'), std::string(64, 'g'));
  CHECK_FALSE(Digest::FromHex(text).has_value());
}

TEST_CASE("scores depend on the item and on the member", "[core]") {
  CHECK(RendezvousScore("a", "m") == RendezvousScore("a", "m"));
  CHECK(RendezvousScore("a", "m") != RendezvousScore("b", "m"));
  CHECK(RendezvousScore("a", "m") != RendezvousScore("a", "n"));
}

}  // namespace
}  // namespace chalkwell::core
