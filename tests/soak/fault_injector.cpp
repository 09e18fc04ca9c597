// One thread acts; what is due later waits in a queue.
#include "soak/troubles.hpp"

#include <csignal>
#include <thread>
#include <utility>

namespace chalkwell::soak {
namespace {

constexpr auto kTick = milliseconds(5);
/// Endpoints go on serving for so long after the bound, at the most.
constexpr int kServeOnMs = 2500;
/// An address is used again no sooner than this.
constexpr auto kReuse = milliseconds(2000);
/// An endpoint that crashed is back after some seconds.
constexpr int kLeastRevivalMs = 1500;
constexpr int kMostRevivalMs = 4500;
/// A planned stop of an entry takes no longer.
constexpr auto kGrace = std::chrono::seconds(9);

}  // namespace

Troubles::Troubles(TroubleSettings settings, World& world, Callers& callers,
                   Judge& judge)
    : settings_(std::move(settings)),
      world_(world),
      callers_(callers),
      judge_(judge),
      random_(settings_.seed_) {
  AddDepartures();
  AddDisturbances();
}

void Troubles::AddDepartures() {
  departures_ = {{"drain", [this] { Leave(true, false); }},
                 {"vanish", [this] { Leave(false, false); }},
                 {"reborn", [this] { Leave(true, true); }},
                 {"lapse", [this] { Lapse(); }},
                 {"leave-held", [this] { LeaveHeld(); }}};
}

void Troubles::AddDisturbances() {
  disturbances_ = {
      {"freeze",
       [this] {
         if (auto* entry = Running()) {
           Freeze(*entry);
         }
       }},
      {"suspend",
       [this] {
         if (auto* entry = Running()) {
           Suspend(*entry);
         }
       }},
      {"crashing-request", [this] { CrashEndpoints(); }},
      {"freeze-domain", [this] { FreezeDomain(); }},
      {"kill", [this] { Restart(SIGKILL); }},
      {"stop", [this] { Restart(SIGTERM); }},
      {"store-held", [this] { HoldStore(fleet::Way::kBoth); }},
      {"store-held-back", [this] { HoldStore(fleet::Way::kBack); }},
      {"path-held", [this] { HoldEndpoint(fleet::Way::kBoth); }},
      {"path-held-back", [this] { HoldEndpoint(fleet::Way::kBack); }},
      {"path-reset", [this] { ResetEndpoint(); }},
      {"store-fails-some", [this] { StoreBusy(150, Between(2000, 8000)); }},
      {"store-down", [this] { StoreBusy(1000, Between(500, 3000)); }},
      {"store-slow", [this] { StoreSlow(); }}};
  if (!settings_.only_.empty()) {
    std::erase_if(disturbances_, [this](const Kind& kind) {
      return ("," + settings_.only_ + ",").find("," + kind.name_ + ",") ==
             std::string::npos;
    });
  }
}

milliseconds Troubles::Between(int least, int most) {
  return milliseconds(std::uniform_int_distribution(least, most)(random_));
}

milliseconds Troubles::Pause(milliseconds mean) {
  const double draw = std::exponential_distribution<>(
      1.0 / static_cast<double>(mean.count()))(random_);
  return milliseconds(static_cast<int>(draw));
}

void Troubles::Later(milliseconds delay, Action action) {
  due_.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
}

void Troubles::Begin(const std::vector<Kind>& kinds) {
  if (kinds.empty()) {
    return;
  }
  const auto& kind = kinds[random_() % kinds.size()];
  ++played_[kind.name_];
  kind.begin_();
}

void Troubles::Play() {
  const auto end = std::chrono::steady_clock::now() + settings_.length_;
  auto departure = std::chrono::steady_clock::now();
  auto disturbance = departure + Pause(settings_.disturbances_);
  while (std::chrono::steady_clock::now() < end) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= departure) {
      Begin(departures_);
      departure = now + Pause(settings_.departures_);
    }
    if (now >= disturbance) {
      Begin(disturbances_);
      disturbance = now + Pause(settings_.disturbances_);
    }
    while (!due_.empty() && due_.begin()->first <= now) {
      const auto action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
    }
    ReviveCrashed();
    std::this_thread::sleep_for(kTick);
  }
  for (auto& entry : world_.entries()) {
    entry.child_.Signal(SIGCONT);
  }
  world_.relay().Heal();
}

Place* Troubles::Settled() {
  auto& places = world_.places();
  // Most places of a service stay, so that it can be served.
  std::map<std::string, std::size_t> away;
  for (const auto& [place, busy] : busy_) {
    away[place->service_] += busy ? 1 : 0;
  }
  auto& place = places[random_() % places.size()];
  const std::size_t most = place.engine_ ? 12 : 2;
  const bool settled = !busy_[&place] && away[place.service_] < most;
  return settled ? &place : nullptr;
}

void Troubles::Leave(bool says, bool same_id) {
  if (auto* place = Settled()) {
    Depart(*place, says, same_id);
  }
}

void Troubles::Depart(Place& place, bool says, bool same_id) {
  busy_[&place] = true;
  const auto id = place.endpoint_->id();
  if (says) {
    world_.PutRow(place, "draining");
  } else {
    world_.RemoveRow(place);
  }
  judge_.OnLeft(id);
  const auto serves = world_.settings().bounds_.drain_ + Between(0, kServeOnMs);
  Later(serves, [this, &place, says, same_id] {
    if (says) {
      world_.RemoveRow(place);
    }
    EndLife(place, same_id);
  });
}

// The path falls silent as the endpoint leaves: what is on it then may come out
// at the other end much later.
void Troubles::LeaveHeld() {
  auto* place = Settled();
  if (place == nullptr || !place->relayed_) {
    return;
  }
  // Until it departs, no other departure may choose it.
  busy_[place] = true;
  Hold(*place, fleet::Way::kBoth, Between(2000, 2800));
  Later(Between(0, 300), [this, place] { Depart(*place, true, false); });
}

void Troubles::EndLife(Place& place, bool same_id) {
  place.endpoint_->Stop();
  Later(kReuse, [this, &place, same_id] {
    place.endpoint_->SetVersion(place.engine_ ? 1 : 0);
    place.endpoint_->Start();
    world_.BeginLife(place, same_id);
    busy_[&place] = false;
  });
}

void Troubles::Lapse() {
  auto* place = Settled();
  if (place == nullptr) {
    return;
  }
  busy_[place] = true;
  const auto id = place->endpoint_->id();
  world_.RemoveRow(*place);
  judge_.OnLeft(id);
  Later(Between(500, 4000), [this, place, id] {
    judge_.OnBack(id);
    world_.PutRow(*place, "ready");
    busy_[place] = false;
  });
}

Entry* Troubles::Running() {
  auto& entries = world_.entries();
  auto& entry = entries[random_() % entries.size()];
  return entry.stopped_ ? nullptr : &entry;
}

void Troubles::Freeze(Entry& entry) { Pause(entry, false); }

void Troubles::Suspend(Entry& entry) { Pause(entry, true); }

void Troubles::Pause(Entry& entry, bool suspended) {
  entry.stopped_ = true;
  judge_.OnDisturbed(entry.name_);
  entry.child_.Signal(SIGSTOP);
  const auto length = Between(300, 4000);
  Later(length, [this, &entry, suspended, length] {
    if (suspended) {
      entry.clocks_->Add(length);
    }
    entry.child_.Signal(SIGCONT);
    entry.stopped_ = false;
    judge_.OnDisturbed(entry.name_);
  });
}

void Troubles::CrashEndpoints() { callers_.BeginCrashing(Between(4000, 9000)); }

void Troubles::ReviveCrashed() {
  for (auto* place : world_.TakeCrashed()) {
    Later(Between(kLeastRevivalMs, kMostRevivalMs),
          [this, place] { Revive(*place); });
  }
}

void Troubles::Revive(Place& place) {
  if (busy_[&place]) {
    // It was leaving: its next life may begin with that.
    Later(milliseconds(kLeastRevivalMs), [this, &place] { Revive(place); });
    return;
  }
  if (!place.endpoint_->running()) {
    world_.RemoveRow(place);
    place.endpoint_->SetVersion(place.engine_ ? 1 : 0);
    place.endpoint_->Start();
    world_.BeginLife(place, false);
  }
}

void Troubles::FreezeDomain() {
  const auto* first = Running();
  if (first == nullptr) {
    return;
  }
  for (auto& entry : world_.entries()) {
    if (entry.domain_ == first->domain_ && !entry.stopped_ &&
        random_() % 2 == 0) {
      Freeze(entry);
    }
  }
}

void Troubles::Restart(int signal) {
  auto* entry = Running();
  if (entry == nullptr) {
    return;
  }
  entry->stopped_ = true;
  judge_.OnDisturbed(entry->name_);
  entry->child_.Signal(signal);
  const auto wait =
      signal == SIGKILL ? Between(50, 1500) : std::chrono::milliseconds(kGrace);
  Later(wait, [this, entry] {
    entry->child_.Kill();
    world_.StartEntry(*entry);
    judge_.OnDisturbed(entry->name_);
  });
}

void Troubles::HoldStore(fleet::Way way) {
  auto* entry = Running();
  if (entry == nullptr) {
    return;
  }
  judge_.OnDisturbed(entry->name_);
  world_.relay().Silence(entry->store_, way);
  Later(Between(300, 4000), [this, entry] {
    world_.relay().Restore(entry->store_);
    judge_.OnDisturbed(entry->name_);
  });
}

void Troubles::HoldEndpoint(fleet::Way way) {
  std::vector<Place*> relayed;
  for (auto& place : world_.places()) {
    if (place.relayed_) {
      relayed.push_back(&place);
    }
  }
  Hold(*relayed[random_() % relayed.size()], way, Between(500, 2800));
}

// Holds of over 3 s the sender's system gives up by itself; no relay shows
// that.
void Troubles::Hold(Place& place, fleet::Way way, milliseconds length) {
  const auto id = place.endpoint_->id();
  judge_.OnPathHeld(id);
  world_.relay().Silence(place.address_, way);
  Later(length, [this, &place, id] {
    world_.relay().Restore(place.address_);
    judge_.OnPathBack(id);
  });
}

void Troubles::ResetEndpoint() {
  for (auto& place : world_.places()) {
    if (place.relayed_ && random_() % 4 == 0) {
      world_.relay().ResetAll(place.address_);
    }
  }
}

// While the store fails some calls only, it is judged as if it were calm.
void Troubles::StoreBusy(unsigned per_mille, milliseconds length) {
  world_.store().SetBusyShare(per_mille);
  const bool down = per_mille == 1000;
  if (down) {
    judge_.OnDisturbed("");
  }
  Later(length, [this, down] {
    world_.store().SetBusyShare(0);
    if (down) {
      judge_.OnDisturbed("");
    }
  });
}

void Troubles::StoreSlow() {
  world_.store().SetDelay(Between(100, 300));
  judge_.OnDisturbed("");
  Later(Between(1000, 5000), [this] {
    world_.store().SetDelay(milliseconds(0));
    judge_.OnDisturbed("");
  });
}

}  // namespace chalkwell::soak
