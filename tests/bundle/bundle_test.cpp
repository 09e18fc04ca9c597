// Bundles and manifests: serialization, and the rejection of invalid documents
// with the name of the invalid field.
#include "chalkwell/bundle/bundle.hpp"

#include <catch2/catch.hpp>

#include "chalkwell/core/error.hpp"

namespace chalkwell::bundle {
namespace {

const std::string kDigest(64, 'a');

std::string ManifestWith(const std::string& path, const std::string& size) {
  return R"({"files":[{"path":")" + path +
         R"(","kind":"model","chunks":[{"digest":")" + kDigest +
         R"(","size":)" + size + "}]}]}";
}

TEST_CASE("a bundle round-trips through its canonical JSON", "[bundle]") {
  Bundle bundle;
  bundle.version_ = 3;
  bundle.model_ = "model";
  bundle.adapters_ = {"creole"};
  bundle.roles_ = {core::Role("chat")};
  bundle.manifest_ = core::Digest::Of("m");
  bundle.total_size_ = 7;
  const auto text = Serialize(bundle);
  CHECK(Serialize(ParseBundle(text)) == text);
  CHECK(ParseBundle(text).AppliesTo(core::Role("chat")));
  CHECK_FALSE(ParseBundle(text).AppliesTo(core::Role("records")));
}

TEST_CASE("the error of a malformed bundle names the field", "[bundle]") {
  using Row = std::tuple<std::string, std::string>;
  const auto [text, field] = GENERATE_COPY(
      Row{"", "bundle"}, Row{"[]", "bundle"}, Row{"{}", "version"},
      Row{R"({"version":0})", "version"}, Row{R"({"version":-1})", "version"},
      Row{R"({"version":1})", "model"},
      Row{R"({"version":1,"model":"m","adapters":["a","a"]})", "adapters"},
      Row{R"({"version":1,"model":"m","adapters":[],"roles":[]})", "roles"},
      Row{R"({"version":1,"model":"m","adapters":[],"roles":["chat"],)"
          R"("manifest":"zz"})",
          "manifest"});
  CHECK_THROWS_WITH(ParseBundle(text), Catch::Contains("'" + field + "'"));
}

TEST_CASE("paths that leave the root directory are rejected", "[bundle]") {
  const auto path = GENERATE(as<std::string>{}, "/etc/passwd", "../x", "a/../b",
                             "a//b", "./a", "a/", "a\\\\b");
  CHECK_THROWS_WITH(ParseManifest(ManifestWith(path, "1")),
                    Catch::Contains("files.path"));
}

TEST_CASE("empty chunks and duplicate paths are rejected", "[bundle]") {
  CHECK_THROWS_AS(ParseManifest(ManifestWith("a", "0")), core::Error);
  const auto one = ManifestWith("a", "1");
  const auto file = one.substr(10, one.size() - 12);
  CHECK_THROWS_WITH(ParseManifest(R"({"files":[)" + file + "," + file + "]}"),
                    Catch::Contains("twice"));
  CHECK(ParseManifest(one).total_size() == 1);
}

}  // namespace
}  // namespace chalkwell::bundle
