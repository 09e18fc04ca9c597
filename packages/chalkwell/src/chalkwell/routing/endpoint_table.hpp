// What an entry believes of each endpoint, from three sources with their ages:
// the published list, load reports, and its own requests.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/incarnation_table.hpp"

namespace chalkwell::routing {

/// @brief One row of the published list of endpoints.
struct EndpointRow {
  /// Of the endpoint; it may start again under it.
  core::InstanceId id_;
  /// Names the life, with the id; none where it is not told.
  std::optional<core::StartTime> started_;
  std::string service_;
  /// "ip:port".
  std::string address_;
  core::FailureDomainId domain_;
  std::uint32_t slots_ = 1;
  bool leaving_ = false;
  /// Version of the weights that all layers hold; none for plain services and
  /// for engines that cannot serve yet.
  std::optional<std::uint64_t> weights_version_;
  /// Revision of the list at which the row came to be; 0 when not known.
  std::uint64_t created_ = 0;

  [[nodiscard]] EndpointIncarnation incarnation() const {
    return {id_, started_};
  }
  friend bool operator==(const EndpointRow&, const EndpointRow&) = default;
};

/// @brief What changed between two revisions of the published list.
struct EndpointListChange {
  std::uint64_t from_ = 0;
  std::uint64_t to_ = 0;
  /// Rows that are new or differ.
  std::vector<EndpointRow> rows_;
  std::vector<core::InstanceId> removed_;
  /// The rows are the whole list: what it lacks is gone, also what the teller
  /// never knew of.
  bool full_ = false;
  /// Whole lists only: false when leases may have lapsed while the store was
  /// away.
  bool complete_ = true;
  /// The store had the list so at this time, or later; by the clock of who
  /// holds the change.
  core::TimePoint as_of_;
};

/// @brief What an endpoint reported of itself.
struct LoadReport {
  std::uint32_t active_ = 0;
  std::uint32_t queued_ = 0;
  /// False while it loads weights and takes nothing new.
  bool accepting_ = true;
  std::optional<std::uint64_t> weights_version_;
  /// Over 1: slower than its profile says.
  double slowdown_ = 1;
  /// How long its link holds messages back, both ways together.
  core::Duration path_delay_{};
  /// The incarnation that reports; empty when that is not told.
  core::InstanceId incarnation_;
  /// Start of the life that reports; none when that is not told.
  std::optional<core::StartTime> started_;
};

/// @brief Settings of the table.
struct EndpointTableSettings {
  /// Failure domain of this entry.
  core::FailureDomainId domain_;
  /// Of this entry, which uses a subset of its own; empty: all endpoints.
  core::InstanceId entry_;
  /// A report older than this no longer counts.
  core::Duration report_age_ = std::chrono::milliseconds(1500);
  /// An engine whose agent is not heard may be dead, frozen or behind a full
  /// link: others are better by this much.
  core::Duration unreported_cost_ = std::chrono::milliseconds(200);
  /// An endpoint that was not heard for this long, while others were, is
  /// suspended or cut off, and expected to remain so as long again. Agents
  /// report every 500 ms at least. Without it, an engine on a frozen machine
  /// seems to become empty.
  core::Duration silent_after_ = std::chrono::milliseconds(700);
  /// How late a request may begin at an engine that is not heard: its link may
  /// hold it back by more than a second.
  core::Duration unreported_delay_ = std::chrono::milliseconds(2500);
  /// Older than this, a report says nothing of the link any more: agents report
  /// every 500 ms at least, and a full link loses their datagrams.
  core::Duration link_report_age_ = std::chrono::milliseconds(700);
  /// What sending to another failure domain must gain to be worth its bytes.
  core::Duration foreign_cost_ = std::chrono::milliseconds(40);
  /// A row that leaves the published list is kept this long, in case its lease
  /// lapsed while the store was away.
  core::Duration lapse_grace_ = std::chrono::milliseconds(2500);
  /// A row that an agent told is kept this long for the list to show it: an
  /// endpoint publishes itself as it starts, and the list is read every 600 ms.
  core::Duration told_grace_ = std::chrono::milliseconds(2500);
  /// From the telling until the store shows the endpoint, if it lives: a
  /// complete list that was asked for later and lacks it ends the grace.
  core::Duration publish_time_ = std::chrono::milliseconds(300);
  /// Half-life of what is remembered of failures.
  core::Duration failure_half_life_ = std::chrono::seconds(3);
  /// A first byte that is awaited for longer than this shows an endpoint or
  /// path that stands still: the time beyond counts as its delay.
  core::Duration overdue_after_ = std::chrono::milliseconds(400);
  /// Expected delay of an endpoint that fails each request.
  core::Duration failure_cost_ = std::chrono::seconds(3);
};

/// @brief An endpoint that could take a request, with what is expected of it.
struct EndpointChoice {
  EndpointRow row_;
  /// Time until the first byte of the answer.
  core::Duration time_to_first_byte_{};
  /// Inputs of the choice, for the log.
  std::uint32_t requests_ahead_ = 0;
  core::Duration report_age_{};
  bool reported_ = false;
};

/// @brief Weights that a request may begin on.
struct VersionConstraint {
  /// Older ones are passed over; 0 for none.
  std::uint64_t min_version_ = 0;
  /// Versions below this one may be used until `until_` only.
  std::uint64_t next_min_version_ = 0;
  core::TimePoint next_min_at_;
};

/// @brief Which endpoints a request may go to.
struct ChoiceRequest {
  std::string service_;
  const config::EngineProfile* engine_ = nullptr;
  double prompt_tokens_ = 0;
  /// Late ones wait at engines until none is on time.
  bool on_time_ = true;
  /// Weights the answer must come from; none for any.
  std::optional<std::uint64_t> weights_version_;
  VersionConstraint version_constraint_;
  /// Own requests that one endpoint may have under way: each has a connection,
  /// and all entries share what the endpoint accepts. 0 for any number.
  std::uint32_t max_in_flight_ = 0;
  /// Endpoints already tried.
  std::vector<core::InstanceId> tried_;
};

/// @brief How a request at an endpoint ended.
enum class EndpointOutcome : std::uint8_t {
  kAnswered,
  /// Refused without running: full, or not the one expected.
  kRefused,
  /// Failed, broke or fell silent.
  kFailed,
  /// Given up for a reason of ours.
  kCancelled,
};

/// @brief Endpoints by incarnation.
class EndpointTable {
 public:
  EndpointTable(EndpointTableSettings settings, std::uint64_t seed);

  /// @brief Takes the whole published list.
  /// @param revision of the list; lower ones are ignored.
  /// @param complete false when leases may have lapsed while the store was
  /// away: missing rows are kept for the grace time.
  /// @param as_of when the store was asked for it; the clock's epoch when that
  /// is not known.
  void ApplyList(std::vector<EndpointRow> rows, std::uint64_t revision,
                 bool complete, core::TimePoint now,
                 core::TimePoint as_of = {});
  /// @brief Takes what another process saw change in the list.
  /// @return false when the change begins behind a gap: the list must be read.
  bool ApplyChange(const EndpointListChange& change, core::TimePoint now);
  /// @brief What is believed of the list includes all that the store had said
  /// by then.
  void ConfirmAsOf(core::TimePoint as_of) noexcept {
    as_of_ = std::max(as_of_, as_of);
  }
  /// @brief An agent told which life its endpoint is, which the list may not
  /// show yet.
  /// @param row without weights; a report tells them.
  void ApplyAnnouncement(EndpointRow row, core::TimePoint now);
  /// @brief An agent told which life the endpoint at an address is in; of the
  /// same service and failure domain as the one known there, if any is.
  void ApplyIncarnation(const std::string& address,
                        const EndpointIncarnation& life, core::TimePoint now);
  /// @brief Takes a report of the endpoint that lives at an address. Reports
  /// come in their order: one of another life tells who lives now.
  void ApplyReport(const std::string& address, const LoadReport& report,
                   core::TimePoint taken_at);
  /// @brief The endpoint said in this life that it goes away.
  void MarkLeaving(const EndpointIncarnation& life);
  void MarkTerminated(const EndpointIncarnation& life);
  /// @brief Another incarnation answered at its address.
  void MarkReplaced(const core::InstanceId& id, const core::InstanceId& living);
  /// @brief The endpoint said which weights it holds.
  void MarkVersion(const core::InstanceId& id,
                   std::optional<std::uint64_t> version);

  /// @param on_time as it was chosen for.
  void OnSent(const core::InstanceId& id, double prompt_tokens,
              core::TimePoint now, bool on_time = true);
  /// @brief Some part of an answer came: the endpoint does not stand still.
  void OnProgress(const core::InstanceId& id, core::TimePoint now);
  /// @param sent_at when the request was sent, as told to OnSent.
  /// @param predicted first byte as the choice gave it.
  void OnFirstByte(const core::InstanceId& id, double prompt_tokens,
                   core::TimePoint sent_at, core::Duration predicted,
                   core::TimePoint now);
  /// @param answering whether the first byte had arrived.
  void OnEnded(const core::InstanceId& id, double prompt_tokens,
               core::TimePoint sent_at, bool answering, EndpointOutcome outcome,
               core::TimePoint now);

  /// @brief The best endpoint for a request now.
  [[nodiscard]] std::optional<EndpointChoice> Choose(
      const ChoiceRequest& request, core::TimePoint now);

  /// @brief Whether a life is still believed to take requests: it neither
  /// leaves nor is gone, and no other one was heard of in its place.
  [[nodiscard]] bool AcceptsRequests(const EndpointIncarnation& life,
                                     core::TimePoint now) const;

  /// @brief Whether another life is known to answer at the address of one that
  /// was listed and did not leave.
  [[nodiscard]] bool IsReplaced(const std::string& address,
                                const EndpointIncarnation& life) const;
  /// @brief Whether a life said that it leaves, or its row was withdrawn: its
  /// end is planned.
  [[nodiscard]] bool IsLeavingOrRemoved(const EndpointIncarnation& life) const;

  /// @brief Endpoints of the subset that this entry uses: their agents are
  /// asked for reports.
  [[nodiscard]] std::vector<EndpointRow> Subset();

  /// @brief Whether nothing is heard of an endpoint any more, while others are
  /// heard.
  [[nodiscard]] bool IsUnresponsive(const core::InstanceId& id) const;

  [[nodiscard]] std::size_t size() const noexcept { return endpoints_.size(); }
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  [[nodiscard]] bool has_list() const noexcept { return revision_ > 0; }
  /// @brief The list believed in lacks nothing that was published before; the
  /// clock's epoch until one was heard.
  [[nodiscard]] core::TimePoint as_of() const noexcept { return as_of_; }
  /// @brief Requests believed to be at an endpoint; 0 when it is not known.
  [[nodiscard]] std::uint32_t LoadOf(const core::InstanceId& id,
                                     core::TimePoint now) const;
  /// @brief Rows believed in, for status pages and peers.
  [[nodiscard]] std::vector<EndpointRow> Rows() const;
  /// @brief Newest weights that any endpoint of a service holds.
  [[nodiscard]] std::uint64_t NewestVersion(const std::string& service) const;

 private:
  struct Endpoint {
    EndpointRow row_;
    /// Of the subset that this entry uses.
    bool selected_ = false;
    /// In the order of that subset; 0 until it is needed.
    std::uint64_t rank_ = 0;
    std::optional<LoadReport> report_;
    core::TimePoint reported_at_;
    /// When it was last heard: by a report, or by a part of an answer.
    core::TimePoint heard_at_;
    /// Weights as the endpoint itself told them, if it did: newer than the
    /// published row.
    std::optional<std::uint64_t> told_version_;
    bool told_ = false;
    /// When own requests were sent that are under way. Those to an earlier life
    /// are not among them: their ends change nothing here.
    std::vector<core::TimePoint> under_way_;
    /// Own requests sent after the report was taken and still under way.
    std::vector<core::TimePoint> sent_;
    /// Prompt tokens of own requests on time that wait for their first byte,
    /// and when those were sent.
    double reading_ = 0;
    std::vector<core::TimePoint> unanswered_;
    /// When late ones were sent that wait for their first byte.
    std::vector<core::TimePoint> late_unanswered_;
    /// How much longer than predicted first bytes took, decaying, as of
    /// `late_at_`.
    core::Duration late_{};
    core::TimePoint late_at_;
    /// Decaying share of failures, 0 to 1, as of `failed_at_`.
    double failing_ = 0;
    core::TimePoint failed_at_;
    /// Decaying mean of waits for the first byte; plain services only.
    core::Duration waited_{};
    std::optional<core::TimePoint> missing_since_;
    /// When its agent told it, and until when it need not be in the list.
    core::TimePoint told_at_;
    core::TimePoint told_until_;
    /// Whether the list has a row with its id.
    bool listed_ = false;
    /// Starts of earlier lives under this id, newest last; at most kMaxStarts.
    /// Their rows change nothing.
    std::deque<core::StartTime> dead_starts_;

    [[nodiscard]] std::uint32_t in_flight() const noexcept {
      return static_cast<std::uint32_t>(under_way_.size());
    }
    [[nodiscard]] bool WasDead(
        const std::optional<core::StartTime>& started) const;

    [[nodiscard]] std::optional<std::uint64_t> version() const noexcept {
      return told_ ? told_version_ : row_.weights_version_;
    }
  };

  /// @brief What a request is to expect of an endpoint.
  struct Expected {
    core::Duration first_byte_{};
    std::uint32_t occupied_ = 0;
  };

  /// @brief Endpoints that are compared with each other.
  struct Contest {
    const Endpoint* best_ = nullptr;
    Expected expected_;
    /// Of the best one, with what was drawn for it, in milliseconds.
    double drawn_cost_ = std::numeric_limits<double>::infinity();
    /// Of any, in milliseconds.
    double least_cost_ = std::numeric_limits<double>::infinity();
  };

  [[nodiscard]] Endpoint* Find(const core::InstanceId& id);
  [[nodiscard]] bool Usable(const Endpoint& endpoint,
                            const ChoiceRequest& request,
                            core::TimePoint now) const;
  /// @brief Whether its row has been missing for so long that the endpoint is
  /// taken as gone.
  [[nodiscard]] static bool IsGone(const Endpoint& endpoint,
                                   core::Duration grace, core::TimePoint now);
  [[nodiscard]] std::uint32_t Occupied(const Endpoint& endpoint,
                                       core::TimePoint now) const;
  /// @brief Part of what waits at endpoints that is late, as the own requests
  /// show: every entry sends the same mix. 0 to 1.
  [[nodiscard]] double LateShare() const;
  /// @brief Requests that are let in before one on time, the running included.
  [[nodiscard]] std::uint32_t Ahead(const Endpoint& endpoint, double late_share,
                                    core::TimePoint now) const;
  [[nodiscard]] core::Duration FirstByte(const Endpoint& endpoint,
                                         const ChoiceRequest& request,
                                         std::uint32_t ahead) const;
  [[nodiscard]] core::Duration LateAt(const Endpoint& endpoint,
                                      core::TimePoint now) const;
  /// @return whether it was on time.
  static bool ForgetUnanswered(Endpoint& endpoint, double prompt_tokens,
                               core::TimePoint sent_at);
  [[nodiscard]] double FailingAt(const Endpoint& endpoint,
                                 core::TimePoint now) const;
  /// @brief Delay beyond what the engine's work explains.
  [[nodiscard]] bool Reported(const Endpoint& endpoint,
                              core::TimePoint now) const;
  /// @brief Whether a request would begin on weights that may not be used then.
  [[nodiscard]] bool TooOld(const Endpoint& endpoint,
                            const ChoiceRequest& request,
                            core::Duration first_byte,
                            core::TimePoint now) const;
  [[nodiscard]] core::Duration ExtraDelay(const Endpoint& endpoint,
                                          core::TimePoint now) const;
  /// @brief For how long it was heard no more though others were; zero below
  /// the time after which that counts.
  [[nodiscard]] core::Duration Silence(const Endpoint& endpoint) const;
  /// @brief What a request at an endpoint costs, in milliseconds.
  [[nodiscard]] double CostOf(const Endpoint& endpoint,
                              const ChoiceRequest& request,
                              const Expected& expected,
                              core::TimePoint now) const;
  /// @param selected whether to choose of the subset or of the others.
  [[nodiscard]] std::optional<EndpointChoice> ChooseOf(
      const ChoiceRequest& request, bool selected, core::TimePoint now);
  void UpdateSubset();
  [[nodiscard]] std::vector<core::InstanceId> SubsetOf(
      const std::string& service);
  /// @brief Forgets all of an endpoint but its earlier lives: another one
  /// begins.
  void BeginLife(Endpoint& endpoint, EndpointRow row);
  /// @brief Remembers that a life said that it leaves.
  void RememberLeaving(const EndpointIncarnation& life);
  [[nodiscard]] bool SaidLeaving(const EndpointIncarnation& life) const;
  void TakeRow(EndpointRow row);
  void DropMissing(core::Duration grace, core::TimePoint now);
  /// @brief Erases endpoints that were told and would be in the list if they
  /// lived.
  /// @param as_of when the store was asked for the list.
  void DropUnlisted(core::TimePoint as_of);
  void Erase(const std::vector<core::InstanceId>& ids);
  void Erase(const core::InstanceId& id);

  EndpointTableSettings settings_;
  std::mt19937_64 random_;
  std::map<core::InstanceId, Endpoint> endpoints_;
  IncarnationTable incarnations_;
  /// Lives that left the list, newest last; at most kMaxDeparted. An agent that
  /// still tells of one does not bring it back.
  std::deque<EndpointIncarnation> departed_;
  /// Lives that said that they leave, newest last; at most kMaxDeparted. Words
  /// of another life may put it in their place for a while, and come too early
  /// or too late.
  std::deque<EndpointIncarnation> leaving_;
  /// Of the published list last taken; never falls.
  std::uint64_t revision_ = 0;
  /// Never falls.
  core::TimePoint as_of_;
  /// The newest report of any endpoint.
  core::TimePoint latest_report_;
  /// What the subset depends on has changed.
  bool subset_due_ = false;
};

}  // namespace chalkwell::routing
