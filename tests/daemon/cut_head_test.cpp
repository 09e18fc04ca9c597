// The HTTP client against a server that stops within the head of its response,
// or shortly after it, at each byte.
#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "daemon/http_client.hpp"
#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

const std::string kHeadEnd = "\r\n\r\n";
const std::string kBody = "abcdefgh";
const std::string kEarlier =
    "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok";
/// Bytes after the head up to which a response is cut.
constexpr std::size_t kMaxBodyBytes = 4;
/// A silent server closes the connection after this time, which is longer than
/// the client waits.
constexpr auto kServerSilence = 30ms;
constexpr auto kClientTimeout = 10ms;
constexpr auto kLongTimeout = 10s;

/// What a server does in the middle of a response.
enum class Stop : std::uint8_t { kClose, kReset, kSilence };

struct Row {
  std::string name_;
  std::string head_;
  /// How the body follows the head.
  std::string body_;
};

/// @return what the client reports of a response that stops after `bytes`.
/// @param kept whether the connection has carried an earlier response.
HttpResponse FetchCut(const std::string& bytes, bool kept, Stop stop) {
  const RawListener listener;
  Loop loop;
  HttpClient client(loop, kLongTimeout);
  std::thread server([&] {
    auto peer = listener.Accept();
    if (kept) {
      (void)peer.ReadUntil(kHeadEnd);
      peer.Send(kEarlier);
    }
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(bytes);
    if (stop == Stop::kReset) {
      peer.Reset();
    } else if (stop == Stop::kSilence) {
      std::this_thread::sleep_for(kServerSilence);
    }
  });
  HttpResponse result;
  const auto fetch = [&](const std::string& id, core::Duration timeout) {
    HttpSendOptions options;
    options.keep_alive_ = true;
    options.max_idle_time_ = kLongTimeout;
    options.idle_timeout_ = timeout;
    options.matches_request_ = [id](const HttpHeaders& headers) {
      return FindHeader(headers, "id") == id;
    };
    client.Fetch(
        {"127.0.0.1", listener.port()}, {.method_ = "GET", .path_ = "/"},
        [&](HttpResponse response) {
          result = std::move(response);
          loop.Stop();
        },
        std::size_t{1} << 20, std::move(options));
    loop.Run();
  };
  if (kept) {
    fetch("1", kLongTimeout);
    REQUIRE(result.end_ == HttpEnd::kComplete);
    result = {};
  }
  fetch("2", stop == Stop::kSilence ? core::Duration(kClientTimeout)
                                    : core::Duration(kLongTimeout));
  server.join();
  return result;
}

TEST_CASE("a response whose head is cut does not look complete", "[daemon]") {
  // Regression: a head that stopped in the middle was answered with an empty or
  // short body that looked complete.
  const auto row = GENERATE(
      Row{"by length",
          "HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 8\r\nseal: s\r\n\r\n",
          kBody},
      Row{"by chunks",
          "HTTP/1.1 200 OK\r\nid: 2\r\ntransfer-encoding: chunked\r\n\r\n",
          "8\r\n" + kBody + "\r\n0\r\n\r\n"},
      Row{"without a length", "HTTP/1.1 200 OK\r\nid: 2\r\nseal: s\r\n\r\n",
          kBody},
      Row{"status without a body", "HTTP/1.1 204 No Content\r\nid: 2\r\n\r\n",
          ""});
  const std::string before =
      GENERATE(as<std::string>{}, "", "HTTP/1.1 102 Processing\r\na: b\r\n\r\n",
               "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok");
  const bool kept = GENERATE(false, true);
  const auto stop = GENERATE(Stop::kClose, Stop::kReset, Stop::kSilence);
  CAPTURE(row.name_, before, kept, static_cast<int>(stop));
  const bool unframed = row.name_ == "without a length";
  const std::size_t body_bytes = std::min(kMaxBodyBytes, row.body_.size());
  // Each silence takes time.
  const std::size_t step = stop == Stop::kSilence ? 7 : 1;
  for (std::size_t size = 0; size < row.head_.size() + body_bytes;
       size += step) {
    const bool head_complete = size >= row.head_.size();
    const auto response =
        FetchCut(before + (row.head_ + row.body_).substr(0, size), kept, stop);
    CAPTURE(size, response.status_, response.body_);
    if (unframed && head_complete && stop == Stop::kClose) {
      // Nothing tells it from a complete response.
      CHECK(response.end_ == HttpEnd::kCloseDelimited);
      continue;
    }
    CHECK(response.end_ == HttpEnd::kBroken);
    CHECK_FALSE(response.ok());
    CHECK((head_complete || response.status_ == 0));
  }
}

}  // namespace
}  // namespace chalkwell::daemon
