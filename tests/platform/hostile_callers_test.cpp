// Callers that keep to no limit, against a real entry: it lives, stays within
// the memory and the descriptors of its settings, and serves ordinary requests
// afterwards.
#include <catch2/catch.hpp>
#include <string>

#include "../daemon/raw_socket.hpp"
#include "caller_crowd.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using standins::Behaviour;
using namespace std::chrono_literals;

constexpr std::size_t kMegabyte = 1'000'000;
/// Settings of the entry.
constexpr int kMemoryMb = 96;
constexpr int kMaxDescriptors = 300;
/// Limits that the rules publish.
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
/// Longer than any crowd is driven, so that no time limit ends it.
constexpr int kHeaderTimeoutMs = 60'000;
/// A crowd in memory tests. Its bodies together exceed the memory by half.
constexpr std::size_t kCrowd = 150;
/// A crowd in descriptor tests.
constexpr std::size_t kConnectionCrowd = 400;
/// What may stay with the process after a crowd has gone.
constexpr std::size_t kRetainedBytes = kMemoryMb * kMegabyte / 4;

enum class Port : std::uint8_t { kCaller, kReadiness, kAdmin };

/// When a crowd arrives.
enum class Phase : std::uint8_t { kServing, kBeforeRules };

struct Row {
  std::string name_;
  CrowdScript script_;
  std::size_t crowd_ = kCrowd;
  Port port_ = Port::kCaller;
  Phase phase_ = Phase::kServing;
  /// What endpoints do with requests of the crowd.
  Behaviour behaviour_ = Behaviour::kServe;
  std::size_t response_bytes_ = 0;
};

std::string Head(const std::string& path, const std::string& framing) {
  return "POST " + path +
         " HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\ndeadline-ms: 3000\r\n"
         "authorization: Bearer k1\r\n" +
         framing + "\r\n\r\n";
}

std::string ChunkedHead() {
  return Head("/safe/x", "transfer-encoding: chunked");
}

std::string LengthHead(std::size_t length) {
  return Head("/safe/x", "content-length: " + std::to_string(length));
}

CrowdScript Chunks(std::size_t chunk_size, std::size_t total) {
  return ChunkedScript(ChunkedHead(), chunk_size, total);
}

CrowdScript Body(std::size_t announced, std::size_t sent) {
  return LengthScript(LengthHead(announced), sent);
}

CrowdScript HeadWithout(std::size_t end_bytes, std::size_t field_bytes) {
  auto head = Head("/safe/x", "x-long: " + std::string(field_bytes, 'x'));
  return {.head_ = head.substr(0, head.size() - end_bytes)};
}

/// A head of fields of four bytes, which are many objects, and a body that does
/// not end.
CrowdScript ManyFields() {
  std::string fields;
  while (fields.size() + 512 < kMaxHeaderBytes) {
    fields += "a:\r\n";
  }
  return {.head_ = Head("/safe/x", fields + "transfer-encoding: chunked")};
}

std::string FullSizeRequest() {
  auto request = LengthHead(kMaxBodyBytes);
  request.insert(request.size() - 2, "connection: close\r\n");
  return request + std::string(kMaxBodyBytes, 'x');
}

/// A deployment with one entry whose settings and rules have the limits above.
class LimitedEntry {
 public:
  explicit LimitedEntry(Phase phase) {
    deployment_.limits_.header_bytes_ = kMaxHeaderBytes;
    deployment_.limits_.body_bytes_ = kMaxBodyBytes;
    deployment_.limits_.header_timeout_ms_ = kHeaderTimeoutMs;
    deployment_.PutRules(2, {"k1"});
    deployment_.store_.SetBusy(phase == Phase::kBeforeRules);
    NodeOptions options;
    options.memory_mb_ = kMemoryMb;
    options.max_descriptors_ = kMaxDescriptors;
    entry_ =
        deployment_.StartEntry("e1", deployment_.store_.address(), options);
    if (phase == Phase::kServing) {
      REQUIRE(Eventually([&] { return entry_.Ready(); }));
    } else {
      REQUIRE(Eventually(
          [&] { return RawSocket(entry_.caller_port_).connected(); }));
    }
  }

  void SetEndpoints(Behaviour behaviour, std::size_t response_bytes) {
    for (auto* endpoint : {&deployment_.first_, &deployment_.second_}) {
      endpoint->SetBehaviour(behaviour);
      endpoint->SetBodySize(response_bytes);
    }
  }

  [[nodiscard]] std::uint16_t PortOf(Port port) const {
    switch (port) {
      case Port::kReadiness:
        return entry_.ready_port_;
      case Port::kAdmin:
        return entry_.admin_port_;
      default:
        return entry_.caller_port_;
    }
  }

  /// Whether an ordinary request is answered, if need be after some refusals:
  /// connections of the crowd may still be closing.
  [[nodiscard]] bool Serves(const std::string& request) {
    return Eventually(
        [&] { return Status(SendRequest(entry_, request)) == "200"; });
  }

  Deployment deployment_;
  Node entry_;
};

/// Plays the crowd of a row and checks what must hold meanwhile.
void CheckDuring(const Row& row, LimitedEntry& limited) {
  auto& child = limited.entry_.child_;
  limited.SetEndpoints(row.behaviour_, row.response_bytes_);
  CallerCrowd crowd(limited.PortOf(row.port_), row.crowd_, row.script_);
  crowd.Drive();
  REQUIRE(child.running());
  CHECK(OpenDescriptors(child.pid()) <= kMaxDescriptors);
  const auto peak = PeakResidentBytes(child.pid()) + crowd.peak_unread_bytes();
  CHECK(peak <= kMemoryMb * kMegabyte);
}

/// Checks what must hold once a crowd has gone.
void CheckAfter(LimitedEntry& limited, std::size_t resident_before) {
  auto& child = limited.entry_.child_;
  limited.deployment_.store_.SetBusy(false);
  limited.SetEndpoints(Behaviour::kServe, 0);
  CHECK(Eventually([&] {
    return ResidentBytes(child.pid()) <= resident_before + kRetainedBytes;
  }));
  REQUIRE(Eventually([&] { return limited.entry_.Ready(); }));
  CHECK(limited.Serves(RequestText("/safe/x")));
  CHECK(limited.Serves(FullSizeRequest()));
  CHECK(child.running());
}

/// Plays the crowd of a row and checks what must hold during and after it.
void CheckCrowd(const Row& row) {
  CAPTURE(row.name_);
  LimitedEntry limited(row.phase_);
  const auto resident_before = ResidentBytes(limited.entry_.child_.pid());
  CheckDuring(row, limited);
  CheckAfter(limited, resident_before);
}

TEST_CASE("large chunks of bodies without end exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({"", Chunks(8192, kMaxBodyBytes - 8192)});
}

TEST_CASE("small chunks of bodies without end exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({"", Chunks(16, kMaxBodyBytes - 64)});
}

TEST_CASE("bodies that stop short of their length exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({"", Body(kMaxBodyBytes, kMaxBodyBytes - 4096)});
}

TEST_CASE("complete bodies of many callers exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({.name_ = "",
              .script_ = Body(kMaxBodyBytes, kMaxBodyBytes),
              .behaviour_ = Behaviour::kHang});
}

TEST_CASE("bodies over the limit exceed the memory", "[platform][hostile]") {
  CheckCrowd({"", Chunks(8192, 4 * kMaxBodyBytes)});
}

TEST_CASE("announced bodies over the limit exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({"", Body(64 * kMaxBodyBytes, 8 * kMaxBodyBytes)});
}

TEST_CASE("bodies that arrive before the rules exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({.name_ = "",
              .script_ = Chunks(8192, kMaxBodyBytes),
              .phase_ = Phase::kBeforeRules});
}

TEST_CASE("bodies at the readiness address exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({.name_ = "",
              .script_ = Chunks(8192, kMaxBodyBytes),
              .port_ = Port::kReadiness});
}

TEST_CASE("bodies at the admin address exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({.name_ = "",
              .script_ = Chunks(8192, kMaxBodyBytes),
              .port_ = Port::kAdmin});
}

TEST_CASE("heads without end exceed the memory", "[platform][hostile]") {
  CheckCrowd({"", HeadWithout(2, kMaxHeaderBytes - 512)});
}

TEST_CASE("heads of many short fields exceed the memory",
          "[platform][hostile]") {
  CheckCrowd({"", ManyFields(), kConnectionCrowd});
}

TEST_CASE("unread responses to pipelined requests exceed the memory",
          "[platform][hostile]") {
  constexpr std::size_t kResponseBytes = 60'000;
  CheckCrowd({.name_ = "",
              .script_ = {.head_ = LengthHead(0),
                          .part_ = LengthHead(0),
                          .part_count_ = 300,
                          .reads_ = false},
              .crowd_ = 20,
              .response_bytes_ = kResponseBytes});
}

TEST_CASE("unread large responses exceed the memory", "[platform][hostile]") {
  CheckCrowd({.name_ = "",
              .script_ = {.head_ = LengthHead(0), .reads_ = false},
              .response_bytes_ = 4 * kMaxBodyBytes});
}

TEST_CASE("silent connections take all descriptors", "[platform][hostile]") {
  const auto port = GENERATE(Port::kCaller, Port::kReadiness, Port::kAdmin);
  CAPTURE(static_cast<int>(port));
  CheckCrowd({.name_ = "",
              .script_ = {.head_ = ""},
              .crowd_ = kConnectionCrowd,
              .port_ = port});
}

TEST_CASE("silent connections take all descriptors before the rules are known",
          "[platform][hostile]") {
  CheckCrowd({.name_ = "",
              .script_ = {.head_ = ""},
              .crowd_ = kConnectionCrowd,
              .phase_ = Phase::kBeforeRules});
}

TEST_CASE("connections within a head or a body take all descriptors",
          "[platform][hostile]") {
  const auto row =
      GENERATE(Row{"head", HeadWithout(2, 16), kConnectionCrowd},
               Row{"body", Body(kMaxBodyBytes, 4096), kConnectionCrowd},
               Row{"chunk", Chunks(16, 16), kConnectionCrowd});
  CheckCrowd(row);
}

TEST_CASE("idle connections take all descriptors", "[platform][hostile]") {
  CheckCrowd({"", {.head_ = LengthHead(0)}, kConnectionCrowd});
}

TEST_CASE("refusals of a crowd displace other lines of the log",
          "[platform][hostile]") {
  constexpr std::size_t kConnections = 4;
  constexpr std::size_t kRequestsPerPart = 50;
  constexpr std::size_t kParts = 100;
  const std::string path = GENERATE("/unknown/x", "/safe/x");
  CAPTURE(path);
  LimitedEntry limited(Phase::kServing);
  // Without a route, or with an unknown key.
  std::string request = Head(path, "content-length: 0");
  request.replace(request.find("Bearer k1"), 9, "Bearer k9");
  std::string part;
  for (std::size_t i = 0; i < kRequestsPerPart; ++i) {
    part += request;
  }
  CallerCrowd crowd(limited.entry_.caller_port_, kConnections,
                    {.part_ = part, .part_count_ = kParts});
  crowd.Drive();
  CHECK(crowd.open() == kConnections);
  CHECK(limited.Serves(RequestText("/safe/x")));
  const auto log = limited.deployment_.Log("e1");
  CHECK(log.find("request-ended") != std::string::npos);
  CHECK(log.find("log-dropped") == std::string::npos);
}

}  // namespace
}  // namespace chalkwell::platform_tests
