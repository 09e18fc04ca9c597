// Heartbeat counters order the rows of one incarnation; rows of different
// incarnations are not ordered.
#include "chalkwell/membership/gossip_table.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

std::uint64_t Score(const Member& member) { return WatcherScore(member.id_); }

}  // namespace

GossipTable::GossipTable(Member self, GossipSettings settings,
                         std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

void GossipTable::RaiseHeartbeat() {
  ++self_.heartbeat_;
  self_.local_members_ = static_cast<std::uint32_t>(LocalMembers().size() + 1);
}

bool GossipTable::MakeRoom(const Member& member) {
  if (member.domain_ == self_.domain_) {
    return true;
  }
  auto last = rows_.end();
  std::size_t live = 0;
  for (auto row = rows_.begin(); row != rows_.end(); ++row) {
    if (row->second.lost_ || row->second.member_.domain_ != member.domain_) {
      continue;
    }
    ++live;
    if (last == rows_.end() ||
        Score(row->second.member_) < Score(last->second.member_)) {
      last = row;
    }
  }
  if (live < settings_.remote_rows_per_domain_) {
    return true;
  }
  if (Score(member) <= Score(last->second.member_)) {
    return false;
  }
  rows_.erase(last);
  return true;
}

MergeOutcome GossipTable::Merge(const Member& member, core::TimePoint now) {
  if (member.id_ == self_.id_) {
    return MergeOutcome::kUnchanged;
  }
  const Key key{member.id_, member.incarnation_};
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    if (member.leaving_ || !MakeRoom(member)) {
      return MergeOutcome::kUnchanged;
    }
    rows_.emplace(key, Row{member, now});
    return MergeOutcome::kJoined;
  }
  auto& row = found->second;
  if (member.heartbeat_ <= row.member_.heartbeat_) {
    return MergeOutcome::kUnchanged;
  }
  const bool rejoined = row.lost_ && !member.leaving_;
  row = Row{member, now, member.leaving_, 0};
  return rejoined ? MergeOutcome::kJoined : MergeOutcome::kUpdated;
}

std::vector<Member> GossipTable::Expire(core::TimePoint now) {
  std::vector<Member> lost;
  for (auto& [key, row] : rows_) {
    if (!row.lost_ && now - row.last_heartbeat_ >= settings_.lease_) {
      row.lost_ = true;
      lost.push_back(row.member_);
    }
  }
  std::erase_if(rows_, [&](const auto& entry) {
    return entry.second.lost_ &&
           now - entry.second.last_heartbeat_ >= settings_.tombstone_retention_;
  });
  return lost;
}

std::vector<Member> GossipTable::Unresponsive(std::size_t limit,
                                              core::TimePoint now) const {
  std::vector<const Row*> rows;
  for (const auto& [key, row] : rows_) {
    if (!row.lost_ && now - row.last_heartbeat_ >= settings_.lease_ / 2) {
      rows.push_back(&row);
    }
  }
  std::ranges::sort(rows, {}, &Row::last_heartbeat_);
  std::vector<Member> unresponsive;
  for (const auto* row : rows) {
    if (unresponsive.size() < limit) {
      unresponsive.push_back(row->member_);
    }
  }
  return unresponsive;
}

std::vector<Member> GossipTable::Live() const {
  std::map<std::string, const Row*> newest;
  for (const auto& [key, row] : rows_) {
    if (row.lost_) {
      continue;
    }
    auto& known = newest[row.member_.address_];
    if (known == nullptr || row.last_heartbeat_ > known->last_heartbeat_) {
      known = &row;
    }
  }
  std::vector<Member> live;
  live.reserve(newest.size());
  for (const auto& [address, row] : newest) {
    live.push_back(row->member_);
  }
  return live;
}

std::vector<Member> GossipTable::LocalMembers() const {
  auto members = Live();
  std::erase_if(members, [this](const Member& member) {
    return member.domain_ != self_.domain_;
  });
  return members;
}

std::size_t GossipTable::DeploymentSize() const {
  std::map<core::FailureDomainId, std::size_t> reported;
  std::map<core::FailureDomainId, std::size_t> known;
  std::size_t count = 1;
  for (const auto& member : Live()) {
    if (member.domain_ == self_.domain_) {
      ++count;
      continue;
    }
    auto& size = reported[member.domain_];
    size = std::max<std::size_t>(size, member.local_members_);
    ++known[member.domain_];
  }
  for (const auto& [domain, size] : reported) {
    count += std::max(size, known[domain]);
  }
  return count;
}

bool GossipTable::IsDelegate() const {
  const auto own_score = Score(self_);
  const auto ahead = std::ranges::count_if(
      LocalMembers(),
      [&](const Member& member) { return Score(member) > own_score; });
  return static_cast<std::size_t>(ahead) < kWatchersPerDomain;
}

void GossipTable::Shuffle(std::vector<Member>& members) {
  std::ranges::shuffle(members, random_);
}

std::vector<Member> GossipTable::Sample(std::size_t limit,
                                        const core::FailureDomainId& domain) {
  struct Candidate {
    /// The receiver is remote and the member is not in the receiver's domain.
    bool other_domain_;
    unsigned times_sent_;
    std::uint64_t tie_breaker_;
    Row* row_;
  };
  // Members of remote failure domains keep only a few rows of this one.
  std::vector<std::uint64_t> scores;
  for (const auto& member : LocalMembers()) {
    scores.push_back(Score(member));
  }
  std::ranges::sort(scores, std::ranges::greater{});
  const bool remote = domain != self_.domain_;
  const auto min_score =
      remote && scores.size() > settings_.remote_rows_per_domain_
          ? scores[settings_.remote_rows_per_domain_ - 1]
          : 0;
  std::vector<Candidate> candidates;
  for (auto& [key, row] : rows_) {
    const bool local = row.member_.domain_ == self_.domain_;
    if (!row.lost_ && (!local || Score(row.member_) >= min_score)) {
      const bool other_domain = remote && row.member_.domain_ != domain;
      candidates.push_back({other_domain, row.times_sent_, random_(), &row});
    }
  }
  std::ranges::sort(candidates, {}, [](const Candidate& candidate) {
    return std::tuple(candidate.other_domain_, candidate.times_sent_,
                      candidate.tie_breaker_);
  });
  candidates.resize(std::min(candidates.size(), limit));
  std::vector<Member> members{self_};
  for (auto& candidate : candidates) {
    ++candidate.row_->times_sent_;
    members.push_back(candidate.row_->member_);
  }
  return members;
}

std::vector<Member> GossipTable::GossipTargets(std::size_t limit) {
  auto live = Live();
  Shuffle(live);
  std::vector<Member> targets;
  for (const auto& member : live) {
    if (member.domain_ == self_.domain_ && targets.size() < limit) {
      targets.push_back(member);
    }
  }
  // IsDelegate() also holds if no other local member is known.
  if (!IsDelegate()) {
    return targets;
  }
  std::set<core::FailureDomainId> covered{self_.domain_};
  for (const auto& member : live) {
    if (covered.insert(member.domain_).second) {
      targets.push_back(member);
    }
  }
  return targets;
}

}  // namespace chalkwell::membership
