// Request handling of the admin server.
#include "daemon/admin.hpp"

#include <unistd.h>

#include <fstream>
#include <utility>

#include "daemon/h2_session.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kMaxBodyBytes = 1024;
constexpr std::size_t kMaxConnections = 16;
/// Prefix of the path; the content digest follows.
constexpr std::string_view kLiftPathPrefix = "/quarantine/lift?content=";

/// Resident set size of this process.
double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Processor time that this process has used.
double CpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) / 1e9;
}

}  // namespace

std::unique_ptr<HttpServer> MakeAdminServer(Loop& loop, const Address& address,
                                            Metrics& metrics,
                                            AdminHooks hooks) {
  auto handler = [&metrics,
                  hooks = std::move(hooks)](const HttpExchangePtr& exchange) {
    const auto& path = exchange->request().path_;
    const HttpHeaders text{{"content-type", "text/plain; charset=utf-8"}};
    if (path == "/healthz") {
      exchange->Respond(200, text, "ok\n");
    } else if (path == "/readyz") {
      const auto reason = hooks.not_ready_reason_();
      exchange->Respond(reason.empty() ? 200 : 503, text,
                        reason.empty() ? "ready\n" : reason + "\n");
    } else if (path == "/status") {
      exchange->Respond(200, {{"content-type", "application/json"}},
                        hooks.status_json_());
    } else if (path == "/metrics") {
      metrics.Set("resident_bytes", {}, ResidentBytes());
      metrics.Set("cpu_seconds", {}, CpuSeconds());
      metrics.Set(
          "peer_transport_bytes", {{"way", "in"}},
          static_cast<double>(internal::TotalTransportBytes().received_bytes_));
      metrics.Set(
          "peer_transport_bytes", {{"way", "out"}},
          static_cast<double>(internal::TotalTransportBytes().sent_bytes_));
      hooks.update_gauges_();
      exchange->Respond(200, {{"content-type", "text/plain; version=0.0.4"}},
                        metrics.Render());
    } else if (path.starts_with(kLiftPathPrefix) && hooks.lift_quarantine_ &&
               exchange->request().method_ == "POST") {
      const bool lifted =
          hooks.lift_quarantine_(path.substr(kLiftPathPrefix.size()));
      exchange->Respond(lifted ? 200 : 404, text,
                        lifted ? "lifted\n"
                               : "content: no request with this digest is "
                                 "quarantined; /status lists them\n");
    } else {
      exchange->Respond(404, text,
                        "not found; try /healthz /readyz /status /metrics\n");
    }
  };
  return std::make_unique<HttpServer>(
      loop,
      HttpServerSettings{.address_ = address,
                         .max_body_bytes_ = kMaxBodyBytes,
                         .max_connections_ = kMaxConnections},
      std::move(handler));
}

}  // namespace chalkwell::daemon
