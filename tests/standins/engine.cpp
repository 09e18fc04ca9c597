// Requests to the fake engine: completions, cache events and KV cache.
#include "standins/engine.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/deterministic_responses.hpp"
#include "standins/query.hpp"

namespace chalkwell::standins {
namespace {

constexpr std::size_t kPrefixBytes = 64;
constexpr std::size_t kMaxBodyBytes = std::size_t{80} << 20;
constexpr std::uint64_t kDefaultTokens = 16;
constexpr std::size_t kMaxEvents = 1000;
const daemon::HttpHeaders kJson{{"content-type", "application/json"}};

std::string GetPrompt(const nlohmann::json& body) {
  if (body.contains("prompt")) {
    return body["prompt"].get<std::string>();
  }
  return body.contains("messages") ? body["messages"].dump() : "";
}

std::string FormatEvent(const std::string& request, std::uint64_t index,
                        const std::string& token) {
  const nlohmann::json event{
      {"id", request},
      {"choices",
       {{{"index", 0}, {"token", index}, {"delta", {{"content", token}}}}}}};
  return "data: " + event.dump() + "\n\n";
}

}  // namespace

Engine::Engine(daemon::Loop& loop, const EngineSettings& settings)
    : loop_(loop),
      settings_(settings),
      step_timer_(loop),
      load_report_timer_(loop),
      server_(loop,
              {.address_ = settings.address_, .max_body_bytes_ = kMaxBodyBytes},
              [this](const daemon::HttpExchangePtr& exchange) {
                OnRequest(exchange);
              }) {
  step_timer_.Every(settings.token_time_, [this] { Step(); });
  load_report_timer_.Every(settings.load_lag_, [this] {
    lagged_load_ = batch_.size() + waiting_.size();
  });
}

void Engine::OnRequest(const daemon::HttpExchangePtr& exchange) {
  const auto& path = exchange->request().path_;
  if (path == "/v1/state") {
    exchange->Respond(200, kJson, State());
  } else if (path.starts_with("/v1/staging/")) {
    OnStaging(exchange);
  } else if (path == "/v1/orders") {
    OnOrder(exchange);
  } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
    OnCompletion(exchange);
  } else if (path.starts_with("/v1/cache/events")) {
    OnCacheEvents(exchange);
  } else if (path.starts_with("/v1/kv/")) {
    OnKv(exchange);
  } else if (path.starts_with("/control/")) {
    OnControl(exchange);
  } else {
    exchange->Respond(404, {}, "unknown path");
  }
}

std::string Engine::State() const {
  return nlohmann::json{{"version", version_},      {"manifest", weights_},
                        {"fence", fence_},          {"role", role_},
                        {"loading", loading_},      {"load", lagged_load_},
                        {"cache_hits", cache_hits_}}
      .dump();
}

bool Engine::TouchPrefix(const std::string& prefix) {
  const auto found = std::ranges::find(prefixes_, prefix);
  const bool hit = found != prefixes_.end();
  if (hit) {
    prefixes_.erase(found);
    ++cache_hits_;
  }
  prefixes_.push_front(prefix);
  const auto publish = [this](const std::string& name, bool stored) {
    ++last_event_;
    const bool omitted =
        settings_.event_gap_ != 0 && last_event_ % settings_.event_gap_ == 0;
    if (!omitted) {
      events_.push_back(
          {last_event_, name, stored, loop_.Now() + settings_.event_delay_});
    }
  };
  if (!hit) {
    publish(prefix, true);
  }
  if (prefixes_.size() > settings_.cached_prefixes_) {
    publish(prefixes_.back(), false);
    prefixes_.pop_back();
  }
  while (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
  return hit;
}

void Engine::OnCompletion(const daemon::HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto body = nlohmann::json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    exchange->Respond(400, kJson, R"({"error":"body must be JSON"})");
    return;
  }
  if (weights_.empty() || loading_) {
    exchange->Respond(503, kJson, R"({"error":"no weights"})");
    return;
  }
  constexpr std::uint64_t kPercent = 100;
  const auto failed_before = offered_++ * settings_.fail_percent_ / kPercent;
  if (offered_ * settings_.fail_percent_ / kPercent > failed_before) {
    ++failed_;
    exchange->Respond(500, kJson, R"({"error":"injected failure"})");
    return;
  }
  auto run = std::make_shared<Run>();
  run->exchange_ = exchange;
  run->request_ = daemon::FindHeader(request.headers_, "x-request-id");
  run->prompt_ = GetPrompt(body);
  run->tokens_ = body.value("max_tokens", kDefaultTokens);
  const auto resume = daemon::FindHeader(request.headers_, "x-resume-from");
  run->next_ = resume.empty() ? 0 : std::stoull(std::string(resume));
  run->priority_ = body.value("priority", std::int64_t{0});
  run->stream_ = body.value("stream", false);
  const bool hit = TouchPrefix(run->prompt_.substr(0, kPrefixBytes));
  run->ready_at_ =
      loop_.Now() + (hit ? core::Duration{} : settings_.prefill_time_);
  ++started_[run->request_];
  exchange->OnAbort([this, run] {
    ++cancelled_;
    std::erase(waiting_, run);
    std::erase(batch_, run);
  });
  const auto position = std::ranges::find_if(
      waiting_,
      [&](const RunPtr& other) { return other->priority_ < run->priority_; });
  waiting_.insert(position, run);
  if (run->stream_) {
    exchange->Start(200, {{"content-type", "text/event-stream"},
                          {"x-weights-digest", weights_},
                          {"x-resumed-from", std::to_string(run->next_)}});
  }
}

void Engine::Step() {
  const auto now = loop_.Now();
  while (!waiting_.empty() && batch_.size() < settings_.batch_) {
    batch_.push_back(waiting_.front());
    waiting_.pop_front();
  }
  for (const auto& run : std::vector(batch_)) {
    if (run->ready_at_ <= now) {
      Emit(run);
    }
  }
}

void Engine::Emit(const RunPtr& run) {
  const auto token =
      ResponseToken(run->prompt_, weights_, run->request_, run->next_);
  if (run->stream_) {
    run->exchange_->Write(FormatEvent(run->request_, run->next_, token));
  } else {
    run->text_ += token;
  }
  if (++run->next_ >= run->tokens_) {
    FinishRun(run);
  }
}

void Engine::FinishRun(const RunPtr& run) {
  std::erase(batch_, run);
  ++finished_[run->request_];
  if (run->stream_) {
    run->exchange_->Write("data: [DONE]\n\n");
    run->exchange_->End(true);
    return;
  }
  const nlohmann::json response{
      {"id", run->request_},
      {"choices", {{{"index", 0}, {"message", {{"content", run->text_}}}}}}};
  run->exchange_->Respond(
      200,
      {{"content-type", "application/json"}, {"x-weights-digest", weights_}},
      response.dump());
}

void Engine::OnCacheEvents(const daemon::HttpExchangePtr& exchange) {
  const auto after = NumberOf(ParseQuery(exchange->request().path_), "after");
  auto event_list = nlohmann::json::array();
  for (const auto& event : events_) {
    if (event.number_ > after && event.visible_at_ <= loop_.Now()) {
      event_list.push_back({{"number", event.number_},
                            {"prefix", event.prefix_},
                            {"stored", event.stored_}});
    }
  }
  exchange->Respond(200, kJson,
                    event_list.dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace));
}

void Engine::OnKv(const daemon::HttpExchangePtr& exchange) {
  const auto prefix =
      exchange->request().path_.substr(std::string_view("/v1/kv/").size());
  if (exchange->request().method_ == "PUT") {
    (void)TouchPrefix(prefix);
    exchange->Respond(200, {}, "imported");
    return;
  }
  const bool held = std::ranges::find(prefixes_, prefix) != prefixes_.end();
  exchange->Respond(held ? 200 : 404, {}, held ? "kv:" + prefix : "");
}

std::string Engine::Record() const {
  return nlohmann::json{{"begun", started_},
                        {"finished", finished_},
                        {"failed", failed_},
                        {"offered", offered_},
                        {"cancelled", cancelled_},
                        {"mixed", runs_with_mixed_weights_},
                        {"bad_orders", incomplete_orders_},
                        {"activations", activations_}}
      .dump();
}

}  // namespace chalkwell::standins
