// HTTP server and client together: complete and aborted responses, limits,
// malformed requests.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <thread>

#include "daemon/http_client.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

/// A server whose response depends on the path, and a client, on one loop.
class Fixture {
 public:
  Fixture()
      : client_(loop_, 5s),
        server_(loop_, {.address_ = {"127.0.0.1", 0}, .max_body_bytes_ = 1000},
                [this](const HttpExchangePtr& exchange) { Handle(exchange); }) {
  }

  HttpResponse Fetch(const std::string& path) {
    HttpResponse result;
    client_.Fetch({"127.0.0.1", server_.port()},
                  {.method_ = "POST", .path_ = path, .body_ = "body"},
                  [&](HttpResponse response) {
                    result = std::move(response);
                    loop_.Stop();
                  });
    loop_.Run();
    return result;
  }

  /// Sends raw bytes on a new connection and returns all that comes back until
  /// the server closes it.
  std::string SendRaw(const std::string& bytes) {
    std::string result;
    std::thread client([&] {
      const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(server_.port());
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const int connect_result = ::connect(
          descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      REQUIRE(connect_result == 0);
      (void)::send(descriptor, bytes.data(), bytes.size(), 0);
      std::string buffer(4096, '\0');
      for (;;) {
        const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
          break;
        }
        result.append(buffer, 0, static_cast<std::size_t>(size));
      }
      ::close(descriptor);
      done_ = true;
    });
    Timer poll(loop_);
    poll.Every(5ms, [this] {
      if (done_) {
        loop_.Stop();
      }
    });
    loop_.Run();
    client.join();
    return result;
  }

 private:
  void Handle(const HttpExchangePtr& exchange) {
    if (exchange->request().path_ == "/whole") {
      exchange->Respond(200, {}, "answer");
      return;
    }
    exchange->Start(200, {{"content-type", "text/event-stream"}});
    exchange->Write("one ");
    loop_.After(20ms, [exchange] {
      exchange->Write("two");
      exchange->End(exchange->request().path_ == "/stream");
    });
  }

  Loop loop_;
  HttpClient client_;
  HttpServer server_;
  std::atomic<bool> done_{false};
};

TEST_CASE("the end of a response shows whether it is complete", "[daemon]") {
  struct Row {
    std::string path_;
    HttpEnd end_;
    std::string body_;
  };
  const auto row = GENERATE(Row{"/whole", HttpEnd::kComplete, "answer"},
                            Row{"/stream", HttpEnd::kComplete, "one two"},
                            Row{"/cut", HttpEnd::kBroken, "one two"});
  Fixture fixture;
  const auto result = fixture.Fetch(row.path_);
  CHECK(result.end_ == row.end_);
  CHECK(row.body_.starts_with(result.body_));
  if (row.end_ == HttpEnd::kComplete) {
    CHECK(result.body_ == row.body_);
  }
}

TEST_CASE("a stream is chunked despite connection: close, to show an abort",
          "[daemon]") {
  Fixture fixture;
  const auto result = fixture.SendRaw(
      "POST /stream HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
      "content-length: 0\r\n\r\n");
  CAPTURE(result);
  CHECK(result.find("hunked") != std::string::npos);
}

TEST_CASE("a stream has a length for a caller that does not know chunks",
          "[daemon]") {
  struct Row {
    std::string path_;
    std::string status_;
    std::string body_;
  };
  const auto row =
      GENERATE(Row{"/whole", "200", "answer"}, Row{"/stream", "200", "one two"},
               Row{"/cut", "502", "the response broke off"});
  CAPTURE(row.path_);
  Fixture fixture;
  const auto result = fixture.SendRaw("POST " + row.path_ +
                                      " HTTP/1.0\r\nhost: a\r\n"
                                      "content-length: 0\r\n\r\n");
  CAPTURE(result);
  CHECK(result.find(" " + row.status_ + " ") != std::string::npos);
  CHECK(result.find("Content-Length: " + std::to_string(row.body_.size())) !=
        std::string::npos);
  CHECK(result.ends_with("\r\n\r\n" + row.body_));
}

TEST_CASE("a body over the limit is refused by its content length",
          "[daemon]") {
  Fixture fixture;
  const auto result = fixture.SendRaw(
      "POST /whole HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n");
  CHECK(result.starts_with("HTTP/1.1 413"));
}

TEST_CASE("malformed and oversized headers do not reach the handler",
          "[daemon]") {
  struct Row {
    std::string name_;
    std::string request_;
  };
  const std::string end = "connection: close\r\ncontent-length: 0\r\n\r\n";
  const auto row = GENERATE_COPY(
      Row{"no request line", "nonsense\r\n\r\n"},
      Row{"an invalid header line",
          "POST /whole HTTP/1.1\r\nhost a\x01\r\n" + end},
      Row{"headers over the limit",
          "POST /whole HTTP/1.1\r\nhost: a\r\nx: " + std::string(33'000, 'h') +
              "\r\n" + end});
  CAPTURE(row.name_);
  Fixture fixture;
  const auto result = fixture.SendRaw(row.request_);
  CHECK(result.find(" 200 ") == std::string::npos);
  CHECK(fixture.Fetch("/whole").body_ == "answer");
}

TEST_CASE("a refused connection ends as not sent", "[daemon]") {
  Loop loop;
  HttpClient client(loop, 1s);
  HttpEnd end = HttpEnd::kComplete;
  client.Fetch({"127.0.0.1", 1}, {.method_ = "GET", .path_ = "/"},
               [&](const HttpResponse& response) {
                 end = response.end_;
                 loop.Stop();
               });
  loop.Run();
  CHECK(end == HttpEnd::kNotSent);
}

}  // namespace
}  // namespace chalkwell::daemon
