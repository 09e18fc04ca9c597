// HttpParser with messages whose parts never end.
#include "daemon/http_parser.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kHeaderBytes = 4096;
constexpr std::size_t kMaxFed = std::size_t{64} << 10;

TEST_CASE("a chunk header without end is kept without a limit", "[daemon]") {
  // Regression: bytes that end no chunk header were kept, and parsed again at
  // each read.
  struct Row {
    std::string name_;
    std::string begin_;
    std::string repeated_;
  };
  const auto row = GENERATE(Row{"size", "", "0"}, Row{"extension", "1;a=", "x"},
                            Row{"trailer", "0\r\na: ", "x"},
                            Row{"trailers", "0\r\n", "a: b\r\n"});
  const std::string head = GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n",
                                    "POST / HTTP/1.1\r\nhost: h\r\n");
  CAPTURE(row.name_, head);
  const auto kind = head.starts_with("HTTP") ? HttpParser::Kind::kResponse
                                             : HttpParser::Kind::kRequest;
  HttpParser parser(kind, {.header_bytes_ = kHeaderBytes});
  (void)parser.Feed(head + "transfer-encoding: chunked\r\n\r\n" + row.begin_);
  REQUIRE(parser.head_done());
  std::size_t fed = 0;
  while (fed < kMaxFed && parser.error() == HttpParseError::kNone) {
    fed += row.repeated_.size();
    (void)parser.Feed(row.repeated_);
  }
  CHECK(parser.error() != HttpParseError::kNone);
  CHECK(fed <= 2 * kHeaderBytes);
}

}  // namespace
}  // namespace chalkwell::daemon
