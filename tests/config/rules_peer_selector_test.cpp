// From whom newer rules are taken.
#include "chalkwell/config/rules_peer_selector.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::config {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const core::InstanceId kSelf("self");
const RulesSource kNear{core::InstanceId("near"), true};
const RulesSource kFar{core::InstanceId("far"), false};

TEST_CASE("when a source is asked", "[config]") {
  struct Row {
    std::string name_;
    RulesSource source_;
    bool watches_;
    core::Duration after_;
    bool asked_;
  };
  const RulesPeerSelectorSettings settings;
  const auto row =
      GENERATE_COPY(Row{"a neighbour, at once", kNear, false, 0ms, true},
                    Row{"a neighbour, by one whose watch may bring it", kNear,
                        true, settings.watch_grace_ - 1ms, false},
                    Row{"a neighbour, by one whose watch did not", kNear, true,
                        settings.watch_grace_, true},
                    Row{"another domain's, while a neighbour may have it soon",
                        kFar, false, settings.near_first_ - 1ms, false},
                    Row{"another domain's, when no neighbour has it", kFar,
                        false, settings.near_first_, true},
                    Row{"another domain's, by one who watches", kFar, true,
                        settings.watch_grace_, true});
  CAPTURE(row.name_);
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnApplied(3, kStart);
  catch_up.OnAnnounced(row.source_, 4, kStart);
  CHECK(catch_up.Next(row.watches_, kStart + row.after_).has_value() ==
        row.asked_);
}

TEST_CASE("nobody is asked for what is known", "[config]") {
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnApplied(4, kStart);
  catch_up.OnAnnounced(kNear, 4, kStart);
  CHECK_FALSE(catch_up.Next(false, kStart + 1s));
  CHECK_FALSE(catch_up.IsOverdue(kStart + 1h));
  catch_up.OnAnnounced(kNear, 5, kStart);
  catch_up.OnApplied(5, kStart);
  CHECK_FALSE(catch_up.Next(false, kStart + 1s));
  CHECK_FALSE(catch_up.IsOverdue(kStart + 1h));
}

TEST_CASE("one is asked at a time, a neighbour before others", "[config]") {
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnAnnounced(kFar, 5, kStart);
  catch_up.OnAnnounced(kNear, 4, kStart);
  CHECK(catch_up.Next(true, kStart + 1s) == kNear.id_);
  CHECK_FALSE(catch_up.Next(true, kStart + 1s));
  catch_up.OnFetchEnded(kNear.id_, true, kStart + 1s);
  catch_up.OnApplied(4, kStart + 1s);
  CHECK(catch_up.Next(true, kStart + 2s) == kFar.id_);
}

TEST_CASE("one that fails or is silent is left for another", "[config]") {
  const bool silent = GENERATE(false, true);
  const RulesPeerSelectorSettings settings;
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnAnnounced(kNear, 4, kStart);
  catch_up.OnAnnounced(kFar, 4, kStart);
  REQUIRE(catch_up.Next(false, kStart) == kNear.id_);
  auto now = kStart + settings.answer_time_;
  if (!silent) {
    catch_up.OnFetchEnded(kNear.id_, false, now);
  }
  CHECK(catch_up.Next(false, now) == kFar.id_);
  catch_up.OnFetchEnded(kFar.id_, false, now);
  CHECK_FALSE(catch_up.Next(false, now));
  now += settings.rest_;
  CHECK(catch_up.Next(false, now) == kNear.id_);
}

TEST_CASE("the publisher is asked when nothing else helped", "[config]") {
  const RulesPeerSelectorSettings settings;
  RulesPeerSelector catch_up(kSelf);
  catch_up.OnAnnounced(kNear, 4, kStart);
  catch_up.OnPeerLost(kNear.id_);
  CHECK_FALSE(catch_up.Next(false, kStart + 1s));
  CHECK_FALSE(catch_up.IsOverdue(kStart + settings.patience_ - 1ms));
  CHECK(catch_up.IsOverdue(kStart + settings.patience_));
  // In a series of changes each one that arrives is progress.
  catch_up.OnAnnounced(kNear, 9, kStart + settings.patience_);
  catch_up.OnApplied(8, kStart + settings.patience_);
  CHECK_FALSE(catch_up.IsOverdue(kStart + settings.patience_));
}

}  // namespace
}  // namespace chalkwell::config
