// Parts of the model: processes, requests and messages.
#pragma once

#include "fuzz/world.hpp"

namespace chalkwell::fuzz {

inline constexpr std::uint64_t kAnswerPieces = 3;
inline constexpr auto kLease = std::chrono::seconds(1);
inline constexpr auto kRosterLease = std::chrono::seconds(3);
inline constexpr auto kStopLimit = std::chrono::seconds(60);
/// How long the platform's list names the process before the newest.
inline constexpr auto kListLag = std::chrono::seconds(5);
inline constexpr auto kLeavingBound = std::chrono::seconds(3);

/// @brief One engine, which may outlive its agents.
struct World::Engine {
  struct Execution {
    std::uint64_t id_ = 0;
    int agent_ = 0;
    std::uint64_t request_ = 0;
    std::uint32_t attempt_ = 0;
    int entry_ = 0;
    /// Weights at the begin.
    core::Digest weights_;
    std::uint64_t sent_ = 0;
    bool unheard_ = false;
  };

  std::size_t index_ = 0;
  bool checks_fencing_ = true;
  /// The process in the endpoint's slot, and the one that the list names.
  int newest_agent_ = 0;
  int listed_agent_ = 0;
  core::TimePoint newest_since_;
  rollout::EngineState state_;
  /// Requests as reported: updated now and then.
  std::uint64_t lagged_load_ = 0;
  core::TimePoint lagged_at_;
  /// Digest of the chunks really staged, by manifest.
  std::map<core::Digest, std::set<std::string>> staged_;
  /// Manifests that an agent declared whole; the engine refuses others.
  std::set<core::Digest> sealed_;
  std::set<core::Digest> ever_held_;
  std::vector<Execution> running_;
};

/// @brief One agent process.
struct World::Agent {
  Agent(const Faults& faults, std::uint64_t incarnation, std::size_t engine,
        std::uint64_t tie)
      : documents_({Published::Instance().trusted()}, faults.acceptance_),
        activation_({.lease_ = kLease, .tie_breaker_ = tie},
                    faults.activation_),
        guard_(core::InstanceId("endpoint-" + std::to_string(engine)),
               incarnation, {.max_issuers_ = 2, .max_cached_responses_ = 2},
               faults.guard_),
        pause_(kLease),
        stop_(kStopLimit, faults.stop_),
        engine_(engine),
        incarnation_(incarnation) {}

  int id_ = 0;
  config::AcceptedDocuments documents_;
  rollout::Activation activation_;
  routing::ExecutionGuard guard_;
  membership::SuspensionDetector pause_;
  membership::GracefulShutdown stop_;
  std::optional<swarm::Assembly> assembly_;
  rollout::Target fetching_;
  std::size_t engine_;
  std::uint64_t incarnation_;
  bool alive_ = true;
  bool paused_ = false;
  /// When the last engine state that was delivered had been asked for.
  core::TimePoint knew_at_;
  bool has_known_ = false;
  bool asking_ = false;
  core::TimePoint stop_began_;
};

/// @brief One entry process.
struct World::Entry {
  explicit Entry(const Faults& faults)
      : documents_({Published::Instance().trusted()}, faults.acceptance_),
        roster_({.lease_ = kRosterLease, .breaker_failures_ = 1000},
                faults.roster_),
        stop_(kStopLimit, faults.stop_) {}

  struct Link {
    int agent_ = 0;
    std::optional<routing::TicketIssuer> minter_;
    std::optional<core::TimePoint> knew_leaving_at_;
  };

  int id_ = 0;
  config::AcceptedDocuments documents_;
  membership::Roster roster_;
  membership::GracefulShutdown stop_;
  bool alive_ = true;
  bool paused_ = false;
  std::map<core::InstanceId, Link> links_;
  std::set<std::size_t> listed_leaving_;
  core::TimePoint stop_began_;
};

/// @brief One request as its entry and its caller see it.
struct World::Request {
  std::uint64_t id_ = 0;
  /// What the caller wants done; retries by the caller keep it.
  std::uint64_t order_ = 0;
  bool repeatable_ = false;
  int entry_ = 0;
  std::unique_ptr<routing::RequestTracker> tracker_;
  std::set<core::InstanceId> tried_;
  core::InstanceId endpoint_;
  /// Agent the current attempt was sent to.
  int agent_ = 0;
  core::Digest pinned_;
  std::optional<routing::ExecutionTicket> ticket_;
  std::optional<routing::ExecutionTicket> callers_ticket_;
  std::optional<routing::Outcome> outcome_;
  /// The entry died: the caller was told nothing.
  bool lost_ = false;
  bool retried_ = false;
};

/// @brief A message on its way.
struct World::Message {
  enum class Kind : std::uint8_t {
    kDocument,
    kQuery,
    kState,
    kOrder,
    kClaim,
    kOrderAnswer,
    kChunk,
    kReport,
    kRun,
    kFrame,
  };
  enum class Frame : std::uint8_t {
    kBegin,
    kData,
    kComplete,
    kRefused,
    kFailed,
    kUnknown,
    /// The stream broke.
    kLost,
  };

  Kind kind_{};
  int from_ = 0;
  /// A process; engines are named by `engine_`.
  int to_ = 0;
  std::size_t engine_ = 0;
  config::Document document_{};
  rollout::EngineState state_{};
  rollout::Target target_{};
  std::uint64_t fence_ = 0;
  core::TimePoint asked_at_{};
  std::size_t chunk_ = 0;
  std::string bytes_{};
  membership::EndpointReport report_{};
  std::uint64_t request_ = 0;
  std::uint32_t attempt_ = 0;
  bool repeatable_ = false;
  std::uint64_t order_ = 0;
  std::optional<routing::ExecutionTicket> ticket_{};
  core::Digest weights_{};
  Frame frame_{};
  std::uint64_t sequence_ = 0;
  std::uint64_t resume_from_ = 0;
  /// A copy of a run has a stream of its own, to which nobody listens.
  bool unheard_ = false;
};

}  // namespace chalkwell::fuzz
