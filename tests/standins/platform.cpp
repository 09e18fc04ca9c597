// Watches are long polls on a map of values.
#include "standins/platform.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/query.hpp"

namespace chalkwell::standins {
namespace {

constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::size_t kMaxHistory = 64;
constexpr auto kWatchInterval = std::chrono::milliseconds(20);
const daemon::HttpHeaders kJson{{"content-type", "application/json"}};

}  // namespace

Platform::Platform(daemon::Loop& loop, const PlatformSettings& settings)
    : loop_(loop),
      settings_(settings),
      window_start_(loop.Now()),
      watch_timer_(loop),
      server_(loop,
              {.address_ = settings.address_,
               .max_body_bytes_ = 2 * kMaxValueBytes},
              [this](const daemon::HttpExchangePtr& exchange) {
                OnRequest(exchange);
              }) {
  watch_timer_.Every(kWatchInterval, [this] { RespondToDueWatches(); });
}

void Platform::OnRequest(const daemon::HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  if (path.starts_with("/control/")) {
    OnControl(exchange);
  } else if (down_) {
    exchange->Respond(503, {}, "down");
  } else if (!CountCall()) {
    ++refused_;
    exchange->Respond(429, {}, "too many calls");
  } else if (path.starts_with("/v1/watch")) {
    OnWatch(exchange);
  } else {
    exchange->Respond(405, {}, "read and watch only");
  }
}

bool Platform::CountCall() {
  const auto now = loop_.Now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    window_calls_ = 0;
  }
  ++calls_;
  ++window_calls_;
  // A waiting watch counts as one call per second.
  const auto used = window_calls_ + watches_.size();
  peak_calls_ = std::max<std::uint64_t>(peak_calls_, used);
  return used <= settings_.calls_per_second_;
}

const Platform::Values& Platform::Visible() const {
  return stale_ ? *stale_ : values_;
}

std::uint64_t Platform::Revision(const Values& values) const {
  std::uint64_t highest = 0;
  for (const auto& [key, value] : values) {
    highest = std::max(highest, value.revision_);
  }
  return highest;
}

void Platform::OnWatch(const daemon::HttpExchangePtr& exchange) {
  const auto query = ParseQuery(exchange->request().path_);
  const Watch watch{.exchange_ = exchange,
                    .after_ = NumberOf(query, "after"),
                    .until_ = loop_.Now() + std::chrono::milliseconds(
                                                NumberOf(query, "wait_ms"))};
  if (Revision(Visible()) != watch.after_ || watch.until_ <= loop_.Now()) {
    RespondToWatch(watch);
  } else {
    watches_.push_back(watch);
  }
}

void Platform::RespondToWatch(const Watch& watch) const {
  const auto& values = Visible();
  const auto revision = Revision(values);
  // A reader with a newer revision than the stale state gets all of the state.
  const auto after = watch.after_ > revision ? 0 : watch.after_;
  auto list = nlohmann::json::array();
  for (const auto& [key, value] : values) {
    if (value.revision_ > after) {
      list.push_back({{"key", key},
                      {"revision", value.revision_},
                      {"value", value.text_}});
    }
  }
  const nlohmann::json body{{"revision", revision}, {"values", list}};
  watch.exchange_->Respond(200, kJson, body.dump());
}

void Platform::RespondToDueWatches() {
  const auto now = loop_.Now();
  const auto revision = Revision(Visible());
  std::erase_if(watches_, [&](const Watch& watch) {
    if (!watch.exchange_->open()) {
      return true;
    }
    const bool due = watch.until_ <= now || revision != watch.after_ || down_;
    if (due && down_) {
      watch.exchange_->Respond(503, {}, "down");
    } else if (due) {
      RespondToWatch(watch);
    }
    return due;
  });
}

void Platform::Publish(const std::string& key, std::string text) {
  history_.push_back(values_);
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
  values_[key] = {++revision_, std::move(text)};
  RespondToDueWatches();
}

void Platform::OnControl(const daemon::HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto query = ParseQuery(request.path_);
  const auto path = request.path_.substr(0, request.path_.find('?'));
  constexpr std::string_view kValues = "/control/values/";
  if (path.starts_with(kValues)) {
    const auto key = path.substr(kValues.size());
    if (request.body_.size() > kMaxValueBytes) {
      exchange->Respond(413, {}, "values are at most 1 MB");
      return;
    }
    const bool is_instance_list = key.starts_with("instances");
    loop_.After(is_instance_list ? settings_.list_lag_ : core::Duration{},
                [this, key, body = request.body_] { Publish(key, body); });
  } else if (path == "/control/down") {
    down_ = NumberOf(query, "on") != 0;
    RespondToDueWatches();
  } else if (path == "/control/stale") {
    // back=N selects the state before the last N changes.
    const auto back = NumberOf(query, "back");
    const bool on = NumberOf(query, "on") != 0;
    stale_.reset();
    if (on) {
      const auto& selected = back == 0 || back > history_.size()
                                 ? values_
                                 : history_[history_.size() - back];
      stale_ = std::make_unique<Values>(selected);
    }
    RespondToDueWatches();
  } else if (path == "/control/stats") {
    exchange->Respond(200, kJson, Stats());
    if (NumberOf(query, "reset") != 0) {
      calls_ = refused_ = peak_calls_ = 0;
    }
    return;
  }
  exchange->Respond(200, {}, "ok");
}

std::string Platform::Stats() const {
  return nlohmann::json{{"calls", calls_},
                        {"refused", refused_},
                        {"peak_calls", peak_calls_},
                        {"watches", watches_.size()},
                        {"revision", revision_}}
      .dump();
}

}  // namespace chalkwell::standins
