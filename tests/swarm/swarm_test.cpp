// Chunk sets, assembly, pacer and planner; properties are checked with
// RapidCheck.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "chalkwell/swarm/assembly.hpp"
#include "chalkwell/swarm/pacer.hpp"
#include "chalkwell/swarm/planner.hpp"

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

std::vector<bundle::Chunk> Chunks(std::size_t count) {
  std::vector<bundle::Chunk> chunks;
  for (std::size_t i = 0; i < count; ++i) {
    chunks.push_back({core::Digest::Of(std::to_string(i)), 1});
  }
  return chunks;
}

TEST_CASE("chunk sets round-trip through their wire encoding", "[swarm]") {
  CHECK(rc::check([](const std::vector<bool>& bits) {
    ChunkSet set(bits.size());
    std::size_t count = 0;
    for (std::size_t i = 0; i < bits.size(); ++i) {
      count += bits[i] && set.Add(i) ? 1 : 0;
    }
    const auto copy = ChunkSet::FromBytes(set.ToBytes(), bits.size());
    RC_ASSERT(copy.count() == count);
    for (std::size_t i = 0; i < bits.size(); ++i) {
      RC_ASSERT(copy.Has(i) == bits[i]);
    }
  }));
}

TEST_CASE("a chunk counts only when its digest is correct", "[swarm]") {
  Assembly assembly(Chunks(2));
  CHECK_FALSE(assembly.VerifyAndAdd(0, "1"));
  CHECK_FALSE(assembly.VerifyAndAdd(0, "0 "));
  CHECK_FALSE(assembly.VerifyAndAdd(2, "2"));
  CHECK(assembly.VerifyAndAdd(0, "0"));
  CHECK_FALSE(assembly.complete());
  assembly.MarkHeld(1);
  CHECK(assembly.complete());
}

TEST_CASE("a chunk held only on a degraded link is fetched from the origin",
          "[swarm]") {
  // Guards against waiting for members on degraded links: when two of fifteen
  // members had a tenth of their link rate, all others waited 6.4 s instead of
  // 3.7 s for the chunks that these two had fetched from the origin.
  struct Row {
    std::string name_;
    bool degraded_;
    bool other_holds_;
    core::Duration after_;
    /// The peer that is sent the request, or "origin".
    std::string expected_;
  };
  const auto row = GENERATE(
      Row{"a holder on a healthy link gets the request", false, false, 0ms,
          "holder"},
      Row{"a holder on a degraded link does not", true, false, 0ms, "origin"},
      Row{"another holder is preferred", true, true, 0ms, "other"},
      Row{"it gets the request when no other member got the chunk", true, false,
          3s, "holder"});
  CAPTURE(row.name_);
  const core::FailureDomainId domain("d");
  Planner planner({core::InstanceId("me"), domain},
                  {.origin_copies_ = 1, .max_requests_per_peer_ = 1}, 1);
  planner.Start(Chunks(1), ChunkSet(1), kStart);
  ChunkSet all(1);
  all.Add(0);
  planner.OnAnnounced({core::InstanceId("holder"), domain}, all, kStart);
  if (row.other_holds_) {
    // In a remote failure domain, so that it is preferred only for its link.
    planner.OnAnnounced({core::InstanceId("other"), core::FailureDomainId("e")},
                        all, kStart);
  }
  planner.SetMembers({{core::InstanceId("me"), domain},
                      {core::InstanceId("holder"), domain, row.degraded_}});
  const auto requests = planner.Next(kStart + row.after_);
  REQUIRE(requests.size() == 1);
  const auto& peer = requests.front().peer_;
  CHECK((peer ? peer->value() : "origin") == row.expected_);
}

TEST_CASE("members on degraded links come last in the priority order",
          "[swarm]") {
  const core::FailureDomainId domain("d");
  const bool other_degraded = GENERATE(false, true);
  // With 50 chunks the rendezvous scores alone would assign some to each
  // member.
  Planner planner({core::InstanceId("me"), domain},
                  {.origin_copies_ = 1, .max_origin_requests_ = 50}, 1);
  planner.Start(Chunks(50), ChunkSet(50), kStart);
  planner.SetMembers({{core::InstanceId("me"), domain, true},
                      {core::InstanceId("other"), domain, other_degraded}});
  const auto fetched = planner.Next(kStart).size();
  if (other_degraded) {
    CHECK(fetched > 5);
    CHECK(fetched < 45);
  } else {
    CHECK(fetched == 0);
  }
}

TEST_CASE(
    "the next in rank imports without local progress or after a maximum wait",
    "[swarm]") {
  // Guards against duplicate imports: while the first in rank was busy with
  // other imports, the next one requested the same chunks after 500 ms, and a
  // quarter more bytes crossed between domains.
  struct Row {
    std::string name_;
    /// When the last other chunk became available in the local failure domain.
    core::Duration progress_;
    core::Duration after_;
    bool imported_;
  };
  const auto row = GENERATE(
      Row{"too early", 0ms, 300ms, false},
      Row{"no local progress", 0ms, 600ms, true},
      Row{"recent local progress", 400ms, 600ms, false},
      Row{"local progress has stopped", 400ms, 1000ms, true},
      Row{"local progress beyond the maximum wait", 2400ms, 2600ms, true});
  CAPTURE(row.name_);
  const core::FailureDomainId local("d");
  const std::vector<SwarmMember> members{{core::InstanceId("a"), local},
                                         {core::InstanceId("b"), local}};
  const auto chunks = Chunks(2);
  const auto first_is_a =
      core::RendezvousScore(chunks[0].digest_.ToHex(), "a") >
      core::RendezvousScore(chunks[0].digest_.ToHex(), "b");
  const auto& self = first_is_a ? members[1] : members[0];
  const auto& neighbour = first_is_a ? members[0] : members[1];
  Planner planner(self,
                  {.origin_copies_ = 0, .import_takeover_timeout_ = 500ms}, 1);
  planner.SetMembers(members);
  planner.Start(chunks, ChunkSet(2), kStart);
  ChunkSet wanted(2);
  wanted.Add(0);
  planner.OnAnnounced({core::InstanceId("far"), core::FailureDomainId("e")},
                      wanted, kStart);
  ChunkSet other(2);
  other.Add(1);
  planner.OnAnnounced(neighbour, other, kStart + row.progress_);
  const auto requests = planner.Next(kStart + row.after_);
  const bool requested = std::ranges::any_of(
      requests,
      [](const FetchRequest& request) { return request.chunk_ == 0; });
  CHECK(requested == row.imported_);
}

TEST_CASE("chunks that no local member holds are requested first", "[swarm]") {
  // Guards against duplicate imports: imports waited behind chunks that local
  // members held, so that the next in rank imported the same chunks and twice
  // the bytes crossed between domains.
  const core::FailureDomainId local("d");
  const core::FailureDomainId remote("e");
  Planner planner({core::InstanceId("me"), local},
                  {.origin_copies_ = 0,
                   .max_requests_per_peer_ = 2,
                   .max_peer_requests_ = 1},
                  1);
  planner.SetMembers({{core::InstanceId("me"), local}});
  planner.Start(Chunks(2), ChunkSet(2), kStart);
  ChunkSet first(2);
  first.Add(0);
  ChunkSet second(2);
  second.Add(1);
  planner.OnAnnounced({core::InstanceId("n"), local}, first, kStart);
  for (const auto* id : {"f", "g", "h"}) {
    planner.OnAnnounced({core::InstanceId(id), remote}, second, kStart);
  }
  const auto requests = planner.Next(kStart);
  REQUIRE(requests.size() == 1);
  CHECK(requests.front().chunk_ == 1);
}

TEST_CASE("weight traffic stays below the link rate and is never starved",
          "[swarm]") {
  CHECK(rc::check([](const std::vector<std::uint16_t>& sizes) {
    constexpr std::uint64_t kRate = 100'000;
    Pacer pacer(kRate, 50ms);
    auto now = kStart;
    std::uint64_t sent = 0;
    for (const auto size : sizes) {
      const std::uint64_t request_bytes = size / 4;
      pacer.OnRequestBytes(request_bytes, now);
      const auto wait = pacer.Reserve(size, now);
      now += wait;
      sent += size + request_bytes;
      const std::chrono::duration<double> elapsed = now - kStart;
      // The link has transmitted everything sent before this reservation.
      RC_ASSERT(static_cast<double>(sent - size - request_bytes) <=
                static_cast<double>(kRate) * (elapsed.count() + 0.06) + 20000);
      RC_ASSERT(wait < 10s);
    }
  }));
}

/// A swarm of planners without a network: requests succeed or fail at once, and
/// members may be lost.
struct Swarm {
  Swarm(std::size_t members, std::size_t chunks, std::size_t copies)
      : chunks_(Chunks(chunks)) {
    for (std::size_t i = 0; i < members; ++i) {
      const SwarmMember member{
          core::InstanceId("m" + std::to_string(i)),
          core::FailureDomainId("d" + std::to_string(i % 3))};
      members_.push_back(member);
      planners_.emplace_back(member, PlannerSettings{.origin_copies_ = copies},
                             i);
    }
    for (auto& planner : planners_) {
      planner.SetMembers(members_);
      planner.Start(chunks_, ChunkSet(chunks), kStart);
    }
    alive_.assign(members, true);
    origin_fetches_.assign(chunks, 0);
  }

  void Announce(core::TimePoint now) {
    for (std::size_t to = 0; to < planners_.size(); ++to) {
      for (std::size_t from = 0; from < planners_.size(); ++from) {
        if (from != to && alive_[from]) {
          planners_[to].OnAnnounced(members_[from], planners_[from].held(),
                                    now);
        }
      }
    }
  }

  void Round(core::TimePoint now, const std::function<bool()>& should_fail) {
    Announce(now);
    for (std::size_t i = 0; i < planners_.size(); ++i) {
      if (!alive_[i]) {
        continue;
      }
      (void)planners_[i].ExpireRequests(now);
      for (const auto& request : planners_[i].Next(now)) {
        if (should_fail()) {
          planners_[i].OnRequestFailed(request.chunk_, now);
          continue;
        }
        origin_fetches_[request.chunk_] += request.peer_ ? 0 : 1;
        planners_[i].OnChunkReceived(request.chunk_, now);
      }
    }
  }

  [[nodiscard]] bool AllComplete() const {
    for (std::size_t i = 0; i < planners_.size(); ++i) {
      if (alive_[i] && !planners_[i].complete()) {
        return false;
      }
    }
    return true;
  }

  std::vector<bundle::Chunk> chunks_;
  std::vector<SwarmMember> members_;
  std::vector<Planner> planners_;
  std::vector<bool> alive_;
  std::vector<int> origin_fetches_;
};

TEST_CASE("every chunk reaches every live member", "[swarm]") {
  CHECK(rc::check([] {
    const auto members = *rc::gen::inRange<std::size_t>(1, 9);
    const auto chunks = *rc::gen::inRange<std::size_t>(1, 20);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::mt19937 random(seed);
    Swarm swarm(members, chunks, 1);
    auto now = kStart;
    for (int round = 0; round < 400 && !swarm.AllComplete(); ++round) {
      swarm.Round(now, [&] { return round < 100 && random() % 4 == 0; });
      const auto victim = random() % members;
      if (round < 20 && random() % 8 == 0 && victim != 0) {
        swarm.alive_[victim] = false;
        for (auto& planner : swarm.planners_) {
          planner.OnPeerLost(swarm.members_[victim].id_);
        }
      }
      now += 500ms;
    }
    RC_ASSERT(swarm.AllComplete());
  }));
}

TEST_CASE(
    "without failures each chunk is fetched from the origin as configured",
    "[swarm]") {
  CHECK(rc::check([] {
    const auto members = *rc::gen::inRange<std::size_t>(4, 12);
    const auto chunks = *rc::gen::inRange<std::size_t>(1, 30);
    const auto copies = *rc::gen::inRange<std::size_t>(1, 4);
    Swarm swarm(members, chunks, copies);
    auto now = kStart;
    for (int round = 0; round < 200 && !swarm.AllComplete(); ++round) {
      swarm.Round(now, [] { return false; });
      now += 100ms;
    }
    RC_ASSERT(swarm.AllComplete());
    for (const auto fetches : swarm.origin_fetches_) {
      RC_ASSERT(fetches >= 1);
      RC_ASSERT(fetches <= static_cast<int>(copies));
    }
    for (const auto& planner : swarm.planners_) {
      RC_ASSERT(planner.origin_fetches(OriginFetchCause::kTakeover) == 0U);
    }
  }));
}

TEST_CASE("another member takes over the chunks assigned to a lost member",
          "[swarm]") {
  Swarm swarm(4, 8, 1);
  swarm.alive_[0] = false;
  auto now = kStart;
  for (int round = 0; round < 200 && !swarm.AllComplete(); ++round) {
    swarm.Round(now, [] { return false; });
    now += 100ms;
  }
  CHECK(swarm.AllComplete());
}

TEST_CASE("all members together fetch at most one origin window at a time",
          "[swarm]") {
  constexpr std::size_t kWindow = 4;
  const auto chunks = Chunks(40);
  const std::vector<SwarmMember> members{{core::InstanceId("a"), {}},
                                         {core::InstanceId("b"), {}},
                                         {core::InstanceId("c"), {}}};
  PlannerSettings settings;
  settings.max_origin_requests_ = chunks.size();
  settings.origin_window_ = kWindow;
  std::set<std::size_t> requested;
  for (const auto& member : members) {
    Planner planner(member, settings, 1);
    planner.SetMembers(members);
    planner.Start(chunks, ChunkSet(chunks.size()), kStart);
    for (const auto& request : planner.Next(kStart)) {
      requested.insert(request.chunk_);
    }
  }
  CHECK(requested == std::set<std::size_t>{0, 1, 2, 3});
}

TEST_CASE("the next member fetches a chunk skipped by a window of later ones",
          "[swarm]") {
  constexpr std::size_t kWindow = 4;
  const auto chunks = Chunks(40);
  const std::vector<SwarmMember> members{{core::InstanceId("gone"), {}},
                                         {core::InstanceId("self"), {}}};
  PlannerSettings settings;
  settings.max_origin_requests_ = chunks.size();
  settings.origin_window_ = kWindow;
  Planner planner(members[1], settings, 1);
  planner.SetMembers(members);
  planner.Start(chunks, ChunkSet(chunks.size()), kStart);
  ChunkSet held(chunks.size());
  std::set<std::size_t> fetched;
  const auto later_available = [&](std::size_t chunk) {
    std::size_t count = 0;
    for (auto other = chunk + 1; other < chunks.size(); ++other) {
      count += held.Has(other) || fetched.contains(other) ? 1 : 0;
    }
    return count;
  };
  // The other member holds every chunk assigned to it except for the first.
  std::optional<std::size_t> missing;
  for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
    const auto skips = missing ? later_available(*missing) : 0;
    for (const auto& request : planner.Next(kStart)) {
      if (!request.peer_) {
        fetched.insert(request.chunk_);
        planner.OnChunkReceived(request.chunk_, kStart);
      }
    }
    if (missing && fetched.contains(*missing)) {
      CHECK(skips >= kWindow);
      CHECK(skips <= 2 * kWindow);
      break;
    }
    if (!missing && !fetched.contains(chunk)) {
      missing = chunk;
    } else if (!fetched.contains(chunk)) {
      held.Add(chunk);
      planner.OnAnnounced(members[0], held, kStart);
    }
  }
  REQUIRE(missing);
  CHECK(fetched.contains(*missing));
}

TEST_CASE("a chunk whose request timed out is requested from another peer",
          "[swarm]") {
  Planner planner({core::InstanceId("a"), {}},
                  {.origin_copies_ = 0, .chunk_timeout_ = 5s}, 1);
  planner.SetMembers({{core::InstanceId("a"), {}}});
  planner.Start(Chunks(1), ChunkSet(1), kStart);
  ChunkSet all(1);
  all.Add(0);
  planner.OnAnnounced({core::InstanceId("b"), {}}, all, kStart);
  planner.OnAnnounced({core::InstanceId("c"), {}}, all, kStart);
  REQUIRE(planner.Next(kStart).size() == 1);
  CHECK(planner.Next(kStart).empty());
  CHECK(planner.ExpireRequests(kStart + 4s).empty());
  CHECK(planner.ExpireRequests(kStart + 5s).size() == 1);
  CHECK(planner.Next(kStart + 5s).size() == 1);
}

TEST_CASE(
    "a chunk held only in remote domains is imported by the first in rank, "
    "and by the next one after the takeover timeout",
    "[swarm]") {
  const auto chunks = Chunks(12);
  const SwarmMember source{core::InstanceId("source"),
                           core::FailureDomainId("other")};
  const std::vector<SwarmMember> local{
      {core::InstanceId("a"), core::FailureDomainId("home")},
      {core::InstanceId("b"), core::FailureDomainId("home")},
      {core::InstanceId("c"), core::FailureDomainId("home")}};
  PlannerSettings settings;
  settings.max_requests_per_peer_ = 100;
  settings.max_peer_requests_ = 100;
  settings.import_takeover_timeout_ = 300ms;
  ChunkSet all(chunks.size());
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    all.Add(i);
  }
  std::map<std::size_t, int> at_once;
  std::map<std::size_t, int> in_total;
  for (const auto& self : local) {
    Planner planner(self, settings, 1);
    planner.SetMembers(local);
    planner.Start(chunks, ChunkSet(chunks.size()), kStart);
    planner.OnAnnounced(source, all, kStart);
    for (const auto& request : planner.Next(kStart)) {
      ++at_once[request.chunk_];
      ++in_total[request.chunk_];
    }
    for (const auto& request : planner.Next(kStart + 1s)) {
      ++in_total[request.chunk_];
    }
  }
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    CHECK(at_once[i] == 1);
    CHECK(in_total[i] == 3);
  }
}

TEST_CASE("a chunk that its holder fails to send is fetched from the origin",
          "[swarm]") {
  // Guards against waiting for a holder that lost a chunk: two announced chunks
  // that were lost from staging delayed the new weights of all engines by 25 s.
  const auto chunks = Chunks(1);
  const SwarmMember self{core::InstanceId("a"), core::FailureDomainId("d")};
  const SwarmMember holder{core::InstanceId("b"), core::FailureDomainId("d")};
  Planner planner(self, {}, 1);
  planner.SetMembers({self});
  planner.Start(chunks, ChunkSet(1), kStart);
  ChunkSet all(1);
  all.Add(0);
  planner.OnAnnounced(holder, all, kStart);
  const auto first = planner.Next(kStart);
  REQUIRE(first.size() == 1);
  CHECK(first.front().peer_ == holder.id_);
  planner.OnRequestFailed(0, kStart + 10ms);
  const auto second = planner.Next(kStart + 10ms);
  REQUIRE(second.size() == 1);
  CHECK_FALSE(second.front().peer_.has_value());
  planner.OnChunkReceived(0, kStart + 20ms);
  CHECK(planner.complete());
  planner.OnChunkLost(0);
  CHECK_FALSE(planner.complete());
  CHECK(planner.Next(kStart + 30ms).size() == 1);
}

}  // namespace
}  // namespace chalkwell::swarm
