// The server on our own streams: callers that leave, limits in force, framing
// that leaves no doubt, slow readers.
#include "daemon/http1_server.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

/// A server on this thread's loop and a caller on another thread.
class Fixture {
 public:
  explicit Fixture(HttpHandler handler)
      : server_(loop_, {"127.0.0.1", 0},
                {.limits_ = [this] { return limits_; }, .on_refused_ = nullptr},
                std::move(handler)) {
    limits_.header_bytes_ = 1000;
    limits_.body_bytes_ = 100;
    limits_.request_time_ = 60ms;
    limits_.idle_time_ = 80ms;
  }

  /// Runs the loop until the caller's thread has ended.
  void Run(const std::function<void(std::uint16_t port)>& caller) {
    std::thread thread([&] {
      caller(server_.port());
      done_ = true;
    });
    Timer poll(loop_);
    poll.Every(2ms, [this] {
      if (done_) {
        loop_.Stop();
      }
    });
    loop_.Run();
    thread.join();
  }

  std::string Ask(const std::string& bytes) {
    std::string answer;
    Run([&](std::uint16_t port) {
      const RawSocket caller(port);
      caller.Send(bytes);
      answer = caller.ReadUntil();
    });
    return answer;
  }

  Loop loop_;
  HttpLimits limits_;
  std::atomic<bool> done_{false};
  Http1Server server_;
};

void Echo(const HttpExchangePtr& exchange) {
  exchange->Respond(
      200, {}, exchange->request().path_ + "|" + exchange->request().body_);
}

TEST_CASE("what is not one request beyond doubt is refused and runs nowhere",
          "[daemon]") {
  struct Row {
    std::string name_;
    std::string bytes_;
    std::string status_;
  };
  const auto row = GENERATE(
      Row{"two lengths",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: "
          "4\r\n\r\nabcd",
          "400"},
      Row{"length and chunks",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
          "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"chunks and length",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
          "content-length: 3\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"an unknown coding",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n",
          "400"},
      Row{"chunks behind another coding",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, "
          "chunked\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"chunks from an old caller",
          "POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: "
          "chunked\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"two hosts", "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", "400"},
      Row{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
      Row{"blank before the colon", "GET / HTTP/1.1\r\nhost : a\r\n\r\n",
          "400"},
      Row{"a length with a sign",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc", "400"},
      Row{"a chunk size that is none",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: "
          "chunked\r\n\r\nx\r\n\r\n",
          "400"},
      Row{"headers over the limit",
          "GET / HTTP/1.1\r\nhost: a\r\nx: " + std::string(2000, 'h') +
              "\r\n\r\n",
          "431"},
      Row{"a length over the limit",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n", "413"},
      Row{"chunks over the limit",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: "
          "chunked\r\n\r\n65\r\n" +
              std::string(101, 'b') + "\r\n0\r\n\r\n",
          "413"},
      Row{"a head that takes too long", "GET / HTTP/1.1\r\nhost: a\r\n", "408"},
      Row{"a body that takes too long",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabc", "408"});
  CAPTURE(row.name_);
  int handled = 0;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    ++handled;
    Echo(exchange);
  });
  const auto answer = fixture.Ask(row.bytes_);
  CHECK(answer.starts_with("HTTP/1.1 " + row.status_));
  CHECK(handled == 0);
}

TEST_CASE("bodies arrive whole, by length and by chunks", "[daemon]") {
  struct Row {
    std::string bytes_;
    std::string body_;
  };
  const auto row =
      GENERATE(Row{"POST /p HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
                   "content-length: 3\r\n\r\nabc",
                   "/p|abc"},
               Row{"POST /p HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
                   "transfer-encoding: "
                   "chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
                   "/p|abc"},
               Row{"GET /q HTTP/1.0\r\n\r\n", "/q|"});
  Fixture fixture(Echo);
  const auto answer = fixture.Ask(row.bytes_);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("\r\n\r\n" + row.body_));
}

TEST_CASE("one connection carries requests in order, and rests for a time",
          "[daemon]") {
  Fixture fixture(Echo);
  const std::string one = "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n";
  const std::string two = "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n";
  const auto answer = fixture.Ask(one + two);
  const auto first = answer.find("/1|");
  REQUIRE(first != std::string::npos);
  CHECK(answer.find("/2|", first) != std::string::npos);
}

TEST_CASE("a caller that leaves is noticed while nothing is written",
          "[daemon]") {
  const bool reset = GENERATE(false, true);
  std::atomic<bool> begun{false};
  std::atomic<bool> aborted{false};
  HttpExchangePtr held;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    held = exchange;
    exchange->OnAbort([&] { aborted = true; });
    begun = true;
  });
  fixture.Run([&](std::uint16_t port) {
    RawSocket caller(port);
    caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    while (!begun) {
      std::this_thread::sleep_for(1ms);
    }
    reset ? caller.Reset() : caller.Close();
    while (!aborted) {
      std::this_thread::sleep_for(1ms);
    }
  });
  CHECK(aborted);
  CHECK_FALSE(held->open());
}

TEST_CASE("how the end of an answer shows", "[daemon]") {
  struct Row {
    std::string name_;
    std::function<void(HttpExchange&)> answer_;
    std::string contains_;
    std::string end_;
  };
  const auto row =
      GENERATE(Row{"whole",
                   [](HttpExchange& exchange) {
                     exchange.Start(200, {});
                     exchange.Write("abc");
                     exchange.End(true);
                   },
                   "transfer-encoding: chunked", "3\r\nabc\r\n0\r\n\r\n"},
               Row{"cut",
                   [](HttpExchange& exchange) {
                     exchange.Start(200, {});
                     exchange.Write("abc");
                     exchange.End(false);
                   },
                   "", ""},
               Row{"without a length",
                   [](HttpExchange& exchange) {
                     exchange.StartUnframed(200, {});
                     exchange.Write("abc");
                     exchange.End(true);
                   },
                   "connection: close", "\r\n\r\nabc"});
  CAPTURE(row.name_);
  Fixture fixture(
      [&](const HttpExchangePtr& exchange) { row.answer_(*exchange); });
  const auto answer = fixture.Ask("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(answer.find(row.contains_) != std::string::npos);
  CHECK(answer.ends_with(row.end_));
  if (row.name_ != "whole") {
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
    CHECK(answer.find("content-length") == std::string::npos);
  }
}

TEST_CASE("a stopping server closes after each answer", "[daemon]") {
  Fixture fixture(Echo);
  fixture.server_.CloseAfterAnswers();
  const auto answer = fixture.Ask("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(answer.find("connection: close") != std::string::npos);
}

TEST_CASE("nothing behind a request that closes its connection is handled",
          "[daemon]") {
  int handled = 0;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    ++handled;
    Echo(exchange);
  });
  const auto answer = fixture.Ask(
      "GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
      "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(answer.find("/1|") != std::string::npos);
  CHECK(handled == 1);
}

TEST_CASE("a reader that does not read is seen by what is pending",
          "[daemon]") {
  HttpExchangePtr held;
  std::atomic<bool> full{false};
  std::atomic<bool> drained{false};
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    held = exchange;
    exchange->Start(200, {});
    const std::string piece(std::size_t{1} << 20, 'x');
    for (int i = 0; i < 16 && exchange->pending() == 0; ++i) {
      exchange->Write(piece);
    }
    CHECK(exchange->pending() > 0);
    exchange->OnDrained([&] {
      drained = true;
      held->End(true);
    });
    full = true;
  });
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    while (!full) {
      std::this_thread::sleep_for(1ms);
    }
    (void)caller.ReadUntil();
  });
  CHECK(drained);
}

}  // namespace
}  // namespace chalkwell::daemon
