// Servers are created on their loop's thread.
#include "standin_server.hpp"

#include <utility>

namespace chalkwell::standins {

std::unique_ptr<daemon::Http1Server> StartServer(
    LoopThread& thread, daemon::HttpHandler handler,
    const daemon::Address& listen) {
  std::unique_ptr<daemon::Http1Server> server;
  thread.RunAndWait([&] {
    server = std::make_unique<daemon::Http1Server>(
        thread.loop(), listen,
        daemon::Http1ServerHooks{.limits_ = [] { return daemon::HttpLimits{}; },
                                 .on_refused_ = nullptr},
        std::move(handler));
  });
  return server;
}

std::string AddressOf(const daemon::Http1Server& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

std::string QueryParameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + name.size() + 1;
  return path.substr(begin, path.find('&', begin) - begin);
}

std::uint64_t NumberOr(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

void RespondJson(const daemon::HttpExchangePtr& exchange,
                 const nlohmann::json& body) {
  exchange->Respond(200, {{"content-type", "application/json"}}, body.dump());
}

}  // namespace chalkwell::standins
