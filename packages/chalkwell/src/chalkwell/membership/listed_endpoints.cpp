// Availability of endpoints: leases, probes, failure rates and circuit
// breakers.
#include "chalkwell/membership/listed_endpoints.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::membership {
namespace {

/// The requests that all entries may have in flight exceed the slots of an
/// endpoint by a quarter; the excess requests wait at the endpoint.
constexpr std::uint64_t kInFlightPercent = 125;
/// Weight of the newest request in the smoothed failure rate.
constexpr double kSmoothing = 0.125;

}  // namespace

ListedEndpoints::ListedEndpoints(ListedEndpointsSettings settings,
                                 ListedEndpointsFaults faults)
    : settings_(settings), faults_(faults) {}

const EndpointView* ListedEndpoints::Find(const core::InstanceId& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

bool ListedEndpoints::MayTakeWork(const EndpointView& view,
                                  core::TimePoint now) const {
  const bool within_lease = view.connected_ && view.report_ &&
                            now - view.last_report_at_ <= settings_.lease_;
  const bool leaving =
      view.report_ && (view.report_->leaving_ || view.instance_.leaving_);
  if (leaving && !faults_.ignore_draining_) {
    return false;
  }
  return within_lease && view.report_->ready_ && now >= view.open_until_;
}

std::vector<const EndpointView*> ListedEndpoints::Available(
    const core::Role& role, core::TimePoint now) const {
  std::vector<const EndpointView*> available;
  std::vector<const EndpointView*> unresponsive;
  for (const auto& [id, view] : endpoints_) {
    if (view.instance_.role_ == role && MayTakeWork(view, now)) {
      (IsUnresponsive(view, now) ? unresponsive : available).push_back(&view);
    }
  }
  if (available.empty()) {
    return unresponsive;
  }
  const auto failing = std::ranges::count_if(
      available,
      [this](const auto* view) { return HasHighFailureRate(*view); });
  if (2 * static_cast<std::size_t>(failing) < available.size()) {
    std::erase_if(available, [&](const EndpointView* view) {
      return HasHighFailureRate(*view) && now < view->next_trial_;
    });
  }
  return available;
}

bool ListedEndpoints::HasHighFailureRate(
    const EndpointView& view) const noexcept {
  return view.failure_rate_ >= settings_.high_failure_rate_;
}

bool ListedEndpoints::IsUnresponsive(const EndpointView& view,
                                     core::TimePoint now) const noexcept {
  return view.probed_at_ && now - *view.probed_at_ > settings_.probe_timeout_;
}

void ListedEndpoints::OnProbed(const core::InstanceId& id,
                               core::TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end() && !found->second.probed_at_) {
    found->second.probed_at_ = now;
  }
}

void ListedEndpoints::OnReceived(const core::InstanceId& id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.probed_at_.reset();
  }
}

std::uint64_t ListedEndpoints::MaxInFlight(const EndpointView& view) {
  if (!view.report_) {
    return 1;
  }
  const auto sharers =
      std::max<std::uint64_t>(1, view.report_->active_entries_);
  const auto numerator = view.report_->capacity_ * kInFlightPercent;
  const auto denominator = 100 * sharers;
  return std::max<std::uint64_t>(1,
                                 (numerator + denominator - 1) / denominator);
}

std::optional<std::uint64_t> ListedEndpoints::RemainingRequests(
    const core::Role& role, core::TimePoint now) const {
  const auto available = Available(role, now);
  if (available.empty()) {
    return std::nullopt;
  }
  std::uint64_t remaining = 0;
  for (const auto* view : available) {
    const auto max_in_flight = MaxInFlight(*view);
    remaining += max_in_flight - std::min(max_in_flight, view->in_flight_);
  }
  return remaining;
}

void ListedEndpoints::OnLoad(const core::InstanceId& id, std::uint64_t load,
                             std::uint64_t sharers) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end() && found->second.report_ && sharers > 0) {
    found->second.report_->load_ = load;
    found->second.report_->active_entries_ = sharers;
  }
}

void ListedEndpoints::SetInstances(
    const std::vector<config::Instance>& instances) {
  std::map<core::InstanceId, EndpointView> next;
  for (const auto& instance : instances) {
    if (instance.kind_ != config::InstanceKind::kEndpoint) {
      continue;
    }
    auto known = endpoints_.extract(instance.id_);
    auto& view = next[instance.id_];
    if (!known.empty() &&
        known.mapped().instance_.peer_address_ == instance.peer_address_) {
      view = std::move(known.mapped());
    }
    view.instance_ = instance;
  }
  endpoints_ = std::move(next);
}

void ListedEndpoints::OnConnected(const core::InstanceId& id,
                                  core::TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.connected_ = true;
    found->second.last_report_at_ = now;
    found->second.probed_at_.reset();
  }
}

void ListedEndpoints::OnDisconnected(const core::InstanceId& id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.connected_ = false;
  }
}

bool ListedEndpoints::OnReport(const core::InstanceId& id,
                               const EndpointReport& report,
                               core::TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return false;
  }
  auto& view = found->second;
  const bool replaced =
      view.report_ && report.incarnation_ < view.report_->incarnation_;
  if (replaced && !faults_.accept_old_incarnation_) {
    return false;
  }
  const bool was_ready = view.report_ && view.report_->ready_;
  if (report.ready_ && !was_ready) {
    view.ready_since_ = now;
  }
  view.report_ = report;
  view.last_report_at_ = now;
  return true;
}

void ListedEndpoints::OnRequestSent(const core::InstanceId& id,
                                    core::TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    ++found->second.in_flight_;
    found->second.next_trial_ = now + settings_.trial_period_;
  }
}

void ListedEndpoints::OnRequestEnded(const core::InstanceId& id, bool failed,
                                     core::TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  auto& view = found->second;
  if (view.in_flight_ > 0) {
    --view.in_flight_;
  }
  view.failure_rate_ +=
      ((failed ? 1.0 : 0.0) - view.failure_rate_) * kSmoothing;
  if (!failed) {
    view.failures_ = 0;
    return;
  }
  ++view.failures_;
  if (view.failures_ >= settings_.breaker_failures_) {
    view.open_until_ = now + settings_.breaker_time_;
    view.failures_ = settings_.breaker_failures_ - 1;
  }
}

bool SuspensionDetector::Tick(core::TimePoint now) noexcept {
  const bool suspended = last_tick_ && now - *last_tick_ > min_suspension_;
  last_tick_ = now;
  return suspended;
}

}  // namespace chalkwell::membership
