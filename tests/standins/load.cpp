// Sends requests, checks the responses and counts the outcomes.
#include "standins/load.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/deterministic_responses.hpp"

namespace chalkwell::standins {
namespace {

constexpr auto kIoTimeout = std::chrono::seconds(60);
constexpr auto kRetryDelay = std::chrono::milliseconds(100);

double Milliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[at];
}

/// Parses the tokens of a stream, up to the first one that is incomplete or out
/// of order.
/// @param complete set to whether the stream has its end event.
std::vector<std::string> ParseTokens(const std::string& body, bool& complete) {
  std::vector<std::string> tokens;
  complete = false;
  std::size_t at = 0;
  constexpr std::string_view kData = "data: ";
  while (at < body.size()) {
    const auto end = body.find("\n\n", at);
    if (end == std::string::npos) {
      return tokens;
    }
    const auto event = body.substr(at, end - at);
    at = end + 2;
    if (event == "data: [DONE]") {
      complete = at == body.size();
      return tokens;
    }
    if (!event.starts_with(kData)) {
      return tokens;
    }
    const auto json =
        nlohmann::json::parse(event.substr(kData.size()), nullptr, false);
    if (!json.is_object()) {
      return tokens;
    }
    const auto& choice = json["choices"][0];
    if (choice["token"] != tokens.size()) {
      return tokens;
    }
    tokens.push_back(choice["delta"]["content"].get<std::string>());
  }
  return tokens;
}

}  // namespace

struct Load::Call {
  std::string id_;
  bool is_service_ = false;
  std::string prompt_;
  std::string body_;
  std::string idempotency_key_;
  unsigned tries_ = 0;
  core::TimePoint started_at_;
  core::TimePoint last_data_;
  int status_ = 0;
  daemon::HttpHeaders headers_;
  std::string response_;
  bool may_have_run_ = false;
};

Load::Load(daemon::Loop& loop, const LoadSettings& settings)
    : loop_(loop),
      settings_(settings),
      client_(loop, kIoTimeout),
      random_(settings.seed_),
      send_timer_(loop),
      stop_timer_(loop) {
  const std::chrono::duration<double> period(1.0 /
                                             settings.requests_per_second_);
  send_timer_.Every(std::chrono::duration_cast<core::Duration>(period),
                    [this] { SendNext(); });
  if (settings.duration_ > core::Duration{}) {
    stop_timer_.Once(settings.duration_, [this] { Stop(); });
  }
}

void Load::Stop() {
  stopping_ = true;
  send_timer_.Cancel();
  FinishIfDone();
}

void Load::SendNext() {
  auto call = std::make_shared<Call>();
  ++counts_.sent_;
  ++in_flight_;
  call->id_ = "load-" + std::to_string(settings_.seed_) + "-" +
              std::to_string(counts_.sent_);
  std::uniform_real_distribution<double> share_distribution(0, 1);
  call->is_service_ = share_distribution(random_) < settings_.service_share_;
  call->started_at_ = loop_.Now();
  if (call->is_service_) {
    call->body_ = nlohmann::json{{"order", call->id_}}.dump();
  } else {
    const auto prefix = random_() % settings_.prefixes_;
    call->prompt_ = "prefix " + std::to_string(prefix) + std::string(80, 'p') +
                    " question " + call->id_;
    nlohmann::json body{{"prompt", call->prompt_},
                        {"max_tokens", settings_.tokens_},
                        {"stream", true}};
    if (!settings_.model_.empty()) {
      body["model"] = settings_.model_;
    }
    call->body_ = body.dump();
  }
  Try(call);
}

void Load::Try(const CallPtr& call) {
  ++call->tries_;
  ++counts_.tries_;
  call->status_ = 0;
  call->response_.clear();
  call->last_data_ = {};
  daemon::HttpRequest request{
      .method_ = "POST",
      .path_ =
          call->is_service_ ? settings_.service_path_ : settings_.chat_path_,
      .headers_ = {{"authorization", "Bearer " + settings_.key_},
                   {"content-type", "application/json"},
                   {"x-request-id", call->id_}},
      .body_ = call->body_};
  if (settings_.deadline_ms_ > 0) {
    request.headers_.emplace_back("x-deadline-ms",
                                  std::to_string(settings_.deadline_ms_));
  }
  if (!call->idempotency_key_.empty()) {
    request.headers_.emplace_back("idempotency-key", call->idempotency_key_);
  }
  daemon::HttpCallbacks callbacks;
  callbacks.on_headers_ = [call](int status,
                                 const daemon::HttpHeaders& headers) {
    call->status_ = status;
    call->headers_ = headers;
  };
  callbacks.on_data_ = [this, call](std::string_view bytes) {
    const auto now = loop_.Now();
    if (!call->is_service_ && call->status_ == 200) {
      if (call->last_data_ == core::TimePoint{}) {
        first_byte_ms_.push_back(Milliseconds(now - call->started_at_));
      } else {
        gap_ms_.push_back(Milliseconds(now - call->last_data_));
      }
      call->last_data_ = now;
    }
    call->response_.append(bytes);
  };
  callbacks.on_end_ = [this, call](daemon::HttpEnd end) { OnEnd(call, end); };
  const auto& entry = settings_.entries_[random_() % settings_.entries_.size()];
  client_.Send(entry, request, std::move(callbacks));
}

void Load::OnEnd(const CallPtr& call, daemon::HttpEnd end) {
  if (end == daemon::HttpEnd::kNotSent) {
    Retry(call, kRetryDelay);
  } else if (end == daemon::HttpEnd::kBroken || IsTruncated(*call)) {
    ++counts_.broken_;
    call->may_have_run_ = true;
    if (call->is_service_ && call->idempotency_key_.empty()) {
      Close(call, &LoadCounts::lost_);
    } else {
      Retry(call, kRetryDelay);
    }
  } else {
    OnComplete(call);
  }
}

void Load::OnComplete(const CallPtr& call) {
  if (call->status_ == 200) {
    if (!IsCorrect(*call)) {
      std::cerr << "wrong response to " << call->id_ << ": " << call->response_
                << "\n";
      Close(call, &LoadCounts::wrong_);
      return;
    }
    if (call->is_service_) {
      service_answered_.push_back(call->id_);
    }
    total_ms_.push_back(Milliseconds(loop_.Now() - call->started_at_));
    Close(call, &LoadCounts::answered_);
    return;
  }
  const auto problem = nlohmann::json::parse(call->response_, nullptr, false);
  const std::string outcome =
      problem.is_object() ? problem.value("outcome", "") : "";
  if (outcome == "refused: not run") {
    call->idempotency_key_.clear();
    Retry(call, kRetryDelay);
    return;
  }
  call->may_have_run_ = true;
  if (!call->is_service_) {
    Retry(call, kRetryDelay);
  } else if (outcome == "unknown" && call->idempotency_key_.empty() &&
             problem.contains("idempotency_key")) {
    call->idempotency_key_ = problem["idempotency_key"].get<std::string>();
    Retry(call, kRetryDelay);
  } else {
    Close(call,
          outcome == "unknown" ? &LoadCounts::unknown_ : &LoadCounts::failed_);
  }
}

void Load::Retry(const CallPtr& call, core::Duration delay) {
  if (call->tries_ >= settings_.max_tries_) {
    Close(call,
          call->may_have_run_ ? &LoadCounts::lost_ : &LoadCounts::refused_);
    return;
  }
  loop_.After(delay, [this, call] { Try(call); });
}

void Load::Close(const CallPtr& call, std::uint64_t LoadCounts::*count) {
  (void)call;
  ++(counts_.*count);
  --in_flight_;
  FinishIfDone();
}

/// The HTTP client takes a close between two chunks for the end of the
/// response; a complete stream ends with its end event.
bool Load::IsTruncated(const Call& call) {
  return call.status_ == 200 && !call.is_service_ &&
         !call.response_.ends_with("data: [DONE]\n\n");
}

bool Load::IsCorrect(const Call& call) const {
  if (call.is_service_) {
    const auto response = nlohmann::json::parse(call.response_, nullptr, false);
    return response.is_object() && response.value("id", "") == call.id_ &&
           response.value("receipt", "") == Receipt(call.body_, call.id_);
  }
  const auto weights = daemon::FindHeader(call.headers_, "x-chalkwell-weights");
  bool complete = false;
  const auto tokens = ParseTokens(call.response_, complete);
  if (!complete || tokens.size() != settings_.tokens_) {
    return false;
  }
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    if (tokens[i] != ResponseToken(call.prompt_, weights, call.id_, i)) {
      return false;
    }
  }
  return true;
}

std::string Load::Result() const {
  return nlohmann::json{{"sent", counts_.sent_},
                        {"answered", counts_.answered_},
                        {"lost", counts_.lost_},
                        {"unknown", counts_.unknown_},
                        {"refused", counts_.refused_},
                        {"failed", counts_.failed_},
                        {"wrong", counts_.wrong_},
                        {"tries", counts_.tries_},
                        {"broken", counts_.broken_},
                        {"first_p50_ms", Percentile(first_byte_ms_, 0.5)},
                        {"first_p95_ms", Percentile(first_byte_ms_, 0.95)},
                        {"gap_p95_ms", Percentile(gap_ms_, 0.95)},
                        {"total_p50_ms", Percentile(total_ms_, 0.5)},
                        {"total_p99_ms", Percentile(total_ms_, 0.99)},
                        {"service_answered", service_answered_}}
      .dump();
}

void Load::FinishIfDone() {
  if (!stopping_ || in_flight_ != 0) {
    return;
  }
  if (settings_.out_.empty()) {
    std::cout << Result() << std::endl;
  } else {
    std::ofstream(settings_.out_) << Result();
  }
  loop_.Stop();
}

}  // namespace chalkwell::standins
