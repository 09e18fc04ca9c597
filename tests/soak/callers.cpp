// Open-loop load: a slow response does not delay later requests.
#include "soak/callers.hpp"

#include <algorithm>
#include <utility>

#include "soak/deployment.hpp"

namespace chalkwell::soak {
namespace {

constexpr auto kTick = milliseconds(5);
constexpr auto kTimeout = milliseconds(7000);
/// Of ten requests, how many are streams and how many may run repeatedly; the
/// others may run only once.
constexpr unsigned kStreamsOfTen = 7;
constexpr unsigned kRepeatableOfTen = 2;
/// Upper bound of the pause between two attempts of a crashing request.
constexpr unsigned kMaxCrashingPauseMs = 400;
constexpr int kCrashingDeadlineMs = 6000;
constexpr auto kProbeInterval = milliseconds(20);
constexpr int kProbeDeadlineMs = 1200;
/// Prompt parts that requests share, apart from the one that all have.
constexpr unsigned kPromptParts = 30;

/// Callers keep a connection until its entry closes it.
constexpr auto kMaxIdleTime = std::chrono::minutes(1);

struct RequestKind {
  const char* path_;
  int deadline_ms_;
};

/// Half of the repeatable requests have a long deadline, and every second
/// stream may be resumed.
RequestKind KindOf(unsigned number) {
  if (number < kStreamsOfTen) {
    return {number % 2 == 0 ? "/stream/" : "/stream/resumable/", 6000};
  }
  if (number < kStreamsOfTen + kRepeatableOfTen) {
    return number % 2 == 0 ? RequestKind{"/safe/slow/", 6000}
                           : RequestKind{"/safe/", 1200};
  }
  return {"/once/", 1200};
}

bool IsComplete(const daemon::HttpResponse& response, bool stream) {
  const bool closed = response.end_ == daemon::HttpEnd::kCloseDelimited;
  return response.end_ == daemon::HttpEnd::kComplete ||
         (closed && (!stream || standins::CountEvents(response.body_) ==
                                    standins::kStreamEvents));
}

}  // namespace

Callers::Callers(std::vector<Target> targets, unsigned rate, std::uint64_t seed,
                 Checker& checker)
    : targets_(std::move(targets)),
      rate_(rate),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      checker_(checker),
      started_at_(std::chrono::steady_clock::now()) {
  thread_.RunAndWait([this] {
    http_ = std::make_unique<daemon::HttpClient>(thread_.loop(), kTimeout);
    timer_ = std::make_unique<daemon::Timer>(thread_.loop());
    timer_->Every(kTick, [this] { SendDue(); });
  });
}

Callers::~Callers() {
  thread_.RunAndWait([this] {
    timer_.reset();
    http_.reset();
  });
}

void Callers::SendDue() {
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - started_at_;
  const auto due = static_cast<std::uint64_t>(elapsed.count() * rate_);
  while (sent_ - extra_sent_ < due) {
    SendRegular(RandomTarget());
  }
  SendCrashing();
  SendProbes();
}

void Callers::ProbeRules(std::chrono::milliseconds duration) {
  thread_.RunAndWait(
      [&] { probes_end_ = std::chrono::steady_clock::now() + duration; });
}

void Callers::SendProbes() {
  const auto now = std::chrono::steady_clock::now();
  const auto version = checker_.DueRules();
  if (now >= probes_end_ || now < next_probe_ || version == 0) {
    return;
  }
  next_probe_ = now + kProbeInterval;
  const auto& target = targets_[next_probed_++ % targets_.size()];
  const auto number = std::to_string(version);
  Send(target, "/version/" + number + "/x", kProbeDeadlineMs,
       target.name_ + "/" + kProbeMark + number + "/" + std::to_string(++sent_),
       "probe", RandomPart());
  ++extra_sent_;
}

void Callers::StartCrashingSeries(Cause cause,
                                  std::chrono::milliseconds duration) {
  thread_.RunAndWait([&] {
    const auto now = std::chrono::steady_clock::now();
    const auto* path = random_() % 2 == 0 ? "/stream/" : "/safe/";
    series_.push_back({cause, kCrashMark + std::to_string(++series_started_),
                       path, now + duration, now});
  });
}

void Callers::SendCrashing() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(series_, [&](const CrashingSeries& series) {
    return now >= series.end_;
  });
  for (auto& series : series_) {
    if (now < series.next_send_) {
      continue;
    }
    series.next_send_ = now + milliseconds(random_() % kMaxCrashingPauseMs);
    const auto& target = RandomTarget();
    const auto id =
        target.name_ + "/" + series.name_ + "/" + std::to_string(++sent_);
    const bool by_body = series.cause_ == Cause::kBody;
    Send(target, series.path_ + "x", kCrashingDeadlineMs, id,
         by_body ? series.name_ : std::to_string(sent_),
         RandomPart() + (by_body ? "" : "," + series.name_ + ":100"));
    ++extra_sent_;
  }
}

void Callers::SendRegular(const Target& target) {
  const auto number = std::to_string(++sent_);
  const auto kind = KindOf(random_() % 10);
  // Half of the requests have the same body.
  const auto body = random_() % 2 == 0 ? "body" : "body " + number;
  Send(target, std::string(kind.path_) + "x", kind.deadline_ms_,
       target.name_ + "/" + number, body, RandomPart());
}

std::string Callers::RandomPart() {
  return "all:40,p" + std::to_string(random_() % kPromptParts) + ":60";
}

void Callers::Send(const Target& target, const std::string& path,
                   int deadline_ms, const std::string& id,
                   const std::string& body, const std::string& parts) {
  daemon::HttpRequest request;
  request.method_ = "POST";
  request.path_ = path;
  request.headers_ = {{"host", "h"},
                      {"attempt-id", id},
                      {"deadline-ms", std::to_string(deadline_ms)},
                      {"model", "m"},
                      {"token-counts", "800,40"},
                      {"prompt-prefix", parts + ",own:20"}};
  request.body_ = body;
  daemon::HttpSendOptions options;
  options.keep_alive_ = true;
  options.max_idle_time_ = kMaxIdleTime;
  checker_.OnSent(id, std::min(milliseconds(deadline_ms), kLeastTimeout));
  http_->Fetch(
      daemon::ParseAddress(target.address_), request,
      [this, id, stream = path.starts_with("/stream/")](
          const daemon::HttpResponse& response) {
        const bool complete = response.end_ == daemon::HttpEnd::kComplete;
        if (stream && response.ok()) {
          checker_.OnStream(id, response.body_, complete);
        }
        if (response.end_ != daemon::HttpEnd::kNotSent &&
            !IsComplete(response, stream && response.ok())) {
          checker_.OnIncomplete(id, response.status_ != 0);
        }
        checker_.OnResponse(id, complete ? response.status_ : 0,
                            response.body_);
      },
      std::size_t{1} << 20, std::move(options));
}

}  // namespace chalkwell::soak
