// Control of the fake engine: staging of weights, orders and injected faults.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/engine.hpp"
#include "standins/query.hpp"

namespace chalkwell::standins {
namespace {

constexpr std::string_view kStagingPath = "/v1/staging/";
constexpr std::size_t kDigestLength = 64;
const daemon::HttpHeaders kJson{{"content-type", "application/json"}};

}  // namespace

void Engine::OnStaging(const daemon::HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto manifest =
      request.path_.substr(kStagingPath.size(), kDigestLength);
  const auto subpath =
      request.path_.size() > kStagingPath.size() + kDigestLength
          ? request.path_.substr(kStagingPath.size() + kDigestLength)
          : "";
  auto& staging = staging_[manifest];
  if (request.method_ == "DELETE") {
    staging_.erase(manifest);
    exchange->Respond(200, {}, "dropped");
  } else if (subpath.empty()) {
    if (core::Digest::Of(request.body_).ToHex() != manifest) {
      exchange->Respond(409, {}, "manifest differs from its digest");
      return;
    }
    staging.chunks_ = bundle::ParseManifest(request.body_).AllChunks();
    auto missing = nlohmann::json::array();
    for (std::size_t i = 0; i < staging.chunks_.size(); ++i) {
      if (loaded_chunks_.contains(staging.chunks_[i].digest_)) {
        staging.received_.insert(i);
      }
      if (!staging.received_.contains(i)) {
        missing.push_back(i);
      }
    }
    exchange->Respond(200, kJson, nlohmann::json{{"missing", missing}}.dump());
  } else if (subpath == "/seal") {
    staging.sealed_ = !staging.chunks_.empty() &&
                      staging.received_.size() == staging.chunks_.size();
    exchange->Respond(staging.sealed_ ? 200 : 409, {}, "");
  } else {
    const auto index = std::stoull(subpath.substr(subpath.rfind('/') + 1));
    const bool valid =
        index < staging.chunks_.size() &&
        core::Digest::Of(request.body_) == staging.chunks_[index].digest_;
    if (valid) {
      staging.received_.insert(index);
    }
    exchange->Respond(valid ? 200 : 409, {}, "");
  }
}

void Engine::OnOrder(const daemon::HttpExchangePtr& exchange) {
  const auto order =
      nlohmann::json::parse(exchange->request().body_, nullptr, false);
  if (!order.is_object()) {
    exchange->Respond(400, {}, "body must be JSON");
    return;
  }
  const auto fence = order.value("fence", std::uint64_t{0});
  const auto manifest = order.value("manifest", "");
  if (settings_.checks_fencing_ && fence <= fence_) {
    exchange->Respond(409, {}, "fencing number is not newer than the last one");
    return;
  }
  if (settings_.checks_fencing_) {
    fence_ = fence;
  }
  if (order.contains("role")) {
    role_ = order["role"].get<std::string>();
    exchange->Respond(200, {}, "role changed");
    return;
  }
  const auto staged = staging_.find(manifest);
  if (staged == staging_.end() || !staged->second.sealed_) {
    ++incomplete_orders_;
    exchange->Respond(409, {}, "staged weights are incomplete");
    return;
  }
  if (loading_) {
    exchange->Respond(409, {}, "another load is in progress");
    return;
  }
  loading_ = true;
  loop_.After(settings_.load_time_, [this, exchange, manifest,
                                     version = order.value("version",
                                                           std::uint64_t{0})] {
    loading_ = false;
    const auto held = staging_.find(manifest);
    if (settings_.fails_loads_ || held == staging_.end()) {
      exchange->Respond(500, {}, "load failed");
      return;
    }
    if (manifest != weights_) {
      runs_with_mixed_weights_ += batch_.size() + waiting_.size();
    }
    weights_ = manifest;
    version_ = version;
    activations_.push_back(std::to_string(version) + ":" + manifest);
    loaded_chunks_.clear();
    for (const auto& chunk : held->second.chunks_) {
      loaded_chunks_.insert(chunk.digest_);
    }
    staging_.erase(held);
    prefixes_.clear();
    exchange->Respond(200, {}, "active");
  });
}

void Engine::OnControl(const daemon::HttpExchangePtr& exchange) {
  const auto query = ParseQuery(exchange->request().path_);
  if (exchange->request().path_.starts_with("/control/switches")) {
    if (query.contains("checks_fencing")) {
      settings_.checks_fencing_ = NumberOf(query, "checks_fencing") != 0;
    }
    if (query.contains("fails_loads")) {
      settings_.fails_loads_ = NumberOf(query, "fails_loads") != 0;
    }
    if (query.contains("fail_percent")) {
      settings_.fail_percent_ = NumberOf(query, "fail_percent");
    }
    if (query.contains("load_ms")) {
      settings_.load_time_ =
          std::chrono::milliseconds(NumberOf(query, "load_ms"));
    }
    if (query.contains("token_ms")) {
      settings_.token_time_ =
          std::chrono::milliseconds(NumberOf(query, "token_ms"));
      step_timer_.Every(settings_.token_time_, [this] { Step(); });
    }
  }
  exchange->Respond(200, kJson, Record());
}

}  // namespace chalkwell::standins
