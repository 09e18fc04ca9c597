// Messages between processes: round trips, unknown fields, malformed bytes.
#include "daemon/messages.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::daemon {
namespace {

/// A message of a later release, with a field that this one does not know.
struct NewerMessage {
  std::string sender_;
  int new_field_ = 1;
  MSGPACK_DEFINE_MAP(sender_, new_field_)
};

TEST_CASE("unknown fields are ignored, missing ones keep their default",
          "[daemon]") {
  const auto bytes = Pack(NewerMessage{"a", 2});
  const auto message = Unpack<SyncMessage>(bytes, "peer");
  CHECK(message.sender_ == "a");
  CHECK(message.documents_.empty());
}

TEST_CASE("malformed messages name the peer", "[daemon]") {
  const auto bytes =
      GENERATE(as<std::string>{}, "", "\xc1", "\x93\x01", "text");
  CHECK_THROWS_WITH(Unpack<SyncMessage>(bytes, "peer-7"),
                    Catch::Contains("peer-7"));
}

TEST_CASE("frames are read from parts of any size", "[daemon]") {
  RunFrame frame;
  frame.data_ = "token";
  const auto bytes = Pack(frame) + Pack(frame) + Pack(frame);
  const auto size = GENERATE(1, 2, 7, 1000);
  FrameReader reader;
  std::size_t frames = 0;
  for (std::size_t offset = 0; offset < bytes.size();
       offset += static_cast<std::size_t>(size)) {
    const auto part = bytes.substr(offset, static_cast<std::size_t>(size));
    for (const auto& read : reader.Read<RunFrame>(part, "peer")) {
      CHECK(read.data_ == "token");
      ++frames;
    }
  }
  CHECK(frames == 3);
}

TEST_CASE("documents are sent deflated and arrive unchanged", "[daemon]") {
  const auto body =
      GENERATE(as<std::string>{}, "", "{}", std::string(50'000, 'r'));
  const std::vector<config::Document> sent{{"routes", 7, body}};
  const auto message = ToMessage(sent);
  const auto received = FromMessage(message, "peer-7");
  REQUIRE(received.size() == 1);
  CHECK(received.front().key_ == "routes");
  CHECK(received.front().revision_ == 7);
  CHECK(received.front().body_ == body);
  CHECK(message.front().deflated_.size() < body.size() / 10 + 20);
}

TEST_CASE("a document that does not inflate to its stated size is refused",
          "[daemon]") {
  struct Row {
    std::function<void(DocumentMessage&)> modify_;
    std::string error_;
  };
  const auto row = GENERATE(
      Row{[](DocumentMessage& m) { m.size_ -= 1; }, "to its size"},
      Row{[](DocumentMessage& m) { m.size_ += 1; }, "to its size"},
      Row{[](DocumentMessage& m) { m.size_ = kMaxDocumentBytes + 1; }, "over"},
      Row{[](DocumentMessage& m) { m.deflated_ = "text"; }, "to its size"},
      Row{[](DocumentMessage& m) { m.deflated_.clear(); }, "to its size"});
  auto message = ToMessage({{"routes", 7, "a body of some length"}});
  row.modify_(message.front());
  CHECK_THROWS_WITH((void)FromMessage(message, "peer-7"),
                    Catch::Contains(row.error_) && Catch::Contains("peer-7"));
}

}  // namespace
}  // namespace chalkwell::daemon
