// Splits both texts at the ends of rows, so that an inserted row moves no other
// boundary, and finds equal segments by their text.
#include "chalkwell/config/document_delta.hpp"

#include <algorithm>
#include <unordered_map>

namespace chalkwell::config {
namespace {

/// Ends a row of a JSON document. Text without it is split by length alone.
constexpr char kRowEnd = '}';
/// A changed byte costs at most this many bytes of new text.
constexpr std::size_t kMaxSegmentBytes = 1024;

struct Segment {
  std::size_t offset_ = 0;
  std::string_view text_;
};

std::vector<Segment> Split(std::string_view text) {
  std::vector<Segment> segments;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const auto window = text.substr(begin, kMaxSegmentBytes);
    const auto end = window.find(kRowEnd);
    const auto length = end == std::string_view::npos ? window.size() : end + 1;
    segments.push_back({begin, window.substr(0, length)});
    begin += length;
  }
  return segments;
}

/// Whether the range of the last part ends at `offset` and may be extended.
bool CanExtend(const std::vector<DeltaPart>& parts, std::size_t offset) {
  return !parts.empty() && parts.back().text_.empty() &&
         parts.back().offset_ + parts.back().length_ == offset;
}

}  // namespace

std::vector<DeltaPart> MakeDelta(std::string_view base,
                                 std::string_view target) {
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (const auto& segment : Split(base)) {
    offsets.emplace(segment.text_, segment.offset_);
  }
  std::vector<DeltaPart> parts;
  for (const auto& segment : Split(target)) {
    const auto next =
        parts.empty() ? 0 : parts.back().offset_ + parts.back().length_;
    const auto found = offsets.find(segment.text_);
    if (found == offsets.end()) {
      if (parts.empty()) {
        parts.emplace_back();
      }
      parts.back().text_ += segment.text_;
      continue;
    }
    // Equal segments may occur several times in the base: extends the current
    // range if the base continues with this one.
    const bool contiguous =
        base.substr(std::min<std::size_t>(next, base.size()),
                    segment.text_.size()) == segment.text_;
    const auto offset = contiguous ? next : found->second;
    if (CanExtend(parts, offset)) {
      parts.back().length_ += segment.text_.size();
    } else {
      parts.push_back({offset, segment.text_.size(), {}});
    }
  }
  return parts;
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<DeltaPart>& delta,
                                      std::size_t max_bytes) {
  std::string text;
  for (const auto& part : delta) {
    const bool in_range = part.offset_ <= base.size() &&
                          part.length_ <= base.size() - part.offset_;
    const auto added = part.length_ + part.text_.size();
    if (!in_range || added > max_bytes - text.size()) {
      return std::nullopt;
    }
    text += base.substr(part.offset_, part.length_);
    text += part.text_;
  }
  return text;
}

}  // namespace chalkwell::config
