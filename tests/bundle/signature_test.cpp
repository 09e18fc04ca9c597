// Signatures are valid only with a trusted key, the exact payload and the same
// context.
#include "chalkwell/bundle/signature.hpp"

#include <catch2/catch.hpp>

#include "chalkwell/core/error.hpp"

namespace chalkwell::bundle {
namespace {

TEST_CASE("a signature is valid only for its key, payload and context",
          "[bundle]") {
  const auto key = KeyPair::FromSeed("a");
  const auto other = KeyPair::FromSeed("b");
  const TrustedKeys trusted({key.public_});
  const auto envelope = Sign(key, kBundleContext, "payload");
  CHECK(trusted.Verify(envelope, kBundleContext) == SignatureVerdict::kValid);
  CHECK(trusted.Verify(envelope, kTrustContext) == SignatureVerdict::kInvalid);
  CHECK(trusted.Verify(Sign(other, kBundleContext, "payload"),
                       kBundleContext) == SignatureVerdict::kUntrustedKey);
  auto changed = envelope;
  changed.payload_ += " ";
  CHECK(trusted.Verify(changed, kBundleContext) == SignatureVerdict::kInvalid);
}

TEST_CASE("envelopes and keys round-trip through their text forms",
          "[bundle]") {
  const auto key = KeyPair::FromSeed("a");
  const auto envelope = Sign(key, kBundleContext, "payload");
  const auto parsed = ParseEnvelope(Serialize(envelope));
  CHECK(parsed.signature_ == envelope.signature_);
  CHECK(KeyPair::FromSecretHex(key.SecretToHex())->public_ == key.public_);
  CHECK(PublicKey::FromHex(key.public_.ToHex()) == key.public_);
  CHECK_FALSE(PublicKey::FromHex("12").has_value());
}

TEST_CASE("the error of a malformed envelope names the field", "[bundle]") {
  using Row = std::tuple<std::string, std::string>;
  const auto [text, field] = GENERATE_COPY(
      Row{"{}", "payload"}, Row{R"({"payload":"p"})", "key_id"},
      Row{R"({"payload":"p","key_id":"k","signature":"00"})", "signature"});
  CHECK_THROWS_WITH(ParseEnvelope(text), Catch::Contains(field));
}

}  // namespace
}  // namespace chalkwell::bundle
