// Open loop: a slow answer holds no later request back.
#include "soak/callers.hpp"

#include <utility>

namespace chalkwell::soak {
namespace {

constexpr auto kTick = milliseconds(5);
constexpr auto kPatience = milliseconds(7000);
/// Of ten requests, so many are streams, and so many may be repeated; the rest
/// run at most once.
constexpr unsigned kStreams = 7;
constexpr unsigned kRepeatable = 2;
/// Longest pause between two tries of a request that crashes endpoints.
constexpr unsigned kCrashingPauseMs = 400;
constexpr int kCrashingDeadlineMs = 6000;

struct Kind {
  const char* path_;
  int deadline_ms_;
};

Kind KindOf(unsigned draw) {
  if (draw < kStreams) {
    return {"/stream/", 6000};
  }
  return draw < kStreams + kRepeatable ? Kind{"/safe/", 1200}
                                       : Kind{"/once/", 1200};
}

}  // namespace

Callers::Callers(std::vector<Target> targets, unsigned rate, std::uint64_t seed,
                 Judge& judge)
    : targets_(std::move(targets)),
      rate_(rate),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      judge_(judge),
      begun_(std::chrono::steady_clock::now()) {
  thread_.Do([this] {
    http_ = std::make_unique<daemon::HttpClient>(thread_.loop(), kPatience);
    timer_ = std::make_unique<daemon::Timer>(thread_.loop());
    timer_->Every(kTick, [this] { SendSome(); });
  });
}

Callers::~Callers() {
  thread_.Do([this] {
    timer_.reset();
    http_.reset();
  });
}

void Callers::SendSome() {
  const std::chrono::duration<double> passed =
      std::chrono::steady_clock::now() - begun_;
  const auto due = static_cast<std::uint64_t>(passed.count() * rate_);
  while (sent_ - extra_ < due) {
    SendOne(AnyTarget());
  }
  SendCrashing();
}

void Callers::BeginCrashing(std::chrono::milliseconds length) {
  thread_.Do([&] {
    const auto now = std::chrono::steady_clock::now();
    const auto* path = random_() % 2 == 0 ? "/stream/" : "/safe/";
    series_.push_back({kCrashMark + std::to_string(++series_begun_), path,
                       now + length, now});
  });
}

void Callers::SendCrashing() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(series_,
                [&](const Series& series) { return now >= series.until_; });
  for (auto& series : series_) {
    if (now < series.next_) {
      continue;
    }
    series.next_ = now + milliseconds(random_() % kCrashingPauseMs);
    const auto& target = AnyTarget();
    const auto id =
        target.name_ + "/" + series.name_ + "/" + std::to_string(++sent_);
    Send(target, series.path_ + "x", kCrashingDeadlineMs, id, series.name_);
    ++extra_;
  }
}

void Callers::SendOne(const Target& target) {
  const auto number = std::to_string(++sent_);
  const auto kind = KindOf(random_() % 10);
  // Half of them ask for the same.
  const auto body = random_() % 2 == 0 ? "body" : "body " + number;
  Send(target, std::string(kind.path_) + "x", kind.deadline_ms_,
       target.name_ + "/" + number, body);
}

void Callers::Send(const Target& target, const std::string& path,
                   int deadline_ms, const std::string& id,
                   const std::string& body) {
  daemon::HttpRequest request;
  request.method_ = "POST";
  request.path_ = path;
  request.headers_ = {{"host", "h"},
                      {"attempt-id", id},
                      {"deadline-ms", std::to_string(deadline_ms)},
                      {"model", "m"},
                      {"token-counts", "800,40"}};
  request.body_ = body;
  daemon::HttpSendOptions options;
  options.keep_ = true;
  http_->Fetch(
      daemon::ParseAddress(target.address_), request,
      [this, id](const daemon::HttpResponse& response) {
        const bool whole = response.end_ == daemon::HttpEnd::kWhole;
        judge_.OnAnswered(id, whole ? response.status_ : 0, response.body_);
      },
      std::size_t{1} << 20, std::move(options));
}

}  // namespace chalkwell::soak
