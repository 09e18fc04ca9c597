// Moves bytes between the nghttp2 session and the libuv stream.
#include "daemon/h2_session.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace chalkwell::daemon::internal {
namespace {

constexpr std::int32_t kStreamWindowBytes = 4 << 20;
constexpr std::int32_t kConnectionWindowBytes = 32 << 20;
constexpr std::uint32_t kMaxStreams = 4096;
/// Limit of bytes queued in libuv; beyond it no more are taken from nghttp2.
constexpr std::size_t kMaxQueuedWriteBytes = 512 << 10;

struct WriteRequest {
  uv_write_t request_{};
  std::weak_ptr<H2Session> session_;
  std::string bytes_;
};

std::vector<nghttp2_nv> ToNameValues(const HttpHeaders& headers) {
  std::vector<nghttp2_nv> name_values;
  name_values.reserve(headers.size());
  const auto bytes = [](const std::string& text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  for (const auto& [name, value] : headers) {
    name_values.push_back({bytes(name), bytes(value), name.size(), value.size(),
                           NGHTTP2_NV_FLAG_NONE});
  }
  return name_values;
}

}  // namespace

TransportTotals& TotalTransportBytes() noexcept {
  static TransportTotals totals;
  return totals;
}

void H2Stream::Finish(std::uint32_t error) {
  const auto handler = std::move(on_closed_);
  on_closed_ = nullptr;
  on_headers_ = nullptr;
  on_data_ = nullptr;
  on_end_ = nullptr;
  if (handler) {
    Guarded([&] { handler(error); });
  }
}

/// C callbacks for nghttp2; handlers run in Guarded, so that no exception
/// passes through C.
struct H2Session::Callbacks {
  static H2Session* Self(void* data) { return static_cast<H2Session*>(data); }

  static H2StreamPtr FindStream(H2Session* self, std::int32_t id) {
    const auto found = self->streams_.find(id);
    return found == self->streams_.end() ? nullptr : found->second;
  }

  static int OnBeginHeaders(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame, void* data) {
    auto* self = Self(data);
    if (frame->hd.type == NGHTTP2_HEADERS && self->side_ == Side::kServer) {
      auto stream = std::make_shared<H2Stream>();
      stream->id_ = frame->hd.stream_id;
      self->streams_[stream->id_] = stream;
    }
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t /*flags*/, void* data) {
    if (auto stream = FindStream(Self(data), frame->hd.stream_id)) {
      stream->headers_.emplace_back(
          std::string(reinterpret_cast<const char*>(name), name_size),
          std::string(reinterpret_cast<const char*>(value), value_size));
    }
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* data) {
    auto* self = Self(data);
    auto stream = FindStream(self, frame->hd.stream_id);
    if (!stream) {
      return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
      if (self->side_ == Side::kServer && self->on_stream_) {
        Guarded([&] { self->on_stream_(stream); });
      } else if (stream->on_headers_) {
        Guarded(stream->on_headers_);
      }
    }
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const auto on_end = ends ? std::move(stream->on_end_) : nullptr;
    if (on_end) {
      stream->on_end_ = nullptr;
      Guarded(on_end);
    }
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                    std::int32_t id, const std::uint8_t* bytes,
                    std::size_t size, void* data) {
    auto stream = FindStream(Self(data), id);
    if (stream && stream->on_data_) {
      Guarded([&] {
        stream->on_data_({reinterpret_cast<const char*>(bytes), size});
      });
    }
    return 0;
  }

  static int OnClose(nghttp2_session* /*session*/, std::int32_t id,
                     std::uint32_t error, void* data) {
    auto* self = Self(data);
    auto stream = FindStream(self, id);
    if (stream) {
      self->streams_.erase(id);
      stream->Finish(error);
    }
    return 0;
  }

  static ssize_t ReadSendBuffer(nghttp2_session* /*session*/,
                                std::int32_t /*id*/, std::uint8_t* buffer,
                                std::size_t length, std::uint32_t* flags,
                                nghttp2_data_source* source, void* /*data*/) {
    auto* stream = static_cast<H2Stream*>(source->ptr);
    const auto size = std::min(length, stream->pending());
    if (size == 0 && !stream->send_ended_) {
      stream->deferred_ = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(stream->send_buffer_.data() + stream->send_offset_, size,
                buffer);
    stream->send_offset_ += size;
    if (stream->pending() == 0) {
      stream->send_buffer_.clear();
      stream->send_offset_ = 0;
      if (stream->send_ended_) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
      }
    }
    return static_cast<ssize_t>(size);
  }

  static nghttp2_data_provider MakeProvider(H2Stream& stream) {
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = ReadSendBuffer;
    return provider;
  }
};

H2Session::H2Session(Loop& loop, Side side)
    : loop_(loop), side_(side), tcp_(new uv_tcp_t), last_received_(loop.Now()) {
  uv_tcp_init(loop.raw(), tcp_);
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         Callbacks::OnClose);
  if (side == Side::kServer) {
    nghttp2_session_server_new(&session_, callbacks, this);
  } else {
    nghttp2_session_client_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

H2Session::~H2Session() {
  Close();
  nghttp2_session_del(session_);
}

void H2Session::Begin() {
  uv_tcp_nodelay(tcp_, 1);
  const std::array settings = {
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             kStreamWindowBytes},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             kMaxStreams}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  last_received_ = loop_.Now();
  tcp_->data = this;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(tcp_),
      [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
        static std::array<char, 256 << 10> read_buffer;
        *buffer = uv_buf_init(read_buffer.data(), read_buffer.size());
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
        auto self = static_cast<H2Session*>(stream->data)->shared_from_this();
        self->OnRead(size, buffer->base);
      });
  Flush();
}

void H2Session::OnRead(ssize_t size, const char* data) {
  if (size < 0) {
    Close();
    return;
  }
  last_received_ = loop_.Now();
  if (const auto handler = std::exchange(on_next_received_, nullptr)) {
    Guarded(handler);
  }
  TotalTransportBytes().received_bytes_ += static_cast<std::uint64_t>(size);
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(data);
  receiving_ = true;
  const auto consumed =
      nghttp2_session_mem_recv(session_, bytes, static_cast<std::size_t>(size));
  receiving_ = false;
  if (consumed < 0) {
    Close();
    return;
  }
  Flush();
}

void H2Session::Flush() {
  if (closed_ || flushing_ || receiving_ || tcp_->data == nullptr) {
    return;
  }
  flushing_ = true;
  while (queued_write_bytes_ < kMaxQueuedWriteBytes) {
    std::string batch;
    while (batch.size() < kMaxQueuedWriteBytes / 4) {
      const std::uint8_t* bytes = nullptr;
      const auto size = nghttp2_session_mem_send(session_, &bytes);
      if (size <= 0) {
        break;
      }
      batch.append(reinterpret_cast<const char*>(bytes),
                   static_cast<std::size_t>(size));
    }
    if (batch.empty()) {
      break;
    }
    queued_write_bytes_ += batch.size();
    TotalTransportBytes().sent_bytes_ += batch.size();
    auto* write = new WriteRequest{{}, weak_from_this(), std::move(batch)};
    write->request_.data = write;
    const uv_buf_t buffer = uv_buf_init(
        write->bytes_.data(), static_cast<unsigned>(write->bytes_.size()));
    uv_write(&write->request_, reinterpret_cast<uv_stream_t*>(tcp_), &buffer, 1,
             [](uv_write_t* request, int status) {
               const std::unique_ptr<WriteRequest> done(
                   static_cast<WriteRequest*>(request->data));
               if (auto session = done->session_.lock()) {
                 session->queued_write_bytes_ -= done->bytes_.size();
                 if (status < 0) {
                   session->Close();
                 } else {
                   session->Flush();
                 }
               }
             });
  }
  flushing_ = false;
  const bool finished = nghttp2_session_want_read(session_) == 0 &&
                        nghttp2_session_want_write(session_) == 0;
  if (finished && queued_write_bytes_ == 0) {
    Close();
  }
}

H2StreamPtr H2Session::Submit(const HttpHeaders& headers, std::string body) {
  if (closed_) {
    return nullptr;
  }
  auto stream = std::make_shared<H2Stream>();
  stream->send_buffer_ = std::move(body);
  stream->send_ended_ = true;
  const auto name_values = ToNameValues(headers);
  const auto provider = Callbacks::MakeProvider(*stream);
  stream->id_ = nghttp2_submit_request(
      session_, nullptr, name_values.data(), name_values.size(),
      stream->send_buffer_.empty() ? nullptr : &provider, nullptr);
  if (stream->id_ < 0) {
    return nullptr;
  }
  streams_[stream->id_] = stream;
  Flush();
  return stream;
}

void H2Session::Respond(const H2StreamPtr& stream, const HttpHeaders& headers) {
  if (closed_) {
    return;
  }
  const auto name_values = ToNameValues(headers);
  const auto provider = Callbacks::MakeProvider(*stream);
  nghttp2_submit_response(session_, stream->id_, name_values.data(),
                          name_values.size(), &provider);
  Flush();
}

void H2Session::Write(const H2StreamPtr& stream, std::string_view bytes) {
  if (closed_ || stream->send_ended_) {
    return;
  }
  stream->send_buffer_.append(bytes);
  if (std::exchange(stream->deferred_, false)) {
    nghttp2_session_resume_data(session_, stream->id_);
  }
  Flush();
}

void H2Session::EndStream(const H2StreamPtr& stream) {
  stream->send_ended_ = true;
  if (closed_) {
    return;
  }
  if (std::exchange(stream->deferred_, false)) {
    nghttp2_session_resume_data(session_, stream->id_);
  }
  Flush();
}

void H2Session::Reset(const H2StreamPtr& stream, std::uint32_t error) {
  if (!closed_) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream->id_, error);
    Flush();
  }
}

void H2Session::Ping() {
  if (!closed_) {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    Flush();
  }
}

void H2Session::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  tcp_->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(tcp_), [](uv_handle_t* handle) {
    delete reinterpret_cast<uv_tcp_t*>(handle);
  });
  CloseStreams();
  const auto handler = std::move(on_closed_);
  on_closed_ = nullptr;
  if (handler) {
    Guarded(handler);
  }
}

void H2Session::CloseStreams() {
  const auto streams = std::exchange(streams_, {});
  for (const auto& [id, stream] : streams) {
    stream->Finish(NGHTTP2_INTERNAL_ERROR);
  }
}

}  // namespace chalkwell::daemon::internal
