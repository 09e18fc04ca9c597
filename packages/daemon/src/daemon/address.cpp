// Parses and formats "ip:port".
#include "daemon/address.hpp"

#include <uv.h>

#include <charconv>

#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {
namespace {

[[noreturn]] void Reject(const std::string& text) {
  throw core::Error(core::Step::kParse, text,
                    "must be an IP address and port, such as 127.0.0.1:8080");
}

}  // namespace

std::string Address::ToString() const {
  const bool is_v6 = ip_.find(':') != std::string::npos;
  return (is_v6 ? "[" + ip_ + "]" : ip_) + ":" + std::to_string(port_);
}

sockaddr_storage Address::ToSockaddr() const {
  sockaddr_storage storage{};
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (uv_ip4_addr(ip_.c_str(), port_, v4) != 0 &&
      uv_ip6_addr(ip_.c_str(), port_, v6) != 0) {
    Reject(ToString());
  }
  return storage;
}

Address ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    Reject(text);
  }
  Address address{.ip_ = text.substr(0, colon), .port_ = 0};
  if (address.ip_.size() > 2 && address.ip_.front() == '[' &&
      address.ip_.back() == ']') {
    address.ip_ = address.ip_.substr(1, address.ip_.size() - 2);
  }
  const auto* begin = text.data() + colon + 1;
  const auto* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(begin, end, address.port_);
  if (error != std::errc{} || parsed != end || begin == end) {
    Reject(text);
  }
  (void)address.ToSockaddr();
  return address;
}

}  // namespace chalkwell::daemon
