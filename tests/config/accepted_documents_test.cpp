// Acceptance of documents: an older one never replaces a newer one.
#include "chalkwell/config/accepted_documents.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::config {
namespace {

const bundle::KeyPair kKey = bundle::KeyPair::FromSeed("operator");
const bundle::KeyPair kNext = bundle::KeyPair::FromSeed("next operator");

Document BundleOf(std::uint64_t version, const std::string& weights,
                  const bundle::KeyPair& key = kKey) {
  bundle::Bundle bundle;
  bundle.version_ = version;
  bundle.model_ = "m";
  bundle.roles_ = {core::Role("chat")};
  bundle.manifest_ = core::Digest::Of(weights);
  return {kBundleKey, 1,
          bundle::Serialize(bundle::Sign(key, bundle::kBundleContext,
                                         bundle::Serialize(bundle)))};
}

Document Routes(std::uint64_t revision, const std::string& prefix) {
  return {kRoutesKey, revision,
          R"({"routes":[{"prefix":")" + prefix + R"(","role":"chat"}]})"};
}

TEST_CASE("an older document never replaces a newer one", "[config]") {
  struct Row {
    Document offered_;
    Verdict verdict_;
  };
  const auto row =
      GENERATE(Row{BundleOf(6, "w"), Verdict::kAccepted},
               Row{BundleOf(5, "w"), Verdict::kUnchanged},
               Row{BundleOf(4, "w"), Verdict::kOlder},
               Row{BundleOf(9, "w", kNext), Verdict::kUntrustedSigningKey},
               Row{Document{kBundleKey, 9, "nonsense"}, Verdict::kMalformed},
               Row{Document{"bundles", 9, "{}"}, Verdict::kMalformed},
               Row{Routes(3, "/b"), Verdict::kAccepted},
               Row{Routes(2, "/a"), Verdict::kUnchanged},
               Row{Routes(1, "/a"), Verdict::kOlder},
               Row{Routes(3, "no slash"), Verdict::kMalformed});
  AcceptedDocuments documents({kKey.public_});
  REQUIRE(IsAccepted(documents.Apply(BundleOf(5, "w")).verdict_));
  REQUIRE(IsAccepted(documents.Apply(Routes(2, "/a")).verdict_));
  const auto before = documents.versions();
  CHECK(documents.Apply(row.offered_).verdict_ == row.verdict_);
  CHECK((documents.versions() == before) != IsAccepted(row.verdict_));
}

TEST_CASE("a document with a modified payload is refused", "[config]") {
  auto document = BundleOf(1, "w");
  const auto at = document.body_.find("\\\"version\\\":1");
  REQUIRE(at != std::string::npos);
  document.body_.replace(at, 13, "\\\"version\\\":9");
  AcceptedDocuments documents({kKey.public_});
  CHECK(documents.Apply(document).verdict_ == Verdict::kWrongSignature);
}

TEST_CASE("conflicting contents of one version converge in any order",
          "[config]") {
  AcceptedDocuments left({kKey.public_});
  AcceptedDocuments right({kKey.public_});
  (void)left.Apply(BundleOf(5, "a"));
  (void)left.Apply(BundleOf(5, "b"));
  (void)right.Apply(BundleOf(5, "b"));
  (void)right.Apply(BundleOf(5, "a"));
  CHECK(left.versions() == right.versions());
  CHECK(left.AcceptedBundle()->manifest_ == right.AcceptedBundle()->manifest_);
}

TEST_CASE("publishing a list of trusted keys rotates the keys", "[config]") {
  const auto list =
      R"({"version":1,"keys":[")" + kNext.public_.ToHex() + R"("]})";
  AcceptedDocuments documents({kKey.public_});
  CHECK(documents.Apply(BundleOf(1, "w", kNext)).verdict_ ==
        Verdict::kUntrustedSigningKey);
  const auto trust =
      bundle::Serialize(bundle::Sign(kKey, bundle::kTrustContext, list));
  CHECK(documents.Apply({kTrustKey, 1, trust}).verdict_ == Verdict::kAccepted);
  CHECK(documents.Apply(BundleOf(1, "w", kNext)).verdict_ ==
        Verdict::kAccepted);
  CHECK(documents.Apply(BundleOf(2, "w")).verdict_ ==
        Verdict::kUntrustedSigningKey);
  CHECK(documents.NewerThan({}).front().key_ == kTrustKey);
}

TEST_CASE("a peer gets exactly the documents that it lacks", "[config]") {
  AcceptedDocuments ahead({kKey.public_});
  AcceptedDocuments behind({kKey.public_});
  (void)ahead.Apply(BundleOf(2, "w"));
  (void)ahead.Apply(Routes(1, "/a"));
  (void)behind.Apply(Routes(1, "/a"));
  CHECK(behind.IsBehind(ahead.versions()));
  CHECK_FALSE(ahead.IsBehind(behind.versions()));
  const auto newer = ahead.NewerThan(behind.versions());
  REQUIRE(newer.size() == 1);
  CHECK(newer.front().key_ == kBundleKey);
}

}  // namespace
}  // namespace chalkwell::config
