// Servers are created on their loop's thread.
#include "standin_server.hpp"

#include <cctype>
#include <utility>

namespace chalkwell::standins {
namespace {

bool IsHexDigit(char digit) {
  return std::isxdigit(static_cast<unsigned char>(digit)) != 0;
}

std::string DecodeQuery(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size();
    if (escape) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

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

bool IsEncoded(const std::string& path) {
  for (std::size_t i = 0; i < path.size(); ++i) {
    const auto byte = static_cast<unsigned char>(path[i]);
    if (std::isgraph(byte) == 0) {
      return false;
    }
    if (byte == '%' && (i + 2 >= path.size() || !IsHexDigit(path[i + 1]) ||
                        !IsHexDigit(path[i + 2]))) {
      return false;
    }
  }
  return true;
}

std::string QueryParameter(const std::string& path, const std::string& name) {
  const auto target = path.substr(0, path.find('#'));
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto begin = at + 1;
    const auto next = target.find('&', begin);
    const auto parameter = target.substr(begin, next - begin);
    if (parameter.starts_with(name + "=")) {
      return DecodeQuery(parameter.substr(name.size() + 1));
    }
    at = next;
  }
  return "";
}

std::uint64_t NumberOr(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

void RespondJson(const daemon::HttpExchangePtr& exchange,
                 const nlohmann::json& body) {
  exchange->Respond(200, {{"content-type", "application/json"}}, body.dump());
}

}  // namespace chalkwell::standins
