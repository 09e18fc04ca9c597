// Two windows follow each other, so that a count covers at least one whole
// window without holding each request.
#include "chalkwell/routing/prompt_part_shares.hpp"

#include <utility>

namespace chalkwell::routing {

void PromptPartShares::Advance(Windows& windows, core::TimePoint now) const {
  const auto age = now - windows.current_.started_at_;
  if (age < settings_.window_) {
    return;
  }
  auto ended = std::exchange(windows.current_, {.started_at_ = now});
  windows.previous_ = age < 2 * settings_.window_ ? std::move(ended) : Window{};
}

void PromptPartShares::OnAdmitted(std::string_view service,
                                  const RequestIdentity& request,
                                  core::TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, Windows{}).first;
  }
  Advance(found->second, now);
  auto& [started_at, requests, parts] = found->second.current_;
  ++requests;
  for (const auto& part : request.shared_parts_) {
    if (parts.size() < settings_.max_parts_ || parts.contains(part.digest_)) {
      ++parts[part.digest_];
    }
  }
}

bool PromptPartShares::IsWidespread(std::string_view service,
                                    const RequestDigest& part,
                                    core::TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end() ||
      now - found->second.current_.started_at_ >= 2 * settings_.window_) {
    return false;
  }
  std::size_t requests = 0;
  std::size_t holding = 0;
  for (const auto* window :
       {&found->second.current_, &found->second.previous_}) {
    const auto count = window->parts_.find(part);
    requests += window->requests_;
    holding += count == window->parts_.end() ? 0 : count->second;
  }
  return requests >= settings_.min_requests_ &&
         static_cast<double>(holding) >=
             settings_.widespread_share_ * static_cast<double>(requests);
}

}  // namespace chalkwell::routing
