// The client against servers that frame badly, answer twice or answer late.
#include "daemon/http_client.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

const std::string kHeadEnd = "\r\n\r\n";

/// Runs a scripted server on another thread.
class Fixture {
 public:
  Fixture() : client_(loop_, 2s) {}

  HttpResponse Ask(const std::string& id = "", core::Duration max_rest = 2s) {
    HttpSendOptions options;
    options.keep_ = true;
    options.max_rest_ = max_rest;
    if (!id.empty()) {
      options.is_ours_ = [id](const HttpHeaders& headers) {
        return FindHeader(headers, "id") == id;
      };
    }
    HttpResponse answer;
    client_.Fetch(
        {"127.0.0.1", listener_.port()}, {.method_ = "GET", .path_ = "/"},
        [&](HttpResponse response) {
          answer = std::move(response);
          loop_.Stop();
        },
        std::size_t{1} << 20, std::move(options));
    loop_.Run();
    return answer;
  }

  /// Lets the loop see what the server has done meanwhile.
  void Settle() {
    loop_.After(30ms, [this] { loop_.Stop(); });
    loop_.Run();
  }

  RawListener listener_;
  Loop loop_;
  HttpClient client_;
};

TEST_CASE("an answer is whole only when its framing says so", "[daemon]") {
  struct Row {
    std::string name_;
    std::string bytes_;
    bool reset_;
    HttpEnd end_;
  };
  const auto row = GENERATE(
      Row{"by length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false,
          HttpEnd::kWhole},
      Row{"short of its length",
          "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc", false,
          HttpEnd::kBroken},
      Row{"by chunks",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
          "0\r\n\r\n",
          false, HttpEnd::kWhole},
      Row{"between two chunks",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
          false, HttpEnd::kBroken},
      Row{"without a length, closed", "HTTP/1.1 200 OK\r\n\r\nabc", false,
          HttpEnd::kUnframed},
      Row{"without a length, reset", "HTTP/1.1 200 OK\r\n\r\nabc", true,
          HttpEnd::kBroken},
      Row{"no answer at all", "", false, HttpEnd::kBroken},
      Row{"bytes that are no answer", "nonsense\r\n\r\n", false,
          HttpEnd::kBroken},
      Row{"an interim answer first",
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"
          "content-length: 3\r\n\r\nabc",
          false, HttpEnd::kWhole});
  CAPTURE(row.name_);
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send(row.bytes_);
    if (row.reset_) {
      // The bytes must be read before the reset drops them.
      std::this_thread::sleep_for(30ms);
      peer.Reset();
    }
  });
  const auto answer = fixture.Ask();
  server.join();
  CHECK(answer.end_ == row.end_);
  if (row.end_ == HttpEnd::kWhole) {
    CHECK(answer.body_ == "abc");
  }
}

TEST_CASE("a late answer to an earlier request is nobody's", "[daemon]") {
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
  CHECK(fixture.Ask("1").body_ == "one");
  const auto second = fixture.Ask("2");
  server.join();
  CHECK(second.end_ == HttpEnd::kWhole);
  CHECK(second.body_ == "two");
}

TEST_CASE("a request that may not be sent any more is not", "[daemon]") {
  // An endpoint left while a connection to it opened, and got the request.
  const bool may_send = GENERATE(true, false);
  Fixture fixture;
  std::string got;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    got = peer.ReadUntil(may_send ? kHeadEnd : "");
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
  fixture.Settle();
  server.join();
  CHECK(end == (may_send ? HttpEnd::kWhole : HttpEnd::kNotSent));
  CHECK(got.empty() != may_send);
}

TEST_CASE("a request that its server does not read is undelivered",
          "[daemon]") {
  struct Row {
    std::size_t bytes_;
    bool undelivered_;
  };
  // The server's system takes the small one, whoever reads it.
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
  fixture.Settle();
  server.join();
  CHECK(call->undelivered() == row.undelivered_);
  call->Cancel();
  fixture.Settle();
}

TEST_CASE("which connections are used again", "[daemon]") {
  struct Row {
    std::string name_;
    std::string first_;
    bool again_;
  };
  const auto row = GENERATE(
      Row{"kept", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na", true},
      Row{"to be closed",
          "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\na",
          false},
      Row{"followed by other bytes",
          "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nabc", false},
      Row{"kept for no time",
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
    if (row.again_) {
      (void)peer.ReadUntil(kHeadEnd);
      peer.Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb");
      return;
    }
    auto next = fixture.listener_.Accept();
    ++accepted;
    (void)next.ReadUntil(kHeadEnd);
    next.Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb");
  });
  CHECK(fixture.Ask().body_ == "a");
  fixture.Settle();
  CHECK(fixture.Ask().body_ == "b");
  server.join();
  CHECK(accepted == (row.again_ ? 1 : 2));
}

TEST_CASE("a connection that may not be used again is closed", "[daemon]") {
  // Servers count those at rest among the ones they take.
  Fixture fixture;
  std::thread server([&] {
    auto peer = fixture.listener_.Accept();
    (void)peer.ReadUntil(kHeadEnd);
    peer.Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
    // Until the client hangs up.
    (void)peer.ReadUntil();
  });
  CHECK(fixture.Ask("", 50ms).body_ == "a");
  const Address address{"127.0.0.1", fixture.listener_.port()};
  CHECK(fixture.client_.ConnectionsTo(address) == 1);
  while (fixture.client_.ConnectionsTo(address) > 0) {
    fixture.Settle();
  }
  server.join();
}

}  // namespace
}  // namespace chalkwell::daemon
