// Watch protocol: the response to GET /v1/watch?after=REVISION&wait_ms=N is
// {"revision": R, "values": [{"key", "revision", "value"}]}.
#include "daemon/store_reader.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "chalkwell/core/error.hpp"
#include "chalkwell/core/json.hpp"

namespace chalkwell::daemon {
namespace {

constexpr auto kInitialBackoff = std::chrono::milliseconds(250);
constexpr unsigned kMaxBackoffDoublings = 6;
/// Between the end of a successful read and the start of the next one.
constexpr auto kWatchInterval = std::chrono::milliseconds(20);

}  // namespace

StoreReader::StoreReader(Loop& loop, HttpClient& client, Address address,
                         core::Duration max_wait, ConfigReplica& node,
                         EventLog& log, Metrics& metrics)
    : client_(client),
      address_(std::move(address)),
      max_wait_(max_wait),
      node_(node),
      log_(log),
      metrics_(metrics),
      timer_(loop),
      random_(std::random_device{}()) {}

void StoreReader::SetWatching(bool watching) {
  if (watching == watching_) {
    return;
  }
  watching_ = watching;
  log_.Write(core::EventNumber::kWatcherRoleChanged,
             {{"watching", watching ? "yes" : "no"}});
  if (watching && !call_) {
    Read({});
  } else if (!watching) {
    timer_.Cancel();
  }
}

void StoreReader::ReadOnce() {
  if (!call_ && !watching_) {
    Read({});
  }
}

void StoreReader::Read(core::Duration wait) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpRequest request{.method_ = "GET",
                      .path_ = "/v1/watch?after=" + std::to_string(revision_) +
                               "&wait_ms=" + std::to_string(millis),
                      .headers_ = {},
                      .body_ = ""};
  metrics_.Count("platform_calls_total", {});
  call_ =
      client_.Fetch(address_, request, [this](const HttpResponse& response) {
        call_.reset();
        OnResponse(response);
      });
}

void StoreReader::OnResponse(const HttpResponse& response) {
  bool succeeded = response.ok();
  std::string reason = "status " + std::to_string(response.status_);
  if (succeeded) {
    try {
      ApplyBody(response.body_);
    } catch (const std::exception& error) {
      succeeded = false;
      reason = error.what();
    }
  }
  if (succeeded != reachable_) {
    reachable_ = succeeded;
    node_.SetReachesService(succeeded);
    log_.Write(
        succeeded ? core::EventNumber::kStoreReached
                  : core::EventNumber::kStoreUnreachable,
        {{"peer", address_.ToString()}, {"reason", succeeded ? "" : reason}});
  }
  has_read_ = has_read_ || succeeded;
  failures_ = succeeded ? 0 : failures_ + 1;
  if (watching_) {
    ScheduleNext(succeeded);
  }
}

void StoreReader::ApplyBody(const std::string& body) {
  using core::internal::RequireArray;
  using core::internal::RequireString;
  using core::internal::RequireUnsigned;
  const auto root = core::internal::ParseObject(body, "watch response");
  std::vector<config::Document> documents;
  for (const auto& value : RequireArray(root, "values")) {
    documents.push_back({RequireString(value, "key"),
                         RequireUnsigned(value, "revision"),
                         RequireString(value, "value")});
  }
  // A list of trusted keys may be needed to verify the other documents.
  std::stable_partition(
      documents.begin(), documents.end(),
      [](const auto& document) { return document.key_ == config::kTrustKey; });
  revision_ = RequireUnsigned(root, "revision");
  node_.Apply(documents, "platform");
}

void StoreReader::ScheduleNext(bool succeeded) {
  if (succeeded) {
    timer_.Once(kWatchInterval, [this] { Read(max_wait_); });
    return;
  }
  const auto backoff_doublings = std::min(failures_ - 1, kMaxBackoffDoublings);
  const auto max_delay = kInitialBackoff * (1U << backoff_doublings);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  timer_.Once(
      std::chrono::duration_cast<core::Duration>(max_delay * jitter(random_)),
      [this] { Read({}); });
}

}  // namespace chalkwell::daemon
