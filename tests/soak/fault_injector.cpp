// All faults are injected by one thread; later steps are scheduled by time.
#include "soak/fault_injector.hpp"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include "chalkwell/membership/watcher_role.hpp"

namespace chalkwell::soak {
namespace {

constexpr auto kTick = milliseconds(5);
/// An endpoint serves for up to this much longer than the drain bound.
constexpr int kMaxServeAfterDrainMs = 2500;
/// From the stop of an endpoint to the next one at the same address.
constexpr auto kAddressReuseDelay = milliseconds(2000);
/// From the crash of an endpoint to its next incarnation.
constexpr int kMinRestartDelayMs = 1500;
constexpr int kMaxRestartDelayMs = 4500;
constexpr int kRateLimitsPerInjection = 3;
/// Requests per second.
constexpr double kMinRateLimit = 0.5;
constexpr double kMaxRateLimit = 4;
/// Longer than entries have until they must keep a limit.
constexpr int kMinRateLimitMs = 6000;
constexpr int kMaxRateLimitMs = 12000;
constexpr auto kOutageMarkInterval = milliseconds(1000);
constexpr int kRefusingPerInjection = 2;
constexpr int kMinRetryAfterMs = 800;
constexpr int kMaxRetryAfterMs = 4000;
constexpr int kMinRefusingMs = 2000;
constexpr int kMaxRefusingMs = 8000;
/// Share of the endpoints that fail at once.
constexpr double kMinFailingShare = 0.6;
constexpr double kMaxFailingShare = 1;
constexpr int kMinFailingMs = 2000;
constexpr int kMaxFailingMs = 8000;
constexpr int kLeavingPerInjection = 2;
/// Longer than the drain bound.
constexpr int kMinLeavingMs = 4000;
constexpr int kMaxLeavingMs = 7000;
constexpr int kMinSilenceMs = 900;
constexpr int kMaxSilenceMs = 2500;
/// Share of the endpoints that are silent at once, if it is not one.
constexpr double kMinSilentShare = 0.05;
constexpr double kMaxSilentShare = 0.3;
/// A long series of rules, and how long it is probed after its end.
constexpr int kSeriesVersions = 25;
constexpr milliseconds kSeriesInterval(240);
constexpr milliseconds kSeriesDuration = kSeriesInterval * kSeriesVersions;
constexpr milliseconds kProbesAfterSeries(4000);
constexpr int kMinRulesVersions = 3;
constexpr int kMaxRulesVersions = 6;
constexpr int kMinRulesIntervalMs = 200;
constexpr int kMaxRulesIntervalMs = 700;
/// Longer than the drain time in the entries' settings.
constexpr auto kEntryStopTimeout = std::chrono::seconds(9);
constexpr int kMinCopyAgeMs = 1000;
constexpr int kMaxCopyAgeMs = 8000;
constexpr int kMaxRestoringMs = 3000;
/// Writes of others to keys that entries do not read, after the copy.
constexpr std::uint64_t kMaxOtherWrites = 100;
constexpr int kMinWriteAgainMs = 200;
constexpr int kMaxWriteAgainMs = 1200;
/// From the return of the store to the next copy; longer than the checker
/// remembers a disturbance, so that it checks in between.
constexpr auto kRestoredInterval = milliseconds(10'000);

}  // namespace

FaultInjector::FaultInjector(FaultSettings settings, Deployment& deployment,
                             Callers& callers, Checker& checker)
    : settings_(std::move(settings)),
      deployment_(deployment),
      callers_(callers),
      checker_(checker),
      random_(settings_.seed_),
      foreign_writer_(settings_.seed_, deployment.store()) {
  AddDepartures();
  AddDisturbances();
}

void FaultInjector::AddDepartures() {
  departure_kinds_ = {{"drain", [this] { DepartRandom(true, false); }},
                      {"vanish", [this] { DepartRandom(false, false); }},
                      {"reborn", [this] { DepartRandom(true, true); }},
                      {"lapse", [this] { RemoveAndRelist(); }},
                      {"leave-held", [this] { DepartWithHeldPath(); }}};
}

void FaultInjector::AddDisturbances() {
  disturbance_kinds_ = {
      {"freeze",
       [this] {
         if (auto* entry = PickRunningEntry()) {
           Freeze(*entry);
         }
       }},
      {"suspend",
       [this] {
         if (auto* entry = PickRunningEntry()) {
           Suspend(*entry);
         }
       }},
      {"crashing-request", [this] { CrashEndpoints(Callers::Cause::kBody); }},
      {"crashing-prompt-part",
       [this] { CrashEndpoints(Callers::Cause::kPromptPart); }},
      {"freeze-domain", [this] { FreezeDomain(); }},
      {"kill", [this] { RestartEntry(SIGKILL); }},
      {"stop", [this] { RestartEntry(SIGTERM); }},
      {"store-held", [this] { HoldStorePath(fleet::Direction::kBoth); }},
      {"store-held-back",
       [this] { HoldStorePath(fleet::Direction::kFromTarget); }},
      {"path-held", [this] { HoldEndpointPath(fleet::Direction::kBoth); }},
      {"path-held-back",
       [this] { HoldEndpointPath(fleet::Direction::kFromTarget); }},
      {"path-reset", [this] { ResetEndpointConnections(); }},
      {"truncated-streams", [this] { TruncateStreams(); }},
      {"rate-limits", [this] { StateRateLimits(); }},
      {"refuse-retry-after", [this] { RefuseForAWhile(); }},
      {"failing-endpoints", [this] { FailRequests(); }},
      {"kill-herd", [this] { KillHerd(); }},
      {"states-leaving", [this] { StateLeaving(); }},
      {"silent-endpoints", [this] { SilenceEndpoints(); }},
      {"config-changes", [this] { ChangeRules(); }},
      {"config-series", [this] { ChangeRulesInSeries(); }},
      {"store-fails-some",
       [this] { RejectStoreCalls(150, DrawBetween(2000, 8000)); }},
      {"store-down",
       [this] { RejectStoreCalls(1000, DrawBetween(500, 3000)); }},
      {"store-slow", [this] { DelayStore(); }},
      {"store-restored", [this] { RestoreStore(); }}};
  if (!settings_.only_kinds_.empty()) {
    std::erase_if(disturbance_kinds_, [this](const Kind& kind) {
      return ("," + settings_.only_kinds_ + ",").find("," + kind.name_ + ",") ==
             std::string::npos;
    });
  }
}

milliseconds FaultInjector::DrawBetween(int least, int most) {
  return milliseconds(std::uniform_int_distribution(least, most)(random_));
}

milliseconds FaultInjector::DrawInterval(milliseconds mean) {
  const double interval = std::exponential_distribution<>(
      1.0 / static_cast<double>(mean.count()))(random_);
  return milliseconds(static_cast<int>(interval));
}

void FaultInjector::Schedule(milliseconds delay, Action action) {
  scheduled_.emplace(std::chrono::steady_clock::now() + delay,
                     std::move(action));
}

void FaultInjector::InjectRandom(const std::vector<Kind>& kinds) {
  if (kinds.empty()) {
    return;
  }
  const auto& kind = kinds[random_() % kinds.size()];
  ++injected_[kind.name_];
  kind.inject_();
}

void FaultInjector::Run() {
  const auto end = std::chrono::steady_clock::now() + settings_.duration_;
  auto departure = std::chrono::steady_clock::now();
  auto disturbance =
      departure + DrawInterval(settings_.mean_disturbance_interval_);
  while (std::chrono::steady_clock::now() < end) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= departure) {
      InjectRandom(departure_kinds_);
      departure = now + DrawInterval(settings_.mean_departure_interval_);
    }
    if (now >= disturbance) {
      InjectRandom(disturbance_kinds_);
      disturbance = now + DrawInterval(settings_.mean_disturbance_interval_);
    }
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
      const auto action = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      action();
    }
    foreign_writer_.Tick(now);
    RestartCrashed();
    std::this_thread::sleep_for(kTick);
  }
  for (auto& entry : deployment_.entries()) {
    entry.child_.Signal(SIGCONT);
  }
  // Actions that are still scheduled do not run any more.
  for (auto& host : deployment_.hosts()) {
    host.endpoint_->SetStreamForm({}, {});
  }
  deployment_.relay().Heal();
}

EndpointHost* FaultInjector::PickIdleHost() {
  auto& hosts = deployment_.hosts();
  // Limits departures, so that each service keeps enough endpoints.
  std::map<std::string, std::size_t> away;
  for (const auto& [host, busy] : busy_) {
    away[host->service_] += busy ? 1 : 0;
  }
  auto& host = hosts[random_() % hosts.size()];
  const std::size_t max_away = host.is_engine_ ? 12 : 2;
  const bool idle = !busy_[&host] && away[host.service_] < max_away;
  return idle ? &host : nullptr;
}

void FaultInjector::DepartRandom(bool announces, bool same_id) {
  if (auto* host = PickIdleHost()) {
    Depart(*host, announces, same_id);
  }
}

void FaultInjector::Depart(EndpointHost& host, bool announces, bool same_id) {
  busy_[&host] = true;
  const auto id = host.endpoint_->id();
  if (announces) {
    deployment_.PutRow(host, "draining");
  } else {
    deployment_.RemoveRow(host);
  }
  checker_.OnDepartureAcknowledged(id);
  const auto serve_time = deployment_.settings().bounds_.drain_ +
                          DrawBetween(0, kMaxServeAfterDrainMs);
  Schedule(serve_time, [this, &host, announces, same_id] {
    if (announces) {
      deployment_.RemoveRow(host);
    }
    StopThenRestart(host, same_id);
  });
}

// What is sent on a held path arrives only when the path is released, long
// after the departure.
void FaultInjector::DepartWithHeldPath() {
  auto* host = PickIdleHost();
  if (host == nullptr || !host->relayed_) {
    return;
  }
  // Keeps other departures from choosing it before it departs.
  busy_[host] = true;
  HoldPath(*host, fleet::Direction::kBoth, DrawBetween(2000, 2800));
  Schedule(DrawBetween(0, 300), [this, host] { Depart(*host, true, false); });
}

void FaultInjector::StopThenRestart(EndpointHost& host, bool same_id) {
  checker_.OnBreaks(host.endpoint_->id(), milliseconds(0));
  host.endpoint_->Stop();
  Schedule(kAddressReuseDelay, [this, &host, same_id] {
    host.endpoint_->SetVersion(host.is_engine_ ? 1 : 0);
    host.endpoint_->Start();
    deployment_.StartIncarnation(host, same_id);
    busy_[&host] = false;
  });
}

void FaultInjector::RemoveAndRelist() {
  auto* host = PickIdleHost();
  if (host == nullptr) {
    return;
  }
  busy_[host] = true;
  const auto id = host->endpoint_->id();
  deployment_.RemoveRow(*host);
  checker_.OnDepartureAcknowledged(id);
  Schedule(DrawBetween(500, 4000), [this, host, id] {
    checker_.OnListed(id);
    deployment_.PutRow(*host, "ready");
    busy_[host] = false;
  });
}

Entry* FaultInjector::PickRunningEntry() {
  auto& entries = deployment_.entries();
  auto& entry = entries[random_() % entries.size()];
  return entry.stopped_ ? nullptr : &entry;
}

void FaultInjector::Freeze(Entry& entry) {
  PauseEntry(entry, false, DrawBetween(300, 4000));
}

void FaultInjector::Suspend(Entry& entry) {
  PauseEntry(entry, true, DrawBetween(300, 4000));
}

void FaultInjector::PauseEntry(Entry& entry, bool suspended,
                               milliseconds duration) {
  entry.stopped_ = true;
  MarkDisturbed(entry, duration);
  entry.child_.Signal(SIGSTOP);
  Schedule(duration, [this, &entry, suspended, duration] {
    if (suspended) {
      entry.suspension_->AddSuspendedTime(duration);
    }
    entry.child_.Signal(SIGCONT);
    entry.stopped_ = false;
    checker_.OnDisturbed(entry.name_);
  });
}

void FaultInjector::CrashEndpoints(Callers::Cause cause) {
  callers_.StartCrashingSeries(cause, DrawBetween(4000, 9000));
}

void FaultInjector::RestartCrashed() {
  for (auto* host : deployment_.TakeCrashed()) {
    Schedule(DrawBetween(kMinRestartDelayMs, kMaxRestartDelayMs),
             [this, host] { RestartAfterCrash(*host); });
  }
}

void FaultInjector::RestartAfterCrash(EndpointHost& host) {
  if (busy_[&host]) {
    // It was departing, which may start its next incarnation already.
    Schedule(milliseconds(kMinRestartDelayMs),
             [this, &host] { RestartAfterCrash(host); });
    return;
  }
  if (!host.endpoint_->running()) {
    deployment_.RemoveRow(host);
    host.endpoint_->SetVersion(host.is_engine_ ? 1 : 0);
    host.endpoint_->Start();
    deployment_.StartIncarnation(host, false);
  }
}

void FaultInjector::FreezeDomain() {
  const auto* first = PickRunningEntry();
  if (first == nullptr) {
    return;
  }
  for (auto& entry : deployment_.entries()) {
    if (entry.domain_ == first->domain_ && !entry.stopped_ &&
        random_() % 2 == 0) {
      Freeze(entry);
    }
  }
}

void FaultInjector::RestartEntry(int signal) {
  auto* entry = PickRunningEntry();
  if (entry == nullptr) {
    return;
  }
  entry->stopped_ = true;
  deployment_.CollectMetrics(*entry);
  checker_.OnDisturbed(entry->name_);
  entry->child_.Signal(signal);
  const auto restart_delay = signal == SIGKILL
                                 ? DrawBetween(50, 1500)
                                 : std::chrono::milliseconds(kEntryStopTimeout);
  Schedule(restart_delay, [this, entry] {
    entry->child_.Kill();
    deployment_.StartEntry(*entry);
    checker_.OnDisturbed(entry->name_);
  });
}

void FaultInjector::HoldStorePath(fleet::Direction direction) {
  auto* entry = PickRunningEntry();
  if (entry == nullptr) {
    return;
  }
  checker_.OnDisturbed(entry->name_);
  deployment_.relay().Hold(entry->store_address_, direction);
  Schedule(DrawBetween(300, 4000), [this, entry] {
    deployment_.relay().Release(entry->store_address_);
    checker_.OnDisturbed(entry->name_);
  });
}

void FaultInjector::HoldEndpointPath(fleet::Direction direction) {
  std::vector<EndpointHost*> relayed;
  for (auto& host : deployment_.hosts()) {
    if (host.relayed_) {
      relayed.push_back(&host);
    }
  }
  HoldPath(*relayed[random_() % relayed.size()], direction,
           DrawBetween(500, 2800));
}

// On a real path, the sender's operating system gives up a hold of more than
// 3 s; the relay cannot reproduce that, so holds are shorter.
void FaultInjector::HoldPath(EndpointHost& host, fleet::Direction direction,
                             milliseconds duration) {
  const auto id = host.endpoint_->id();
  checker_.OnPathHeld(id);
  checker_.OnBreaks(id, duration);
  deployment_.relay().Hold(host.address_, direction);
  Schedule(duration, [this, &host, id] {
    deployment_.relay().Release(host.address_);
    checker_.OnPathReleased(id);
  });
}

void FaultInjector::ResetEndpointConnections() {
  for (auto& host : deployment_.hosts()) {
    if (host.relayed_ && random_() % 4 == 0) {
      checker_.OnBreaks(host.endpoint_->id(), milliseconds(0));
      deployment_.relay().ResetAll(host.address_);
    }
  }
}

void FaultInjector::TruncateStreams() {
  using standins::Framing;
  using standins::StreamCut;
  const auto duration = DrawBetween(500, 4000);
  for (auto& host : deployment_.hosts()) {
    if (random_() % 3 != 0) {
      continue;
    }
    const auto cut = random_() % 2 == 0 ? StreamCut::kInsideEvent
                                        : StreamCut::kBetweenEvents;
    checker_.OnBreaks(host.endpoint_->id(), duration);
    host.endpoint_->SetStreamForm({Framing::kConnectionEnd, cut},
                                  {Framing::kConnectionEnd, StreamCut::kNone});
    Schedule(duration, [&host] { host.endpoint_->SetStreamForm({}, {}); });
  }
}

void FaultInjector::StateRateLimits() {
  for (int i = 0; i < kRateLimitsPerInjection; ++i) {
    auto* host = PickIdleHost();
    if (host != nullptr && host->is_engine_) {
      StateRateLimit(*host);
    }
  }
}

void FaultInjector::StateRateLimit(EndpointHost& host) {
  busy_[&host] = true;
  const auto id = host.endpoint_->id();
  const double per_second =
      std::uniform_real_distribution(kMinRateLimit, kMaxRateLimit)(random_);
  host.endpoint_->SetRateLimit(std::to_string(per_second));
  checker_.OnRateLimit(id, per_second);
  Schedule(DrawBetween(kMinRateLimitMs, kMaxRateLimitMs), [this, &host, id] {
    host.endpoint_->SetRateLimit("");
    checker_.OnRateLimit(id, 0);
    busy_[&host] = false;
  });
}

void FaultInjector::RefuseForAWhile() {
  for (int i = 0; i < kRefusingPerInjection; ++i) {
    auto* host = PickIdleHost();
    if (host == nullptr) {
      continue;
    }
    busy_[host] = true;
    const auto id = host->endpoint_->id();
    const auto time = DrawBetween(kMinRetryAfterMs, kMaxRetryAfterMs);
    const std::chrono::duration<double> seconds = time;
    host->endpoint_->SetRetryAfter(std::to_string(seconds.count()));
    host->endpoint_->SetBehaviour(standins::Behaviour::kShed);
    checker_.OnRefusing(id, time);
    Schedule(DrawBetween(kMinRefusingMs, kMaxRefusingMs), [this, host, id] {
      host->endpoint_->SetBehaviour(standins::Behaviour::kServe);
      host->endpoint_->SetRetryAfter("");
      checker_.OnRefusing(id, milliseconds(0));
      busy_[host] = false;
    });
  }
}

void FaultInjector::FailRequests() {
  const double share = std::uniform_real_distribution(
      kMinFailingShare, kMaxFailingShare)(random_);
  for (auto& host : deployment_.hosts()) {
    const bool fails = std::bernoulli_distribution(share)(random_);
    if (!fails || busy_[&host]) {
      continue;
    }
    busy_[&host] = true;
    host.endpoint_->SetBehaviour(standins::Behaviour::kFail);
    Schedule(DrawBetween(kMinFailingMs, kMaxFailingMs), [this, &host] {
      host.endpoint_->SetBehaviour(standins::Behaviour::kServe);
      busy_[&host] = false;
    });
  }
}

void FaultInjector::KillHerd() {
  // Some are drawn twice and do not run any more.
  const auto entries = deployment_.entries().size();
  for (std::size_t i = 0; i < entries; ++i) {
    RestartEntry(SIGKILL);
  }
}

void FaultInjector::SilenceEndpoints() {
  const double share =
      std::uniform_real_distribution(kMinSilentShare, kMaxSilentShare)(random_);
  const auto hosts = static_cast<double>(deployment_.hosts().size());
  const int count = random_() % 2 == 0 ? 1 : static_cast<int>(share * hosts);
  for (int i = 0; i < count; ++i) {
    if (auto* host = PickIdleHost()) {
      Silence(*host);
    }
  }
}

void FaultInjector::Silence(EndpointHost& host) {
  busy_[&host] = true;
  const auto duration = DrawBetween(kMinSilenceMs, kMaxSilenceMs);
  if (host.is_engine_ && random_() % 4 != 0) {
    host.endpoint_->SetSilence({random_() % standins::kStreamEvents, duration});
  } else {
    host.endpoint_->SetRunDelay(duration);
  }
  Schedule(duration, [this, &host] {
    host.endpoint_->SetSilence({});
    host.endpoint_->SetRunDelay(kEndpointRunDelay);
    busy_[&host] = false;
  });
}

void FaultInjector::ChangeRules() {
  milliseconds at(0);
  for (auto i = DrawBetween(kMinRulesVersions, kMaxRulesVersions).count();
       i > 0; --i) {
    Schedule(at, [this] { deployment_.ChangeRules(); });
    at += DrawBetween(kMinRulesIntervalMs, kMaxRulesIntervalMs);
  }
}

void FaultInjector::ChangeRulesInSeries() {
  if (std::exchange(in_series_, true)) {
    return;
  }
  auto& entries = deployment_.entries();
  const auto domain = entries[random_() % entries.size()].domain_;
  std::vector<core::InstanceId> members;
  for (const auto& entry : entries) {
    if (entry.domain_ == domain) {
      members.emplace_back(entry.name_);
    }
  }
  const auto watchers = membership::WatcherRole::FirstInRank(
      members, membership::kWatchersPerDomain);
  const bool freezes = random_() % 2 == 0;
  for (auto& entry : entries) {
    if (entry.stopped_ ||
        std::ranges::find(watchers, core::InstanceId(entry.name_)) ==
            watchers.end()) {
      continue;
    }
    if (freezes) {
      PauseEntry(entry, false, kSeriesDuration);
    } else {
      HoldStorePathOf(entry, kSeriesDuration);
    }
  }
  for (int i = 0; i < kSeriesVersions; ++i) {
    Schedule(kSeriesInterval * i, [this] { deployment_.ChangeRules(); });
  }
  callers_.ProbeRules(kSeriesDuration + kProbesAfterSeries);
  Schedule(kSeriesDuration + kProbesAfterSeries,
           [this] { in_series_ = false; });
}

void FaultInjector::MarkDisturbed(const Entry& entry, milliseconds duration) {
  checker_.OnDisturbed(entry.name_);
  for (auto at = kOutageMarkInterval; at < duration;
       at += kOutageMarkInterval) {
    Schedule(at, [this, &entry] { checker_.OnDisturbed(entry.name_); });
  }
}

void FaultInjector::HoldStorePathOf(Entry& entry, milliseconds duration) {
  deployment_.relay().Hold(entry.store_address_, fleet::Direction::kBoth);
  MarkDisturbed(entry, duration);
  Schedule(duration, [this, &entry] {
    deployment_.relay().Release(entry.store_address_);
    checker_.OnDisturbed(entry.name_);
  });
}

void FaultInjector::StateLeaving() {
  const auto duration = DrawBetween(kMinLeavingMs, kMaxLeavingMs);
  for (int i = 0; i < kLeavingPerInjection; ++i) {
    auto* host = PickIdleHost();
    if (host == nullptr) {
      continue;
    }
    busy_[host] = true;
    host->endpoint_->SetStatesLeaving(true);
    checker_.OnStatesLeaving(host->endpoint_->id());
    Schedule(duration, [this, host, same_id = random_() % 2 == 0] {
      Depart(*host, true, same_id);
    });
  }
  RejectStoreCalls(1000, duration);
}

// A store that rejects only some calls does not count as a disturbance.
void FaultInjector::RejectStoreCalls(unsigned per_mille,
                                     milliseconds duration) {
  deployment_.store().SetRejectedPerMille(per_mille);
  const bool down = per_mille == 1000;
  // An outage may last longer than the checker remembers a disturbance.
  for (milliseconds at(0); down && at < duration; at += kOutageMarkInterval) {
    Schedule(at, [this] { checker_.OnDisturbed(""); });
  }
  Schedule(duration, [this, down] {
    deployment_.store().SetRejectedPerMille(0);
    if (down) {
      checker_.OnDisturbed("");
    }
  });
}

void FaultInjector::DelayStore() {
  deployment_.store().SetDelay(DrawBetween(100, 300));
  checker_.OnDisturbed("");
  Schedule(DrawBetween(1000, 5000), [this] {
    deployment_.store().SetDelay(milliseconds(0));
    checker_.OnDisturbed("");
  });
}

void FaultInjector::RestoreStore() {
  if (std::exchange(restoring_store_, true)) {
    return;
  }
  deployment_.store().SaveCopy();
  // The entries read the revision that these raise before the outage.
  for (auto count = random_() % kMaxOtherWrites; count > 0; --count) {
    deployment_.store().Put("other", count);
  }
  const auto outage = DrawBetween(kMinCopyAgeMs, kMaxCopyAgeMs);
  const auto restored = outage + DrawBetween(0, kMaxRestoringMs);
  const auto written_again = restored + milliseconds(kMaxWriteAgainMs);
  Schedule(outage, [this] { deployment_.store().SetBusy(true); });
  for (auto at = outage; at < written_again; at += kOutageMarkInterval) {
    Schedule(at, [this] { checker_.OnDisturbed(""); });
  }
  Schedule(restored, [this] {
    deployment_.store().RestoreCopy();
    deployment_.store().SetBusy(false);
    WriteLostValuesAgain();
  });
  Schedule(written_again, [this] { checker_.OnDisturbed(""); });
  Schedule(restored + kRestoredInterval, [this] { restoring_store_ = false; });
}

void FaultInjector::WriteLostValuesAgain() {
  for (const auto& key : deployment_.WrittenKeys()) {
    Schedule(DrawBetween(kMinWriteAgainMs, kMaxWriteAgainMs),
             [this, key] { deployment_.WriteAgain(key); });
  }
}

}  // namespace chalkwell::soak
