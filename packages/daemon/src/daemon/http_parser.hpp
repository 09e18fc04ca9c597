// Incremental HTTP/1.1 parser for both directions, by Boost.Beast. Strict: a
// message whose length is not certain is an error, never a guess.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/http_server.hpp"

namespace chalkwell::daemon {

/// @brief Limits on one message.
struct HttpLimits {
  std::size_t header_bytes_ = std::size_t{16} << 10;
  std::size_t body_bytes_ = std::size_t{64} << 20;
  /// From the first byte of a request to the end of its body.
  core::Duration request_time_ = std::chrono::seconds(10);
  /// A connection without a request for this long is closed.
  core::Duration idle_time_ = std::chrono::seconds(60);
};

/// @brief Why a message was refused.
enum class HttpFault : std::uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// @brief Parser of the messages of one connection, one after the other.
class HttpParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  HttpParser(Kind kind, const HttpLimits& limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// @brief Called as the body arrives.
  void OnBody(std::function<void(std::string_view)> handler);

  /// @brief Takes bytes of the connection until the message ends.
  /// @return bytes taken; what is left belongs to the next message.
  std::size_t Feed(std::string_view bytes);
  /// @brief The connection ended without a reset.
  /// @return whether that made the message whole.
  bool FeedEnd();
  /// @brief Makes ready for the next message.
  void Next(const HttpLimits& limits);
  /// @brief A response to HEAD has no body.
  void ExpectNoBody();

  [[nodiscard]] HttpFault fault() const noexcept;
  /// @brief Whether bytes of a message have arrived.
  [[nodiscard]] bool begun() const noexcept;
  [[nodiscard]] bool head_done() const noexcept;
  [[nodiscard]] bool done() const noexcept;
  /// @brief Whether the connection may carry another message after this one.
  [[nodiscard]] bool keep_alive() const noexcept;
  [[nodiscard]] bool http_1_0() const noexcept;
  [[nodiscard]] int status() const noexcept;
  [[nodiscard]] const std::string& method() const noexcept;
  [[nodiscard]] const std::string& target() const noexcept;
  /// @brief Names in lower case, in order of arrival.
  [[nodiscard]] const HttpHeaders& headers() const noexcept;
  [[nodiscard]] HttpHeaders TakeHeaders();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// @brief Whether a header concerns one connection only and is not forwarded.
[[nodiscard]] bool IsConnectionHeader(std::string_view name) noexcept;
/// @brief Reason phrase of a status.
[[nodiscard]] std::string_view StatusText(int status) noexcept;

}  // namespace chalkwell::daemon
