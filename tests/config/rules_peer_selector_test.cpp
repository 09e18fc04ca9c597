// Selection of the peer from which newer rules are fetched.
#include "chalkwell/config/rules_peer_selector.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chalkwell::config {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const core::InstanceId kSelf("self");
const RulesSource kLocal{core::InstanceId("near"), true};
const RulesSource kRemote{core::InstanceId("far"), false};

TEST_CASE("when newer rules are requested from a peer", "[config]") {
  struct Row {
    std::string name_;
    RulesSource source_;
    bool watches_;
    core::Duration after_;
    bool requested_;
  };
  const RulesPeerSelectorSettings settings;
  const auto row = GENERATE_COPY(
      Row{"local peer, by a process without a watch", kLocal, false, 0ms, true},
      Row{"local peer, while the own watch may still deliver", kLocal, true,
          settings.watch_delay_ - 1ms, false},
      Row{"local peer, after the own watch did not deliver", kLocal, true,
          settings.watch_delay_, true},
      Row{"remote peer, while a local peer may soon have the rules", kRemote,
          false, settings.remote_delay_ - 1ms, false},
      Row{"remote peer, when no local peer has the rules", kRemote, false,
          settings.remote_delay_, true},
      Row{"remote peer, by a process with a watch", kRemote, true,
          settings.watch_delay_, true});
  CAPTURE(row.name_);
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnApplied(3);
  catch_up.OnAnnounced(row.source_, 4, kStart);
  CHECK(catch_up.Next(row.watches_, kStart + row.after_).has_value() ==
        row.requested_);
}

TEST_CASE("a known version is requested from no peer", "[config]") {
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnApplied(4);
  catch_up.OnAnnounced(kLocal, 4, kStart);
  CHECK_FALSE(catch_up.Next(false, kStart + 1s));
  CHECK_FALSE(catch_up.IsOverdue(kStart + 1h));
  catch_up.OnAnnounced(kLocal, 5, kStart);
  catch_up.OnApplied(5);
  CHECK_FALSE(catch_up.Next(false, kStart + 1s));
  CHECK_FALSE(catch_up.IsOverdue(kStart + 1h));
}

TEST_CASE("one peer at a time is sent a request, a local one first",
          "[config]") {
  // The newest version has only just been announced.
  const auto now = kStart + RulesPeerSelectorSettings{}.watch_delay_;
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnAnnounced(kRemote, 5, kStart);
  catch_up.OnAnnounced(kLocal, 4, kStart);
  CHECK(catch_up.Next(true, now) == kLocal.id_);
  CHECK_FALSE(catch_up.Next(true, now));
  catch_up.OnFetchEnded(kLocal.id_, true, now);
  catch_up.OnApplied(4);
  CHECK(catch_up.Next(true, now) == kRemote.id_);
}

TEST_CASE("a local peer that is behind goes before a remote one that is not",
          "[config]") {
  const RulesPeerSelectorSettings settings;
  struct Row {
    std::string name_;
    /// Versions that the peers announced.
    std::uint64_t local_;
    std::uint64_t remote_;
    /// Time since the newest version was announced.
    core::Duration known_for_;
    core::InstanceId selected_;
  };
  const auto row = GENERATE_COPY(
      Row{"both have the newest", 20, 20, 2 * settings.remote_delay_,
          kLocal.id_},
      Row{"the local one is behind, the newest has just been announced", 10, 20,
          settings.remote_delay_ - 1ms, kLocal.id_},
      Row{"the local one is behind for long", 10, 20, settings.remote_delay_,
          kRemote.id_},
      Row{"the remote one is behind", 20, 10, 2 * settings.remote_delay_,
          kLocal.id_});
  CAPTURE(row.name_);
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnApplied(9);
  // Both sources are old enough to be asked; the newest version may not be.
  const auto now = kStart + 10s;
  const auto newest = std::max(row.local_, row.remote_);
  catch_up.OnAnnounced(kRemote, 10, kStart);
  catch_up.OnAnnounced(kLocal, 10, kStart);
  for (const auto& [source, version] :
       {std::pair(kLocal, row.local_), std::pair(kRemote, row.remote_)}) {
    catch_up.OnAnnounced(source, version,
                         version == newest ? now - row.known_for_ : kStart);
  }
  CHECK(catch_up.Next(false, now) == row.selected_);
}

TEST_CASE("after a failure or a timeout another peer is selected", "[config]") {
  const bool times_out = GENERATE(false, true);
  const RulesPeerSelectorSettings settings;
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnAnnounced(kLocal, 4, kStart);
  catch_up.OnAnnounced(kRemote, 4, kStart);
  REQUIRE(catch_up.Next(false, kStart) == kLocal.id_);
  auto now = kStart + settings.response_timeout_;
  if (!times_out) {
    catch_up.OnFetchEnded(kLocal.id_, false, now);
  }
  CHECK(catch_up.Next(false, now) == kRemote.id_);
  catch_up.OnFetchEnded(kRemote.id_, false, now);
  CHECK_FALSE(catch_up.Next(false, now));
  now += settings.retry_delay_;
  CHECK(catch_up.Next(false, now) == kLocal.id_);
}

TEST_CASE("the store is read when no peer had newer rules", "[config]") {
  const RulesPeerSelectorSettings settings;
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnAnnounced(kLocal, 4, kStart);
  catch_up.OnPeerLost(kLocal.id_);
  CHECK_FALSE(catch_up.Next(false, kStart + 1s));
  CHECK_FALSE(catch_up.IsOverdue(kStart + settings.max_lag_ - 1ms));
  CHECK(catch_up.IsOverdue(kStart + settings.max_lag_));
  // A version that was just announced is not overdue.
  catch_up.OnAnnounced(kLocal, 9, kStart + settings.max_lag_);
  catch_up.OnApplied(8);
  CHECK_FALSE(catch_up.IsOverdue(kStart + settings.max_lag_));
}

TEST_CASE("a process that applies outdated versions is never overdue",
          "[config]") {
  constexpr auto kInterval = 250ms;
  constexpr std::uint64_t kBehind = 12;
  const RulesPeerSelectorSettings settings;
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnApplied(1);
  for (std::uint64_t version = 2; version <= 40; ++version) {
    const auto now = kStart + static_cast<std::int64_t>(version) * kInterval;
    catch_up.OnAnnounced(kRemote, version, now);
    if (version > kBehind) {
      catch_up.OnApplied(version - kBehind);
    }
    const bool late =
        (std::min(kBehind, version - 1) - 1) * kInterval >= settings.max_lag_;
    CAPTURE(version);
    CHECK(catch_up.IsOverdue(now) == late);
    CHECK_FALSE(catch_up.IsOverdue(now, kBehind * kInterval));
  }
}

}  // namespace
}  // namespace chalkwell::config
