// Callers of the product's own interface that keep to no limit, over HTTP/1 and
// HTTP/2, against a real entry.
#include <catch2/catch.hpp>
#include <string>

#include "caller_crowd.hpp"
#include "daemon/address.hpp"
#include "deployment.hpp"
#include "fleet/scenario.hpp"

namespace chalkwell::platform_tests {
namespace {

using fleet::Fleet;
using fleet::Post;
using fleet::Scenario;

constexpr std::size_t kMegabyte = 1'000'000;
/// Settings of the entry.
constexpr int kMemoryMb = 96;
constexpr int kMaxDescriptors = 300;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
constexpr std::size_t kCrowd = 150;
constexpr std::size_t kConnectionCrowd = 400;
/// What may stay with the process after a crowd has gone.
constexpr std::size_t kRetainedBytes = kMemoryMb * kMegabyte / 4;

std::string Head(const std::string& framing) {
  return "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: "
         "Bearer " +
         Fleet::CallerKey() + "\r\n" + framing + "\r\n\r\n";
}

/// Frame of HTTP/2 (RFC 9113, section 4.1).
std::string Frame(char type, char flags, std::uint32_t stream,
                  const std::string& payload) {
  std::string frame;
  for (const int shift : {16, 8, 0}) {
    frame += static_cast<char>((payload.size() >> shift) & 0xFFU);
  }
  frame += type;
  frame += flags;
  for (const int shift : {24, 16, 8, 0}) {
    frame += static_cast<char>((stream >> shift) & 0xFFU);
  }
  return frame + payload;
}

/// Requests on many streams of one connection, whose bodies do not end.
CrowdScript ManyStreams(std::uint32_t streams, std::size_t body_bytes) {
  constexpr char kData = 0;
  constexpr char kHeaders = 1;
  constexpr char kSettings = 4;
  constexpr char kEndHeaders = 4;
  constexpr std::size_t kFrameBytes = 16384;
  // Indexed fields of the static table: POST, http and "/"; then a literal
  // authority.
  const std::string block = "\x83\x86\x84\x01\x01h";
  auto script = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + Frame(kSettings, 0, 0, "");
  for (std::uint32_t i = 0; i < streams; ++i) {
    const auto stream = 2 * i + 1;
    script += Frame(kHeaders, kEndHeaders, stream, block);
    for (std::size_t sent = 0; sent < body_bytes; sent += kFrameBytes) {
      script += Frame(kData, 0, stream, std::string(kFrameBytes, 'x'));
    }
  }
  return {.head_ = script};
}

/// Plays a crowd and checks what must hold during and after it.
void CheckCrowd(const CrowdScript& script, std::size_t size) {
  Scenario scenario(
      {.entry_settings_ = {
           {"process.memory_mb", std::to_string(kMemoryMb)},
           {"process.max_descriptors", std::to_string(kMaxDescriptors)},
           {"requests.max_body_bytes", std::to_string(kMaxBodyBytes)}}});
  scenario.StartAndWaitUntilLive();
  auto& entry = *scenario.fleet().Entries().front();
  auto& child = entry.process_;
  const auto resident_before = ResidentBytes(child.pid());
  {
    CallerCrowd crowd(daemon::ParseAddress(entry.caller_address_).port_, size,
                      script);
    crowd.Drive();
    REQUIRE(child.running());
    CHECK(OpenDescriptors(child.pid()) <= kMaxDescriptors);
    const auto peak =
        PeakResidentBytes(child.pid()) + crowd.peak_unread_bytes();
    CHECK(peak <= kMemoryMb * kMegabyte);
  }
  CHECK(Eventually([&] {
    return ResidentBytes(child.pid()) <= resident_before + kRetainedBytes;
  }));
  CHECK(Eventually([&] {
    return Post(entry.caller_address_, "/v1/chat/completions",
                R"({"prompt":"hello","max_tokens":4})",
                {{"authorization", "Bearer " + Fleet::CallerKey()}})
               .status_ == 200;
  }));
  CHECK(child.running());
}

TEST_CASE("chunked bodies at the own interface exceed the memory",
          "[platform][hostile]") {
  CheckCrowd(ChunkedScript(Head("transfer-encoding: chunked"), 8192,
                           kMaxBodyBytes - 8192),
             kCrowd);
}

TEST_CASE("bodies with a length at the own interface exceed the memory",
          "[platform][hostile]") {
  CheckCrowd(
      LengthScript(Head("content-length: 1048576"), kMaxBodyBytes - 4096),
      kCrowd);
}

TEST_CASE("bodies of many HTTP/2 streams exceed the memory",
          "[platform][hostile]") {
  constexpr std::uint32_t kStreams = 100;
  constexpr std::size_t kStreamBytes = 49152;
  constexpr std::size_t kConnections = 40;
  CheckCrowd(ManyStreams(kStreams, kStreamBytes), kConnections);
}

TEST_CASE("silent connections at the own interface take all descriptors",
          "[platform][hostile]") {
  CheckCrowd({.head_ = ""}, kConnectionCrowd);
}

}  // namespace
}  // namespace chalkwell::platform_tests
