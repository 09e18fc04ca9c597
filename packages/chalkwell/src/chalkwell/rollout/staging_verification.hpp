// Verification of the chunks staged at an engine before an activation order:
// which chunks to read now, and whether the order may be sent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/rollout/fwd.hpp"

namespace chalkwell::rollout {

/// @brief Limits of a StagingVerification.
struct StagingVerificationSettings {
  /// Age of the oldest comparison up to which an order may be sent.
  core::Duration max_age_ = std::chrono::milliseconds(1000);
  /// Reads in flight at once.
  std::size_t max_reads_ = 32;
  /// Delay before a chunk whose read failed is read again.
  core::Duration retry_delay_ = std::chrono::milliseconds(100);
  /// Duration of a pass after which it is given up.
  core::Duration timeout_ = std::chrono::seconds(5);
};

/// @brief Result of comparing a staged chunk with its digest.
enum class ChunkComparison : std::uint8_t {
  kMatch,
  /// The chunk is missing or differs.
  kMismatch,
  /// The chunk could not be read.
  kFailed,
};

/// @brief State of a pass over the staged chunks.
enum class VerificationState : std::uint8_t {
  kReading,
  /// All chunks match, and no comparison is too old for an order.
  kVerified,
  /// All chunks were compared, and some have to be staged again.
  kMismatch,
  /// The chunks cannot be read fast enough.
  kTimedOut,
};

/// @brief Compares staged chunks until all comparisons are recent.
///
/// The engine loads what is staged when it takes the order, so a comparison is
/// worth less the older it is. Its age counts from when the read was sent,
/// since the chunk may change as soon as the engine has read it. Chunks are
/// read in the order of their last comparison, the oldest first. One read is in
/// flight at a time unless the engine is too slow for that.
class StagingVerification {
 public:
  StagingVerification() = default;
  explicit StagingVerification(StagingVerificationSettings settings)
      : settings_(settings) {}

  /// @brief Forgets all comparisons and the reads in flight.
  void Reset(std::size_t chunks);
  /// @brief Begins a pass. Earlier comparisons stay valid until they are too
  /// old.
  void Begin(core::TimePoint now);
  /// @brief Returns the chunks to read now; they count as in flight.
  [[nodiscard]] std::vector<std::size_t> Next(core::TimePoint now);
  /// @brief A read that Next() returned has ended.
  /// @return the comparison that counts: kFailed if the chunk was staged again
  /// during the read.
  ChunkComparison OnRead(std::size_t chunk, ChunkComparison comparison,
                         core::TimePoint now);
  /// @brief A chunk is known to differ from its digest.
  void OnMismatch(std::size_t chunk);
  /// @brief A chunk was staged again. It has to be compared before an order.
  void OnStaged(std::size_t chunk);

  [[nodiscard]] VerificationState StateAt(core::TimePoint now) const;
  /// @brief Age of the oldest comparison; empty unless all chunks matched when
  /// they were last read.
  [[nodiscard]] std::optional<core::Duration> OldestAge(
      core::TimePoint now) const;
  /// @brief Whether each chunk was read at least once since Reset().
  [[nodiscard]] bool AllRead() const noexcept { return unread_ == 0; }
  /// @brief Reads that ended in the current pass.
  [[nodiscard]] std::size_t reads() const noexcept { return reads_; }
  [[nodiscard]] core::Duration Elapsed(core::TimePoint now) const {
    return now - begun_at_;
  }

 private:
  struct Chunk {
    /// When the last read was sent that matched; empty if the chunk was not
    /// compared, or differs.
    std::optional<core::TimePoint> matched_at_;
    /// When the read in flight was sent.
    std::optional<core::TimePoint> sent_at_;
    core::TimePoint retry_at_;
    bool read_ = false;
    bool mismatch_ = false;
    /// Whether the chunk was staged again during the read in flight.
    bool changed_ = false;
  };

  /// @brief Whether a chunk is to be read again as soon as the window allows.
  [[nodiscard]] bool IsDue(const Chunk& chunk, core::TimePoint now) const;
  /// @brief Whether a chunk was compared in this pass, or recently enough.
  [[nodiscard]] bool IsCompared(const Chunk& chunk, core::TimePoint now) const;
  /// @brief Reads that may be in flight at once.
  [[nodiscard]] std::size_t Window(core::TimePoint now) const;

  StagingVerificationSettings settings_;
  std::vector<Chunk> chunks_;
  std::size_t in_flight_ = 0;
  /// Chunks that were not read since Reset().
  std::size_t unread_ = 0;
  std::size_t reads_ = 0;
  core::TimePoint begun_at_;
  /// Moving average; zero until a read has ended.
  core::Duration read_time_{};
};

}  // namespace chalkwell::rollout
