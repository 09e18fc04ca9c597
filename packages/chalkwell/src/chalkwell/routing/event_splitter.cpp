// An event ends with a blank line; its id is in the field "id: N".
#include "chalkwell/routing/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace chalkwell::routing {
namespace {

constexpr std::string_view kIdField = "id:";

/// Length of the first event with its blank line; 0 when it is incomplete.
std::size_t FirstEventSize(std::string_view bytes) {
  for (std::size_t at = bytes.find('\n'); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    auto next = at + 1;
    if (next < bytes.size() && bytes[next] == '\r') {
      ++next;
    }
    if (next < bytes.size() && bytes[next] == '\n') {
      return next + 1;
    }
  }
  return 0;
}

std::optional<std::uint64_t> ParseId(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    const auto end = std::min(event.find('\n', begin), event.size());
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
