// All calls of a test process share one event loop, one call at a time.
#include "fleet/http.hpp"

namespace chalkwell::fleet {
namespace {

constexpr auto kTimeout = std::chrono::seconds(30);

}  // namespace

daemon::HttpResponse Call(const std::string& address,
                          const daemon::HttpRequest& request) {
  static daemon::Loop loop;
  static daemon::HttpClient client(loop, kTimeout);
  daemon::HttpResponse response;
  client.Fetch(daemon::ParseAddress(address), request,
               [&](daemon::HttpResponse received) {
                 response = std::move(received);
                 loop.Stop();
               });
  loop.Run();
  return response;
}

daemon::HttpResponse Get(const std::string& address, const std::string& path) {
  return Call(address,
              {.method_ = "GET", .path_ = path, .headers_ = {}, .body_ = ""});
}

daemon::HttpResponse Post(const std::string& address, const std::string& path,
                          const std::string& body,
                          const daemon::HttpHeaders& headers) {
  return Call(
      address,
      {.method_ = "POST", .path_ = path, .headers_ = headers, .body_ = body});
}

nlohmann::json GetJson(const std::string& address, const std::string& path) {
  const auto response = Get(address, path);
  auto json = nlohmann::json::parse(response.body_, nullptr, false);
  return response.ok() && !json.is_discarded() ? json : nlohmann::json();
}

}  // namespace chalkwell::fleet
