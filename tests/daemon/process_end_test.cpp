// What callers see of a response in progress when the process of the server
// ends: the server runs in a child process, over real sockets.
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <thread>

#include "daemon/http1_server.hpp"
#include "daemon/http_server.hpp"
#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

constexpr const char* kEvent = "id: 1\ndata: token\n\n";
/// More and less than the buffers of a connection hold.
constexpr std::size_t kLargeBody = std::size_t{32} << 20;
constexpr std::size_t kSmallBody = std::size_t{100} << 10;
/// A server hands its first bytes to the system within this time.
constexpr std::chrono::milliseconds kSendTime(20);

/// How a process ends.
enum class ProcessEnd : std::uint8_t {
  kKilled,
  kTerminated,
  kAborted,
  kException,
  kExit,
  kServerDestroyed,
};

enum class ServerKind : std::uint8_t { kHttp1Server, kHttpServer };

/// How the server frames its response.
enum class ResponseForm : std::uint8_t { kChunked, kCloseDelimited, kLength };

/// The server of a child process.
class Server {
 public:
  Server(ServerKind kind, Loop& loop, const HttpHandler& handler) {
    const Address address{"127.0.0.1", 0};
    if (kind == ServerKind::kHttpServer) {
      h2o_ = std::make_unique<HttpServer>(
          loop, HttpServerSettings{.address_ = address}, handler);
    } else {
      http1_ = std::make_unique<Http1Server>(
          loop, address,
          Http1ServerHooks{.limits_ = [] { return HttpLimits{}; },
                           .on_refused_ = nullptr},
          handler);
    }
  }

  [[nodiscard]] std::uint16_t port() const {
    return h2o_ != nullptr ? h2o_->port() : http1_->port();
  }

 private:
  std::unique_ptr<HttpServer> h2o_;
  std::unique_ptr<Http1Server> http1_;
};

/// Runs outside any handler, so that nothing catches the exception.
void EndProcess(ProcessEnd end, std::unique_ptr<Server>& server) {
  switch (end) {
    case ProcessEnd::kKilled:
      (void)::raise(SIGKILL);
      break;
    case ProcessEnd::kTerminated:
      (void)::raise(SIGTERM);
      break;
    case ProcessEnd::kAborted:
      std::abort();
    case ProcessEnd::kException:
      std::thread([] { throw std::runtime_error("not caught"); }).join();
      break;
    case ProcessEnd::kExit:
      std::exit(0);
    case ProcessEnd::kServerDestroyed:
      server.reset();
      break;
  }
}

/// A process that serves one response and ends in the middle of it.
class ServerProcess {
 public:
  ServerProcess(ServerKind kind, ResponseForm form, std::size_t bytes,
                ProcessEnd end) {
    int ports[2];
    REQUIRE(::pipe(ports) == 0);
    // Output buffered so far would be printed by both processes.
    std::cout.flush();
    (void)std::fflush(nullptr);
    pid_ = ::fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      Serve(ports[1], kind, form, bytes, end);
      ::_exit(0);
    }
    REQUIRE(::read(ports[0], &port_, sizeof(port_)) == sizeof(port_));
    ::close(ports[0]);
    ::close(ports[1]);
  }
  ~ServerProcess() { WaitForEnd(); }
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  void WaitForEnd() const { (void)::waitpid(pid_, nullptr, 0); }

 private:
  static void Serve(int port_pipe, ServerKind kind, ResponseForm form,
                    std::size_t bytes, ProcessEnd end) {
    // The test runner reports signals as failures of the test.
    for (const int signal : {SIGTERM, SIGABRT}) {
      (void)::signal(signal, SIG_DFL);
    }
    Loop loop;
    Timer sent(loop);
    HttpExchangePtr exchange;
    auto server =
        std::make_unique<Server>(kind, loop, [&](HttpExchangePtr request) {
          exchange = std::move(request);
          Respond(*exchange, form, bytes);
          sent.Once(kSendTime, [&loop] { loop.Stop(); });
        });
    const auto port = server->port();
    if (::write(port_pipe, &port, sizeof(port)) != sizeof(port)) {
      return;
    }
    loop.Run();
    EndProcess(end, server);
  }

  /// Leaves the response open if `bytes` is 0.
  static void Respond(HttpExchange& exchange, ResponseForm form,
                      std::size_t bytes) {
    switch (form) {
      case ResponseForm::kChunked:
        exchange.Start(200, {});
        break;
      case ResponseForm::kCloseDelimited:
        exchange.StartCloseDelimited(200, {});
        break;
      case ResponseForm::kLength:
        exchange.Start(200, {{"content-length", "1000"}});
        break;
    }
    exchange.Write(kEvent);
    if (bytes > 0) {
      exchange.Write(std::string(bytes, 'x'));
      exchange.End(true);
    }
  }

  pid_t pid_ = -1;
  std::uint16_t port_ = 0;
};

std::string RequestOf(const std::string& version) {
  return "GET / HTTP/" + version + "\r\nhost: h\r\n\r\n";
}

/// Whether a caller would take the response for a complete one.
bool LooksComplete(const std::string& response, bool reset) {
  if (response.find("transfer-encoding: chunked") != std::string::npos) {
    return response.ends_with("0\r\n\r\n");
  }
  return response.starts_with("HTTP/1.") &&
         response.find("content-length:") == std::string::npos && !reset;
}

TEST_CASE("a response cut off by the end of its process does not look complete",
          "[http]") {
  // Regression: the system closes the connections of an ended process like
  // those of a complete close-delimited response.
  const auto end = GENERATE(ProcessEnd::kKilled, ProcessEnd::kTerminated,
                            ProcessEnd::kAborted, ProcessEnd::kException,
                            ProcessEnd::kExit, ProcessEnd::kServerDestroyed);
  const auto form =
      GENERATE(ResponseForm::kChunked, ResponseForm::kCloseDelimited,
               ResponseForm::kLength);
  const auto kind = GENERATE(ServerKind::kHttp1Server, ServerKind::kHttpServer);
  const std::string version = GENERATE("1.0", "1.1");
  CAPTURE(static_cast<int>(end), static_cast<int>(form), static_cast<int>(kind),
          version);
  const ServerProcess server(kind, form, 0, end);
  const RawSocket caller(server.port());
  caller.Send(RequestOf(version));
  const auto response = caller.ReadUntil();
  CHECK_FALSE(LooksComplete(response, caller.reset()));
}

TEST_CASE("a complete response looks cut off only if bytes of it are lost",
          "[http]") {
  // Regression: bytes that a slow caller had not received yet were lost with
  // the process, and the connection ended like that of a complete response.
  struct Row {
    std::size_t bytes_;
    bool complete_;
  };
  const auto row = GENERATE(Row{kSmallBody, true}, Row{kLargeBody, false});
  const auto end = GENERATE(ProcessEnd::kKilled, ProcessEnd::kExit,
                            ProcessEnd::kServerDestroyed);
  const std::string version = GENERATE("1.0", "1.1");
  CAPTURE(row.bytes_, static_cast<int>(end), version);
  const ServerProcess server(ServerKind::kHttp1Server,
                             ResponseForm::kCloseDelimited, row.bytes_, end);
  const RawSocket caller(server.port());
  caller.Send(RequestOf(version));
  server.WaitForEnd();
  const auto response = caller.ReadUntil();
  CHECK((response.size() > row.bytes_) == row.complete_);
  CHECK(LooksComplete(response, caller.reset()) == row.complete_);
}

}  // namespace
}  // namespace chalkwell::daemon
