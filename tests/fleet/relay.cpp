// One thread that polls all sockets; blocking writes are short on loopback.
#include "fleet/relay.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "daemon/address.hpp"

namespace chalkwell::fleet {
namespace {

constexpr int kPollMilliseconds = 20;
constexpr std::size_t kBlock = std::size_t{1} << 16;

int Open(const std::string& address, bool listens) {
  const auto to = daemon::ParseAddress(address).ToSockaddr();
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  (void)setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto* name = reinterpret_cast<const sockaddr*>(&to);
  const bool failed = listens ? bind(socket, name, sizeof(sockaddr_in)) != 0 ||
                                    listen(socket, SOMAXCONN) != 0
                              : connect(socket, name, sizeof(sockaddr_in)) != 0;
  if (failed) {
    close(socket);
    return -1;
  }
  return socket;
}

/// Its system forgets what it has not delivered, and the peer sees a reset.
void CloseWithReset(int socket) {
  const linger abort{.l_onoff = 1, .l_linger = 0};
  (void)setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  close(socket);
}

bool WasReset(int socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  (void)getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

/// @return false when either side is gone.
bool Forward(int from, int to) {
  std::array<char, kBlock> block{};
  const auto size = recv(from, block.data(), block.size(), MSG_DONTWAIT);
  if (size <= 0) {
    return false;
  }
  ssize_t done = 0;
  while (done < size) {
    const auto sent = send(to, block.data() + done,
                           static_cast<std::size_t>(size - done), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += sent;
  }
  return true;
}

}  // namespace

struct Relay::Listener {
  RelayRoute route_;
  int socket_ = -1;
};

/// The two sockets of one relayed connection.
struct Relay::Pair {
  std::string from_;
  std::string to_;
  std::string target_;
  /// Address of the route.
  std::string listen_;
  std::array<int, 2> sockets_{-1, -1};
  bool closed_ = false;
  /// Both sides are to see a reset.
  bool reset_ = false;
};

Relay::Relay(std::vector<RelayRoute> routes,
             std::map<std::string, std::string> domain_of_ip)
    : domain_of_ip_(std::move(domain_of_ip)) {
  for (auto& route : routes) {
    const int socket = Open(route.listen_, true);
    if (socket < 0) {
      throw std::runtime_error("relay cannot listen on " + route.listen_);
    }
    listeners_.push_back({std::move(route), socket});
  }
  thread_ = std::thread([this] { Run(); });
}

Relay::~Relay() {
  stopping_ = true;
  thread_.join();
  for (const auto& listener : listeners_) {
    close(listener.socket_);
  }
  for (const auto& pair : pairs_) {
    close(pair.sockets_[0]);
    close(pair.sockets_[1]);
  }
}

void Relay::CutOff(const std::string& domain) {
  const std::lock_guard lock(mutex_);
  cut_.insert(domain);
}

void Relay::Heal() {
  const std::lock_guard lock(mutex_);
  cut_.clear();
  silent_.clear();
}

void Relay::Silence(const std::string& listen, Way way) {
  const std::lock_guard lock(mutex_);
  silent_[listen] = way;
}

void Relay::Restore(const std::string& listen) {
  const std::lock_guard lock(mutex_);
  silent_.erase(listen);
}

void Relay::ResetAll(const std::string& listen) {
  const std::lock_guard lock(mutex_);
  resets_.insert(listen);
}

bool Relay::IsSilent(const Pair& pair, std::size_t side) {
  const std::lock_guard lock(mutex_);
  const auto found = silent_.find(pair.listen_);
  if (found == silent_.end()) {
    return false;
  }
  const auto held = side == 0 ? Way::kToTarget : Way::kBack;
  return found->second == Way::kBoth || found->second == held;
}

void Relay::CloseMarked() {
  std::set<std::string> resets;
  {
    const std::lock_guard lock(mutex_);
    resets.swap(resets_);
  }
  for (auto& pair : pairs_) {
    if (resets.contains(pair.listen_)) {
      pair.closed_ = true;
      pair.reset_ = true;
    }
  }
}

bool Relay::IsCut(const Pair& pair) {
  const std::lock_guard lock(mutex_);
  return pair.from_ != pair.to_ &&
         (cut_.contains(pair.from_) || cut_.contains(pair.to_));
}

void Relay::Accept(const Listener& listener) {
  sockaddr_in source{};
  socklen_t size = sizeof(source);
  const int socket =
      accept4(listener.socket_, reinterpret_cast<sockaddr*>(&source), &size,
              SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  const auto found = domain_of_ip_.find(inet_ntoa(source.sin_addr));
  const auto& route = listener.route_;
  Pair pair{.from_ = route.from_,
            .to_ = route.to_,
            .target_ = route.target_,
            .listen_ = route.listen_,
            .sockets_ = {socket, -1}};
  if (pair.from_.empty() && found != domain_of_ip_.end()) {
    pair.from_ = found->second;
  }
  pairs_.push_back(std::move(pair));
}

void Relay::Run() {
  while (!stopping_) {
    std::vector<pollfd> polled;
    for (const auto& listener : listeners_) {
      polled.push_back({listener.socket_, POLLIN, 0});
    }
    std::vector<std::pair<Pair*, std::size_t>> sides;
    CloseMarked();
    for (auto& pair : pairs_) {
      if (IsCut(pair) || pair.closed_) {
        continue;
      }
      if (pair.sockets_[1] < 0 && !IsSilent(pair, 0)) {
        pair.sockets_[1] = Open(pair.target_, false);
        pair.closed_ = pair.sockets_[1] < 0;
      }
      for (std::size_t side = 0; side < 2 && !pair.closed_; ++side) {
        if (pair.sockets_[1] < 0 || IsSilent(pair, side)) {
          continue;
        }
        polled.push_back({pair.sockets_.at(side), POLLIN, 0});
        sides.emplace_back(&pair, side);
      }
    }
    (void)poll(polled.data(), polled.size(), kPollMilliseconds);
    std::size_t next = 0;
    for (const auto& listener : listeners_) {
      if (polled[next++].revents != 0) {
        Accept(listener);
      }
    }
    for (const auto& [pair, side] : sides) {
      // It may have fallen silent while the sockets were polled.
      if (polled[next++].revents == 0 || pair->closed_ ||
          IsSilent(*pair, side)) {
        continue;
      }
      const int from = pair->sockets_.at(side);
      pair->reset_ = WasReset(from);
      pair->closed_ =
          pair->reset_ || !Forward(from, pair->sockets_.at(1 - side));
    }
    pairs_.remove_if([](const Pair& pair) {
      if (pair.closed_) {
        const auto end =
            pair.reset_ ? CloseWithReset : [](int socket) { close(socket); };
        end(pair.sockets_[0]);
        end(pair.sockets_[1]);
      }
      return pair.closed_;
    });
  }
}

}  // namespace chalkwell::fleet
