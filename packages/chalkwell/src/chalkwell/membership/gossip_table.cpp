// Beats order the rows of one life; two lives never compare.
#include "chalkwell/membership/gossip_table.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::membership {

GossipTable::GossipTable(Member self, GossipSettings settings,
                         std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

MergeEnd GossipTable::Merge(const Member& member, core::TimePoint now) {
  if (member.id_ == self_.id_) {
    return MergeEnd::kKnown;
  }
  const Key key{member.id_, member.incarnation_};
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    if (member.leaving_) {
      return MergeEnd::kKnown;
    }
    rows_.emplace(key, Row{member, now});
    return MergeEnd::kJoined;
  }
  auto& row = found->second;
  if (member.beat_ <= row.member_.beat_) {
    return MergeEnd::kKnown;
  }
  const bool back = row.lost_ && !member.leaving_;
  row = Row{member, now, member.leaving_, 0};
  return back ? MergeEnd::kJoined : MergeEnd::kNews;
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

std::vector<Member> GossipTable::Silent(core::TimePoint now) const {
  std::vector<Member> silent;
  for (const auto& [key, row] : rows_) {
    if (!row.lost_ && now - row.heard_ >= settings_.lease_ / 2) {
      silent.push_back(row.member_);
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

void GossipTable::Shuffle(std::vector<Member>& members) {
  std::ranges::shuffle(members, random_);
}

std::vector<Member> GossipTable::Sample(std::size_t most) {
  struct Ranked {
    unsigned told_;
    std::uint64_t tie_;
    Row* row_;
  };
  std::vector<Ranked> ranked;
  for (auto& [key, row] : rows_) {
    if (!row.lost_) {
      ranked.push_back({row.told_, random_(), &row});
    }
  }
  std::ranges::sort(ranked, {}, [](const Ranked& entry) {
    return std::pair(entry.told_, entry.tie_);
  });
  ranked.resize(std::min(ranked.size(), most));
  std::vector<Member> members{self_};
  for (auto& entry : ranked) {
    ++entry.row_->told_;
    members.push_back(entry.row_->member_);
  }
  return members;
}

std::vector<Member> GossipTable::Targets(std::size_t most) {
  auto members = Live();
  Shuffle(members);
  const auto near = std::ranges::find(members, self_.domain_, &Member::domain_);
  if (near != members.end()) {
    std::iter_swap(members.begin(), near);
  }
  members.resize(std::min(members.size(), most));
  return members;
}

}  // namespace chalkwell::membership
