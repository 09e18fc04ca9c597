// The platform's pages, played small.
#include "standins.hpp"

#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::standins {
namespace {

using daemon::FindHeader;
using daemon::HttpExchangePtr;
using daemon::HttpHeaders;
using daemon::HttpLimits;

constexpr std::uint64_t kEvents = 6;
/// From the head of the answer of a request that crashes its endpoint to the
/// crash.
constexpr std::chrono::milliseconds kCrashDelay(20);
/// From the end of its connection to that of all others and of the listener.
constexpr std::chrono::milliseconds kListenerDelay(10);

std::unique_ptr<daemon::Http1Server> Serve(
    LoopThread& thread, daemon::HttpHandler handler,
    const daemon::Address& listen = kAnyPort) {
  std::unique_ptr<daemon::Http1Server> server;
  thread.Do([&] {
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

std::string Query(const std::string& path, const std::string& name) {
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

std::string Event(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) +
         "\n\n";
}

}  // namespace

LoopThread::LoopThread() {
  // A peer that is killed while it is written to is no reason to end.
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

void LoopThread::Do(const std::function<void()>& task) {
  std::promise<void> done;
  {
    const std::lock_guard lock(mutex_);
    tasks_.emplace_back([&] {
      task();
      done.set_value();
    });
  }
  done.get_future().wait();
}

StoreStandin::StoreStandin(LoopThread& thread, const daemon::Address& listen,
                           std::size_t page)
    : thread_(thread),
      page_(page),
      server_(Serve(
          thread, [this](const HttpExchangePtr& exchange) { OnCall(exchange); },
          listen)) {}

// Callers may hang up just now, which the loop notices: what it touches is
// destroyed on it.
StoreStandin::~StoreStandin() {
  thread_.Do([this] {
    server_.reset();
    watches_.clear();
    silent_.clear();
    alive_.reset();
  });
}

std::string StoreStandin::address() const { return AddressOf(*server_); }

void StoreStandin::Put(const std::string& key, const nlohmann::json& value) {
  thread_.Do([&] {
    items_[key] = {value.dump(), ++revision_};
    WakeWatches();
  });
}

void StoreStandin::Remove(const std::string& key) {
  thread_.Do([&] {
    items_.erase(key);
    ++revision_;
  });
}

int StoreStandin::Told(const std::string& prefix) const {
  int told = 0;
  thread_.Do([&] {
    const auto found = told_.find(prefix);
    told = found == told_.end() ? 0 : found->second;
  });
  return told;
}

int StoreStandin::Watching(const std::string& prefix) const {
  std::ptrdiff_t watching = 0;
  thread_.Do([&] {
    watching = std::ranges::count(watches_, prefix, &Watch::prefix_);
  });
  return static_cast<int>(watching);
}

void StoreStandin::OnCall(const HttpExchangePtr& exchange) {
  ++calls_;
  const auto& path = exchange->request().path_;
  if (busy_ || random_() % 1000 < busy_share_) {
    exchange->Respond(503, {}, "");
  } else if (path.starts_with("/kv-range") &&
             delay_.load() > std::chrono::milliseconds(0)) {
    thread_.loop().After(delay_.load(),
                         [this, exchange, alive = std::weak_ptr<int>(alive_)] {
                           if (!alive.expired()) {
                             AnswerRange(exchange);
                           }
                         });
  } else if (path.starts_with("/kv-range")) {
    AnswerRange(exchange);
  } else if (path.starts_with("/kv-watch")) {
    if (forget_.exchange(false)) {
      exchange->Respond(410, {}, "");
      return;
    }
    if (watches_silent_) {
      silent_.push_back(exchange);
      return;
    }
    const Watch watch{exchange, Query(path, "pathPrefix"),
                      NumberOr(Query(path, "afterRev"), 0)};
    if (AnswerWatch(watch)) {
      return;
    }
    watches_.push_back(watch);
    // A caller that hung up waits no more.
    exchange->OnAbort([this, aborted = exchange.get()] {
      std::erase_if(watches_, [aborted](const Watch& waiting) {
        return waiting.exchange_.get() == aborted;
      });
    });
    const auto wait =
        std::chrono::milliseconds(NumberOr(Query(path, "waitMs"), 0));
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

void StoreStandin::AnswerRange(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  const auto prefix = Query(path, "pathPrefix");
  const auto after = Query(path, "afterRev");
  auto items = nlohmann::json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == page_) {
      more = true;
      break;
    }
    items.push_back({{"tlsKey", key},
                     {"value", ToBase64(item.value_)},
                     {"rev", item.revision_}});
  }
  told_[prefix] += items.empty() ? 0 : 1;
  RespondJson(exchange,
              {{"items", items}, {"morePages", more}, {"asOf", revision_}});
}

bool StoreStandin::AnswerWatch(const Watch& watch) {
  auto events = nlohmann::json::array();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(watch.prefix_) && item.revision_ > watch.after_) {
      events.push_back({{"tlsKey", key},
                        {"value", ToBase64(item.value_)},
                        {"rev", item.revision_}});
    }
  }
  if (events.empty()) {
    return false;
  }
  ++told_[watch.prefix_];
  RespondJson(watch.exchange_, {{"events", events}, {"asOf", revision_}});
  return true;
}

void StoreStandin::WakeWatches() {
  std::erase_if(watches_,
                [this](const Watch& watch) { return AnswerWatch(watch); });
}

EndpointStandin::EndpointStandin(LoopThread& thread, std::string id,
                                 daemon::Address listen)
    : thread_(thread), listen_(std::move(listen)), id_(std::move(id)) {
  Start();
}

EndpointStandin::~EndpointStandin() {
  Stop();
  thread_.Do([this] { alive_.reset(); });
}

void EndpointStandin::Start() {
  server_ = Serve(
      thread_, [this](const HttpExchangePtr& exchange) { OnCall(exchange); },
      listen_);
  listen_.port_ = server_->port();
}

void EndpointStandin::Stop() {
  thread_.Do([this] {
    server_.reset();
    held_.clear();
  });
}

bool EndpointStandin::running() {
  bool running = false;
  thread_.Do([&] { running = server_ != nullptr; });
  return running;
}

void EndpointStandin::OnArrival(
    std::function<void(const std::string& request)> handler) {
  thread_.Do([&] { on_arrival_ = std::move(handler); });
}

void EndpointStandin::CrashOn(const std::string& text) {
  thread_.Do([&] { crash_text_ = text; });
}

void EndpointStandin::OnCrash(
    std::function<void(const std::string& request)> handler) {
  thread_.Do([&] { on_crash_ = std::move(handler); });
}

std::string EndpointStandin::address() const {
  return named_.empty() ? listen_.ToString() : named_;
}

void EndpointStandin::SetId(const std::string& id) {
  thread_.Do([&] { id_ = id; });
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
  if (born_ > 0) {
    row["born"] = born_.load();
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

void EndpointStandin::Spoil(std::size_t piece) {
  const std::lock_guard lock(mutex_);
  staged_.at(piece) += "spoilt";
}

void EndpointStandin::OnCall(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  if (path == "/report") {
    Report(exchange);
  } else if (path == "/order") {
    Order(exchange);
  } else if (path.starts_with("/stage-get/")) {
    StageGet(exchange);
  } else if (path.starts_with("/stage-put/")) {
    const std::lock_guard lock(mutex_);
    staged_[NumberOr(Query(path, "sampleSize"), 0)] = exchange->request().body_;
    exchange->Respond(200, {}, "");
  } else {
    Run(exchange);
  }
}

void EndpointStandin::Report(const HttpExchangePtr& exchange) const {
  ++reports_;
  auto models = nlohmann::json::array();
  if (version_ > 0) {
    models.push_back({{"name", "m"}, {"version", version_.load()}});
  }
  nlohmann::json report{{"stage", "both"},    {"models", models},
                        {"busySlots", false}, {"seq", orders_.load()},
                        {"queued", 0},        {"active", 0}};
  if (born_ > 0) {
    report["born"] = born_.load();
  }
  RespondJson(exchange, report);
}

void EndpointStandin::Order(const HttpExchangePtr& exchange) {
  const auto order = nlohmann::json::parse(exchange->request().body_);
  ++orders_;
  version_ = order.at("version").get<std::uint64_t>();
  exchange->Respond(202, {}, "");
}

void EndpointStandin::StageGet(const HttpExchangePtr& exchange) const {
  const std::lock_guard lock(mutex_);
  const auto piece =
      NumberOr(Query(exchange->request().path_, "sampleSize"), 0);
  const auto found = staged_.find(piece);
  if (found == staged_.end()) {
    exchange->Respond(404, {}, "");
  } else {
    exchange->Respond(200, {}, found->second);
  }
}

void EndpointStandin::Run(const HttpExchangePtr& exchange) {
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
    exchange->Respond(503, {{"not-executed", "1"}, {"attempt-id", request_id}},
                      "");
    return;
  }
  const auto work = work_.load();
  if (work > std::chrono::milliseconds(0)) {
    thread_.loop().After(work,
                         [this, exchange, alive = std::weak_ptr<int>(alive_)] {
                           if (!alive.expired()) {
                             Answer(exchange);
                           }
                         });
  } else {
    Answer(exchange);
  }
}

void EndpointStandin::Answer(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto behaviour = behaviour_.load();
  const std::string request_id(FindHeader(request.headers_, "attempt-id"));
  ++runs_;
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
  }
  if (!crash_text_.empty() &&
      request.body_.find(crash_text_) != std::string::npos) {
    Crash(exchange);
    return;
  }
  HttpHeaders headers{{"attempt-id", request_id},
                      {"response-seal", "s." + id_}};
  switch (behaviour) {
    case Behaviour::kLose:
      exchange->End(false);
      return;
    case Behaviour::kFail:
      exchange->Respond(500, headers, "failed");
      return;
    case Behaviour::kLateAnswer:
      headers[0].second = "another";
      exchange->Respond(200, headers, "of another request");
      return;
    case Behaviour::kUnsigned:
      exchange->Respond(200, {{"attempt-id", request_id}}, "not its own");
      return;
    case Behaviour::kHang:
      held_.push_back(exchange);
      exchange->OnAbort([this] { ++gone_; });
      return;
    default:
      break;
  }
  if (request.path_.starts_with("/stream/")) {
    Stream(exchange, behaviour == Behaviour::kCutStream);
  } else {
    exchange->Respond(200, headers, "answer to " + request.body_);
  }
}

void EndpointStandin::Crash(const HttpExchangePtr& exchange) {
  const auto& headers = exchange->request().headers_;
  const std::string request_id(FindHeader(headers, "attempt-id"));
  exchange->Start(200, {{"content-type", "text/event-stream"},
                        {"attempt-id", request_id},
                        {"response-seal", "s." + id_}});
  // The head is on its way when the connections break.
  thread_.loop().After(kCrashDelay, [this, exchange, request_id,
                                     alive = std::weak_ptr<int>(alive_)] {
    if (alive.expired() || server_ == nullptr) {
      return;
    }
    ++crashes_;
    exchange->End(false);
    if (on_crash_) {
      on_crash_(request_id);
    }
    // A process that ends may close its listener last.
    thread_.loop().After(kListenerDelay,
                         [this, alive = std::weak_ptr<int>(alive_)] {
                           if (!alive.expired()) {
                             server_.reset();
                             held_.clear();
                           }
                         });
  });
}

void EndpointStandin::Stream(const HttpExchangePtr& exchange, bool cut) {
  const auto& headers = exchange->request().headers_;
  const std::string request_id(FindHeader(headers, "attempt-id"));
  const auto last =
      NumberOr(std::string(FindHeader(headers, "last-event-id")), 0);
  exchange->Start(200, {{"content-type", "text/event-stream"},
                        {"attempt-id", request_id},
                        {"response-seal", "s." + id_}});
  const auto end = cut ? kEvents / 2 : kEvents;
  for (auto id = last + 1; id <= end; ++id) {
    exchange->Write(Event(id));
  }
  if (!cut) {
    exchange->End(true);
    return;
  }
  exchange->Write("id: " + std::to_string(end + 1) + "\nda");
  // The bytes must arrive before the reset drops them.
  thread_.loop().After(std::chrono::milliseconds(40),
                       [exchange] { exchange->End(false); });
}

OriginStandin::OriginStandin(LoopThread& thread, std::size_t pieces)
    : thread_(thread),
      pieces_(pieces),
      server_(Serve(thread, [this](const HttpExchangePtr& exchange) {
        OnCall(exchange);
      })) {}

OriginStandin::~OriginStandin() {
  thread_.Do([this] { server_.reset(); });
}

std::string OriginStandin::address() const { return AddressOf(*server_); }

std::size_t OriginStandin::connections() {
  std::size_t open = 0;
  thread_.Do([&] { open = server_->connections(); });
  return open;
}

std::string OriginStandin::Piece(std::uint64_t version, std::size_t piece) {
  return "v" + std::to_string(version) + " piece " + std::to_string(piece);
}

void OriginStandin::OnCall(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  manifests_ += path.starts_with("/manifest/") ? 1 : 0;
  if (down_) {
    exchange->Respond(503, {}, "");
    return;
  }
  const auto version = NumberOr(Query(path, "version"), 1);
  if (path.starts_with("/manifest/")) {
    auto digests = nlohmann::json::array();
    for (std::size_t piece = 0; piece < pieces_; ++piece) {
      digests.push_back(core::Digest::Sha256Of(Piece(version, piece)).ToHex());
    }
    RespondJson(exchange, {{"model", "m"},
                           {"version", version},
                           {"chunkBytes", 16},
                           {"layers", 2},
                           {"digests", digests}});
    return;
  }
  down_ = ++drawn_ == down_after_;
  auto bytes = Piece(version, NumberOr(Query(path, "sampleSize"), 0));
  if (spoil_.exchange(false)) {
    bytes[0] = '?';
  }
  exchange->Respond(200, {}, bytes);
}

}  // namespace chalkwell::standins
