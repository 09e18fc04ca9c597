// Endpoints that stop within the head of their response, with a real entry: no
// caller may get a success that looks complete.
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <thread>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawListener;
using daemon::RawSocket;

const std::string kHeadEnd = "\r\n\r\n";
const std::string kFirstEvent = "id: 1\ndata: token\n\n";
const std::string kBody = kFirstEvent + "id: 2\ndata: token\n\n";
/// An entry reads what has arrived within this time.
constexpr std::chrono::milliseconds kReadTime(20);
/// Bytes after the head up to which a response is cut.
constexpr std::size_t kMaxBodyBytes = 4;
/// Heads are cut at each such byte.
constexpr std::size_t kStep = 5;

enum class Framing : std::uint8_t { kLength, kChunks, kNone };

std::string HeaderValue(const std::string& text, const std::string& name) {
  const auto at = text.find(name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + name.size() + 2;
  return text.substr(begin, text.find('\r', begin) - begin);
}

std::string AsChunk(const std::string& bytes) {
  std::array<char, 16> size{};
  (void)std::snprintf(size.data(), size.size(), "%zx", bytes.size());
  return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

/// How an endpoint responds.
struct Cut {
  Framing framing_ = Framing::kLength;
  std::string status_ = "200 OK";
  /// Bytes of the response that are sent.
  std::size_t size_ = 0;
  /// Whether a reset ends the connection, not a close.
  bool reset_ = false;
  /// Whether only responses to requests that resume a stream are cut. The
  /// others break off behind their first event.
  bool resumed_only_ = false;
};

std::string Head(const std::string& id, const Cut& cut) {
  std::string head = "HTTP/1.1 " + cut.status_ + "\r\nattempt-id: " + id +
                     "\r\nresponse-seal: s.raw\r\n";
  if (cut.framing_ == Framing::kLength) {
    head += "content-length: " + std::to_string(kBody.size()) + "\r\n";
  } else if (cut.framing_ == Framing::kChunks) {
    head += "transfer-encoding: chunked\r\n";
  }
  return head + "content-type: text/event-stream" + kHeadEnd;
}

std::string Response(const std::string& id, const Cut& cut) {
  const bool chunked = cut.framing_ == Framing::kChunks;
  return Head(id, cut) + (chunked ? AsChunk(kBody) + "0\r\n\r\n" : kBody);
}

/// An endpoint that cuts all of its responses.
class CuttingEndpoint {
 public:
  CuttingEndpoint() : thread_([this] { Run(); }) {}
  ~CuttingEndpoint() {
    stopped_ = true;
    const RawSocket wake(listener_.port());
    thread_.join();
  }
  CuttingEndpoint(const CuttingEndpoint&) = delete;
  CuttingEndpoint& operator=(const CuttingEndpoint&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  void Set(const Cut& cut) {
    const std::lock_guard lock(mutex_);
    cut_ = cut;
  }
  [[nodiscard]] int cuts() const { return cuts_; }

 private:
  void Run() {
    while (true) {
      auto connection = listener_.Accept();
      if (stopped_) {
        return;
      }
      const auto request = connection.ReadUntil(kHeadEnd);
      if (request.empty()) {
        continue;
      }
      const auto cut = CurrentCut();
      const auto id = HeaderValue(request, "attempt-id");
      if (cut.resumed_only_ && HeaderValue(request, "last-event-id").empty()) {
        connection.Send(Head(id, {.framing_ = Framing::kChunks}) +
                        AsChunk(kFirstEvent));
        // A reset discards what the entry has not read.
        std::this_thread::sleep_for(kReadTime);
        connection.Reset();
        continue;
      }
      ++cuts_;
      connection.Send(Response(id, cut).substr(0, cut.size_));
      if (cut.reset_) {
        connection.Reset();
      }
    }
  }
  [[nodiscard]] Cut CurrentCut() {
    const std::lock_guard lock(mutex_);
    return cut_;
  }

  RawListener listener_;
  std::mutex mutex_;
  Cut cut_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> cuts_{0};
  std::thread thread_;
};

/// Whether a caller would take a response for a complete one.
bool LooksComplete(const std::string& response, bool reset) {
  const auto head = response.find(kHeadEnd);
  if (head == std::string::npos) {
    return false;
  }
  const auto length = HeaderValue(response, "content-length");
  if (!length.empty()) {
    return response.size() - head - kHeadEnd.size() >= std::stoul(length);
  }
  return response.find("transfer-encoding: chunked") < head
             ? response.ends_with("0\r\n\r\n")
             : !reset;
}

TEST_CASE(
    "a caller gets a complete success from an endpoint that cuts its head",
    "[platform][cut_head]") {
  // Regression: a head that stopped in the middle became a 200 with an empty or
  // short body that looked complete.
  struct Row {
    std::string name_;
    std::string path_;
    std::string status_;
    /// Whether the caller has received an event before.
    bool resumed_;
  };
  const auto row =
      GENERATE(Row{"repeatable", "/safe/x", "200 OK", false},
               Row{"not repeatable", "/once/x", "200 OK", false},
               Row{"stream", "/stream/x", "200 OK", false},
               Row{"resumed stream", "/stream/x", "200 OK", true},
               Row{"failure", "/safe/x", "500 Internal Server Error", false});
  CAPTURE(row.name_);
  Deployment deployment;
  CuttingEndpoint first;
  CuttingEndpoint second;
  deployment.first_.SetAdvertisedAddress(LocalAddress(first.port()));
  deployment.second_.SetAdvertisedAddress(LocalAddress(second.port()));
  deployment.PutRows();
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  int requests = 0;
  for (const auto framing :
       {Framing::kLength, Framing::kChunks, Framing::kNone}) {
    for (const bool reset : {false, true}) {
      Cut cut{.framing_ = framing,
              .status_ = row.status_,
              .reset_ = reset,
              .resumed_only_ = row.resumed_};
      const auto head_size = Head("a1", cut).size();
      // Without framing nothing shows that a body is cut.
      const auto end =
          framing == Framing::kNone ? head_size : head_size + kMaxBodyBytes;
      for (cut.size_ = 1; cut.size_ < end; cut.size_ += kStep) {
        CAPTURE(static_cast<int>(framing), reset, cut.size_);
        first.Set(cut);
        second.Set(cut);
        // Repetitions of one request would be quarantined.
        const auto body = std::to_string(1000 + requests++);
        const RawSocket caller(entry.caller_port_);
        caller.Send(RequestText(row.path_, "k1", "", body));
        const auto response = caller.ReadUntil();
        const auto status = Status(response);
        REQUIRE_FALSE(status.empty());
        const bool failed = status == "502" || status == "503";
        CHECK((failed || !LooksComplete(response, caller.reset())));
      }
    }
  }
  CHECK(first.cuts() + second.cuts() > requests / 2);
}

}  // namespace
}  // namespace chalkwell::platform_tests
