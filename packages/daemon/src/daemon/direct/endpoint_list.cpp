// The designated reader publishes every read, also one without changes, so that
// the other entries need not read the list themselves.
#include "daemon/direct/endpoint_list.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::daemon::direct {
namespace {

/// Share of the drain bound after which an entry reads the list itself. The
/// rest is for the read, a pause of the process, and a request's way to the
/// endpoint.
constexpr double kMaxAgeShare = 0.6;
/// Rows that one datagram carries at most, some 25 KB. Entries fetch larger
/// changes from the sender.
constexpr std::size_t kMaxDeltaRows = 250;
/// A timer that is later than this shows that the process was suspended.
constexpr auto kMaxTimerDelay = std::chrono::milliseconds(200);
/// Minimum interval between two log lines about lists that were not used.
constexpr auto kNotUsedLogInterval = std::chrono::seconds(1);
/// Delay of the read that follows one of an older era.
constexpr auto kReadAgainDelay = std::chrono::milliseconds(100);
/// Hash key of the priority order of failure domains; any constant text.
constexpr std::string_view kReadOrder = "read-list";

core::Duration MaxAge(const EndpointListSettings& list) {
  return core::FromMs(core::ToMs(list.drain_bound_) * kMaxAgeShare);
}

membership::ReaderRoleSettings ReaderSettings(
    const EndpointListSettings& list) {
  const auto interval = list.read_interval_;
  membership::ReaderRoleSettings settings;
  settings.reader_interval_ = interval;
  settings.max_age_ = MaxAge(list);
  settings.takeover_timeout_ = interval + interval / 2;
  settings.rank_delay_ = interval / 4;
  settings.standby_interval_ = std::max(settings.standby_interval_, interval);
  return settings;
}

}  // namespace

EndpointList::EndpointList(Loop& loop, routing::EndpointTable& endpoints,
                           MeshNode& mesh, EventLog& log, Metrics& metrics,
                           EndpointListSettings settings,
                           EndpointListHooks hooks)
    : loop_(loop),
      endpoints_(endpoints),
      mesh_(mesh),
      log_(log),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      settings_(settings),
      reader_role_(mesh.self().id_, ReaderSettings(settings)),
      outage_({.renewal_interval_ = settings.renewal_interval_}),
      wait_timer_(loop),
      exchange_(loop) {}

void EndpointList::RemoveUnknownServices(
    std::vector<routing::EndpointRow>& rows) {
  std::set<core::InstanceId> unknown;
  std::erase_if(rows, [&](const routing::EndpointRow& row) {
    const bool known = hooks_.is_known_service_(row.service_);
    if (!known && unknown.insert(row.id_).second &&
        !unknown_rows_.contains(row.id_)) {
      log_.Write(
          core::EventNumber::kDocumentRefused,
          {{"section", "endpoints"},
           {"reason", row.id_.value() + ": no such service: " + row.service_}});
    }
    return !known;
  });
  unknown_rows_ = std::move(unknown);
}

void EndpointList::AddUnreadRows(StoreSnapshot& snapshot) const {
  for (auto& row : endpoints_.ListedRows()) {
    if (row.id_ > snapshot.read_until_) {
      snapshot.endpoints_.push_back(std::move(row));
    }
  }
}

void EndpointList::ApplyRead(StoreSnapshot snapshot, bool from_store) {
  if (snapshot.outcome_ != ReadOutcome::kRead && endpoints_.has_list()) {
    return;
  }
  const std::string source(from_store ? "store" : "peer");
  if (snapshot.revision_ < endpoints_.store_revision()) {
    LogNotUsed(snapshot.revision_, source);
  }
  if (IsOfOlderEra(snapshot.revision_)) {
    if (from_store) {
      ReadAgainForWaitingTasks();
    }
    return;
  }
  RemoveUnknownServices(snapshot.endpoints_);
  if (snapshot.truncated_) {
    AddUnreadRows(snapshot);
  } else {
    knows_whole_list_ = true;
  }
  const auto now = loop_.Now();
  const auto before = endpoints_.Rows();
  NoteEra(snapshot.revision_);
  outage_.OnListReceived(snapshot.as_of_, now);
  const bool complete = !outage_.LeasesMayHaveExpired(now);
  (void)endpoints_.ApplyList(snapshot.endpoints_, snapshot.revision_, complete,
                             now, snapshot.as_of_);
  endpoints_.ConfirmAsOf(snapshot.revision_, snapshot.as_of_);
  const auto after = endpoints_.Rows();
  if (before != after) {
    LogChange(source);
    PublishDeparted(before, after);
  }
  if (from_store) {
    reader_role_.OnRead(now);
    if (knows_whole_list_) {
      PublishRead(snapshot, complete);
    }
    RunWaitingIfFresh();
  }
}

bool EndpointList::IsOfOlderEra(const core::StoreRevision& revision) const {
  return endpoints_.has_list() &&
         revision.era_ < endpoints_.store_revision().era_;
}

void EndpointList::NoteEra(const core::StoreRevision& revision) {
  if (!endpoints_.has_list() ||
      revision.era_ <= endpoints_.store_revision().era_) {
    return;
  }
  outage_.OnStoreReturned(loop_.Now());
  hooks_.on_era_(revision.era_);
}

void EndpointList::ReadAgainForWaitingTasks() {
  loop_.After(kReadAgainDelay, [this] {
    if (!waiting_tasks_.empty()) {
      hooks_.read_();
    }
  });
}

bool EndpointList::IsStale() const {
  const auto now = loop_.Now();
  const bool reads_too_slow = wait_expired_at_ > endpoints_.as_of() &&
                              now - wait_expired_at_ < MaxAge(settings_);
  return endpoints_.has_list() && !reads_too_slow &&
         reader_role_.IsStale(endpoints_.as_of(), now);
}

void EndpointList::WhenFresh(std::function<void()> task) {
  if (!IsStale()) {
    task();
    return;
  }
  waiting_tasks_.push_back(std::move(task));
  if (waiting_tasks_.size() == 1) {
    StartWait();
  }
  hooks_.read_();
}

// A read that was in flight while the process was suspended returns an outdated
// list.
void EndpointList::RunWaitingIfFresh() {
  if (!IsStale()) {
    RunWaitingTasks();
  } else if (!waiting_tasks_.empty()) {
    hooks_.read_();
  }
}

void EndpointList::StartWait() {
  wait_began_at_ = loop_.Now();
  wait_timer_.Once(MaxAge(settings_), [this] { OnWaitExpired(); });
}

void EndpointList::OnWaitExpired() {
  const auto now = loop_.Now();
  if (now - wait_began_at_ > MaxAge(settings_) + kMaxTimerDelay) {
    // The process was suspended meanwhile; its read may still return a list.
    StartWait();
    hooks_.read_();
    return;
  }
  wait_expired_at_ = now;
  RunWaitingTasks();
}

void EndpointList::RunWaitingTasks() {
  wait_timer_.Cancel();
  for (const auto& task : std::exchange(waiting_tasks_, {})) {
    Guarded(task);
  }
}

void EndpointList::PublishRead(const StoreSnapshot& snapshot, bool complete) {
  auto change = history_.OnRead(snapshot.revision_, snapshot.endpoints_,
                                complete, loop_.Now());
  change.as_of_ = snapshot.as_of_;
  if (!reader_role_.IsReader(loop_.Now())) {
    return;
  }
  const bool large =
      change.rows_.size() + change.removed_.size() > kMaxDeltaRows;
  if (large) {
    change.rows_.clear();
    change.removed_.clear();
  }
  auto message = ToMessage(change, loop_.Now());
  message.fetch_ = large;
  mesh_.PublishList(message);
}

EndpointListMessage EndpointList::FullList() const {
  routing::EndpointListChange list;
  if (!knows_whole_list_) {
    return ToMessage(list, loop_.Now());
  }
  list.to_ = endpoints_.store_revision();
  list.rows_ = endpoints_.ListedRows();
  list.full_ = true;
  list.complete_ = !outage_.LeasesMayHaveExpired(loop_.Now());
  list.as_of_ = endpoints_.as_of();
  return ToMessage(list, loop_.Now());
}

bool EndpointList::HandleCall(const PeerCallPtr& call) const {
  return exchange_.HandleCall(call, [this] { return FullList(); });
}

void EndpointList::OnPeerReady(const membership::Member& peer) {
  if (endpoints_.has_list() || loop_.Now() >= wait_until_) {
    return;
  }
  exchange_.Fetch(peer.address_,
                  [this, peer](const std::optional<EndpointListMessage>& list,
                               core::TimePoint requested_at) {
                    if (list && list->to_.number_ > 0) {
                      (void)ApplyMessage(peer, *list, requested_at);
                    }
                  });
}

void EndpointList::FetchFrom(const membership::Member& peer) {
  exchange_.Fetch(peer.address_,
                  [this, peer](const std::optional<EndpointListMessage>& list,
                               core::TimePoint requested_at) {
                    const bool applied =
                        list && list->to_.number_ > 0 &&
                        ApplyMessage(peer, *list, requested_at);
                    if (!applied) {
                      hooks_.read_();
                    }
                  });
}

void EndpointList::OnReadFailed() {
  const auto now = loop_.Now();
  reader_role_.OnReadFailed(now);
  outage_.OnReadFailed();
  if (now - read_failure_published_at_ >= settings_.read_interval_) {
    read_failure_published_at_ = now;
    mesh_.PublishReadFailure();
  }
  RunWaitingTasks();
}

void EndpointList::OnListMessage(const membership::Member& sender,
                                 const EndpointListMessage& message,
                                 core::TimePoint sent_at) {
  if (message.read_failed_) {
    reader_role_.OnPeerReadFailed(loop_.Now());
    outage_.OnReadFailed();
    return;
  }
  const bool known = endpoints_.store_revision() >= ToRevision(message.to_);
  if (message.fetch_ && !known) {
    FetchFrom(sender);
    return;
  }
  if (!ApplyMessage(sender, message, sent_at)) {
    // An earlier change was lost.
    FetchFrom(sender);
  }
}

bool EndpointList::ApplyMessage(const membership::Member& sender,
                                const EndpointListMessage& message,
                                core::TimePoint sent_at) {
  auto change = ToChange(message, sent_at);
  if (change.to_ < endpoints_.store_revision()) {
    LogNotUsed(change.to_, sender.id_.value());
  }
  if (IsOfOlderEra(change.to_)) {
    return true;
  }
  const auto before = endpoints_.Rows();
  NoteEra(change.to_);
  // A sender that started during an outage does not know of it, and marks the
  // list as complete.
  outage_.OnListReceived(change.as_of_, loop_.Now());
  change.complete_ =
      change.complete_ && !outage_.LeasesMayHaveExpired(loop_.Now());
  if (!knows_whole_list_) {
    const bool has_rows = change.full_ && !message.fetch_;
    if (!has_rows) {
      return false;
    }
    knows_whole_list_ = change.to_ >= endpoints_.store_revision();
  }
  // The rows of a change that is to be fetched are known already.
  if (!message.fetch_ && !endpoints_.ApplyChange(change, loop_.Now())) {
    return false;
  }
  endpoints_.ConfirmAsOf(change.to_, change.as_of_);
  reader_role_.OnPeerRead(change.as_of_);
  if (before != endpoints_.Rows()) {
    LogChange(sender.id_.value());
  }
  RunWaitingIfFresh();
  return true;
}

void EndpointList::LogNotUsed(const core::StoreRevision& revision,
                              const std::string& source) {
  metrics_.Count("endpoint_lists_not_used_total",
                 {{"source", source == "store" ? "store" : "peer"}});
  const auto now = loop_.Now();
  if (now - not_used_logged_at_ < kNotUsedLogInterval) {
    return;
  }
  not_used_logged_at_ = now;
  log_.Write(core::EventNumber::kListNotUsed,
             {{"era", std::to_string(revision.era_)},
              {"revision", std::to_string(revision.number_)},
              {"known_era", std::to_string(endpoints_.store_revision().era_)},
              {"known_revision", std::to_string(endpoints_.revision())},
              {"source", source}});
}

void EndpointList::LogChange(const std::string& source) {
  const auto rows = endpoints_.Rows();
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      loop_.Now() - endpoints_.as_of());
  const auto leaving =
      std::ranges::count_if(rows, &routing::EndpointRow::leaving_);
  log_.Write(core::EventNumber::kEndpointsChanged,
             {{"era", std::to_string(endpoints_.store_revision().era_)},
              {"revision", std::to_string(endpoints_.revision())},
              {"endpoints", std::to_string(rows.size())},
              {"leaving", std::to_string(leaving)},
              {"age_ms", std::to_string(age.count())},
              {"source", source}});
}

void EndpointList::PublishDeparted(
    const std::vector<routing::EndpointRow>& before,
    const std::vector<routing::EndpointRow>& after) {
  DepartedMessage departed;
  for (const auto& row : before) {
    const auto current =
        std::ranges::find(after, row.id_, &routing::EndpointRow::id_);
    if (current == after.end()) {
      departed.removed_.push_back(ToMessage(row.incarnation()));
    } else if (current->leaving_ && !row.leaving_) {
      departed.leaving_.push_back(ToMessage(current->incarnation()));
    }
  }
  if (!departed.leaving_.empty() || !departed.removed_.empty()) {
    mesh_.PublishDeparted(departed);
  }
}

void EndpointList::OnDeparted(const membership::Member& sender,
                              const DepartedMessage& departed) {
  for (const auto& incarnation : departed.leaving_) {
    if (endpoints_.MarkLeaving(ToIncarnation(incarnation))) {
      log_.Write(core::EventNumber::kEndpointLeaving,
                 {{"endpoint", incarnation.id_},
                  {"change", "received"},
                  {"source", sender.id_.value()}});
    }
  }
  // An endpoint that returned is in the next list that is read.
  for (const auto& incarnation : departed.removed_) {
    endpoints_.MarkTerminated(ToIncarnation(incarnation));
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
  for (const auto& member : mesh_.LocalEntries()) {
    readers.push_back(member.id_);
  }
  reader_role_.SetMembers(readers);
  reader_role_.SetDomainsAhead(DomainsAhead());
  return reader_role_.Interval(loop_.Now());
}

}  // namespace chalkwell::daemon::direct
