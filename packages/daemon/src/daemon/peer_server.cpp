// Accepts connections of peers and collects the body of each request.
#include "daemon/peer_server.hpp"

#include <set>
#include <utility>

#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {
namespace {

constexpr int kBacklog = 1024;
constexpr int kPayloadTooLarge = 413;
constexpr int kUpgradeRequired = 426;

}  // namespace

PeerCall::PeerCall(std::shared_ptr<internal::H2Session> session,
                   internal::H2StreamPtr stream)
    : session_(std::move(session)), stream_(std::move(stream)) {
  stream_->on_closed_ = [closed = closed_](std::uint32_t) { *closed = true; };
}

std::string_view PeerCall::path() const noexcept { return header(":path"); }

const std::string& PeerCall::body() const noexcept {
  return stream_->received_body_;
}

std::string_view PeerCall::header(std::string_view name) const noexcept {
  return FindHeader(stream_->headers_, name);
}

bool PeerCall::open() const noexcept {
  return !*closed_ && !stream_->send_ended_;
}

std::size_t PeerCall::pending() const noexcept { return stream_->pending(); }

void PeerCall::Respond(int status, std::string_view body) {
  if (open()) {
    stream_->send_buffer_.append(body);
    stream_->send_ended_ = true;
    Start(status);
  }
}

void PeerCall::Start(int status) {
  session_->Respond(
      stream_, {{":status", std::to_string(status)},
                {std::string(kProtocolHeader), std::string(kProtocolVersion)}});
}

void PeerCall::Write(std::string_view bytes) {
  if (open()) {
    session_->Write(stream_, bytes);
  }
}

void PeerCall::End() {
  if (open()) {
    session_->EndStream(stream_);
  }
}

void PeerCall::Abort() {
  if (!*closed_) {
    session_->Reset(stream_, NGHTTP2_INTERNAL_ERROR);
  }
}

void PeerCall::OnClosed(std::function<void()> handler) {
  stream_->on_closed_ = [closed = closed_,
                         handler = std::move(handler)](std::uint32_t) {
    *closed = true;
    handler();
  };
}

struct PeerServer::State {
  State(Loop& loop, std::size_t max_body_bytes, PeerHandler handler)
      : loop_(loop),
        max_body_bytes_(max_body_bytes),
        handler_(std::move(handler)) {}

  void Accept();
  void OnStream(const std::shared_ptr<internal::H2Session>& session,
                const internal::H2StreamPtr& stream);

  Loop& loop_;
  std::size_t max_body_bytes_;
  PeerHandler handler_;
  uv_tcp_t* listener_ = nullptr;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<internal::H2Session>> sessions_;
};

void PeerServer::State::Accept() {
  auto session = std::make_shared<internal::H2Session>(
      loop_, internal::H2Session::Side::kServer);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                reinterpret_cast<uv_stream_t*>(session->tcp())) != 0) {
    return;
  }
  sessions_.insert(session);
  const std::weak_ptr<internal::H2Session> weak = session;
  session->on_closed_ = [this, weak] {
    if (auto locked = weak.lock()) {
      sessions_.erase(locked);
    }
  };
  session->on_stream_ = [this, weak](const internal::H2StreamPtr& stream) {
    if (auto locked = weak.lock()) {
      OnStream(locked, stream);
    }
  };
  session->Begin();
}

void PeerServer::State::OnStream(
    const std::shared_ptr<internal::H2Session>& session,
    const internal::H2StreamPtr& stream) {
  auto call = std::make_shared<PeerCall>(session, stream);
  if (call->header(kProtocolHeader) != kProtocolVersion) {
    call->Respond(kUpgradeRequired,
                  "message version must be " + std::string(kProtocolVersion));
    return;
  }
  const std::weak_ptr<internal::H2Stream> weak = stream;
  stream->on_data_ = [this, weak, call](std::string_view bytes) {
    auto locked = weak.lock();
    if (locked->received_body_.size() + bytes.size() > max_body_bytes_) {
      locked->on_end_ = nullptr;
      call->Respond(kPayloadTooLarge, "body exceeds the limit");
      return;
    }
    locked->received_body_.append(bytes);
  };
  stream->on_end_ = [this, weak, call] {
    if (auto locked = weak.lock()) {
      locked->on_data_ = nullptr;
    }
    const auto handler = handler_;
    handler(call);
  };
}

PeerServer::PeerServer(Loop& loop, const Address& address,
                       std::size_t max_body_bytes, PeerHandler handler)
    : state_(
          std::make_unique<State>(loop, max_body_bytes, std::move(handler))) {
  state_->listener_ = new uv_tcp_t;
  uv_tcp_init(loop.raw(), state_->listener_);
  state_->listener_->data = state_.get();
  const auto storage = address.ToSockaddr();
  int error = uv_tcp_bind(state_->listener_,
                          reinterpret_cast<const sockaddr*>(&storage), 0);
  if (error == 0) {
    error = uv_listen(reinterpret_cast<uv_stream_t*>(state_->listener_),
                      kBacklog, [](uv_stream_t* listener, int status) {
                        if (status == 0) {
                          static_cast<State*>(listener->data)->Accept();
                        }
                      });
  }
  if (error != 0) {
    throw core::Error(core::Step::kListen, address.ToString(),
                      uv_strerror(error));
  }
  sockaddr_storage bound{};
  int length = sizeof(bound);
  uv_tcp_getsockname(state_->listener_, reinterpret_cast<sockaddr*>(&bound),
                     &length);
  state_->port_ = ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

PeerServer::~PeerServer() {
  uv_close(
      reinterpret_cast<uv_handle_t*>(state_->listener_),
      [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
  for (const auto& session : std::exchange(state_->sessions_, {})) {
    session->on_closed_ = nullptr;
    session->on_stream_ = nullptr;
    session->Close();
  }
}

std::uint16_t PeerServer::port() const noexcept { return state_->port_; }

}  // namespace chalkwell::daemon
