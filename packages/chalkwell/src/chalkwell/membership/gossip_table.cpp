// Beats order the rows of one life; two lives never compare.
#include "chalkwell/membership/gossip_table.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

std::uint64_t Rank(const Member& member) { return WatcherScore(member.id_); }

}  // namespace

GossipTable::GossipTable(Member self, GossipSettings settings,
                         std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

void GossipTable::RaiseHeartbeat() {
  ++self_.heartbeat_;
  self_.local_members_ = static_cast<std::uint32_t>(LocalMembers().size() + 1);
}

bool GossipTable::MakePlace(const Member& member) {
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
        Rank(row->second.member_) < Rank(last->second.member_)) {
      last = row;
    }
  }
  if (live < settings_.far_rows_) {
    return true;
  }
  if (Rank(member) <= Rank(last->second.member_)) {
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
    if (member.leaving_ || !MakePlace(member)) {
      return MergeOutcome::kUnchanged;
    }
    rows_.emplace(key, Row{member, now});
    return MergeOutcome::kJoined;
  }
  auto& row = found->second;
  if (member.heartbeat_ <= row.member_.heartbeat_) {
    return MergeOutcome::kUnchanged;
  }
  const bool back = row.lost_ && !member.leaving_;
  row = Row{member, now, member.leaving_, 0};
  return back ? MergeOutcome::kJoined : MergeOutcome::kUpdated;
}

std::vector<Member> GossipTable::Expire(core::TimePoint now) {
  std::vector<Member> lost;
  for (auto& [key, row] : rows_) {
    if (!row.lost_ && now - row.heard_ >= settings_.lease_) {
      row.lost_ = true;
      lost.push_back(row.member_);
    }
  }
  std::erase_if(rows_, [&](const auto& entry) {
    return entry.second.lost_ && now - entry.second.heard_ >= settings_.memory_;
  });
  return lost;
}

std::vector<Member> GossipTable::Unresponsive(std::size_t most,
                                              core::TimePoint now) const {
  std::vector<const Row*> rows;
  for (const auto& [key, row] : rows_) {
    if (!row.lost_ && now - row.heard_ >= settings_.lease_ / 2) {
      rows.push_back(&row);
    }
  }
  std::ranges::sort(rows, {}, &Row::heard_);
  std::vector<Member> silent;
  for (const auto* row : rows) {
    if (silent.size() < most) {
      silent.push_back(row->member_);
    }
  }
  return silent;
}

std::vector<Member> GossipTable::Live() const {
  std::map<std::string, const Row*> newest;
  for (const auto& [key, row] : rows_) {
    if (row.lost_) {
      continue;
    }
    auto& known = newest[row.member_.address_];
    if (known == nullptr || row.heard_ > known->heard_) {
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
  std::map<core::FailureDomainId, std::size_t> told;
  std::map<core::FailureDomainId, std::size_t> known;
  std::size_t count = 1;
  for (const auto& member : Live()) {
    if (member.domain_ == self_.domain_) {
      ++count;
      continue;
    }
    auto& most = told[member.domain_];
    most = std::max<std::size_t>(most, member.local_members_);
    ++known[member.domain_];
  }
  for (const auto& [domain, most] : told) {
    count += std::max(most, known[domain]);
  }
  return count;
}

bool GossipTable::IsDelegate() const {
  const auto own = Rank(self_);
  const auto ahead = std::ranges::count_if(
      LocalMembers(), [&](const Member& member) { return Rank(member) > own; });
  return static_cast<std::size_t>(ahead) < kWatchersPerDomain;
}

void GossipTable::Shuffle(std::vector<Member>& members) {
  std::ranges::shuffle(members, random_);
}

std::vector<Member> GossipTable::Sample(std::size_t most,
                                        const core::FailureDomainId& domain) {
  struct Ranked {
    bool foreign_;
    unsigned told_;
    std::uint64_t tie_;
    Row* row_;
  };
  // Whoever is of another domain keeps few rows of this one.
  std::vector<std::uint64_t> ranks;
  for (const auto& member : LocalMembers()) {
    ranks.push_back(Rank(member));
  }
  std::ranges::sort(ranks, std::ranges::greater{});
  const bool far = domain != self_.domain_;
  const auto least = far && ranks.size() > settings_.far_rows_
                         ? ranks[settings_.far_rows_ - 1]
                         : 0;
  std::vector<Ranked> ranked;
  for (auto& [key, row] : rows_) {
    const bool own = row.member_.domain_ == self_.domain_;
    if (!row.lost_ && (!own || Rank(row.member_) >= least)) {
      const bool foreign = far && row.member_.domain_ != domain;
      ranked.push_back({foreign, row.told_, random_(), &row});
    }
  }
  std::ranges::sort(ranked, {}, [](const Ranked& entry) {
    return std::tuple(entry.foreign_, entry.told_, entry.tie_);
  });
  ranked.resize(std::min(ranked.size(), most));
  std::vector<Member> members{self_};
  for (auto& entry : ranked) {
    ++entry.row_->told_;
    members.push_back(entry.row_->member_);
  }
  return members;
}

std::vector<Member> GossipTable::GossipTargets(std::size_t most) {
  auto live = Live();
  Shuffle(live);
  std::vector<Member> targets;
  for (const auto& member : live) {
    if (member.domain_ == self_.domain_ && targets.size() < most) {
      targets.push_back(member);
    }
  }
  // Alone in its domain, a member is its delegate.
  if (!IsDelegate()) {
    return targets;
  }
  std::set<core::FailureDomainId> told{self_.domain_};
  for (const auto& member : live) {
    if (told.insert(member.domain_).second) {
      targets.push_back(member);
    }
  }
  return targets;
}

}  // namespace chalkwell::membership
