// An event ends with a blank line; its id is in the field "id: N".
#include "chalkwell/routing/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace chalkwell::routing {
namespace {

constexpr std::string_view kIdField = "id:";

/// Line ends are LF, CR LF and CR.
constexpr std::string_view kLineEnds = "\r\n";

/// Position after the line end at `at`.
std::size_t AfterLineEnd(std::string_view bytes, std::size_t at) {
  const bool two_bytes = bytes.substr(at, 2) == "\r\n";
  return at + (two_bytes ? 2 : 1);
}

/// Length of the first event with its blank line, and with blank lines before
/// it; 0 when it is incomplete.
std::size_t FirstEventSize(std::string_view bytes) {
  auto at = bytes.find_first_not_of(kLineEnds);
  at = bytes.find_first_of(kLineEnds, at);
  while (at != std::string_view::npos) {
    const auto next = AfterLineEnd(bytes, at);
    if (bytes.substr(next) == "\r" && bytes[next - 1] == '\n') {
      // The first byte of CR LF, in a stream that uses it.
      return 0;
    }
    if (bytes.find_first_of(kLineEnds, next) == next) {
      return AfterLineEnd(bytes, next);
    }
    at = bytes.find_first_of(kLineEnds, next);
  }
  return 0;
}

std::optional<std::uint64_t> ParseId(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    const auto end =
        std::min(event.find_first_of(kLineEnds, begin), event.size());
    auto line = event.substr(begin, end - begin);
    begin = end + 1;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    return error == std::errc{} && stop != line.data() ? std::optional(id)
                                                       : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

bool EventSplitter::inside_event() const noexcept {
  return partial_event_.find_first_not_of(kLineEnds) != std::string::npos;
}

CompleteEvents EventSplitter::Append(std::string_view bytes) {
  partial_event_.append(bytes);
  CompleteEvents events;
  std::size_t begin = 0;
  for (;;) {
    const auto remainder = std::string_view(partial_event_).substr(begin);
    const auto size = FirstEventSize(remainder);
    if (size == 0) {
      break;
    }
    const auto event = remainder.substr(0, size);
    begin += size;
    const auto id = ParseId(event);
    if (id && last_id_ && *id <= *last_id_) {
      continue;
    }
    if (id) {
      last_id_ = id;
    }
    events.bytes_.append(event);
    ++events.count_;
  }
  partial_event_.erase(0, begin);
  return events;
}

}  // namespace chalkwell::routing
