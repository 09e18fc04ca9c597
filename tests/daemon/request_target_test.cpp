// Targets built from texts that others have chosen.
#include "daemon/request_target.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace chalkwell::daemon {
namespace {

TEST_CASE("a part of a target cannot change its other parts", "[daemon]") {
  struct Row {
    std::string text_;
    std::string segment_;
    std::string parameter_;
  };
  const auto row = GENERATE(
      Row{"i-7f3a91c2", "i-7f3a91c2", "i-7f3a91c2"}, Row{"", "", ""},
      Row{"a/b", "a%2Fb", "a/b"}, Row{"a&b=c", "a%26b%3Dc", "a%26b%3Dc"},
      Row{"a+b", "a%2Bb", "a%2Bb"}, Row{"a#b?", "a%23b%3F", "a%23b%3F"},
      Row{"%zz", "%25zz", "%25zz"}, Row{"a b", "a%20b", "a%20b"},
      Row{"a\r\nb: c", "a%0D%0Ab%3A%20c", "a%0D%0Ab%3A%20c"},
      Row{"\xc3\xbc\xff\x7f", "%C3%BC%FF%7F", "%C3%BC%FF%7F"},
      Row{std::string(1, '\0'), "%00", "%00"}, Row{"-._~", "-._~", "-._~"});
  CAPTURE(row.text_);
  const auto target =
      BuildTarget({"x", row.text_}, {{"p", row.text_}, {"q", "1"}});
  CHECK(target == "/x/" + row.segment_ + "?p=" + row.parameter_ + "&q=1");
  CHECK(IsSendableTarget(target));
}

TEST_CASE("a target that would end its request line is not sendable",
          "[daemon]") {
  const auto target =
      GENERATE(as<std::string>(), "", "x", "/a b", "/a\r\nhost: b", "/a\n",
               "/a\tb", "/a\x7f", std::string("/a\0b", 4));
  CAPTURE(target);
  CHECK_FALSE(IsSendableTarget(target));
}

}  // namespace
}  // namespace chalkwell::daemon
