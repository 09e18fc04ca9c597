// Paths, query parameters and message fields are those of the platform's
// published interface.
#include "standins.hpp"

#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <future>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::standins {
namespace {

using daemon::FindHeader;
using daemon::HttpExchangePtr;
using daemon::HttpHeaders;
using daemon::HttpLimits;

/// From sending the response head of a request that crashes its endpoint to the
/// crash.
constexpr std::chrono::milliseconds kCrashDelay(20);
/// From closing that request's connection to closing the listener and all other
/// connections.
constexpr std::chrono::milliseconds kListenerCloseDelay(10);

std::unique_ptr<daemon::Http1Server> StartServer(
    LoopThread& thread, daemon::HttpHandler handler,
    const daemon::Address& listen = kAnyPort) {
  std::unique_ptr<daemon::Http1Server> server;
  thread.RunAndWait([&] {
    server = std::make_unique<daemon::Http1Server>(
        thread.loop(), listen,
        daemon::Http1ServerHooks{.limits_ = [] { return HttpLimits{}; },
                                 .on_refused_ = nullptr},
        std::move(handler));
  });
  return server;
}

std::string AddressOf(const daemon::Http1Server& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

std::string QueryParameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + name.size() + 1;
  return path.substr(begin, path.find('&', begin) - begin);
}

std::uint64_t NumberOr(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

std::string ToBase64(const std::string& bytes) {
  const auto size =
      sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  std::string text(size, '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

void RespondJson(const HttpExchangePtr& exchange, const nlohmann::json& body) {
  exchange->Respond(200, {{"content-type", "application/json"}}, body.dump());
}

std::string FormatEvent(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) +
         "\n\n";
}

}  // namespace

std::uint64_t CountEvents(const std::string& response) {
  std::size_t at = 0;
  for (std::uint64_t id = 1; id <= kStreamEvents; ++id) {
    const auto event = FormatEvent(id);
    const auto found = response.find(event, at);
    if (found == std::string::npos) {
      return id - 1;
    }
    at = found + event.size();
  }
  return kStreamEvents;
}

LoopThread::LoopThread() {
  // Writing to a peer that was killed must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  poll_ = std::make_unique<daemon::Timer>(loop_);
  poll_->Every(std::chrono::milliseconds(1), [this] {
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (const auto& task : tasks) {
      task();
    }
    if (stopped_) {
      loop_.Stop();
    }
  });
  thread_ = std::thread([this] { loop_.Run(); });
}

LoopThread::~LoopThread() {
  stopped_ = true;
  thread_.join();
}

void LoopThread::RunAndWait(const std::function<void()>& task) {
  std::promise<void> done;
  {
    const std::lock_guard lock(mutex_);
    tasks_.emplace_back([&] {
      try {
        task();
        done.set_value();
      } catch (...) {
        done.set_exception(std::current_exception());
      }
    });
  }
  done.get_future().get();
}

StoreStandin::StoreStandin(LoopThread& thread, const daemon::Address& listen,
                           std::size_t page_size)
    : thread_(thread),
      page_size_(page_size),
      server_(StartServer(
          thread, [this](const HttpExchangePtr& exchange) { OnCall(exchange); },
          listen)) {}

// A caller may disconnect concurrently and its abort handler runs on the loop:
// whatever the handlers use is destroyed on the loop too.
StoreStandin::~StoreStandin() {
  thread_.RunAndWait([this] {
    server_.reset();
    watches_.clear();
    dropped_watches_.clear();
    alive_.reset();
  });
}

std::string StoreStandin::address() const { return AddressOf(*server_); }

void StoreStandin::Put(const std::string& key, const nlohmann::json& value) {
  thread_.RunAndWait([&] {
    items_[key] = {value.dump(), ++revision_};
    removed_.erase(key);
    NotifyWatches();
  });
}

void StoreStandin::Remove(const std::string& key) {
  thread_.RunAndWait([&] {
    items_.erase(key);
    removed_[key] = ++revision_;
    NotifyWatches();
  });
}

int StoreStandin::ResponsesWithValues(const std::string& prefix) const {
  int count = 0;
  thread_.RunAndWait([&] {
    const auto found = responses_with_values_.find(prefix);
    count = found == responses_with_values_.end() ? 0 : found->second;
  });
  return count;
}

int StoreStandin::WaitingWatches(const std::string& prefix) const {
  std::ptrdiff_t count = 0;
  thread_.RunAndWait(
      [&] { count = std::ranges::count(watches_, prefix, &Watch::prefix_); });
  return static_cast<int>(count);
}

void StoreStandin::OnCall(const HttpExchangePtr& exchange) {
  ++calls_;
  const auto& path = exchange->request().path_;
  if (busy_ || random_() % 1000 < rejected_per_mille_) {
    exchange->Respond(503, {}, "");
  } else if (path.starts_with("/kv-range") &&
             delay_.load() > std::chrono::milliseconds(0)) {
    thread_.loop().After(delay_.load(),
                         [this, exchange, alive = std::weak_ptr<int>(alive_)] {
                           if (!alive.expired()) {
                             RespondToRange(exchange);
                           }
                         });
  } else if (path.starts_with("/kv-range")) {
    RespondToRange(exchange);
  } else if (path.starts_with("/kv-watch")) {
    if (history_compacted_.exchange(false)) {
      exchange->Respond(410, {}, "");
      return;
    }
    if (watches_silent_) {
      dropped_watches_.push_back(exchange);
      return;
    }
    const Watch watch{exchange, QueryParameter(path, "pathPrefix"),
                      NumberOr(QueryParameter(path, "afterRev"), 0)};
    if (TryRespondToWatch(watch)) {
      return;
    }
    watches_.push_back(watch);
    // Drops the watch when its caller disconnects.
    exchange->OnAbort([this, aborted = exchange.get()] {
      std::erase_if(watches_, [aborted](const Watch& waiting) {
        return waiting.exchange_.get() == aborted;
      });
    });
    const auto wait =
        std::chrono::milliseconds(NumberOr(QueryParameter(path, "waitMs"), 0));
    thread_.loop().After(wait, [this, exchange] {
      const auto erased = std::erase_if(watches_, [&](const Watch& waiting) {
        return waiting.exchange_ == exchange;
      });
      if (erased > 0) {
        RespondJson(exchange,
                    {{"events", nlohmann::json::array()}, {"asOf", revision_}});
      }
    });
  } else {
    exchange->Respond(404, {}, "");
  }
}

void StoreStandin::RespondToRange(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  const auto prefix = QueryParameter(path, "pathPrefix");
  const auto after = QueryParameter(path, "afterRev");
  auto items = nlohmann::json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == page_size_) {
      more = true;
      break;
    }
    items.push_back({{"tlsKey", key},
                     {"value", ToBase64(item.value_)},
                     {"rev", item.revision_}});
  }
  responses_with_values_[prefix] += items.empty() ? 0 : 1;
  RespondJson(exchange,
              {{"items", items}, {"morePages", more}, {"asOf", revision_}});
}

bool StoreStandin::TryRespondToWatch(const Watch& watch) {
  auto events = nlohmann::json::array();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(watch.prefix_) && item.revision_ > watch.after_) {
      events.push_back({{"tlsKey", key},
                        {"value", ToBase64(item.value_)},
                        {"rev", item.revision_}});
    }
  }
  for (const auto& [key, revision] : removed_) {
    if (key.starts_with(watch.prefix_) && revision > watch.after_) {
      events.push_back({{"tlsKey", key}, {"rev", revision}, {"removed", true}});
    }
  }
  if (events.empty()) {
    return false;
  }
  ++responses_with_values_[watch.prefix_];
  RespondJson(watch.exchange_, {{"events", events}, {"asOf", revision_}});
  return true;
}

void StoreStandin::NotifyWatches() {
  std::erase_if(watches_, [this](const Watch& watch) {
    return TryRespondToWatch(watch);
  });
}

EndpointStandin::EndpointStandin(LoopThread& thread, std::string id,
                                 daemon::Address listen)
    : thread_(thread), listen_(std::move(listen)), id_(std::move(id)) {
  Start();
}

EndpointStandin::~EndpointStandin() {
  Stop();
  thread_.RunAndWait([this] { alive_.reset(); });
}

void EndpointStandin::Start() {
  server_ = StartServer(
      thread_, [this](const HttpExchangePtr& exchange) { OnCall(exchange); },
      listen_);
  listen_.port_ = server_->port();
}

void EndpointStandin::Stop() {
  thread_.RunAndWait([this] {
    server_.reset();
    hanging_.clear();
  });
}

bool EndpointStandin::running() {
  bool running = false;
  thread_.RunAndWait([&] { running = server_ != nullptr; });
  return running;
}

void EndpointStandin::SetRateLimit(const std::string& text) {
  thread_.RunAndWait([&] { rate_limit_ = text; });
}

HttpHeaders EndpointStandin::ResponseHeaders(
    const std::string& request_id) const {
  HttpHeaders headers{{"attempt-id", request_id}};
  if (!rate_limit_.empty()) {
    headers.emplace_back("server-limit", rate_limit_);
  }
  return headers;
}

HttpHeaders EndpointStandin::SignedHeaders(
    const std::string& request_id) const {
  auto headers = ResponseHeaders(request_id);
  headers.emplace_back("response-seal", "s." + id_);
  return headers;
}

void EndpointStandin::OnArrival(
    std::function<void(const std::string& request)> handler) {
  thread_.RunAndWait([&] { on_arrival_ = std::move(handler); });
}

void EndpointStandin::CrashOn(const std::string& text) {
  thread_.RunAndWait([&] { crash_text_ = text; });
}

void EndpointStandin::OnCrash(
    std::function<void(const std::string& request)> handler) {
  thread_.RunAndWait([&] { on_crash_ = std::move(handler); });
}

std::string EndpointStandin::address() const {
  return advertised_address_.empty() ? listen_.ToString() : advertised_address_;
}

void EndpointStandin::SetId(const std::string& id) {
  thread_.RunAndWait([&] { id_ = id; });
}

nlohmann::json EndpointStandin::Row(const std::string& service,
                                    const std::string& zone,
                                    const std::string& state) const {
  auto models = nlohmann::json::array();
  if (version_ > 0) {
    models.push_back({{"name", "m"},
                      {"version", version_.load()},
                      {"adapters", nlohmann::json::array()}});
  }
  nlohmann::json row{
      {"service", service}, {"addr", address()}, {"zone", zone}, {"slots", 4},
      {"state", state},     {"models", models},  {"seq", 1}};
  if (start_time_ms_ > 0) {
    row["born"] = start_time_ms_.load();
  }
  return row;
}

std::vector<daemon::HttpRequest> EndpointStandin::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

std::map<std::size_t, std::string> EndpointStandin::staged() const {
  const std::lock_guard lock(mutex_);
  return staged_;
}

void EndpointStandin::CorruptChunk(std::size_t chunk) {
  const std::lock_guard lock(mutex_);
  staged_.at(chunk) += "spoilt";
}

void EndpointStandin::OnCall(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  if (path == "/report") {
    HandleReport(exchange);
  } else if (path == "/order") {
    HandleOrder(exchange);
  } else if (path.starts_with("/stage-get/")) {
    HandleStageGet(exchange);
  } else if (path.starts_with("/stage-put/")) {
    const std::lock_guard lock(mutex_);
    staged_[NumberOr(QueryParameter(path, "sampleSize"), 0)] =
        exchange->request().body_;
    exchange->Respond(200, {}, "");
  } else {
    HandleRequest(exchange);
  }
}

void EndpointStandin::HandleReport(const HttpExchangePtr& exchange) const {
  ++report_queries_;
  auto models = nlohmann::json::array();
  if (version_ > 0) {
    models.push_back({{"name", "m"}, {"version", version_.load()}});
  }
  nlohmann::json report{{"stage", "both"},    {"models", models},
                        {"busySlots", false}, {"seq", orders_.load()},
                        {"queued", 0},        {"active", 0}};
  if (start_time_ms_ > 0) {
    report["born"] = start_time_ms_.load();
  }
  RespondJson(exchange, report);
}

void EndpointStandin::HandleOrder(const HttpExchangePtr& exchange) {
  const auto order = nlohmann::json::parse(exchange->request().body_);
  ++orders_;
  version_ = order.at("version").get<std::uint64_t>();
  exchange->Respond(202, {}, "");
}

void EndpointStandin::HandleStageGet(const HttpExchangePtr& exchange) const {
  const std::lock_guard lock(mutex_);
  const auto chunk =
      NumberOr(QueryParameter(exchange->request().path_, "sampleSize"), 0);
  const auto found = staged_.find(chunk);
  if (found == staged_.end()) {
    exchange->Respond(404, {}, "");
  } else {
    exchange->Respond(200, {}, found->second);
  }
}

void EndpointStandin::HandleRequest(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto behaviour = behaviour_.load();
  const auto expected = FindHeader(request.headers_, "expect-instance");
  const auto version = FindHeader(request.headers_, "expect-version");
  const std::string request_id(FindHeader(request.headers_, "attempt-id"));
  const bool other_version =
      !version.empty() && version != std::to_string(version_.load());
  if (expected != id_ || other_version) {
    exchange->Respond(421, {{"instance-id", id_}, {"attempt-id", request_id}},
                      "");
    return;
  }
  if (on_arrival_) {
    on_arrival_(request_id);
  }
  if (behaviour == Behaviour::kShed) {
    auto headers = ResponseHeaders(request_id);
    headers.emplace_back("not-executed", "1");
    exchange->Respond(503, headers, "");
    return;
  }
  const auto run_delay = run_delay_.load();
  if (run_delay > std::chrono::milliseconds(0)) {
    thread_.loop().After(run_delay,
                         [this, exchange, alive = std::weak_ptr<int>(alive_)] {
                           if (!alive.expired()) {
                             RunRequest(exchange);
                           }
                         });
  } else {
    RunRequest(exchange);
  }
}

void EndpointStandin::RunRequest(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto behaviour = behaviour_.load();
  const std::string request_id(FindHeader(request.headers_, "attempt-id"));
  ++runs_;
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
  }
  const auto parts = FindHeader(request.headers_, "prompt-prefix");
  const bool crashes = request.body_.find(crash_text_) != std::string::npos ||
                       parts.find(crash_text_) != std::string_view::npos;
  if (!crash_text_.empty() && crashes) {
    Crash(exchange);
    return;
  }
  auto headers = SignedHeaders(request_id);
  switch (behaviour) {
    case Behaviour::kReset:
      exchange->End(false);
      return;
    case Behaviour::kFail:
      Respond(exchange, 500, headers, "failed");
      return;
    case Behaviour::kWrongAttemptId:
      headers[0].second = "another";
      exchange->Respond(200, headers, "of another request");
      return;
    case Behaviour::kUnsigned:
      exchange->Respond(200, {{"attempt-id", request_id}}, "not its own");
      return;
    case Behaviour::kHang:
      hanging_.push_back(exchange);
      exchange->OnAbort([this] { ++cancelled_; });
      return;
    default:
      break;
  }
  if (request.path_.starts_with("/stream/")) {
    RespondWithStream(exchange, behaviour == Behaviour::kTruncateStream);
  } else {
    Respond(exchange, 200, headers,
            body_size_ > 0 ? std::string(body_size_, 'x')
                           : "answer to " + request.body_);
  }
}

void EndpointStandin::Respond(const HttpExchangePtr& exchange, int status,
                              const HttpHeaders& headers,
                              const std::string& body) const {
  if (framing_ == Framing::kMessage) {
    exchange->Respond(status, headers, body);
    return;
  }
  exchange->StartCloseDelimited(status, headers);
  exchange->Write(body);
  exchange->End(true);
}

void EndpointStandin::Crash(const HttpExchangePtr& exchange) {
  const auto& headers = exchange->request().headers_;
  const std::string request_id(FindHeader(headers, "attempt-id"));
  const HttpHeaders response_headers{{"content-type", "text/event-stream"},
                                     {"attempt-id", request_id},
                                     {"response-seal", "s." + id_}};
  const bool framed = framing_ == Framing::kMessage;
  if (framed) {
    exchange->Start(200, response_headers);
  } else {
    exchange->StartCloseDelimited(200, response_headers);
  }
  // Leaves time for the response head to arrive before the connection closes.
  thread_.loop().After(kCrashDelay, [this, exchange, request_id, framed,
                                     alive = std::weak_ptr<int>(alive_)] {
    if (alive.expired() || server_ == nullptr) {
      return;
    }
    ++crashes_;
    exchange->End(!framed);
    if (on_crash_) {
      on_crash_(request_id);
    }
    // A process that ends may close its listener after its connections.
    thread_.loop().After(kListenerCloseDelay,
                         [this, alive = std::weak_ptr<int>(alive_)] {
                           if (!alive.expired()) {
                             server_.reset();
                             hanging_.clear();
                           }
                         });
  });
}

void EndpointStandin::RespondWithStream(const HttpExchangePtr& exchange,
                                        bool truncate) {
  const auto& headers = exchange->request().headers_;
  const std::string request_id(FindHeader(headers, "attempt-id"));
  const auto last =
      NumberOr(std::string(FindHeader(headers, "last-event-id")), 0);
  auto response_headers = SignedHeaders(request_id);
  response_headers.emplace_back("content-type", "text/event-stream");
  auto form = last > 0 ? resumed_stream_form_.load() : stream_form_.load();
  if (truncate) {
    form.cut_ = StreamCut::kInsideEvent;
  }
  const bool cut = form.cut_ != StreamCut::kNone;
  const bool framed = form.framing_ == Framing::kMessage;
  if (framed) {
    exchange->Start(200, response_headers);
  } else {
    exchange->StartCloseDelimited(200, response_headers);
  }
  const auto end = cut ? kStreamEvents / 2 : kStreamEvents;
  for (auto id = last + 1;
       id <= end && form.cut_ != StreamCut::kBeforeFirstEvent; ++id) {
    exchange->Write(FormatEvent(id));
  }
  if (form.cut_ == StreamCut::kInsideEvent) {
    exchange->Write("id: " + std::to_string(end + 1) + "\nda");
  }
  if (!framed || !cut) {
    exchange->End(true);
    return;
  }
  // Leaves time for the bytes to arrive: a reset drops what is not delivered.
  thread_.loop().After(std::chrono::milliseconds(40),
                       [exchange] { exchange->End(false); });
}

OriginStandin::OriginStandin(LoopThread& thread, std::size_t chunk_count)
    : thread_(thread),
      chunk_count_(chunk_count),
      server_(StartServer(thread, [this](const HttpExchangePtr& exchange) {
        OnCall(exchange);
      })) {}

OriginStandin::~OriginStandin() {
  thread_.RunAndWait([this] { server_.reset(); });
}

std::string OriginStandin::address() const { return AddressOf(*server_); }

std::size_t OriginStandin::connections() {
  std::size_t open = 0;
  thread_.RunAndWait([&] { open = server_->connections(); });
  return open;
}

std::string OriginStandin::Chunk(std::uint64_t version, std::size_t chunk) {
  return "v" + std::to_string(version) + " piece " + std::to_string(chunk);
}

void OriginStandin::OnCall(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  manifest_requests_ += path.starts_with("/manifest/") ? 1 : 0;
  if (down_) {
    exchange->Respond(503, {}, "");
    return;
  }
  const auto version = NumberOr(QueryParameter(path, "version"), 1);
  if (path.starts_with("/manifest/")) {
    auto digests = nlohmann::json::array();
    for (std::size_t chunk = 0; chunk < chunk_count_; ++chunk) {
      digests.push_back(core::Digest::Sha256Of(Chunk(version, chunk)).ToHex());
    }
    RespondJson(exchange, {{"model", "m"},
                           {"version", version},
                           {"chunkBytes", 16},
                           {"layers", 2},
                           {"digests", digests}});
    return;
  }
  down_ = ++chunks_served_ == down_after_;
  auto bytes = Chunk(version, NumberOr(QueryParameter(path, "sampleSize"), 0));
  if (corrupt_next_.exchange(false)) {
    bytes[0] = '?';
  }
  exchange->Respond(200, {}, bytes);
}

}  // namespace chalkwell::standins
