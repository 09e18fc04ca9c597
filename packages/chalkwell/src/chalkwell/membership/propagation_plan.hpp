// Receivers of a change of any kind: rules, weights, draining endpoints. The
// process that learns of a change first sends it to all members of its failure
// domain and to the delegates of each remote domain, that is, the first two
// members in the priority order of the watcher role. A delegate forwards what
// came from a remote domain within its own. So a process sends to its own
// domain and to at most three members of each remote one, whatever their sizes.
#pragma once

#include <cstdint>
#include <vector>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/membership/gossip_table.hpp"

namespace chalkwell::membership {

/// @brief Number of delegates per remote failure domain that receive a change.
enum class DelegateFanout : std::uint8_t {
  /// Two, for a change that must arrive even if one of them was just lost.
  kTwoDelegates,
  /// One, for what is sent periodically.
  kOneDelegate,
  /// The delegates and the next member, for a change that must also arrive
  /// while both delegates are live but slow.
  kDelegatesAndSpare,
};

/// @brief Receivers of the changes of one process, from the members it knows.
class PropagationPlan {
 public:
  /// @param live known live members, without this one.
  PropagationPlan(Member self, std::vector<Member> live);

  /// @brief Receivers of a change that this process learned of first.
  [[nodiscard]] std::vector<Member> AnnounceTargets(
      DelegateFanout fanout) const;
  /// @brief Receivers of a change that came from a member of a failure domain:
  /// only delegates forward, and only what comes from a remote domain.
  /// @param sender_domain domain of the member that sent it to this process.
  [[nodiscard]] std::vector<Member> ForwardTargets(
      const core::FailureDomainId& sender_domain) const;
  /// @brief Live members of the local failure domain.
  [[nodiscard]] const std::vector<Member>& local_members() const noexcept {
    return local_;
  }
  /// @brief The first members in priority order of each remote failure domain.
  [[nodiscard]] std::vector<Member> RemoteDelegates(
      std::size_t per_domain) const;

 private:
  Member self_;
  std::vector<Member> local_;
  std::vector<Member> remote_;
};

}  // namespace chalkwell::membership
