// Incremental HTTP/1.1 parser for requests and responses, with Boost.Beast. A
// message of ambiguous length is an error.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/http_server.hpp"

namespace chalkwell::daemon {

/// @brief Limits of a server on messages and connections.
struct HttpLimits {
  /// Size of start line and headers.
  std::size_t header_bytes_ = std::size_t{16} << 10;
  std::size_t body_bytes_ = std::size_t{64} << 20;
  /// Time from the first byte of a request to the end of its body.
  core::Duration request_timeout_ = std::chrono::seconds(10);
  /// A connection without a request for this long is closed.
  core::Duration idle_timeout_ = std::chrono::seconds(60);
};

/// @brief Why a message was rejected.
enum class HttpParseError : std::uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// @brief What shows the end of a message.
enum class HttpFraming : std::uint8_t {
  /// Its length, or that it has no body.
  kLength,
  /// The last chunk.
  kChunked,
  /// The end of the connection, which does not show whether it is complete.
  kConnectionEnd,
};

/// @brief Text of a framing in logs.
[[nodiscard]] std::string_view ToString(HttpFraming framing) noexcept;

/// @brief Parses the messages of one connection, one after the other.
class HttpParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  HttpParser(Kind kind, const HttpLimits& limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// @brief Sets the handler that receives the body in parts as they arrive; it
  /// stays set for later messages.
  void OnBody(std::function<void(std::string_view)> handler);

  /// @brief Parses bytes received, up to the end of the message.
  /// @return number of bytes consumed. The rest belongs to the next message; no
  /// bytes are consumed after the end or after an error.
  std::size_t Feed(std::string_view bytes);
  /// @brief Reports that the connection ended without a reset.
  /// @return whether the message is complete.
  bool FeedEof();
  /// @brief Discards the message and prepares for the next one.
  void Next(const HttpLimits& limits);
  /// @brief Declares that the response has no body, as after HEAD.
  void ExpectNoBody();

  /// @return kNone unless the message was rejected.
  [[nodiscard]] HttpParseError error() const noexcept;
  /// @brief Whether some bytes of the message have arrived.
  [[nodiscard]] bool started() const noexcept;
  /// @brief Whether start line and headers are parsed.
  [[nodiscard]] bool head_done() const noexcept;
  /// @brief Whether the message is complete.
  [[nodiscard]] bool done() const noexcept;
  /// @brief Whether the connection may carry another message after this one;
  /// false before the headers are parsed.
  [[nodiscard]] bool keep_alive() const noexcept;
  /// @brief What shows the end of the message; valid once its headers are
  /// parsed.
  [[nodiscard]] HttpFraming framing() const;
  /// @brief Whether the version of the message is HTTP/1.0.
  [[nodiscard]] bool http_1_0() const noexcept;
  [[nodiscard]] int status() const noexcept;
  [[nodiscard]] const std::string& method() const noexcept;
  [[nodiscard]] const std::string& target() const noexcept;
  /// @brief Headers in order of arrival, with names in lower case.
  [[nodiscard]] const HttpHeaders& headers() const noexcept;
  /// @brief Bytes that the parser holds: headers, and what it has not parsed
  /// yet.
  [[nodiscard]] std::size_t held_bytes() const noexcept;
  /// @brief Moves the headers out of the parser.
  [[nodiscard]] HttpHeaders TakeHeaders();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// @brief Bytes that a text holds outside of its object.
[[nodiscard]] std::size_t HeldBytes(const std::string& text) noexcept;
/// @brief Bytes that headers hold.
[[nodiscard]] std::size_t HeldBytes(const HttpHeaders& headers) noexcept;
/// @brief Whether a header is hop-by-hop, so that it must not be forwarded.
/// @param name in lower case.
[[nodiscard]] bool IsConnectionHeader(std::string_view name) noexcept;
/// @brief Standard reason phrase of a status.
[[nodiscard]] std::string_view StatusText(int status) noexcept;

}  // namespace chalkwell::daemon
