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
#include "standin_server.hpp"

namespace chalkwell::standins {
namespace {

using daemon::HttpExchangePtr;

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

}  // namespace

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
    contents_.items_[key] = {value.dump(), ++contents_.revision_};
    contents_.removed_.erase(key);
    NotifyWatches();
  });
}

void StoreStandin::PutBytes(const std::string& key, const std::string& value) {
  thread_.RunAndWait([&] {
    contents_.items_[key] = {value, ++contents_.revision_};
    contents_.removed_.erase(key);
    NotifyWatches();
  });
}

void StoreStandin::OverrideRanges(RangeOverride range_override) {
  thread_.RunAndWait([&] { range_override_ = std::move(range_override); });
}

void StoreStandin::Remove(const std::string& key) {
  thread_.RunAndWait([&] {
    contents_.items_.erase(key);
    contents_.removed_[key] = ++contents_.revision_;
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

void StoreStandin::SaveCopy() {
  thread_.RunAndWait([this] { copy_ = contents_; });
}

void StoreStandin::RestoreCopy() {
  thread_.RunAndWait([this] {
    contents_ = copy_;
    ++era_;
    for (const auto& watch : std::exchange(watches_, {})) {
      watch.exchange_->End(false);
    }
  });
}

void StoreStandin::RestoreCopyUnseen(const std::function<void()>& write_again) {
  SetBusy(true);
  RestoreCopy();
  write_again();
  SetBusy(false);
}

std::uint64_t StoreStandin::revision() const {
  std::uint64_t revision = 0;
  thread_.RunAndWait([&] { revision = contents_.revision_; });
  return revision;
}

nlohmann::json StoreStandin::Value(const std::string& key) const {
  nlohmann::json value;
  thread_.RunAndWait([&] {
    const auto found = contents_.items_.find(key);
    if (found != contents_.items_.end()) {
      value = nlohmann::json::parse(found->second.value_);
    }
  });
  return value;
}

void StoreStandin::Respond(const HttpExchangePtr& exchange, int status,
                           const std::string& body) const {
  exchange->Respond(status,
                    {{"content-type", "application/json"},
                     {"store-era", std::to_string(era_)}},
                    body);
}

void StoreStandin::Respond(const HttpExchangePtr& exchange,
                           const nlohmann::json& body) const {
  Respond(exchange, 200,
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void StoreStandin::OnCall(const HttpExchangePtr& exchange) {
  ++calls_;
  const auto& path = exchange->request().path_;
  if (busy_ || random_() % 1000 < rejected_per_mille_) {
    Respond(exchange, 503, "");
  } else if (!IsEncoded(path)) {
    Respond(exchange, 400, "");
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
      Respond(exchange, 410, "");
      return;
    }
    const auto wait =
        std::chrono::milliseconds(NumberOr(QueryParameter(path, "waitMs"), 0));
    if (watches_silent_ || wait >= min_silent_wait_.load()) {
      dropped_watches_.push_back(exchange);
      return;
    }
    const Watch watch{exchange, QueryParameter(path, "pathPrefix"),
                      NumberOr(QueryParameter(path, "afterRev"), 0)};
    if (watch.after_ > contents_.revision_) {
      Respond(exchange, 410, "");
      return;
    }
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
    thread_.loop().After(wait, [this, exchange] {
      const auto erased = std::erase_if(watches_, [&](const Watch& waiting) {
        return waiting.exchange_ == exchange;
      });
      if (erased > 0) {
        Respond(exchange, {{"events", nlohmann::json::array()},
                           {"asOf", contents_.revision_}});
      }
    });
  } else {
    Respond(exchange, 404, "");
  }
}

void StoreStandin::RespondToRange(const HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  const auto prefix = QueryParameter(path, "pathPrefix");
  const auto after = QueryParameter(path, "afterRev");
  if (range_override_) {
    if (const auto response = range_override_(prefix, after)) {
      Respond(exchange, response->status_, response->body_);
      return;
    }
  }
  auto items = nlohmann::json::array();
  bool more = false;
  for (const auto& [key, item] : contents_.items_) {
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
  Respond(
      exchange,
      {{"items", items}, {"morePages", more}, {"asOf", contents_.revision_}});
}

bool StoreStandin::TryRespondToWatch(const Watch& watch) {
  auto events = nlohmann::json::array();
  for (const auto& [key, item] : contents_.items_) {
    if (key.starts_with(watch.prefix_) && item.revision_ > watch.after_) {
      events.push_back({{"tlsKey", key},
                        {"value", ToBase64(item.value_)},
                        {"rev", item.revision_}});
    }
  }
  for (const auto& [key, revision] : contents_.removed_) {
    if (key.starts_with(watch.prefix_) && revision > watch.after_) {
      events.push_back({{"tlsKey", key}, {"rev", revision}, {"removed", true}});
    }
  }
  if (events.empty()) {
    return false;
  }
  ++responses_with_values_[watch.prefix_];
  Respond(watch.exchange_, {{"events", events}, {"asOf", contents_.revision_}});
  return true;
}

void StoreStandin::NotifyWatches() {
  std::erase_if(watches_, [this](const Watch& watch) {
    return TryRespondToWatch(watch);
  });
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
