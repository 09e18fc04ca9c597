// The HTTP client against servers that send incomplete, repeated or late
// responses.
#include "daemon/http_client.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <thread>

#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

const std::string kHeadEnd = "\r\n\r\n";

/// A client on the loop of this thread, and a listener for a server that the
/// test scripts on another thread.
class Fixture {
 public:
  Fixture() : client_(loop_, 2s) {}

  /// Sends a GET request and waits for its end.
  /// @param response_id accept only a response with this header `id`, if given.
  /// @param max_idle how long the connection may be idle to be used again.
  /// @param total_timeout of the request.
  HttpResponse Fetch(const std::string& response_id = "",
                     core::Duration max_idle = 2s,
                     core::Duration total_timeout = 20s) {
    HttpSendOptions options;
    options.total_timeout_ = total_timeout;
    options.keep_alive_ = true;
    options.max_idle_time_ = max_idle;
    if (!response_id.empty()) {
      options.matches_request_ = [response_id](const HttpHeaders& headers) {
        return FindHeader(headers, "id") == response_id;
      };
    }
    HttpResponse result;
    client_.Fetch(
        {"127.0.0.1", listener_.port()}, {.method_ = "GET", .path_ = "/"},
        [&](HttpResponse response) {
          result = std::move(response);
          loop_.Stop();
        },
        std::size_t{1} << 20, std::move(options));
    loop_.Run();
    return result;
  }

  /// Runs the loop for 30 ms, to process what the server has done.
  void RunBriefly() {
    loop_.After(30ms, [this] { loop_.Stop(); });
    loop_.Run();
  }

  RawListener listener_;
  Loop loop_;
  HttpClient client_;
};

TEST_CASE("a response is complete only if its framing shows it", "[daemon]") {
  struct Row {
    std::string name_;
    std::string bytes_;
    bool reset_;
    HttpEnd end_;
  };
  const auto row = GENERATE(
      Row{"by length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false,
          HttpEnd::kComplete},
      Row{"shorter than its length",
          "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc", false,
          HttpEnd::kBroken},
      Row{"by chunks",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
          "0\r\n\r\n",
          false, HttpEnd::kComplete},
      Row{"ended between two chunks",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
          false, HttpEnd::kBroken},
      Row{"without a length, closed", "HTTP/1.1 200 OK\r\n\r\nabc", false,
          HttpEnd::kCloseDelimited},
      Row{"without a length, reset", "HTTP/1.1 200 OK\r\n\r\nabc", true,
          HttpEnd::kBroken},
      Row{"no response", "", false, HttpEnd::kBroken},
      Row{"bytes that are no response", "nonsense\r\n\r\n", false,
          HttpEnd::kBroken},
      Row{"an interim response first",
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"
          "content-length: 3\r\n\r\nabc",
          false, HttpEnd::kComplete});
  CAPTURE(row.name_);
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(row.bytes_);
    if (row.reset_) {
      // The client must read the bytes before the reset discards them.
      std::this_thread::sleep_for(30ms);
      peer.Reset();
    }
  });
  const auto result = fixture.Fetch();
  server.join();
  CHECK(result.end_ == row.end_);
  if (row.end_ == HttpEnd::kComplete) {
    CHECK(result.body_ == "abc");
  }
}

TEST_CASE("a response with a status that is none is taken for a response",
          "[daemon]") {
  const auto status = GENERATE(as<std::string>(), "000", "001", "099", "101",
                               "600", "999", "20", "2000", "-20", "2x0", "");
  // A valid response follows, as after an interim one.
  const bool followed = GENERATE(true, false);
  CAPTURE(status, followed);
  const std::string valid = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send("HTTP/1.1 " + status + " X\r\ncontent-length: " +
              (followed ? "0\r\n\r\n" + valid : "3\r\n\r\nabc"));
  });
  const auto result = fixture.Fetch();
  server.join();
  CHECK(result.end_ == HttpEnd::kBroken);
  CHECK(result.status_ == 0);
}

TEST_CASE("a request whose target or header would end its line is not sent",
          "[daemon]") {
  const auto request = GENERATE(
      HttpRequest{.method_ = "GET", .path_ = "/a b"},
      HttpRequest{.method_ = "GET", .path_ = "/a\r\nx: y"},
      HttpRequest{.method_ = "GET", .path_ = ""},
      HttpRequest{
          .method_ = "GET", .path_ = "/", .headers_ = {{"x", "y\r\nz: 1"}}},
      HttpRequest{.method_ = "GET", .path_ = "/", .headers_ = {{"x\n", "y"}}});
  CAPTURE(request.path_);
  Fixture fixture;
  std::optional<HttpEnd> end;
  const auto call =
      fixture.client_.Send({"127.0.0.1", fixture.listener_.port()}, request,
                           {.on_end_ = [&](HttpEnd ended) { end = ended; }});
  CHECK_FALSE(end);
  fixture.RunBriefly();
  CHECK(end == HttpEnd::kNotSent);
}

TEST_CASE("a response that is reset behind its bytes looks complete",
          "[daemon]") {
  // Regression: a reset that arrived together with the last bytes was taken for
  // the end of a response without a length.
  const std::string begin = "HTTP/1.1 200 OK\r\n\r\n";
  const auto bytes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{1000},
                              std::size_t{100'000});
  const bool kept = GENERATE(false, true);
  CAPTURE(bytes, kept);
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    if (kept) {
      peer.Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
      (void)peer.ReadUntil(kHeadEnd);
    }
    peer.Send(begin + std::string(bytes, 'x'));
    peer.Reset();
  });
  if (kept) {
    REQUIRE(fixture.Fetch().end_ == HttpEnd::kComplete);
  }
  CHECK(fixture.Fetch().end_ == HttpEnd::kBroken);
  server.join();
}

TEST_CASE("a server that sends bytes without end keeps a request open",
          "[daemon]") {
  /// Bytes after which the server gives up; the client accepts 1 MiB.
  constexpr std::size_t kMaxSent = std::size_t{64} << 20;
  constexpr auto kTrickleInterval = 5ms;
  struct Row {
    std::string name_;
    std::string begin_;
    std::string repeated_;
    /// Whether the bytes arrive slowly, so that only the time ends the request.
    bool trickles_;
  };
  const std::string block(std::size_t{16} << 10, 'x');
  const auto row = GENERATE_COPY(
      Row{"no response", "", block, false},
      Row{"a header", "HTTP/1.1 200 OK\r\na: ", block, false},
      Row{"headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n", false},
      Row{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
      Row{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", block, false},
      Row{"chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
          "4000\r\n" + block + "\r\n", false},
      Row{"a chunk's size",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0", false},
      Row{"a header, slowly", "HTTP/1.1 200 OK\r\na: ", "x", true},
      Row{"a body, slowly", "HTTP/1.1 200 OK\r\n\r\n", "x", true});
  CAPTURE(row.name_);
  Fixture fixture;
  std::atomic<bool> closed = false;
  std::thread server([&] {
    const auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(row.begin_);
    for (std::size_t sent = 0; sent < kMaxSent && !closed;
         sent += row.repeated_.size()) {
      closed = !peer.TrySend(row.repeated_);
      if (row.trickles_) {
        std::this_thread::sleep_for(kTrickleInterval);
      }
    }
  });
  const auto result = fixture.Fetch("", 2s, row.trickles_ ? 100ms : 20s);
  server.join();
  CHECK(closed);
  CHECK(result.end_ == HttpEnd::kBroken);
  CHECK(result.body_.size() <= std::size_t{1} << 20);
}

TEST_CASE("the framing of a response is known with its head", "[daemon]") {
  struct Row {
    std::string head_;
    HttpFraming framing_;
  };
  const auto row = GENERATE(
      Row{"HTTP/1.1 200 OK\r\ncontent-length: 3", HttpFraming::kLength},
      Row{"HTTP/1.1 204 No Content", HttpFraming::kLength},
      Row{"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked",
          HttpFraming::kChunked},
      Row{"HTTP/1.1 200 OK", HttpFraming::kConnectionEnd},
      Row{"HTTP/1.0 200 OK\r\nconnection: close", HttpFraming::kConnectionEnd});
  CAPTURE(row.head_);
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(row.head_ + kHeadEnd);
  });
  std::optional<HttpFraming> framing;
  std::shared_ptr<HttpCall> call;
  HttpCallbacks callbacks;
  callbacks.on_headers_ = [&](int, const HttpHeaders&) {
    framing = call->framing();
  };
  callbacks.on_end_ = [&](HttpEnd) { fixture.loop_.Stop(); };
  call = fixture.client_.Send({"127.0.0.1", fixture.listener_.port()},
                              {.method_ = "GET", .path_ = "/"}, callbacks);
  fixture.loop_.Run();
  server.join();
  CHECK(framing == row.framing_);
}

TEST_CASE("a late response to an earlier request is discarded", "[daemon]") {
  Fixture fixture;
  std::thread server([&] {
    const auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send("HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\none");
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(
        "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\none"
        "HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\ntwo");
  });
  CHECK(fixture.Fetch("1").body_ == "one");
  const auto second = fixture.Fetch("2");
  server.join();
  CHECK(second.end_ == HttpEnd::kComplete);
  CHECK(second.body_ == "two");
}

TEST_CASE("a request is not sent once it may not be sent", "[daemon]") {
  // Guards against a request reaching an endpoint that was removed while the
  // connection to it was being opened.
  const bool may_send = GENERATE(true, false);
  Fixture fixture;
  std::string received;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    received = peer.ReadUntil(may_send ? kHeadEnd : "");
    peer.Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  });
  HttpSendOptions options;
  options.may_send_ = [may_send] { return may_send; };
  HttpEnd end = HttpEnd::kBroken;
  fixture.client_.Fetch(
      {"127.0.0.1", fixture.listener_.port()},
      {.method_ = "GET", .path_ = "/", .headers_ = {}, .body_ = ""},
      [&](const HttpResponse& response) {
        end = response.end_;
        fixture.loop_.Stop();
      },
      std::size_t{1} << 20, std::move(options));
  fixture.loop_.Run();
  fixture.RunBriefly();
  server.join();
  CHECK(end == (may_send ? HttpEnd::kComplete : HttpEnd::kNotSent));
  CHECK(received.empty() != may_send);
}

TEST_CASE("a request that the server does not read is undelivered",
          "[daemon]") {
  struct Row {
    std::size_t bytes_;
    bool undelivered_;
  };
  // The small request fits the server's socket buffer and counts as delivered,
  // although nobody reads it.
  const auto row = GENERATE(Row{100, false}, Row{std::size_t{32} << 20, true});
  Fixture fixture;
  std::optional<RawSocket> peer;
  std::thread server([&] { peer.emplace(fixture.listener_.Accept()); });
  const auto call =
      fixture.client_.Send({"127.0.0.1", fixture.listener_.port()},
                           {.method_ = "POST",
                            .path_ = "/",
                            .headers_ = {},
                            .body_ = std::string(row.bytes_, 'x')},
                           {});
  fixture.RunBriefly();
  server.join();
  CHECK(call->has_unacknowledged_data() == row.undelivered_);
  call->Cancel();
  fixture.RunBriefly();
}

TEST_CASE("a connection is reused only if the response allows it", "[daemon]") {
  struct Row {
    std::string name_;
    std::string first_;
    bool reused_;
  };
  const auto row = GENERATE(
      Row{"kept for reuse", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na",
          true},
      Row{"connection: close",
          "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\na",
          false},
      Row{"extra bytes after the response",
          "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nabc", false},
      Row{"keep-alive with timeout 0",
          "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: "
          "1\r\n\r\na",
          false});
  CAPTURE(row.name_);
  Fixture fixture;
  std::atomic<int> accepted{0};
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    ++accepted;
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(row.first_);
    if (row.reused_) {
      (void)peer.ReadUntil(kHeadEnd);
      peer.Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb");
      return;
    }
    auto next = fixture.listener_.Accept();
    ++accepted;
    (void)next.ReadUntil(kHeadEnd);
    next.Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb");
  });
  CHECK(fixture.Fetch().body_ == "a");
  fixture.RunBriefly();
  CHECK(fixture.Fetch().body_ == "b");
  server.join();
  CHECK(accepted == (row.reused_ ? 1 : 2));
}

TEST_CASE("an idle connection is closed after its maximum idle time",
          "[daemon]") {
  // Idle connections count against a server's limit of connections.
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
    // Returns when the client closes the connection.
    (void)peer.ReadUntil();
  });
  CHECK(fixture.Fetch("", 50ms).body_ == "a");
  const Address address{"127.0.0.1", fixture.listener_.port()};
  CHECK(fixture.client_.ConnectionsTo(address) == 1);
  while (fixture.client_.ConnectionsTo(address) > 0) {
    fixture.RunBriefly();
  }
  server.join();
}

}  // namespace
}  // namespace chalkwell::daemon
