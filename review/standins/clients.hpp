// Clients that keep their channels, and the check of refused requests.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "deployment.hpp"

namespace review {

/// @brief What clients sent and got.
class Answers {
 public:
  void Add(const std::string& id, int status);
  [[nodiscard]] std::map<std::string, int> statuses();
  [[nodiscard]] std::size_t CountOf(int status);

 private:
  std::mutex mutex_;
  std::map<std::string, int> statuses_;
};

/// @brief A number of clients that each send one request after the other.
struct ClientLoad {
  std::string method_ = "POST";
  std::string path_;
  std::string body_ = "{\"pitch\":7}";
  int deadline_ms_ = 4000;
  std::size_t clients_ = 8;
  Milliseconds pause_{20};
  std::map<std::string, std::string> extra_;
};

/// @brief Sends requests to the entries in turn until `until` holds or the time
/// has passed. The answer 0 stands for none.
void Send(const ClientLoad& load, const std::vector<Address>& entries,
          Milliseconds time, const std::function<bool()>& until,
          Answers& answers, Record& record);

/// @brief Requests that were answered 408, 421, 429 or 503 and have run.
[[nodiscard]] std::vector<std::string> RefusedAndRun(
    Answers& answers, const std::vector<std::unique_ptr<Runner>>& runners,
    Record& record);

}  // namespace review
