// Duty and catch-up decide; this carries them out.
#include "daemon/direct/rules_manager.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// How often the duty is looked at: a first read of large rules is left to
/// others within a second tick.
constexpr auto kTick = std::chrono::milliseconds(100);
/// An overdue document is read from the store this often at most.
constexpr auto kReadInterval = std::chrono::milliseconds(1000);
/// Longest wait of a watch that stands for a whole failure domain: its
/// connection may go silent, which shows when the wait is over. With a second
/// watcher it is longer: both go silent at once only when all connections do.
constexpr auto kSoleWait = std::chrono::milliseconds(2000);
constexpr auto kSharedWait = std::chrono::milliseconds(4000);
/// What the duty is about.
constexpr Section kWatched[] = {Section::kRules, Section::kWeights};
constexpr std::string_view kStoreSource = "store";
constexpr std::string_view kPeerSource = "peer";

}  // namespace

RulesManager::RulesManager(Loop& loop, const StoreClient& store,
                           PublishedReader& reader, MeshNode& mesh,
                           EventLog& log, Metrics& metrics, Handler handler)
    : loop_(loop),
      store_(store),
      reader_(reader),
      mesh_(mesh),
      log_(log),
      handler_(std::move(handler)),
      duty_(mesh.self().id_),
      catch_up_(mesh.self().id_),
      exchange_(loop, metrics),
      tick_(loop) {}

void RulesManager::Start() {
  duty_.OnFirstReadStarted(loop_.Now());
  for (const auto section : kWatched) {
    reader_.Watch(section);
  }
  tick_.Every(kTick, [this] { Tick(); });
}

void RulesManager::OnPublished(const StoreSnapshot& published) {
  if (published.rules_) {
    Take(*published.rules_,
         {published.rules_->version_, published.revision_,
          published.encoded_rules_},
         std::string(kStoreSource));
  }
}

void RulesManager::Take(const config::TrafficRules& rules,
                        RulesDocument document, const std::string& source) {
  if (rules.version_ <= version_) {
    return;
  }
  version_ = rules.version_;
  duty_.OnDocumentReceived(document.text_.size());
  catch_up_.OnApplied(version_, loop_.Now());
  if (source != kStoreSource) {
    reader_.AdvanceTo(Section::kRules, document.revision_);
  }
  exchange_.Add(std::move(document));
  handler_(rules, source);
  if (watches_ || source == kStoreSource) {
    mesh_.AnnounceVersions();
  }
}

void RulesManager::OnVersionAnnounced(const membership::Member& member,
                                      std::uint64_t version, bool watches) {
  const auto now = loop_.Now();
  const bool near = member.domain_ == mesh_.self().domain_;
  if (watches && near) {
    duty_.OnWatcherAnnounced(member.id_, now);
  }
  if (version > version_) {
    catch_up_.OnAnnounced({member.id_, near}, version, now);
    CatchUp(now);
  }
}

void RulesManager::Tick() {
  const auto now = loop_.Now();
  FollowDuty(now);
  CatchUp(now);
}

void RulesManager::FollowDuty(core::TimePoint now) {
  std::vector<core::InstanceId> members{mesh_.self().id_};
  const auto neighbours = mesh_.LocalEntries();
  for (const auto& neighbour : neighbours) {
    members.push_back(neighbour.id_);
  }
  duty_.SetMembers(members);
  const bool watches = duty_.IsWatcher(now);
  if (std::exchange(watches_, watches) != watches) {
    log_.Write(core::EventNumber::kWatchDuty,
               {{"watches", watches ? "yes" : "no"},
                {"rules", std::to_string(version_)},
                {"neighbours", std::to_string(neighbours.size())}});
    for (const auto section : kWatched) {
      watches ? reader_.Watch(section) : reader_.Unwatch(section);
    }
    told_at_ = {};
  }
  const bool tells = duty_.MustAnnounce(now);
  const core::Duration longest =
      duty_.WatcherCount(now) == 1 ? kSoleWait : kSharedWait;
  for (const auto section : kWatched) {
    reader_.SetWatchWait(section,
                         tells ? std::min(longest, reader_.default_watch_wait())
                               : reader_.default_watch_wait());
  }
  const auto told = std::max(told_at_, mesh_.last_domain_announcement());
  if (tells && now - told >= duty_.announce_interval()) {
    told_at_ = now;
    mesh_.AnnounceVersions(neighbours);
  }
}

void RulesManager::CatchUp(core::TimePoint now) {
  if (const auto peer = catch_up_.Next(watches_, now)) {
    const auto live = mesh_.LiveMembers();
    const auto found = std::ranges::find(live, *peer, &membership::Member::id_);
    if (found == live.end()) {
      catch_up_.OnPeerLost(*peer);
    } else {
      AskPeer(*found);
    }
  }
  if (catch_up_.IsOverdue(now) && now - read_at_ >= kReadInterval) {
    read_at_ = now;
    reader_.ReadNow(Section::kRules);
  }
}

void RulesManager::AskPeer(const membership::Member& peer) {
  exchange_.Fetch(peer.address_,
                  [this, id = peer.id_](std::optional<RulesDocument> document) {
                    OnAnswer(id, std::move(document));
                  });
}

void RulesManager::OnAnswer(const core::InstanceId& peer,
                            std::optional<RulesDocument> document) {
  const auto now = loop_.Now();
  if (!document) {
    catch_up_.OnFetchEnded(peer, false, now);
    return;
  }
  const auto published = store_.decode_rules_(document->text_);
  const bool helped = published.rules_ && published.rules_->version_ > version_;
  catch_up_.OnFetchEnded(peer, helped, now);
  if (!helped) {
    return;
  }
  log_.Write(core::EventNumber::kLearnedFromPeer,
             {{"peer", peer.value()},
              {"section", "rules"},
              {"revision", std::to_string(document->revision_)}});
  Take(*published.rules_, std::move(*document), std::string(kPeerSource));
}

}  // namespace chalkwell::daemon::direct
