// Entries whose endpoint did not state its rate limit for so long that they
// forget it.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};
/// When the limit of all rates in this test expires.
constexpr auto kExpiry = 10s;
/// Time until the first response states the limit again.
constexpr auto kResponseTime = 500ms;
constexpr auto kStep = 10ms;
constexpr std::size_t kDomains = 4;

core::FailureDomainId DomainOf(std::size_t entry) {
  return core::FailureDomainId("d" + std::to_string(entry % kDomains));
}

/// Entries that all know the limit of one endpoint.
std::vector<std::unique_ptr<EndpointTable>> MakeEntries(std::size_t count,
                                                        double rate) {
  std::vector<EntryLocation> all;
  for (std::size_t i = 0; i < count; ++i) {
    all.push_back({core::InstanceId("e" + std::to_string(i)), DomainOf(i)});
  }
  EndpointRow row;
  row.id_ = core::InstanceId("i-1");
  row.service_ = "plain";
  row.address_ = "127.0.0.1:1";
  row.domain_ = DomainOf(0);
  std::vector<std::unique_ptr<EndpointTable>> entries;
  for (const auto& self : all) {
    EndpointTableSettings settings;
    settings.entry_ = self.id_;
    settings.domain_ = self.domain_;
    auto others = all;
    std::erase_if(others,
                  [&](const auto& entry) { return entry.id_ == self.id_; });
    entries.push_back(std::make_unique<EndpointTable>(settings, 1));
    auto& entry = *entries.back();
    entry.SetEntryCount(count, true);
    entry.rate_limit_senders().SetEntries(others, true, kStart - 60s);
    entry.ApplyList({row}, core::StoreRevision(1, 1), true, kStart);
    entry.rate_limits().OnResponse({row.incarnation(), rate, kStart}, kStart);
  }
  return entries;
}

TEST_CASE("all entries send at once when a rate limit expires", "[routing]") {
  const std::size_t count = GENERATE(35, 640);
  const double rate = GENERATE(0.5, 1, 2, 4);
  CAPTURE(count, rate);
  const auto entries = MakeEntries(count, rate);
  ChoiceRequest request;
  request.service_ = "plain";
  std::size_t sent = 0;
  for (core::Duration after = kExpiry; after < kExpiry + kResponseTime;
       after += kStep) {
    const auto now = kStart + after;
    for (const auto& entry : entries) {
      entry->rate_limits().Expire(now);
      if (const auto choice = entry->Choose(request, now)) {
        entry->OnSent(choice->row_.id_, 0, now, true);
        ++sent;
      }
    }
  }
  CHECK(sent > 0);
  // Allowed in 4 s.
  CHECK(static_cast<double>(sent) <= 1.5 * 4 * rate + 5);
}

}  // namespace
}  // namespace chalkwell::routing
