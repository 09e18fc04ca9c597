// Connects, pings, and maps the end of a stream to a PeerEnd.
#include "daemon/peer_connection.hpp"

#include <charconv>
#include <utility>
#include <vector>

#include "daemon/peer_server.hpp"

namespace chalkwell::daemon {

void OutgoingCall::Cancel() {
  cancelled_ = true;
  callbacks_ = {};
  send_ = nullptr;
  if (!stream_) {
    return;
  }
  stream_->on_closed_ = nullptr;
  stream_->on_data_ = nullptr;
  stream_->on_headers_ = nullptr;
  if (auto session = session_.lock()) {
    session->Reset(stream_, NGHTTP2_CANCEL);
  }
}

namespace {

struct ConnectRequest {
  uv_connect_t request_{};
  std::function<void(int)> done_;
};

}  // namespace

struct PeerConnection::State : std::enable_shared_from_this<State> {
  State(Loop& loop, Address address, Settings settings)
      : loop_(loop),
        address_(std::move(address)),
        settings_(std::move(settings)),
        timer_(loop),
        stall_timer_(loop) {}

  void Connect();
  [[nodiscard]] int StartConnect(ConnectRequest& connect,
                                 internal::H2Session& session) const;
  void OnConnected(const std::shared_ptr<internal::H2Session>& session,
                   int status);
  void StartPinging();
  void SendPing();
  void NotifyStalled();
  void Submit(const OutgoingCallPtr& call, const std::string& path,
              std::string body);
  void FailPendingCalls();
  void Close();

  Loop& loop_;
  Address address_;
  Settings settings_;
  /// Connect timeout, then the ping interval.
  Timer timer_;
  /// Stall timeout; runs while a ping is outstanding.
  Timer stall_timer_;
  std::shared_ptr<internal::H2Session> session_;
  bool connected_ = false;
  /// A ping was sent and no byte has arrived since.
  bool ping_outstanding_ = false;
  std::function<void(bool)> on_probe_;
  /// Calls with `on_stalled_`; some may have ended.
  std::vector<std::weak_ptr<OutgoingCall>> calls_with_stall_callback_;
  /// Calls made before the connection was established.
  std::vector<OutgoingCallPtr> pending_calls_;
};

namespace {

void EndCall(const OutgoingCallPtr& call, PeerCallbacks& callbacks,
             PeerEnd end) {
  (void)call;
  const auto done = std::move(callbacks.on_end_);
  callbacks = {};
  if (done) {
    Guarded([&] { done(end); });
  }
}

}  // namespace

void PeerConnection::State::Connect() {
  auto session = std::make_shared<internal::H2Session>(
      loop_, internal::H2Session::Side::kClient);
  session_ = session;
  auto* connect = new ConnectRequest;
  connect->request_.data = connect;
  connect->done_ = [weak = weak_from_this(), session](int status) {
    if (auto self = weak.lock()) {
      self->OnConnected(session, status);
    }
  };
  const int error = StartConnect(*connect, *session);
  if (error != 0) {
    delete connect;
    loop_.Post([weak = weak_from_this(), session, error] {
      if (auto self = weak.lock()) {
        self->OnConnected(session, error);
      }
    });
    return;
  }
  timer_.Once(settings_.connect_timeout_, [this] { Close(); });
}

int PeerConnection::State::StartConnect(ConnectRequest& connect,
                                        internal::H2Session& session) const {
  if (!settings_.source_ip_.empty()) {
    const auto source = Address{settings_.source_ip_, 0}.ToSockaddr();
    const int error = uv_tcp_bind(
        session.tcp(), reinterpret_cast<const sockaddr*>(&source), 0);
    if (error != 0) {
      return error;
    }
  }
  const auto peer = address_.ToSockaddr();
  return uv_tcp_connect(&connect.request_, session.tcp(),
                        reinterpret_cast<const sockaddr*>(&peer),
                        [](uv_connect_t* request, int status) {
                          const std::unique_ptr<ConnectRequest> held(
                              static_cast<ConnectRequest*>(request->data));
                          Guarded([&] { held->done_(status); });
                        });
}

void PeerConnection::State::OnConnected(
    const std::shared_ptr<internal::H2Session>& session, int status) {
  if (session != session_) {
    return;
  }
  if (status != 0) {
    Close();
    return;
  }
  connected_ = true;
  session->on_closed_ = [weak = weak_from_this(), raw = session.get()] {
    auto self = weak.lock();
    if (self && self->session_.get() == raw) {
      self->Close();
    }
  };
  session->Begin();
  StartPinging();
  for (const auto& call : std::exchange(pending_calls_, {})) {
    if (const auto send = std::exchange(call->send_, nullptr)) {
      send();
    }
  }
}

void PeerConnection::State::StartPinging() {
  timer_.Every(settings_.ping_interval_, [this] {
    if (loop_.Now() - session_->last_received() > settings_.receive_timeout_) {
      Close();
      return;
    }
    SendPing();
  });
}

void PeerConnection::State::SendPing() {
  session_->Ping();
  if (std::exchange(ping_outstanding_, true)) {
    return;
  }
  session_->on_next_received_ = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !std::exchange(self->ping_outstanding_, false)) {
      return;
    }
    self->stall_timer_.Cancel();
    if (self->on_probe_) {
      self->on_probe_(false);
    }
  };
  stall_timer_.Once(settings_.stall_timeout_, [this] { NotifyStalled(); });
  if (on_probe_) {
    on_probe_(true);
  }
}

void PeerConnection::State::NotifyStalled() {
  std::erase_if(calls_with_stall_callback_,
                [](const auto& call) { return call.expired(); });
  for (const auto& weak : std::vector(calls_with_stall_callback_)) {
    const auto call = weak.lock();
    if (call && call->callbacks_.on_stalled_) {
      Guarded(std::exchange(call->callbacks_.on_stalled_, nullptr));
    }
  }
}

void PeerConnection::State::FailPendingCalls() {
  for (const auto& call : std::exchange(pending_calls_, {})) {
    call->send_ = nullptr;
    EndCall(call, call->callbacks_, PeerEnd::kNotSent);
  }
}

void PeerConnection::State::Close() {
  const auto self = shared_from_this();
  timer_.Cancel();
  stall_timer_.Cancel();
  connected_ = false;
  ping_outstanding_ = false;
  if (auto session = std::exchange(session_, nullptr)) {
    session->Close();
  }
  FailPendingCalls();
}

void PeerConnection::State::Submit(const OutgoingCallPtr& call,
                                   const std::string& path, std::string body) {
  const HttpHeaders headers = {
      {":method", "POST"},
      {":scheme", "http"},
      {":authority", address_.ToString()},
      {":path", path},
      {std::string(kProtocolHeader), std::string(kProtocolVersion)}};
  auto stream = session_->Submit(headers, std::move(body));
  if (!stream) {
    EndCall(call, call->callbacks_, PeerEnd::kNotSent);
    return;
  }
  if (!ping_outstanding_ &&
      loop_.Now() - session_->last_received() > settings_.ping_after_idle_) {
    SendPing();
  }
  call->session_ = session_;
  call->stream_ = stream;
  if (call->callbacks_.on_stalled_) {
    std::erase_if(calls_with_stall_callback_,
                  [](const auto& held) { return held.expired(); });
    calls_with_stall_callback_.push_back(call);
  }
  const std::weak_ptr<internal::H2Stream> weak = stream;
  stream->on_headers_ = [call, weak] {
    auto held = weak.lock();
    const auto status = FindHeader(held->headers_, ":status");
    int number = 0;
    std::from_chars(status.data(), status.data() + status.size(), number);
    if (call->callbacks_.on_headers_) {
      call->callbacks_.on_headers_(number);
    }
  };
  stream->on_data_ = [call](std::string_view bytes) {
    if (const auto& handler = call->callbacks_.on_data_) {
      handler(bytes);
    }
  };
  auto ended = std::make_shared<bool>(false);
  stream->on_end_ = [ended] { *ended = true; };
  stream->on_closed_ = [call, ended](std::uint32_t error) {
    PeerEnd end = PeerEnd::kBroken;
    if (error == NGHTTP2_REFUSED_STREAM) {
      end = PeerEnd::kNotSent;
    } else if (error == NGHTTP2_NO_ERROR && *ended) {
      end = PeerEnd::kComplete;
    }
    EndCall(call, call->callbacks_, end);
  };
}

PeerConnection::PeerConnection(Loop& loop, Address address, Settings settings)
    : state_(std::make_shared<State>(loop, std::move(address),
                                     std::move(settings))) {}

PeerConnection::~PeerConnection() { Close(); }

const Address& PeerConnection::address() const noexcept {
  return state_->address_;
}

bool PeerConnection::connected() const noexcept { return state_->connected_; }

OutgoingCallPtr PeerConnection::Call(std::string path, std::string body,
                                     PeerCallbacks callbacks) {
  auto call = std::make_shared<OutgoingCall>();
  call->callbacks_ = std::move(callbacks);
  if (state_->connected_) {
    state_->Submit(call, path, std::move(body));
    return call;
  }
  const std::weak_ptr<OutgoingCall> weak = call;
  call->send_ = [state = state_.get(), weak, path = std::move(path),
                 body = std::move(body)]() mutable {
    if (auto held = weak.lock()) {
      state->Submit(held, path, std::move(body));
    }
  };
  state_->pending_calls_.push_back(call);
  if (!state_->session_) {
    state_->Connect();
  }
  return call;
}

OutgoingCallPtr PeerConnection::Fetch(
    std::string path, std::string body,
    std::function<void(PeerEnd end, int status, std::string body)> done) {
  struct Response {
    int status_ = 0;
    std::string body_;
  };
  auto response = std::make_shared<Response>();
  PeerCallbacks callbacks;
  callbacks.on_headers_ = [response](int status) {
    response->status_ = status;
  };
  callbacks.on_data_ = [response](std::string_view bytes) {
    response->body_.append(bytes);
  };
  callbacks.on_end_ = [response, done = std::move(done)](PeerEnd end) {
    done(end, response->status_, std::move(response->body_));
  };
  return Call(std::move(path), std::move(body), std::move(callbacks));
}

void PeerConnection::OnPing(std::function<void(bool unanswered)> observer) {
  state_->on_probe_ = std::move(observer);
}

void PeerConnection::Close() { state_->Close(); }

}  // namespace chalkwell::daemon
