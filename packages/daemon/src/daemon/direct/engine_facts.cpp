// Each agent has its own priority order of entries, so that agents that start
// together query different ones.
#include "daemon/direct/engine_facts.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "chalkwell/core/digest.hpp"
#include "daemon/messages.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr std::string_view kFactsPath = "/v1/engine-facts";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// After this time without a response, the next entry is queried: a few hundred
/// bytes take some 10 ms.
constexpr auto kResponseTimeout = std::chrono::milliseconds(700);

/// Request for the facts of a service.
struct FactsRequest {
  std::string service_;
  /// Digest of the agents that the requester knows; 0 for none.
  std::uint64_t agents_digest_ = 0;
  MSGPACK_DEFINE(service_, agents_digest_)
};

std::uint64_t AgentsDigest(const AgentAddresses& agents) {
  return agents.empty() ? 0 : core::RendezvousScore(Pack(agents), "");
}

}  // namespace

std::optional<EngineFacts> FindEngineFacts(const config::TrafficRules& rules,
                                           const std::string& service) {
  EngineFacts facts;
  for (const auto& row : rules.services_) {
    if (row.name_ == service && row.engine_) {
      facts.model_ = row.engine_->model_;
      facts.chunks_ = row.engine_->weight_chunks_;
      facts.health_path_ = row.health_path_;
    }
    if (!row.origin_.empty()) {
      facts.origin_ = row.origin_;
    }
  }
  return facts.model_.empty() ? std::nullopt : std::optional(std::move(facts));
}

AgentAddresses AgentAddressesOf(const std::vector<routing::EndpointRow>& rows,
                                const std::string& service,
                                const MeshNode& mesh) {
  AgentAddresses agents;
  for (const auto& row : rows) {
    if (row.service_ == service && !row.leaving_) {
      agents[row.domain_.value()].push_back(mesh.MeshAddressOf(row.address_));
    }
  }
  for (auto& [domain, addresses] : agents) {
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()),
                    addresses.end());
  }
  return agents;
}

bool HandleFactsCall(const PeerCallPtr& call, const config::TrafficRules& rules,
                     const std::vector<routing::EndpointRow>& rows,
                     const MeshNode& mesh) {
  if (call->path() != kFactsPath) {
    return false;
  }
  const auto request = Unpack<FactsRequest>(call->body(), "peer");
  if (auto facts = FindEngineFacts(rules, request.service_)) {
    auto agents = AgentAddressesOf(rows, request.service_, mesh);
    facts->agents_digest_ = AgentsDigest(agents);
    if (facts->agents_digest_ != request.agents_digest_) {
      facts->agents_ = std::move(agents);
    }
    call->Respond(kOk, Pack(*facts));
  } else {
    call->Respond(kNotFound, "");
  }
  return true;
}

FactsClient::FactsClient(Loop& loop, MeshNode& mesh, std::string service,
                         Done done)
    : loop_(loop),
      mesh_(mesh),
      service_(std::move(service)),
      done_(std::move(done)) {}

std::optional<membership::Member> FactsClient::NextEntry() {
  auto entries = mesh_.LiveMembers();
  std::erase_if(entries, [](const membership::Member& member) {
    return member.kind_ != membership::MemberKind::kEntry || member.leaving_;
  });
  if (entries.empty()) {
    return std::nullopt;
  }
  std::ranges::sort(entries, std::greater{}, [this](const auto& entry) {
    const auto& self = mesh_.self();
    return std::pair(
        entry.domain_ == self.domain_,
        core::RendezvousScore(self.id_.value(), entry.id_.value()));
  });
  return entries[next_entry_++ % entries.size()];
}

bool FactsClient::Request() {
  const auto now = loop_.Now();
  if (call_ != nullptr && now - requested_at_ < kResponseTimeout) {
    return true;
  }
  if (call_ != nullptr) {
    std::exchange(call_, nullptr)->Cancel();
  }
  const auto entry = NextEntry();
  if (!entry) {
    return false;
  }
  auto& connection = connections_[entry->address_];
  if (connection == nullptr) {
    connection =
        std::make_unique<PeerConnection>(loop_, ParseAddress(entry->address_));
  }
  requested_at_ = now;
  call_ = connection->Fetch(
      std::string(kFactsPath), Pack(FactsRequest{service_, agents_digest_}),
      [this, peer = entry->id_.value()](PeerEnd end, int status,
                                        const std::string& body) {
        call_ = nullptr;
        if (end == PeerEnd::kComplete && status == kOk) {
          const auto facts = Unpack<EngineFacts>(body, peer);
          agents_digest_ = facts.agents_digest_;
          done_(facts);
        }
      });
  return true;
}

}  // namespace chalkwell::daemon::direct
