// Many entries send to endpoints that restart, return together, and are
// evacuated. Whatever each entry knows and when, a request stays in its allowed
// failure domains, an evacuated domain gets none, and an endpoint in slow start
// or with a stated rate limit gets no more than it accepts.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};
/// Time for which the entries have run before the test.
constexpr auto kRunningBefore = 60s;
constexpr auto kStep = 10ms;
constexpr auto kEnd = 20s;
constexpr config::SlowStart kSlowStart{3s, 5};
/// Requests that an endpoint bears in any second of its slow start.
constexpr std::size_t kMaxPerSecond = 12;
constexpr auto kRunTime = 700ms;
/// Longest time until an entry knows of a change.
constexpr int kMaxKnownAfterMs = 800;
constexpr auto kEvacuationBound = 1000ms;
constexpr double kLoadPerEndpoint = 11;
/// Requests per second that a limited endpoint states.
constexpr double kStatedLimit = 2;
/// Window in which the requests to a limited endpoint are counted, and how many
/// the platform allows in it.
constexpr auto kLimitWindow = 4s;
constexpr std::size_t kMaxInLimitWindow = 17;
/// Time from the first statement of a limit until it must be kept, and from a
/// response that states it until the entry that got it must keep it.
constexpr auto kLimitBound = 3s;
constexpr auto kEntryLimitBound = 500ms;

struct WorldSize {
  std::size_t entries_per_domain_;
  std::size_t endpoints_per_domain_;
};

struct Findings {
  std::size_t outside_allowed_ = 0;
  std::size_t after_evacuation_ = 0;
  std::size_t over_slow_start_ = 0;
  std::size_t over_limit_ = 0;
  /// Requests that limited endpoints got.
  std::size_t within_limit_ = 0;
  std::size_t sent_ = 0;
};

class World {
 public:
  World(std::uint64_t seed, WorldSize size, EndpointTableFaults faults)
      : size_(size), random_(seed) {
    const auto entries = kDomains * size.entries_per_domain_;
    for (std::size_t i = 0; i < entries; ++i) {
      EndpointTableSettings settings;
      settings.domain_ = Domain(i % kDomains);
      settings.entry_ = core::InstanceId("entry-" + std::to_string(i));
      auto table = std::make_unique<EndpointTable>(settings, seed + i, faults);
      table->SetSlowStarts({{"pool", kSlowStart}});
      table->SetEntryCount(entries, true);
      table->rate_limit_senders().SetEntries(OtherEntries(i, entries), true,
                                             kStart - kRunningBefore);
      entries_.push_back(std::move(table));
    }
    std::vector<EndpointRow> rows;
    for (std::size_t i = 0; i < kDomains * size.endpoints_per_domain_; ++i) {
      endpoints_.emplace_back().row_ = Row(i);
      endpoints_.back().row_.slow_start_left_ = core::Duration{};
      rows.push_back(endpoints_.back().row_);
    }
    for (auto& entry : entries_) {
      entry->ApplyList(rows, core::StoreRevision(1, 1), true, kStart);
    }
    engine_.slots_ = 16;
    engine_.step_time_ = 10ms;
    engine_.prefill_tokens_per_second_ = 20'000;
    engine_.mean_prompt_tokens_ = 1000;
    engine_.mean_output_tokens_ = 90;
  }

  Findings Run() {
    At(kStart + 3s, [this] { RestartDomain(1); });
    At(kStart + 8s, [this] { Evacuate(2); });
    At(kStart + 14s, [this] { Withdraw(2); });
    for (int i = 0; i < 3; ++i) {
      const auto host = Draw(0, static_cast<int>(endpoints_.size()) - 1);
      const auto begin = kStart + std::chrono::milliseconds(Draw(0, 8000));
      At(begin, [this, host] { endpoints_[host].limited_since_ = now_; });
      At(begin + 10s,
         [this, host] { endpoints_[host].limited_since_.reset(); });
    }
    for (int i = 0; i < 6; ++i) {
      At(kStart + std::chrono::milliseconds(Draw(0, 18000)),
         [this] { Restart(Draw(0, static_cast<int>(endpoints_.size()) - 1)); });
    }
    for (now_ = kStart; now_ < kStart + kEnd; now_ += kStep) {
      RunDueActions();
      SendRequests();
    }
    return findings_;
  }

 private:
  static constexpr std::size_t kDomains = 4;

  struct Endpoint {
    EndpointRow row_;
    /// End of its slow start.
    core::TimePoint slow_until_;
    /// Arrivals of the last second.
    std::deque<core::TimePoint> arrivals_;
    /// When it began to state a rate limit.
    std::optional<core::TimePoint> limited_since_;
    /// When each entry first got a response with the limit.
    std::map<const EndpointTable*, core::TimePoint> informed_;
    /// Arrivals in the last kLimitWindow from entries that must keep the limit.
    std::deque<core::TimePoint> limited_arrivals_;
  };

  static core::FailureDomainId Domain(std::size_t number) {
    return core::FailureDomainId("d" + std::to_string(number));
  }

  static std::vector<EntryLocation> OtherEntries(std::size_t self,
                                                 std::size_t entries) {
    std::vector<EntryLocation> others;
    for (std::size_t i = 0; i < entries; ++i) {
      if (i != self) {
        others.push_back({core::InstanceId("entry-" + std::to_string(i)),
                          Domain(i % kDomains)});
      }
    }
    return others;
  }

  EndpointRow Row(std::size_t host) {
    EndpointRow row;
    row.id_ = core::InstanceId("i-" + std::to_string(++last_id_));
    row.service_ = "pool";
    row.address_ = std::to_string(host) + ":1";
    row.domain_ = Domain(host % kDomains);
    row.slots_ = 16;
    row.weights_version_ = 1;
    return row;
  }

  int Draw(int least, int most) {
    return std::uniform_int_distribution(least, most)(random_);
  }

  void At(core::TimePoint time, std::function<void()> action) {
    actions_.emplace(time, std::move(action));
  }

  void RunDueActions() {
    while (!actions_.empty() && actions_.begin()->first <= now_) {
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }

  /// Publishes a change, which each entry receives at a time of its own.
  void Publish(const std::function<void(EndpointTable&)>& change) {
    for (auto& entry : entries_) {
      At(now_ + std::chrono::milliseconds(Draw(0, kMaxKnownAfterMs)),
         [change, table = entry.get()] { change(*table); });
    }
  }

  /// Another incarnation starts at the host, in slow start.
  void Restart(std::size_t host) {
    auto& endpoint = endpoints_[host];
    const auto previous = endpoint.row_.incarnation();
    endpoint.row_ = Row(host);
    endpoint.slow_until_ = now_ + kSlowStart.duration_;
    endpoint.arrivals_.clear();
    endpoint.informed_.clear();
    endpoint.limited_arrivals_.clear();
    // An agent's announcement does not state the remaining time.
    const bool announced = Draw(0, 1) == 0;
    auto row = endpoint.row_;
    row.slow_start_left_ = kSlowStart.duration_;
    Publish([this, announced, row, previous](EndpointTable& table) {
      table.MarkTerminated(previous);
      if (announced) {
        table.ApplyAnnouncement(row, now_);
        table.MarkVersion(row.id_, 1);
      } else {
        table.ApplyChange({.from_ = core::StoreRevision(1, 1),
                           .to_ = core::StoreRevision(1, ++revision_),
                           .rows_ = {row},
                           .removed_ = {},
                           .as_of_ = now_ - 1s},
                          now_);
      }
    });
  }

  void RestartDomain(std::size_t domain) {
    for (auto host = domain; host < endpoints_.size(); host += kDomains) {
      Restart(host);
    }
  }

  void Evacuate(std::size_t domain) {
    evacuated_.insert(Domain(domain));
    evacuated_at_ = now_;
    Publish([this, domains = evacuated_](EndpointTable& table) {
      table.SetEvacuated(domains, now_);
    });
  }

  void Withdraw(std::size_t domain) {
    evacuated_.erase(Domain(domain));
    for (auto host = domain; host < endpoints_.size(); host += kDomains) {
      endpoints_[host].slow_until_ = now_ + kSlowStart.duration_;
    }
    Publish([this, domains = evacuated_](EndpointTable& table) {
      table.SetEvacuated(domains, now_);
    });
  }

  void SendRequests() {
    const auto per_step = kLoadPerEndpoint *
                          static_cast<double>(endpoints_.size()) *
                          std::chrono::duration<double>(kStep).count();
    const auto count = std::poisson_distribution<int>(per_step)(random_);
    for (int i = 0; i < count; ++i) {
      Send(*entries_[Draw(0, static_cast<int>(entries_.size()) - 1)]);
    }
  }

  void Send(EndpointTable& entry) {
    ChoiceRequest request{.service_ = "pool", .engine_ = &engine_};
    request.prompt_tokens_ = engine_.mean_prompt_tokens_;
    if (Draw(0, 3) == 0) {
      request.allowed_domains_.emplace({Domain(Draw(0, 1)), Domain(3)});
    }
    const auto choice = entry.Choose(request, now_);
    if (!choice) {
      return;
    }
    ++findings_.sent_;
    const auto& row = choice->row_;
    findings_.outside_allowed_ +=
        Allows(request.allowed_domains_, row.domain_) ? 0 : 1;
    findings_.after_evacuation_ +=
        evacuated_.contains(row.domain_) &&
                now_ - evacuated_at_ > kEvacuationBound
            ? 1
            : 0;
    entry.OnSent(row.id_, request.prompt_tokens_, now_);
    At(now_ + kRunTime / 2, [this, &entry, row, sent_at = now_] {
      Respond(entry, row.incarnation(), sent_at);
    });
    At(now_ + kRunTime, [this, &entry, id = row.id_, sent_at = now_] {
      entry.OnEnded(id, engine_.mean_prompt_tokens_, sent_at, false,
                    EndpointOutcome::kAnswered, now_);
    });
    RecordArrival(entry, row.id_);
  }

  Endpoint* Find(const core::InstanceId& id) {
    const auto found = std::ranges::find_if(
        endpoints_,
        [&](const auto& endpoint) { return endpoint.row_.id_ == id; });
    return found == endpoints_.end() ? nullptr : &*found;
  }

  /// The response head of an endpoint arrives at the entry.
  void Respond(EndpointTable& entry, const EndpointIncarnation& incarnation,
               core::TimePoint sent_at) {
    auto* endpoint = Find(incarnation.id_);
    if (endpoint == nullptr) {
      return;  // It has ended.
    }
    const auto limit =
        endpoint->limited_since_ ? std::optional(kStatedLimit) : std::nullopt;
    if (limit) {
      endpoint->informed_.try_emplace(&entry, now_);
    }
    const RateLimitStatement statement{incarnation, limit, now_};
    const auto change = entry.rate_limits().OnResponse(statement, sent_at);
    if (change == RateLimitChange::kLimited ||
        change == RateLimitChange::kLifted) {
      Publish([statement](EndpointTable& table) {
        table.rate_limits().Merge(statement);
      });
    }
  }

  void RecordLimitedArrival(Endpoint& endpoint, const EndpointTable& entry) {
    if (!endpoint.limited_since_) {
      endpoint.informed_.clear();
      endpoint.limited_arrivals_.clear();
      return;
    }
    const auto informed = endpoint.informed_.find(&entry);
    if (informed == endpoint.informed_.end() ||
        now_ - informed->second < kEntryLimitBound) {
      return;
    }
    auto& arrivals = endpoint.limited_arrivals_;
    arrivals.push_back(now_);
    while (now_ - arrivals.front() > kLimitWindow) {
      arrivals.pop_front();
    }
    ++findings_.within_limit_;
    const bool over = now_ - *endpoint.limited_since_ > kLimitBound &&
                      arrivals.size() > kMaxInLimitWindow;
    findings_.over_limit_ += over ? 1 : 0;
  }

  void RecordArrival(const EndpointTable& entry, const core::InstanceId& id) {
    auto* found = Find(id);
    if (found == nullptr) {
      return;  // It has ended.
    }
    RecordLimitedArrival(*found, entry);
    auto& arrivals = found->arrivals_;
    arrivals.push_back(now_);
    while (now_ - arrivals.front() > 1s) {
      arrivals.pop_front();
    }
    const bool over =
        now_ < found->slow_until_ && arrivals.size() > kMaxPerSecond;
    findings_.over_slow_start_ += over ? 1 : 0;
  }

  WorldSize size_;
  std::mt19937_64 random_;
  core::TimePoint now_ = kStart;
  std::vector<std::unique_ptr<EndpointTable>> entries_;
  std::vector<Endpoint> endpoints_;
  std::multimap<core::TimePoint, std::function<void()>> actions_;
  std::set<core::FailureDomainId> evacuated_;
  core::TimePoint evacuated_at_;
  std::uint64_t last_id_ = 0;
  std::uint64_t revision_ = 1;
  config::EngineProfile engine_;
  Findings findings_;
};

TEST_CASE("requests respect residency, evacuations, slow starts and limits",
          "[routing]") {
  const auto size = GENERATE(WorldSize{1, 2}, WorldSize{8, 10},
                             WorldSize{20, 10}, WorldSize{4, 20});
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto findings = World(seed, size, {}).Run();
    CAPTURE(seed, size.entries_per_domain_, size.endpoints_per_domain_,
            findings.sent_);
    CHECK(findings.sent_ > 100);
    CHECK(findings.outside_allowed_ == 0);
    CHECK(findings.after_evacuation_ == 0);
    CHECK(findings.over_slow_start_ == 0);
    CHECK(findings.over_limit_ == 0);
    CHECK(findings.within_limit_ > 0);
  }
}

TEST_CASE("the checks of placement detect injected faults", "[routing]") {
  const WorldSize size{8, 10};
  EndpointTableFaults residency;
  residency.ignore_allowed_domains_ = true;
  CHECK(World(1, size, residency).Run().outside_allowed_ > 0);
  EndpointTableFaults evacuation;
  evacuation.ignore_evacuations_ = true;
  CHECK(World(1, size, evacuation).Run().after_evacuation_ > 0);
  EndpointTableFaults slow_start;
  slow_start.ignore_slow_start_ = true;
  CHECK(World(1, size, slow_start).Run().over_slow_start_ > 0);
  EndpointTableFaults rate_limit;
  rate_limit.ignore_rate_limits_ = true;
  CHECK(World(1, size, rate_limit).Run().over_limit_ > 0);
}

}  // namespace
}  // namespace chalkwell::routing
