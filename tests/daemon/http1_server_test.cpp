// The HTTP/1.1 server: refusal of ambiguous framing, limits, detection of
// closed connections, slow readers.
#include "daemon/http1_server.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <thread>

#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

/// Runs a server on the loop of this thread and a caller on another thread.
class Fixture {
 public:
  explicit Fixture(HttpHandler handler)
      : server_(loop_, {"127.0.0.1", 0},
                {.limits_ = [this] { return limits_; },
                 .on_refused_ = nullptr,
                 .on_unanswered_ =
                     [this](UnansweredCause cause, const HttpRequest&) {
                       ++unanswered_;
                       CHECK(cause == UnansweredCause::kDropped);
                     }},
                std::move(handler)) {
    limits_.header_bytes_ = 1000;
    limits_.body_bytes_ = 100;
    limits_.request_timeout_ = 60ms;
    limits_.idle_timeout_ = 80ms;
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

  /// Sends bytes on a new connection and returns all that comes back until the
  /// server closes it.
  std::string SendAndReceive(const std::string& bytes) {
    std::string response;
    Run([&](std::uint16_t port) {
      const RawSocket caller(port);
      caller.Send(bytes);
      response = caller.ReadUntil();
    });
    return response;
  }

  Loop loop_;
  HttpLimits limits_;
  std::atomic<bool> done_{false};
  int unanswered_ = 0;
  Http1Server server_;
};

void Echo(const HttpExchangePtr& exchange) {
  exchange->Respond(
      200, {}, exchange->request().path_ + "|" + exchange->request().body_);
}

TEST_CASE(
    "ambiguous and oversized requests are refused before the handler runs",
    "[daemon]") {
  struct Row {
    std::string name_;
    std::string bytes_;
    std::string status_;
  };
  const auto row = GENERATE(
      Row{"two content lengths",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: "
          "4\r\n\r\nabcd",
          "400"},
      Row{"content length, then chunks",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
          "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"chunks, then content length",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
          "content-length: 3\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"an unknown transfer coding",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n",
          "400"},
      Row{"chunks after another transfer coding",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, "
          "chunked\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"chunks in HTTP/1.0",
          "POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: "
          "chunked\r\n\r\n0\r\n\r\n",
          "400"},
      Row{"two host headers", "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
          "400"},
      Row{"no host header", "GET / HTTP/1.1\r\n\r\n", "400"},
      Row{"whitespace before the colon", "GET / HTTP/1.1\r\nhost : a\r\n\r\n",
          "400"},
      Row{"a content length with a sign",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc", "400"},
      Row{"an invalid chunk size",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: "
          "chunked\r\n\r\nx\r\n\r\n",
          "400"},
      Row{"headers over the limit",
          "GET / HTTP/1.1\r\nhost: a\r\nx: " + std::string(2000, 'h') +
              "\r\n\r\n",
          "431"},
      Row{"a content length over the limit",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n", "413"},
      Row{"chunks over the limit",
          "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: "
          "chunked\r\n\r\n65\r\n" +
              std::string(101, 'b') + "\r\n0\r\n\r\n",
          "413"},
      Row{"headers that take too long", "GET / HTTP/1.1\r\nhost: a\r\n", "408"},
      Row{"a body that takes too long",
          "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabc", "408"});
  CAPTURE(row.name_);
  int handled = 0;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    ++handled;
    Echo(exchange);
  });
  const auto response = fixture.SendAndReceive(row.bytes_);
  CHECK(response.starts_with("HTTP/1.1 " + row.status_));
  CHECK(handled == 0);
}

TEST_CASE("bodies are read completely, by length and by chunks", "[daemon]") {
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
  const auto response = fixture.SendAndReceive(row.bytes_);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with("\r\n\r\n" + row.body_));
}

TEST_CASE("pipelined requests are answered in order on one connection",
          "[daemon]") {
  Fixture fixture(Echo);
  const std::string first_request = "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n";
  const std::string second_request = "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n";
  const auto response = fixture.SendAndReceive(first_request + second_request);
  const auto first_position = response.find("/1|");
  REQUIRE(first_position != std::string::npos);
  CHECK(response.find("/2|", first_position) != std::string::npos);
}

TEST_CASE("a closed connection is detected while no response is written",
          "[daemon]") {
  const bool reset = GENERATE(false, true);
  std::atomic<bool> handler_called{false};
  std::atomic<bool> aborted{false};
  HttpExchangePtr held;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    held = exchange;
    exchange->OnAbort([&] { aborted = true; });
    handler_called = true;
  });
  fixture.Run([&](std::uint16_t port) {
    RawSocket caller(port);
    caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    while (!handler_called) {
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

TEST_CASE("the framing shows whether a response is complete", "[daemon]") {
  struct Row {
    std::string name_;
    std::function<void(HttpExchange&)> respond_;
    std::string contains_;
    std::string end_;
  };
  const auto row =
      GENERATE(Row{"complete response",
                   [](HttpExchange& exchange) {
                     exchange.Start(200, {});
                     exchange.Write("abc");
                     exchange.End(true);
                   },
                   "transfer-encoding: chunked", "3\r\nabc\r\n0\r\n\r\n"},
               Row{"aborted",
                   [](HttpExchange& exchange) {
                     exchange.Start(200, {});
                     exchange.Write("abc");
                     exchange.End(false);
                   },
                   "", ""},
               Row{"without a length",
                   [](HttpExchange& exchange) {
                     exchange.StartCloseDelimited(200, {});
                     exchange.Write("abc");
                     exchange.End(true);
                   },
                   "connection: close", "\r\n\r\nabc"});
  CAPTURE(row.name_);
  Fixture fixture(
      [&](const HttpExchangePtr& exchange) { row.respond_(*exchange); });
  const auto response =
      fixture.SendAndReceive("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(response.find(row.contains_) != std::string::npos);
  CHECK(response.ends_with(row.end_));
  if (row.name_ != "complete response") {
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
    CHECK(response.find("content-length") == std::string::npos);
  }
}

TEST_CASE("a stopping server closes the connection after a response",
          "[daemon]") {
  Fixture fixture(Echo);
  fixture.server_.CloseAfterResponses();
  const auto response =
      fixture.SendAndReceive("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(response.find("connection: close") != std::string::npos);
}

TEST_CASE("bytes after a request with connection: close are ignored",
          "[daemon]") {
  int handled = 0;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    ++handled;
    Echo(exchange);
  });
  const auto response = fixture.SendAndReceive(
      "GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
      "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
  CHECK(response.find("/1|") != std::string::npos);
  CHECK(handled == 1);
}

TEST_CASE("bytes that a slow reader has not taken are counted as pending",
          "[daemon]") {
  HttpExchangePtr held;
  std::atomic<bool> buffer_full{false};
  std::atomic<bool> drained{false};
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    held = exchange;
    exchange->Start(200, {});
    const std::string block(std::size_t{1} << 20, 'x');
    for (int i = 0; i < 16 && exchange->pending() == 0; ++i) {
      exchange->Write(block);
    }
    CHECK(exchange->pending() > 0);
    exchange->OnDrained([&] {
      drained = true;
      held->End(true);
    });
    buffer_full = true;
  });
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    while (!buffer_full) {
      std::this_thread::sleep_for(1ms);
    }
    (void)caller.ReadUntil();
  });
  CHECK(drained);
}

constexpr std::string_view kRequest = "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n";
constexpr std::string_view kNextRequest = "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n";

TEST_CASE("a request is closed unread by a timer or a stop that finds it late",
          "[daemon]") {
  struct Row {
    std::string name_;
    /// Sent and answered before the loop is held.
    std::string earlier_;
    /// Sent before the request is unread.
    std::string part_;
    /// Arrives while the loop is held, longer than the timers.
    std::string unread_;
    bool closes_idle_ = false;
    std::string expected_;
  };
  const std::string request(kRequest);
  const std::string next(kNextRequest);
  const auto row = GENERATE_COPY(
      Row{"first request, idle timer", "", "", next, false, "/2|"},
      Row{"next request, idle timer", request, "", next, false, "/2|"},
      Row{"next request, close of idle connections", request, "", next, true,
          "/2|"},
      Row{"rest of a request, request timer", request, next.substr(0, 20),
          next.substr(20), false, "/2|"},
      Row{"body of a request, request timer", request,
          "POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nab", "cd",
          false, "/2|abcd"});
  CAPTURE(row.name_);
  // Longer than all timers.
  constexpr auto kStep = 200ms;
  Fixture* current = nullptr;
  std::atomic<bool> holding{false};
  std::atomic<bool> sent{false};
  // "/hold" stands for a long computation of a socket's callback, during which
  // the other sockets are not read.
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    if (exchange->request().path_ != "/hold") {
      Echo(exchange);
      return;
    }
    holding = true;
    while (!sent) {
      std::this_thread::sleep_for(1ms);
    }
    std::this_thread::sleep_for(kStep);
    if (row.closes_idle_) {
      current->server_.CloseAfterResponses();
      current->server_.CloseIdle();
    }
    Echo(exchange);
  });
  current = &fixture;
  std::string response;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket holder(port);
    const RawSocket caller(port);
    if (!row.earlier_.empty()) {
      caller.Send(row.earlier_);
      (void)caller.ReadUntil("/1|");
    }
    caller.Send(row.part_);
    std::this_thread::sleep_for(row.part_.empty() ? 0ms : 10ms);
    holder.Send("GET /hold HTTP/1.1\r\nhost: a\r\n\r\n");
    while (!holding) {
      std::this_thread::sleep_for(1ms);
    }
    caller.Send(row.unread_);
    sent = true;
    response = caller.ReadUntil(row.expected_);
  });
  CHECK(response.find("HTTP/1.1 200") != std::string::npos);
  CHECK(response.ends_with(row.expected_));
}

TEST_CASE("an idle connection is closed by a limit that is no longer in force",
          "[daemon]") {
  struct Row {
    std::string name_;
    std::chrono::milliseconds before_;
    std::chrono::milliseconds after_;
    /// Whether the limit changes while the first request is handled, or after.
    bool during_request_;
  };
  const auto row = GENERATE(Row{"raised while at rest", 80ms, 2000ms, false},
                            Row{"raised during a request", 80ms, 2000ms, true},
                            Row{"lowered while at rest", 2000ms, 80ms, false});
  CAPTURE(row.name_);
  // Longer than the lower limit.
  constexpr auto kRest = 300ms;
  std::atomic<bool> change{false};
  Fixture* current = nullptr;
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    if (row.during_request_) {
      current->limits_.idle_timeout_ = row.after_;
    }
    Echo(exchange);
  });
  current = &fixture;
  fixture.limits_.idle_timeout_ = row.before_;
  Timer poll(fixture.loop_);
  poll.Every(1ms, [&] {
    if (change.exchange(false)) {
      fixture.limits_.idle_timeout_ = row.after_;
    }
  });
  std::string response;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send(std::string(kRequest));
    (void)caller.ReadUntil("/1|");
    change = true;
    std::this_thread::sleep_for(kRest);
    caller.Send(std::string(kNextRequest));
    response = caller.ReadUntil("/2|");
  });
  CHECK(response.ends_with("/2|"));
}

TEST_CASE("a stop discards the next request that is already received",
          "[daemon]") {
  struct Row {
    std::string name_;
    bool stops_before_head_;
    bool closes_idle_;
  };
  const auto row = GENERATE(Row{"before the head", true, false},
                            Row{"after the head", false, false},
                            Row{"between the requests", false, true});
  CAPTURE(row.name_);
  HttpExchangePtr held;
  std::atomic<int> handled{0};
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    ++handled;
    if (exchange->request().path_ == "/1") {
      held = exchange;
      return;
    }
    Echo(exchange);
  });
  std::atomic<bool> respond{false};
  Timer poll(fixture.loop_);
  poll.Every(1ms, [&] {
    if (!respond.exchange(false)) {
      return;
    }
    if (row.stops_before_head_) {
      fixture.server_.CloseAfterResponses();
    }
    held->Start(200, {});
    if (!row.closes_idle_) {
      fixture.server_.CloseAfterResponses();
    }
    held->End(true);
    if (row.closes_idle_) {
      fixture.server_.CloseAfterResponses();
      fixture.server_.CloseIdle();
    }
  });
  std::string response;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send(std::string(kRequest) + std::string(kNextRequest));
    while (handled == 0) {
      std::this_thread::sleep_for(1ms);
    }
    respond = true;
    response = caller.ReadUntil();
  });
  CHECK(response.ends_with("/2|"));
  CHECK(handled == 2);
}

TEST_CASE(
    "a stopping server takes requests on a connection whose response ends",
    "[daemon]") {
  HttpExchangePtr held;
  std::atomic<int> handled{0};
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    if (++handled > 1) {
      exchange->Respond(200, {}, "taken");
      return;
    }
    held = exchange;
    exchange->Start(200, {});
  });
  std::atomic<bool> end{false};
  std::atomic<bool> ended{false};
  Timer poll(fixture.loop_);
  poll.Every(1ms, [&] {
    if (end.exchange(false)) {
      fixture.server_.CloseAfterResponses();
      fixture.server_.CloseIdle();
      held->End(true);
      ended = true;
    }
  });
  std::string response;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send(std::string(kRequest));
    while (handled == 0) {
      std::this_thread::sleep_for(1ms);
    }
    end = true;
    response = caller.ReadUntil("0\r\n\r\n");
    // A request that arrives before the close may be taken.
    while (!ended) {
      std::this_thread::sleep_for(1ms);
    }
    (void)caller.TrySend(std::string(kNextRequest));
    (void)caller.ReadUntil("taken");
  });
  CHECK(response.ends_with("0\r\n\r\n"));
  CHECK(handled == 1);
}

TEST_CASE("an unannounced close after a response takes the next request",
          "[daemon]") {
  HttpExchangePtr held;
  std::atomic<bool> handled{false};
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    if (exchange->request().path_ == "/1") {
      held = exchange;
      exchange->Start(200, {});
      handled = true;
      return;
    }
    Echo(exchange);
  });
  std::atomic<bool> end{false};
  Timer poll(fixture.loop_);
  poll.Every(1ms, [&] {
    if (end.exchange(false)) {
      fixture.server_.CloseAfterResponses();
      held->End(true);
    }
  });
  std::string first;
  std::string second;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send(std::string(kRequest));
    while (!handled) {
      std::this_thread::sleep_for(1ms);
    }
    end = true;
    first = caller.ReadUntil("0\r\n\r\n");
    caller.Send(std::string(kNextRequest));
    second = caller.ReadUntil();
  });
  CHECK(first.find("connection: close") == std::string::npos);
  CHECK(second.find("connection: close") != std::string::npos);
  CHECK(second.ends_with("/2|"));
}

TEST_CASE("a request that crosses the close of its connection is read",
          "[daemon]") {
  const bool stops = GENERATE(false, true);
  Fixture fixture(Echo);
  std::atomic<bool> stop{false};
  Timer poll(fixture.loop_);
  poll.Every(1ms, [&] {
    if (stop.exchange(false)) {
      fixture.server_.CloseIdle();
    }
  });
  if (stops) {
    fixture.limits_.idle_timeout_ = 10s;
  }
  bool reset = false;
  std::string response;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send(std::string(kRequest));
    (void)caller.ReadUntil("/1|");
    stop = stops;
    response = caller.ReadUntil();
    caller.Send(std::string(kNextRequest));
    reset = caller.WaitForReset();
  });
  CHECK(response.empty());
  CHECK(reset);
}

TEST_CASE("whole requests of callers that half-close are seen as abandoned",
          "[daemon]") {
  HttpExchangePtr held;
  std::atomic<bool> aborted{false};
  Fixture fixture([&](const HttpExchangePtr& exchange) {
    held = exchange;
    exchange->OnAbort([&] { aborted = true; });
  });
  std::string response;
  fixture.Run([&](std::uint16_t port) {
    const RawSocket caller(port);
    caller.Send(std::string(kRequest));
    caller.EndSending();
    response = caller.ReadUntil();
  });
  CHECK(aborted);
  CHECK(response.empty());
}

TEST_CASE("a request that its handler drops gets no answer", "[daemon]") {
  struct Row {
    std::string name_;
    HttpHandler handler_;
    std::string response_;
    int unanswered_;
  };
  const auto row = GENERATE(
      Row{"dropped", [](const HttpExchangePtr&) {}, "HTTP/1.1 500", 1},
      Row{"failed",
          [](const HttpExchangePtr&) { throw std::runtime_error("test"); },
          "HTTP/1.1 500", 1},
      Row{"dropped after its head",
          [](const HttpExchangePtr& exchange) { exchange->Start(200, {}); }, "",
          1},
      Row{"answered", Echo, "HTTP/1.1 200", 0},
      Row{"ended as incomplete",
          [](const HttpExchangePtr& exchange) {
            exchange->Start(200, {});
            exchange->End(false);
          },
          "", 0});
  CAPTURE(row.name_);
  Fixture fixture(row.handler_);
  const auto response = fixture.SendAndReceive(
      "GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  CHECK(response.starts_with(row.response_));
  CHECK_FALSE(response.ends_with("\r\n0\r\n\r\n"));
  CHECK(fixture.unanswered_ == row.unanswered_);
}

}  // namespace
}  // namespace chalkwell::daemon
