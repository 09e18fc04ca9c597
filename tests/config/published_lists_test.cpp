// Validation of published lists.
#include "chalkwell/config/published_lists.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::config {
namespace {

TEST_CASE("an error in an instance list names the field", "[config]") {
  using Row = std::tuple<std::string, std::string>;
  const auto [row, field] = GENERATE_COPY(
      Row{R"({})", "id"}, Row{R"({"id":"a"})", "kind"},
      Row{R"({"id":"a","kind":"x"})", "kind"},
      Row{R"({"id":"a","kind":"entry"})", "domain"},
      Row{R"({"id":"a","kind":"entry","domain":"d"})", "peer"},
      Row{R"({"id":"a","kind":"endpoint","domain":"d","peer":"p"})", "role"},
      Row{R"({"id":"a","kind":"entry","domain":"d","peer":"p","leaving":1})",
          "leaving"});
  CHECK_THROWS_WITH(ParseInstances(R"({"instances":[)" + row + "]}"),
                    Catch::Contains(field));
}

TEST_CASE("a duplicate instance is refused", "[config]") {
  const std::string row =
      R"({"id":"a","kind":"entry","domain":"d","peer":"p"})";
  CHECK(ParseInstances(R"({"instances":[)" + row + "]}").size() == 1);
  CHECK_THROWS_WITH(
      ParseInstances(R"({"instances":[)" + row + "," + row + "]}"),
      Catch::Contains("twice"));
}

TEST_CASE("an account requires a key digest and a weight", "[config]") {
  const auto text = GENERATE(
      as<std::string>{}, R"({"id":"a","key_digest":"x","weight":1})",
      R"({"id":"a","key_digest":")" + std::string(64, '0') + R"(","weight":0})",
      R"({"id":""})");
  CHECK_THROWS(ParseAccounts(R"({"accounts":[)" + text + "]}"));
}

}  // namespace
}  // namespace chalkwell::config
