// Carries out the decisions of WatcherRole and RulesPeerSelector.
#include "daemon/direct/rules_manager.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Interval of evaluating the watcher role. It is short, so that the first read
/// of large rules is left to other entries within two intervals.
constexpr auto kRoleCheckInterval = std::chrono::milliseconds(100);
/// Minimum interval between two store reads for an overdue document.
constexpr auto kReadInterval = std::chrono::milliseconds(1000);
/// Maximum wait of a watch on behalf of a whole failure domain. A connection
/// that went silent is noticed only when the wait is over. With a second
/// watcher the wait is longer, since both go silent at once only when all
/// connections do.
constexpr auto kSoleWatcherWait = std::chrono::milliseconds(2000);
constexpr auto kSharedWatcherWait = std::chrono::milliseconds(4000);
constexpr std::string_view kStoreSource = "store";
constexpr std::string_view kPeerSource = "peer";

double ToSeconds(core::Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

RulesManager::RulesManager(Loop& loop, const StoreClient& store,
                           PublishedReader& reader, MeshNode& mesh,
                           EventLog& log, Metrics& metrics, Handler handler)
    : loop_(loop),
      store_(store),
      reader_(reader),
      mesh_(mesh),
      log_(log),
      metrics_(metrics),
      handler_(std::move(handler)),
      watcher_role_(mesh.self().id_),
      peer_selector_(mesh.self().id_),
      exchange_(loop, metrics),
      tick_(loop) {}

void RulesManager::Start(core::Duration first_read_wait) {
  const auto now = loop_.Now();
  watcher_role_.OnFirstReadStarted(now);
  wait_until_ = now + first_read_wait;
  is_watcher_ = first_read_wait <= core::Duration{};
  if (is_watcher_) {
    reader_.Watch(Section::kOperations);
  }
  tick_.Every(kRoleCheckInterval, [this] { Tick(); });
}

void RulesManager::OnPublished(Section section, const StoreSnapshot& snapshot) {
  if (snapshot.rules_) {
    // Receivers of the document continue their watch after its revision. A read
    // of the rules alone, or a truncated one, does not show what else was
    // published until then.
    const bool complete =
        section == Section::kOperations && !snapshot.truncated_;
    const auto revision = complete ? snapshot.revision_ : core::StoreRevision();
    Apply(*snapshot.rules_,
          {snapshot.rules_->version_, revision, snapshot.encoded_rules_},
          config::RulesOrigin::kStore);
  }
}

void RulesManager::Apply(const config::TrafficRules& rules,
                         RulesDocument document, config::RulesOrigin origin) {
  if (rules.version_ <= version_) {
    return;
  }
  max_lag_ = std::max(max_lag_, announced().LagAt(loop_.Now()));
  version_ = rules.version_;
  watcher_role_.OnDocumentReceived(document.text_.size());
  peer_selector_.OnApplied(version_);
  const bool from_store = origin == config::RulesOrigin::kStore;
  if (!from_store) {
    reader_.AdvanceTo(Section::kOperations, document.revision_);
  }
  exchange_.Add(std::move(document));
  handler_(rules, std::string(from_store ? kStoreSource : kPeerSource));
  Announce(origin);
}

void RulesManager::Announce(config::RulesOrigin origin) {
  switch (config::AnnounceScopeOf(origin, is_watcher_)) {
    case config::AnnounceScope::kNone:
      return;
    case config::AnnounceScope::kLocalDomain:
      mesh_.AnnounceVersions(mesh_.LocalEntries());
      return;
    case config::AnnounceScope::kAllDomains:
      mesh_.AnnounceVersions();
      return;
  }
}

void RulesManager::OnVersionAnnounced(const membership::Member& member,
                                      std::uint64_t version, bool watches) {
  const auto now = loop_.Now();
  const bool local = member.domain_ == mesh_.self().domain_;
  if (watches && local) {
    watcher_role_.OnWatcherAnnounced(member.id_, now);
  }
  if (version > version_) {
    peer_selector_.OnAnnounced({member.id_, local}, version, now);
    CatchUp(now);
  }
}

void RulesManager::Tick() {
  const auto now = loop_.Now();
  max_lag_ = std::max(max_lag_, announced().LagAt(now));
  UpdateRole(now);
  CatchUp(now);
}

void RulesManager::UpdateRole(core::TimePoint now) {
  if (version_ == 0 && now < wait_until_) {
    return;
  }
  std::vector<core::InstanceId> members{mesh_.self().id_};
  const auto local_members = mesh_.LocalEntries();
  for (const auto& member : local_members) {
    members.push_back(member.id_);
  }
  watcher_role_.SetMembers(members);
  const bool watches = watcher_role_.IsWatcher(now);
  if (std::exchange(is_watcher_, watches) != watches) {
    log_.Write(core::EventNumber::kWatcherRoleChanged,
               {{"watches", watches ? "yes" : "no"},
                {"rules", std::to_string(version_)},
                {"neighbours", std::to_string(local_members.size())}});
    watches ? reader_.Watch(Section::kOperations)
            : reader_.Unwatch(Section::kOperations);
    announced_at_ = {};
  }
  const bool announces = watcher_role_.MustAnnounce(now);
  const core::Duration max_wait = watcher_role_.WatcherCount(now) == 1
                                      ? kSoleWatcherWait
                                      : kSharedWatcherWait;
  reader_.SetWatchWait(Section::kOperations,
                       announces
                           ? std::min(max_wait, reader_.default_watch_wait())
                           : reader_.default_watch_wait());
  const auto announced =
      std::max(announced_at_, mesh_.last_domain_announcement());
  if (announces && now - announced >= watcher_role_.announce_interval()) {
    announced_at_ = now;
    mesh_.AnnounceVersions(local_members);
  }
}

void RulesManager::CatchUp(core::TimePoint now) {
  if (const auto peer = peer_selector_.Next(is_watcher_, now)) {
    const auto live = mesh_.LiveMembers();
    const auto found = std::ranges::find(live, *peer, &membership::Member::id_);
    if (found == live.end()) {
      peer_selector_.OnPeerLost(*peer);
    } else {
      FetchFromPeer(*found);
    }
  }
  if (peer_selector_.IsOverdue(now, watcher_role_.ReadDelay(now)) &&
      now - read_at_ >= kReadInterval) {
    read_at_ = now;
    reader_.ReadNow(Section::kRules);
  }
}

void RulesManager::RefreshMetrics() {
  const auto lag = announced().LagAt(loop_.Now());
  metrics_.Set("rules_lag_seconds", {}, ToSeconds(lag));
  metrics_.Set("rules_max_lag_seconds", {},
               ToSeconds(std::max(std::exchange(max_lag_, {}), lag)));
}

void RulesManager::FetchFromPeer(const membership::Member& peer) {
  exchange_.Fetch(
      peer.address_,
      [this, peer](std::optional<RulesDocument> document) {
        OnFetched(peer, std::move(document));
      },
      [this, id = peer.id_] {
        // Another peer is asked while this call goes on.
        const auto now = loop_.Now();
        peer_selector_.OnFetchEnded(id, false, now);
        CatchUp(now);
      });
}

void RulesManager::OnFetched(const membership::Member& peer,
                             std::optional<RulesDocument> document) {
  const auto now = loop_.Now();
  if (!document) {
    peer_selector_.OnFetchEnded(peer.id_, false, now);
    return;
  }
  const auto snapshot = store_.decode_rules_(document->text_);
  const bool newer = snapshot.rules_ && snapshot.rules_->version_ > version_;
  peer_selector_.OnFetchEnded(peer.id_, newer, now);
  if (!newer) {
    return;
  }
  log_.Write(core::EventNumber::kLearnedFromPeer,
             {{"peer", peer.id_.value()},
              {"section", "rules"},
              {"revision", std::to_string(document->revision_.number_)}});
  Apply(*snapshot.rules_, std::move(*document),
        peer.domain_ == mesh_.self().domain_
            ? config::RulesOrigin::kLocalPeer
            : config::RulesOrigin::kRemotePeer);
}

}  // namespace chalkwell::daemon::direct
