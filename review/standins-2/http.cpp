#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <stdexcept>

namespace review {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kBuffer = std::size_t{64} << 10;

sockaddr_in ToSockaddr(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("no address: " + ip);
  }
  return address;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Trim(const std::string& text) {
  const auto begin = text.find_first_not_of(" \t\r");
  if (begin == std::string::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

/// Reads the header lines of a head, which begin after its first line.
std::map<std::string, std::string> ReadHeaders(const std::string& head) {
  std::map<std::string, std::string> headers;
  auto begin = head.find("\r\n");
  while (begin != std::string::npos && begin + 2 < head.size()) {
    begin += 2;
    const auto end = std::min(head.find("\r\n", begin), head.size());
    const auto line = head.substr(begin, end - begin);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      headers.emplace(Lower(line.substr(0, colon)),
                      Trim(line.substr(colon + 1)));
    }
    begin = end < head.size() ? end : std::string::npos;
  }
  return headers;
}

/// Takes chunks off a body.
/// @return whether the last chunk has arrived.
bool Unchunk(const std::string& bytes, std::string& body) {
  std::size_t at = 0;
  while (true) {
    const auto line = bytes.find("\r\n", at);
    if (line == std::string::npos) {
      return false;
    }
    const auto size = std::stoul(bytes.substr(at, line - at), nullptr, 16);
    const auto begin = line + 2;
    if (size == 0) {
      return bytes.size() >= begin + 2;
    }
    body.append(bytes.substr(begin, size));
    if (bytes.size() < begin + size + 2) {
      return false;
    }
    at = begin + size + 2;
  }
}

/// Reads from a connection until its end or the limit.
/// @return whether the peer closed it without a reset.
bool ReadAll(int descriptor, Clock::time_point until, std::string& bytes) {
  std::array<char, kBuffer> buffer{};
  while (true) {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    pollfd poll{.fd = descriptor, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 ||
        ::poll(&poll, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    const auto size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return size == 0;
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

Answer ReadAnswer(const std::string& bytes, bool closed) {
  Answer answer;
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos || bytes.size() < 12) {
    return answer;
  }
  const auto head = bytes.substr(0, end);
  answer.status_ = std::atoi(head.substr(9, 3).c_str());
  answer.headers_ = ReadHeaders(head);
  const auto rest = bytes.substr(end + 4);
  if (answer.headers_.contains("transfer-encoding")) {
    answer.complete_ = Unchunk(rest, answer.body_);
  } else if (answer.headers_.contains("content-length")) {
    const auto size = std::stoul(answer.headers_.at("content-length"));
    answer.body_ = rest.substr(0, size);
    answer.complete_ = rest.size() >= size;
  } else {
    answer.body_ = rest;
    answer.complete_ = closed;
  }
  return answer;
}

}  // namespace

std::string Request::Header(const std::string& name) const {
  const auto found = headers_.find(name);
  return found == headers_.end() ? "" : found->second;
}

std::string Request::Path() const {
  return target_.substr(0, target_.find('?'));
}

std::string Request::Query(const std::string& name) const {
  auto at = target_.find('?');
  while (at != std::string::npos) {
    const auto next = target_.find('&', at + 1);
    const auto part = target_.substr(at + 1, next - at - 1);
    if (part.starts_with(name + "=")) {
      return part.substr(name.size() + 1);
    }
    at = next;
  }
  return "";
}

Connection::~Connection() { ::close(descriptor_); }

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto size = ::send(descriptor_, bytes.data() + sent,
                             bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Connection::Respond(int status, const Headers& headers,
                         const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return Send(text + body);
}

bool Connection::PeerClosed() const {
  char byte = 0;
  const auto size =
      ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::ShutDown() const { ::shutdown(descriptor_, SHUT_RDWR); }

void Connection::ResetOnClose() const {
  const linger option{.l_onoff = 1, .l_linger = 0};
  (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option,
                     sizeof(option));
}

bool Connection::Fill() {
  std::array<char, kBuffer> buffer{};
  const auto size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    return false;
  }
  input_.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

bool Connection::Read(Request& request) {
  std::size_t end = 0;
  while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  const auto head = input_.substr(0, end);
  input_.erase(0, end + 4);
  const auto first = head.substr(0, head.find("\r\n"));
  const auto method = first.find(' ');
  const auto target = first.rfind(' ');
  if (method == std::string::npos || target <= method) {
    return false;
  }
  request.method_ = first.substr(0, method);
  request.target_ = first.substr(method + 1, target - method - 1);
  request.headers_ = ReadHeaders(head);
  const auto length = request.Header("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (input_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  request.body_ = input_.substr(0, size);
  input_.erase(0, size);
  return true;
}

Server::Server(std::string ip, std::uint16_t port, Handler handler)
    : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {
  Start();
}

Server::~Server() { Stop(); }

void Server::Start() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = ToSockaddr(ip_, port_);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(descriptor, kBacklog) != 0) {
    ::close(descriptor);
    throw std::runtime_error("cannot listen on " + this->address());
  }
  listener_ = descriptor;
  acceptor_ = std::thread([this] { Accept(); });
}

void Server::Accept() {
  while (true) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    const int on = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(descriptor);
    const std::lock_guard lock(mutex_);
    connections_.insert(connection);
    threads_.emplace_back([this, connection] { Serve(connection); });
  }
}

void Server::Serve(const std::shared_ptr<Connection>& connection) {
  Request request;
  while (connection->Read(request) && handler_(request, *connection)) {
    request = {};
  }
  connection->ShutDown();
  const std::lock_guard lock(mutex_);
  connections_.erase(connection);
}

void Server::Stop() {
  const int descriptor = listener_.exchange(-1);
  if (descriptor < 0) {
    return;
  }
  ::shutdown(descriptor, SHUT_RDWR);
  acceptor_.join();
  ::close(descriptor);
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& connection : connections_) {
      connection->ShutDown();
    }
    threads.swap(threads_);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

Answer Call(const std::string& ip, std::uint16_t port, const std::string& text,
            Milliseconds limit) {
  const auto until = Clock::now() + limit;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = ToSockaddr(ip, port);
  std::string bytes;
  bool closed = false;
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
      ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size())) {
    closed = ReadAll(descriptor, until, bytes);
  }
  ::close(descriptor);
  return ReadAnswer(bytes, closed);
}

}  // namespace review
