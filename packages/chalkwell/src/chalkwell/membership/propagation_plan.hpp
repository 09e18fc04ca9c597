// Who tells whom of news, whatever it is: rules, weights, endpoints that leave.
// A process that heard first tells its whole failure domain and the delegates
// of each other domain; a delegate tells its own domain what came from another.
// What one process sends is bounded by the size of a failure domain, and each
// domain's news crosses to another one twice, however many members both have.
#pragma once

#include <cstdint>
#include <vector>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/membership/gossip_table.hpp"

namespace chalkwell::membership {

/// @brief How far a piece of news goes.
enum class DelegateFanout : std::uint8_t {
  /// Two delegates of each other domain: for what must arrive although one of
  /// them was lost a moment ago.
  kTwoDelegates,
  /// One delegate of each other domain: for what is told again and again.
  kOneDelegate,
};

/// @brief Targets of one process, from the members that it knows.
class PropagationPlan {
 public:
  /// @param live members known, this one left out.
  PropagationPlan(Member self, std::vector<Member> live);

  /// @brief Whom to tell what this process heard first.
  [[nodiscard]] std::vector<Member> AnnounceTargets(DelegateFanout reach) const;
  /// @brief Whom to tell what came from a member of a failure domain: a
  /// delegate passes on what comes from another one, nobody else does.
  [[nodiscard]] std::vector<Member> ForwardTargets(
      const core::FailureDomainId& from) const;
  /// @brief Live members of the own failure domain.
  [[nodiscard]] const std::vector<Member>& local_members() const noexcept {
    return near_;
  }
  /// @brief The first in rank of each other failure domain.
  [[nodiscard]] std::vector<Member> RemoteDelegates(std::size_t of_each) const;

 private:
  Member self_;
  std::vector<Member> near_;
  std::vector<Member> far_;
};

}  // namespace chalkwell::membership
