// Connects h2o to a libuv listener. HttpServer::State is never deleted, because
// the contexts of h2o cannot be freed while connections are open.
#include "daemon/http_server.hpp"

#include <h2o.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

#include "chalkwell/core/error.hpp"
#include "chalkwell/routing/caller_connections.hpp"

namespace chalkwell::daemon {

std::string_view FindHeader(const HttpHeaders& headers,
                            std::string_view name) noexcept {
  const auto found = std::ranges::find(headers, name, &HttpHeader::first);
  return found == headers.end() ? std::string_view{}
                                : std::string_view(found->second);
}

namespace {

constexpr int kBacklog = 1024;
/// Version number of HTTP/1.1 in h2o.
constexpr int kHttp11 = 0x101;
constexpr int kBadGateway = 502;

std::string ToText(const h2o_iovec_t& text) { return {text.base, text.len}; }

class H2oExchange;
struct OpenConnections;

/// Allocated from the pool of the request, so that h2o calls Dispose when it
/// releases the request.
struct Generator {
  h2o_generator_t super_;
  std::shared_ptr<H2oExchange>* exchange_;
};

class H2oExchange final : public HttpExchange,
                          public std::enable_shared_from_this<H2oExchange> {
 public:
  explicit H2oExchange(h2o_req_t* req) : req_(req) {
    request_.method_ = ToText(req->method);
    request_.path_ = ToText(req->path);
    for (std::size_t i = 0; i < req->headers.size; ++i) {
      const auto& header = req->headers.entries[i];
      std::string name = ToText(*header.name);
      std::ranges::transform(name, name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
      });
      request_.headers_.emplace_back(std::move(name), ToText(header.value));
    }
    request_.body_ = ToText(req->entity);
  }

  [[nodiscard]] const HttpRequest& request() const noexcept override {
    return request_;
  }
  [[nodiscard]] bool open() const noexcept override {
    return req_ != nullptr && !ended_;
  }

  /// Sets the handler that is called once, when h2o releases the request.
  void OnReleased(std::function<void()> handler) {
    on_released_ = std::move(handler);
  }

  void Attach() {
    auto* generator = static_cast<Generator*>(
        h2o_mem_alloc_shared(&req_->pool, sizeof(Generator), Dispose));
    generator->super_.proceed = Proceed;
    generator->super_.stop = Stop;
    generator->exchange_ = new std::shared_ptr<H2oExchange>(shared_from_this());
    generator_ = generator;
  }

  void Respond(int status, const HttpHeaders& headers,
               std::string body) override {
    if (!open()) {
      return;
    }
    req_->res.content_length = body.size();
    Begin(status, headers);
    pending_ = std::move(body);
    ended_ = true;
    Flush();
  }

  void Start(int status, const HttpHeaders& headers) override {
    if (!open()) {
      return;
    }
    if (req_->version < kHttp11) {
      buffered_status_ = status;
      buffered_headers_ = headers;
      return;
    }
    Begin(status, headers);
    Flush();
  }

  void Write(std::string_view bytes) override {
    if (open()) {
      pending_.append(bytes);
      Flush();
    }
  }

  void End(bool complete) override {
    if (!open()) {
      return;
    }
    if (buffered_status_ != 0) {
      RespondBuffered(complete);
      return;
    }
    ended_ = true;
    complete_ = complete;
    Flush();
  }

  void OnAbort(std::function<void()> handler) override {
    on_abort_ = std::move(handler);
  }

 private:
  static void Dispose(void* pointer) {
    auto* generator = static_cast<Generator*>(pointer);
    const std::unique_ptr<std::shared_ptr<H2oExchange>> owner(
        generator->exchange_);
    (*owner)->Detach();
  }

  static void Proceed(h2o_generator_t* self, h2o_req_t* /*req*/) {
    auto exchange = *reinterpret_cast<Generator*>(self)->exchange_;
    exchange->sending_ = false;
    exchange->Flush();
  }

  static void Stop(h2o_generator_t* self, h2o_req_t* /*req*/) {
    (*reinterpret_cast<Generator*>(self)->exchange_)->Detach();
  }

  /// Sends the whole response with its length.
  void RespondBuffered(bool complete) {
    auto body = std::exchange(pending_, {});
    if (complete) {
      Respond(buffered_status_, buffered_headers_, std::move(body));
    } else {
      Respond(kBadGateway, {}, "the response broke off");
    }
  }

  void Begin(int status, const HttpHeaders& headers) {
    req_->res.status = status;
    req_->res.reason = status < 400 ? "OK" : "Error";
    for (const auto& [name, value] : headers) {
      const auto copy = h2o_strdup(&req_->pool, value.data(), value.size());
      const auto key = h2o_strdup(&req_->pool, name.data(), name.size());
      h2o_add_header_by_str(&req_->pool, &req_->res.headers, key.base, key.len,
                            1, nullptr, copy.base, copy.len);
    }
    h2o_start_response(req_, &generator_->super_);
    started_ = true;
  }

  /// Sends buffered bytes. One send may be outstanding at a time; h2o calls
  /// Proceed when it is done.
  void Flush() {
    if (req_ == nullptr || !started_ || sending_ || finished_) {
      return;
    }
    if (pending_.empty() && !ended_ && headers_sent_) {
      return;
    }
    send_buffer_ = std::move(pending_);
    pending_.clear();
    sending_ = true;
    headers_sent_ = true;
    finished_ = ended_;
    h2o_iovec_t buffer =
        h2o_iovec_init(send_buffer_.data(), send_buffer_.size());
    const auto last = complete_ ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
    h2o_send(req_, &buffer, send_buffer_.empty() ? 0 : 1,
             finished_ ? last : H2O_SEND_STATE_IN_PROGRESS);
  }

  void Detach() {
    if (req_ == nullptr) {
      return;
    }
    req_ = nullptr;
    if (const auto on_released = std::exchange(on_released_, nullptr)) {
      Guarded(on_released);
    }
    const bool aborted = !finished_;
    const auto handler = std::move(on_abort_);
    on_abort_ = nullptr;
    if (aborted && handler) {
      Guarded(handler);
    }
  }

  /// Null once h2o has released the request.
  h2o_req_t* req_;
  Generator* generator_ = nullptr;
  HttpRequest request_;
  /// Bytes not yet handed to h2o.
  std::string pending_;
  /// Bytes handed to h2o; must stay unchanged until Proceed.
  std::string send_buffer_;
  bool started_ = false;
  bool headers_sent_ = false;
  bool sending_ = false;
  bool ended_ = false;
  bool complete_ = true;
  bool finished_ = false;
  /// Head of a streamed response to an HTTP/1.0 request. The protocol delimits
  /// it by the close of the connection, which does not differ from the close by
  /// a process that ends, so the body is collected and sent with a length. The
  /// status is 0 for other requests.
  int buffered_status_ = 0;
  HttpHeaders buffered_headers_;
  std::function<void()> on_abort_;
  std::function<void()> on_released_;
};

/// A connection and what it is used for; deleted once the system has closed it.
struct Connection {
  uv_tcp_t tcp_{};
  OpenConnections* open_ = nullptr;
  routing::CallerConnections::ConnectionId id_ = 0;
  h2o_socket_t* socket_ = nullptr;
  std::size_t requests_ = 0;
};

/// Open connections of a server.
struct OpenConnections {
  Loop* loop_ = nullptr;
  routing::CallerConnections phases_{{}};
  std::map<routing::CallerConnections::ConnectionId, Connection*> by_id_;
  std::map<h2o_socket_t*, Connection*> by_socket_;

  void SetPhase(const Connection& connection, routing::ConnectionPhase phase) {
    phases_.SetPhase(connection.id_, phase, loop_->Now());
  }
  void OnRequestBegun(h2o_socket_t* socket) {
    const auto found = by_socket_.find(socket);
    if (found != by_socket_.end() && ++found->second->requests_ == 1) {
      SetPhase(*found->second, routing::ConnectionPhase::kHandling);
    }
  }
  void OnRequestReleased(h2o_socket_t* socket) {
    const auto found = by_socket_.find(socket);
    if (found != by_socket_.end() && --found->second->requests_ == 0) {
      SetPhase(*found->second, routing::ConnectionPhase::kIdle);
    }
  }
  /// Closes connections without a request until another one may be open.
  /// @return false if none can be closed.
  [[nodiscard]] bool MakeRoom();
  void Add(Connection* connection);
  void Remove(const Connection& connection);
};

bool OpenConnections::MakeRoom() {
  while (phases_.full()) {
    const auto id = phases_.SelectForNew(loop_->Now());
    if (!id || phases_.SelectOverdue()) {
      return false;
    }
    const auto& connection = *by_id_.at(*id);
    // h2o owns the handle and closes it when it reads the end.
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&connection.tcp_),
                  &descriptor) == 0) {
      (void)::shutdown(descriptor, SHUT_RDWR);
    }
    SetPhase(connection, routing::ConnectionPhase::kClosing);
  }
  return true;
}

void OpenConnections::Add(Connection* connection) {
  connection->id_ = phases_.Add(loop_->Now());
  by_id_[connection->id_] = connection;
  by_socket_[connection->socket_] = connection;
}

void OpenConnections::Remove(const Connection& connection) {
  phases_.Remove(connection.id_);
  by_id_.erase(connection.id_);
  // A new connection may have got the same address.
  const auto found = by_socket_.find(connection.socket_);
  if (found != by_socket_.end() && found->second == &connection) {
    by_socket_.erase(found);
  }
}

struct Handler {
  h2o_handler_t super_;
  HttpHandler* handler_;
  OpenConnections* open_;
};

/// Stricter than h2o's own limit of about 400 KB.
constexpr std::size_t kMaxHeaderBytes = std::size_t{32} << 10;
constexpr int kHeadersTooLarge = 431;

std::size_t HeaderBytes(const h2o_req_t& req) {
  std::size_t bytes = req.path.len;
  for (std::size_t i = 0; i < req.headers.size; ++i) {
    const auto& header = req.headers.entries[i];
    bytes += header.name->len + header.value.len;
  }
  return bytes;
}

int OnRequest(h2o_handler_t* self, h2o_req_t* req) {
  auto* handler = reinterpret_cast<Handler*>(self);
  Guarded([&] {
    auto exchange = std::make_shared<H2oExchange>(req);
    exchange->Attach();
    auto* socket = req->conn->callbacks->get_socket(req->conn);
    handler->open_->OnRequestBegun(socket);
    exchange->OnReleased(
        [open = handler->open_, socket] { open->OnRequestReleased(socket); });
    if (HeaderBytes(*req) > kMaxHeaderBytes) {
      exchange->Respond(kHeadersTooLarge, {},
                        "headers exceed " + std::to_string(kMaxHeaderBytes) +
                            " bytes; send fewer or shorter ones");
      return;
    }
    (*handler->handler_)(exchange);
  });
  return 0;
}

}  // namespace

struct HttpServer::State {
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_{};
  uv_tcp_t listener_{};
  HttpHandler handler_;
  OpenConnections open_;
  std::uint16_t port_ = 0;
  bool accepting_ = true;

  static void OnConnection(uv_stream_t* listener, int status);
};

void HttpServer::State::OnConnection(uv_stream_t* listener, int status) {
  if (status != 0) {
    return;
  }
  auto* state = static_cast<State*>(listener->data);
  auto* connection = new Connection;
  connection->open_ = &state->open_;
  uv_tcp_init(listener->loop, &connection->tcp_);
  auto* stream = reinterpret_cast<uv_stream_t*>(&connection->tcp_);
  const auto close = [](uv_handle_t* handle) {
    auto* closed = reinterpret_cast<Connection*>(handle);
    closed->open_->Remove(*closed);
    delete closed;
  };
  if (uv_accept(listener, stream) != 0 || !state->open_.MakeRoom()) {
    uv_close(reinterpret_cast<uv_handle_t*>(stream), close);
    return;
  }
  uv_tcp_nodelay(&connection->tcp_, 1);
  connection->socket_ = h2o_uv_socket_create(stream, close);
  state->open_.Add(connection);
  h2o_accept(&state->accept_, connection->socket_);
}

namespace {

std::uint16_t BoundPort(const uv_tcp_t& listener) {
  sockaddr_storage storage{};
  int length = sizeof(storage);
  uv_tcp_getsockname(&listener, reinterpret_cast<sockaddr*>(&storage), &length);
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
  return ntohs(v4->sin_port);
}

}  // namespace

HttpServer::HttpServer(Loop& loop, const HttpServerSettings& settings,
                       HttpHandler handler)
    : state_(new State) {
  state_->handler_ = std::move(handler);
  h2o_config_init(&state_->config_);
  state_->config_.max_request_entity_size = settings.max_body_bytes_;
  state_->config_.server_name = h2o_iovec_init(H2O_STRLIT("chalkwell"));
  auto* host = h2o_config_register_host(
      &state_->config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  auto* path = h2o_config_register_path(host, "/", 0);
  auto* root =
      reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  root->super_.on_req = OnRequest;
  root->handler_ = &state_->handler_;
  root->open_ = &state_->open_;
  state_->open_.loop_ = &loop;
  state_->open_.phases_ = routing::CallerConnections(
      {.max_connections_ = settings.max_connections_});
  h2o_context_init(&state_->context_, loop.raw(), &state_->config_);
  state_->accept_.ctx = &state_->context_;
  state_->accept_.hosts = state_->config_.hosts;

  uv_tcp_init(loop.raw(), &state_->listener_);
  state_->listener_.data = state_;
  const auto storage = settings.address_.ToSockaddr();
  int error = uv_tcp_bind(&state_->listener_,
                          reinterpret_cast<const sockaddr*>(&storage), 0);
  if (error == 0) {
    error = uv_listen(reinterpret_cast<uv_stream_t*>(&state_->listener_),
                      kBacklog, State::OnConnection);
  }
  if (error != 0) {
    throw core::Error(core::Step::kListen, settings.address_.ToString(),
                      uv_strerror(error));
  }
  state_->port_ = BoundPort(state_->listener_);
}

HttpServer::~HttpServer() { StopAccepting(); }

std::uint16_t HttpServer::port() const noexcept { return state_->port_; }

void HttpServer::StopAccepting() {
  if (state_->accepting_) {
    state_->accepting_ = false;
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->listener_), nullptr);
  }
}

}  // namespace chalkwell::daemon
