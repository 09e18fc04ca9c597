// What callers, endpoints and the store saw, held against what the system
// promises of endpoints that leave and of requests that crash endpoints. All
// clocks are one: the soak's own.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Begins the name of a request that crashes endpoints; its body and id
/// hold the name.
inline const std::string kCrashMark = "crash-";

/// @brief Bounds of a deployment.
struct Bounds {
  /// From the store's acknowledgement that an endpoint leaves, or is gone, to
  /// the last request that may arrive there.
  milliseconds drain_{3000};
  /// A process is in touch after so long without a disturbance.
  milliseconds contact_{4000};
  /// A request that was answered may still arrive somewhere for this long.
  milliseconds stray_{500};
  /// Crashes after which a request is known to be their cause, and how often it
  /// may arrive once entries have had the time to know it.
  std::size_t crashes_ = 3;
  std::size_t tries_after_ = 3;
};

/// @brief A request that an endpoint should not have got.
struct Finding {
  std::string what_;
  std::string endpoint_;
  std::string request_;
  /// After the acknowledgement, or after the answer.
  milliseconds after_{};
};

/// @brief A run that crashed its endpoint.
struct CrashSeen {
  TimePoint at_;
  /// When its request reached the endpoint.
  TimePoint arrived_at_;
  std::string entry_;
  /// Whether the entry was in touch as the request arrived.
  bool in_touch_ = false;
};

/// @brief Times of one kind, in milliseconds.
class Times {
 public:
  void Add(milliseconds time) { times_.push_back(time); }
  [[nodiscard]] std::size_t count() const noexcept { return times_.size(); }
  /// @param share 0 to 1; zero time when there is none.
  [[nodiscard]] milliseconds Quantile(double share) const;

 private:
  std::vector<milliseconds> times_;
};

/// @brief Collects from several threads.
class Judge {
 public:
  explicit Judge(Bounds bounds) : bounds_(bounds) {}

  /// @brief The store acknowledged that an endpoint leaves, or that its row is
  /// gone.
  void OnLeft(const std::string& endpoint);
  /// @brief The row of an endpoint came back, or its next life began.
  void OnBack(const std::string& endpoint);
  /// @brief Something was done to an entry until now, or from now on; the
  /// empty name stands for the store.
  void OnDisturbed(const std::string& entry);
  /// @brief The path of an endpoint is held up until `OnPathBack`.
  void OnPathHeld(const std::string& endpoint);
  void OnPathBack(const std::string& endpoint);
  /// @brief An endpoint got a request.
  /// @param request "ENTRY/NUMBER", as the callers name them.
  void OnArrival(const std::string& endpoint, const std::string& request);
  /// @brief A request that crashes endpoints did so.
  /// @param request "ENTRY/NAME/NUMBER", where NAME begins with kCrashMark.
  void OnCrash(const std::string& request);
  /// @brief A caller has the final answer to its request, or left.
  void OnAnswered(const std::string& request, int status,
                  const std::string& body);

  [[nodiscard]] std::vector<Finding> findings() const;
  /// @brief Answers by status, 0 for none.
  [[nodiscard]] std::map<int, std::uint64_t> answers() const;
  [[nodiscard]] std::uint64_t arrivals() const;
  /// @brief How long after an acknowledgement entries in touch still sent.
  [[nodiscard]] Times late_sends() const;
  /// @brief Crashes of each request that crashes endpoints, in order.
  [[nodiscard]] std::map<std::string, std::vector<CrashSeen>> crashes() const;
  /// @brief Requests that wait since one like them is suspected.
  [[nodiscard]] std::uint64_t suspected() const;

 private:
  [[nodiscard]] bool InTouch(const std::string& entry, TimePoint now) const;
  [[nodiscard]] bool PathHeld(const std::string& endpoint, TimePoint now) const;
  void JudgeLeft(const std::string& endpoint, const std::string& request,
                 TimePoint now);
  void JudgeStray(const std::string& endpoint, const std::string& request,
                  TimePoint now);
  void JudgeCrashing(const std::string& endpoint, const std::string& request,
                     TimePoint now);

  Bounds bounds_;
  mutable std::mutex mutex_;
  std::map<std::string, TimePoint> left_;
  std::map<std::string, TimePoint> disturbed_;
  /// The far future while a path is held up.
  std::map<std::string, TimePoint> held_until_;
  std::map<std::string, TimePoint> answered_;
  std::map<int, std::uint64_t> answers_;
  std::uint64_t arrivals_ = 0;
  Times late_sends_;
  std::map<std::string, std::vector<CrashSeen>> crashes_;
  /// Of requests that crash endpoints: the last arrival of each try.
  std::map<std::string, CrashSeen> crashing_arrivals_;
  /// Its arrivals once entries had the time to know it.
  std::map<std::string, std::size_t> tries_after_;
  std::uint64_t suspected_ = 0;
  std::vector<Finding> findings_;
};

}  // namespace chalkwell::soak
