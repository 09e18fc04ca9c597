// HTTP/2 streams between processes: check of the protocol version.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "daemon/direct/peer_connections.hpp"
#include "daemon/h2_session.hpp"
#include "daemon/peer_server.hpp"
#include "raw_socket.hpp"

namespace chalkwell::daemon {
namespace {

/// Sends one request to a peer server.
/// @param extra_headers sent after the pseudo-headers.
/// @return the response's status.
std::string RequestStatus(const HttpHeaders& extra_headers) {
  Loop loop;
  const PeerServer server(
      loop, {"127.0.0.1", 0}, 1000,
      [](const PeerCallPtr& call) { call->Respond(200, "heard"); });
  const auto session = std::make_shared<internal::H2Session>(
      loop, internal::H2Session::Side::kClient);
  const auto target = Address{"127.0.0.1", server.port()}.ToSockaddr();
  std::string status;
  internal::H2StreamPtr stream;
  std::function<void()> send_request = [&] {
    session->Begin();
    HttpHeaders headers{{":method", "POST"},
                        {":scheme", "http"},
                        {":authority", "peer"},
                        {":path", "/v1/sync"}};
    headers.insert(headers.end(), extra_headers.begin(), extra_headers.end());
    stream = session->Submit(headers, "body");
    stream->on_headers_ = [&] {
      status = FindHeader(stream->headers_, ":status");
      loop.Stop();
    };
  };
  uv_connect_t connect{};
  connect.data = &send_request;
  REQUIRE(
      uv_tcp_connect(&connect, session->tcp(),
                     reinterpret_cast<const sockaddr*>(&target),
                     [](uv_connect_t* request, int) {
                       (*static_cast<std::function<void()>*>(request->data))();
                     }) == 0);
  loop.Run();
  session->Close();
  return status;
}

TEST_CASE("connections for occasional calls are closed when they are idle",
          "[daemon]") {
  Loop loop;
  const PeerServer server(
      loop, {"127.0.0.1", 0}, 1000,
      [](const PeerCallPtr& call) { call->Respond(200, call->path()); });
  const auto address = Address{"127.0.0.1", server.port()}.ToString();
  direct::PeerConnections connections(loop, std::chrono::milliseconds(20));
  std::string responses;
  const auto call = [&](const std::string& path, std::function<void()> next) {
    connections.Fetch(address, path, "",
                      [&responses, next = std::move(next)](
                          PeerEnd end, int, const std::string& body) {
                        CHECK(end == PeerEnd::kComplete);
                        responses += body;
                        next();
                      });
  };
  // The second call is made while the first one ends.
  call("/a", [&] {
    call("/b", [&] {
      CHECK(connections.size() == 1);
      loop.After(std::chrono::milliseconds(100), [&] {
        CHECK(connections.size() == 0);
        call("/c", [&] { loop.Stop(); });
      });
    });
  });
  loop.Run();
  CHECK(responses == "/a/b/c");
}

TEST_CASE("calls wait behind a connection that went silent", "[daemon]") {
  constexpr auto kTestTimeout = std::chrono::seconds(10);
  const RawListener listener;
  std::atomic<int> accepted = 0;
  std::thread server([&] {
    // Neither connection gets a byte.
    const auto first = listener.Accept();
    ++accepted;
    const auto second = listener.Accept();
    ++accepted;
    (void)second.ReadUntil();
  });
  Loop loop;
  bool silent = false;
  bool ended = false;
  {
    direct::PeerConnections connections(loop);
    const auto address = Address{"127.0.0.1", listener.port()}.ToString();
    const auto on_end = [&](PeerEnd, int, const std::string&) { ended = true; };
    connections.Fetch(address, "/a", "", on_end, [&] {
      silent = true;
      connections.Fetch(address, "/b", "", on_end);
    });
    Timer poll(loop);
    poll.Every(std::chrono::milliseconds(10), [&] {
      if (accepted == 2) {
        loop.Stop();
      }
    });
    loop.After(kTestTimeout, [&] { loop.Stop(); });
    loop.Run();
    CHECK(silent);
    CHECK(accepted == 2);
    CHECK_FALSE(ended);
  }
  // Ends the wait of the server if the client made one connection only.
  RawSocket(listener.port()).Close();
  server.join();
}

TEST_CASE("a peer with another or no protocol version gets status 426",
          "[daemon]") {
  struct Row {
    HttpHeaders headers_;
    std::string status_;
  };
  const std::string name(kProtocolHeader);
  const auto row =
      GENERATE_COPY(Row{{{name, std::string(kProtocolVersion)}}, "200"},
                    Row{{{name, "0"}}, "426"}, Row{{}, "426"});
  CHECK(RequestStatus(row.headers_) == row.status_);
}

}  // namespace
}  // namespace chalkwell::daemon
