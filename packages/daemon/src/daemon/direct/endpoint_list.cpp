// Every read is told, also one without change: that it was made keeps the
// neighbours from reading.
#include "daemon/direct/endpoint_list.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::daemon::direct {
namespace {

/// Part of the bound after which an entry reads the list itself: the read, a
/// pause of its own, and the way of a request take the rest.
constexpr double kOldestShare = 0.6;
/// Changed rows that one datagram carries, some 25 KB; more are read by
/// everyone.
constexpr std::size_t kMaxRows = 250;
/// The order of failure domains in reading; any fixed text.
constexpr std::string_view kReadOrder = "read-list";

membership::ReaderRoleSettings DutySettings(const EndpointListSettings& list) {
  const auto often = list.read_interval_;
  membership::ReaderRoleSettings settings;
  settings.reader_interval_ = often;
  settings.max_age_ =
      core::FromMs(core::ToMs(list.drain_bound_) * kOldestShare);
  settings.takeover_timeout_ = often + often / 2;
  settings.rank_delay_ = often / 4;
  settings.standby_interval_ = std::max(settings.standby_interval_, often);
  return settings;
}

}  // namespace

EndpointList::EndpointList(Loop& loop, routing::EndpointTable& endpoints,
                           MeshNode& mesh, EventLog& log,
                           EndpointListSettings settings,
                           EndpointListHooks hooks)
    : loop_(loop),
      endpoints_(endpoints),
      mesh_(mesh),
      log_(log),
      hooks_(std::move(hooks)),
      settings_(settings),
      duty_(mesh.self().id_, DutySettings(settings)),
      outage_({.renewal_interval_ = settings.renewal_interval_}) {}

void EndpointList::LeaveOutUnnamed(std::vector<routing::EndpointRow>& rows) {
  std::set<core::InstanceId> unnamed;
  std::erase_if(rows, [&](const routing::EndpointRow& row) {
    const bool known = hooks_.is_known_service_(row.service_);
    if (!known && unnamed.insert(row.id_).second &&
        !unnamed_.contains(row.id_)) {
      log_.Write(
          core::EventNumber::kDocumentRefused,
          {{"section", "endpoints"},
           {"reason", row.id_.value() + ": no such service: " + row.service_}});
    }
    return !known;
  });
  unnamed_ = std::move(unnamed);
}

void EndpointList::ApplyRead(StoreSnapshot published, bool from_store) {
  LeaveOutUnnamed(published.endpoints_);
  const auto now = loop_.Now();
  const auto before = endpoints_.Rows();
  outage_.OnListReceived(published.as_of_, now);
  const bool complete = !outage_.LeasesMayHaveExpired(now);
  endpoints_.ApplyList(published.endpoints_, published.revision_, complete, now,
                       published.as_of_);
  endpoints_.ConfirmAsOf(published.as_of_);
  const auto after = endpoints_.Rows();
  if (before != after) {
    LogChange(from_store ? "store" : "peer");
    TellDeparted(before, after);
  }
  if (from_store) {
    duty_.OnRead(now);
    TellOthers(published, complete);
    ServeWaiting();
  }
}

bool EndpointList::Stale() const {
  return endpoints_.has_list() &&
         duty_.IsStale(endpoints_.as_of(), loop_.Now());
}

void EndpointList::WhenFresh(std::function<void()> task) {
  if (!Stale()) {
    task();
    return;
  }
  waiting_.push_back(std::move(task));
  hooks_.read_();
}

// A read that was under way while the process stood still brings an old list.
void EndpointList::ServeWaiting() {
  if (!Stale()) {
    RunWaiting();
  } else if (!waiting_.empty()) {
    hooks_.read_();
  }
}

void EndpointList::RunWaiting() {
  for (const auto& task : std::exchange(waiting_, {})) {
    task();
  }
}

void EndpointList::TellOthers(const StoreSnapshot& published, bool complete) {
  auto change = history_.OnRead(published.revision_, published.endpoints_,
                                complete, loop_.Now());
  change.as_of_ = published.as_of_;
  if (duty_.IsReader(loop_.Now()) && change.rows_.size() <= kMaxRows) {
    mesh_.PublishList(ToMessage(change, loop_.Now()));
  }
}

void EndpointList::OnReadFailed() {
  const auto now = loop_.Now();
  duty_.OnReadFailed(now);
  outage_.OnReadFailed();
  if (now - tried_told_at_ >= settings_.read_interval_) {
    tried_told_at_ = now;
    mesh_.PublishReadFailure();
  }
  RunWaiting();
}

void EndpointList::OnListMessage(const membership::Member& teller,
                                 const EndpointListMessage& message,
                                 core::TimePoint sent_at) {
  if (message.read_failed_) {
    duty_.OnPeerReadFailed(loop_.Now());
    outage_.OnReadFailed();
    return;
  }
  const auto before = endpoints_.Rows();
  auto change = ToChange(message, sent_at);
  // Whoever started during an outage does not know of it.
  outage_.OnListReceived(change.as_of_, loop_.Now());
  change.complete_ =
      change.complete_ && !outage_.LeasesMayHaveExpired(loop_.Now());
  if (!endpoints_.ApplyChange(change, loop_.Now())) {
    // What was told before was lost.
    hooks_.read_();
    return;
  }
  endpoints_.ConfirmAsOf(change.as_of_);
  duty_.OnPeerRead(change.as_of_);
  if (before != endpoints_.Rows()) {
    LogChange(teller.id_.value());
  }
  ServeWaiting();
}

void EndpointList::LogChange(const std::string& source) {
  const auto rows = endpoints_.Rows();
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      loop_.Now() - endpoints_.as_of());
  const auto leaving =
      std::ranges::count_if(rows, &routing::EndpointRow::leaving_);
  log_.Write(core::EventNumber::kEndpointsChanged,
             {{"revision", std::to_string(endpoints_.revision())},
              {"endpoints", std::to_string(rows.size())},
              {"leaving", std::to_string(leaving)},
              {"age_ms", std::to_string(age.count())},
              {"source", source}});
}

void EndpointList::TellDeparted(
    const std::vector<routing::EndpointRow>& before,
    const std::vector<routing::EndpointRow>& after) {
  DepartedMessage departed;
  for (const auto& row : before) {
    const auto now =
        std::ranges::find(after, row.id_, &routing::EndpointRow::id_);
    if (now == after.end()) {
      departed.removed_.push_back(ToMessage(row.incarnation()));
    } else if (now->leaving_ && !row.leaving_) {
      departed.leaving_.push_back(ToMessage(now->incarnation()));
    }
  }
  if (!departed.leaving_.empty() || !departed.removed_.empty()) {
    mesh_.PublishDeparted(departed);
  }
}

void EndpointList::OnDeparted(const DepartedMessage& departed) {
  for (const auto& life : departed.leaving_) {
    endpoints_.MarkLeaving(ToIncarnation(life));
  }
  // One that came back is in the next list that is read.
  for (const auto& life : departed.removed_) {
    endpoints_.MarkTerminated(ToIncarnation(life));
  }
}

std::size_t EndpointList::DomainsAhead() const {
  const auto rank = [](const core::FailureDomainId& domain) {
    return core::RendezvousScore(kReadOrder, domain.value());
  };
  const auto own = rank(mesh_.self().domain_);
  std::set<core::FailureDomainId> ahead;
  for (const auto& member : mesh_.LiveMembers()) {
    if (rank(member.domain_) > own) {
      ahead.insert(member.domain_);
    }
  }
  return ahead.size();
}

core::Duration EndpointList::Interval() {
  std::vector<core::InstanceId> readers{mesh_.self().id_};
  for (const auto& neighbour : mesh_.LocalEntries()) {
    readers.push_back(neighbour.id_);
  }
  duty_.SetMembers(readers);
  duty_.SetDomainsAhead(DomainsAhead());
  return duty_.Interval(loop_.Now());
}

}  // namespace chalkwell::daemon::direct
