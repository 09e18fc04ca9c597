// Reads and writes messages; a connection is used by one thread at a time.
#include "wire.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>

namespace review {
namespace {

constexpr std::size_t kBlock = std::size_t{64} << 10;

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port_));
  inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
  return result;
}

int Listen(const std::string& ip, int port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto where = ToSockaddr({ip, port});
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&where),
             sizeof(where)) != 0 ||
      ::listen(listener, 512) != 0) {
    ::close(listener);
    throw std::runtime_error("no address " + Address{ip, port}.ToString());
  }
  return listener;
}

int PortOf(int listener) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

void ParseHead(const std::string& head, Message& message) {
  std::size_t begin = head.find("\r\n");
  message.start_ = head.substr(0, begin);
  while (begin != std::string::npos && begin + 2 < head.size()) {
    const auto line_begin = begin + 2;
    begin = head.find("\r\n", line_begin);
    const auto line = head.substr(line_begin, begin - line_begin);
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers_[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
}

}  // namespace

std::string Address::ToString() const {
  return ip_ + ":" + std::to_string(port_);
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers_.find(name);
  return found == headers_.end() ? "" : found->second;
}

int Message::Status() const {
  return start_.size() < 12 ? 0 : std::stoi(start_.substr(9, 3));
}

std::string Message::Method() const {
  return start_.substr(0, start_.find(' '));
}

std::string Message::Target() const {
  const auto begin = start_.find(' ') + 1;
  return start_.substr(begin, start_.find(' ', begin) - begin);
}

std::string Message::Parameter(const std::string& name) const {
  const auto target = Target();
  for (const std::string before : {"?", "&"}) {
    const auto found = target.find(before + name + "=");
    if (found != std::string::npos) {
      const auto begin = found + name.size() + 2;
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return "";
}

Channel::~Channel() { ::close(descriptor_); }

std::shared_ptr<Channel> Channel::Connect(const Address& address,
                                          int receive_buffer, int segment) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  if (segment > 0) {
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment,
                 sizeof(segment));
  }
  const auto where = ToSockaddr(address);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&where),
                sizeof(where)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_shared<Channel>(descriptor);
}

bool Channel::Send(const std::string& bytes) {
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

void Channel::Shutdown() const { ::shutdown(descriptor_, SHUT_RDWR); }

bool Channel::Fill(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now());
  pollfd waiting{.fd = descriptor_, .events = POLLIN, .revents = 0};
  if (left.count() <= 0 ||
      ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  std::array<char, kBlock> block{};
  auto wanted = block.size();
  if (bytes_per_second_ > 0) {
    wanted = std::max<std::size_t>(1, bytes_per_second_ / 20);
    std::this_thread::sleep_for(Milliseconds(50));
  }
  const auto size =
      ::recv(descriptor_, block.data(), std::min(wanted, block.size()), 0);
  if (size <= 0) {
    ended_ = size == 0;
    return false;
  }
  buffer_.append(block.data(), static_cast<std::size_t>(size));
  return true;
}

bool Channel::ReadChunks(Message& message, Clock::time_point until) {
  for (;;) {
    auto line = buffer_.find("\r\n");
    while (line == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
      line = buffer_.find("\r\n");
    }
    const auto size = std::stoul(buffer_.substr(0, line), nullptr, 16);
    const auto end = line + 2 + size + 2;
    while (buffer_.size() < end) {
      if (!Fill(until)) {
        message.body_.append(buffer_, line + 2, size);
        return false;
      }
    }
    message.body_.append(buffer_, line + 2, size);
    buffer_.erase(0, end);
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message> Channel::Read(MessageKind kind, Milliseconds limit) {
  const auto until = Clock::now() + limit;
  auto end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n\r\n");
  }
  Message message;
  ParseHead(buffer_.substr(0, end + 2), message);
  buffer_.erase(0, end + 4);
  const auto length = message.Header("content-length");
  if (message.Header("transfer-encoding") == "chunked") {
    message.complete_ = ReadChunks(message, until);
    return message;
  }
  if (!length.empty() || kind == MessageKind::kRequest) {
    const auto size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size && Fill(until)) {
    }
    message.complete_ = buffer_.size() >= size;
    message.body_ = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }
  message.close_delimited_ = true;
  while (Fill(until)) {
  }
  message.complete_ = ended_;
  message.body_ = std::move(buffer_);
  buffer_.clear();
  return message;
}

Server::Server(const std::string& ip, int port, Handler handler)
    : address_{ip, port}, handler_(std::move(handler)) {
  listener_ = Listen(ip, port);
  address_.port_ = PortOf(listener_);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& channel : channels_) {
      channel->Shutdown();
    }
  }
  for (auto& thread : threads_) {
    thread.join();
  }
}

void Server::Accept() {
  while (!stopping_) {
    const int accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    channels_.push_back(std::make_shared<Channel>(accepted));
    threads_.emplace_back(
        [this, channel = channels_.back()] { Serve(channel); });
  }
}

void Server::Serve(const ChannelPtr& channel) {
  while (!stopping_) {
    const auto request =
        channel->Read(MessageKind::kRequest, std::chrono::minutes(5));
    if (!request || !request->complete_ || !handler_(channel, *request)) {
      break;
    }
  }
  channel->Shutdown();
  const std::lock_guard lock(mutex_);
  channels_.remove(channel);
}

std::string ResponseText(int status,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body) {
  auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

int FreePort(const std::string& ip) {
  const int listener = Listen(ip, 0);
  const int port = PortOf(listener);
  ::close(listener);
  return port;
}

}  // namespace review
