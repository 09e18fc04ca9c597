// Both texts are split where their rows end, so that a row that was put in
// moves no other split; equal rows are found by their text.
#include "chalkwell/config/document_delta.hpp"

#include <algorithm>
#include <unordered_map>

namespace chalkwell::config {
namespace {

/// Ends a row of a JSON document; any other text is split by length alone.
constexpr char kRowEnd = '}';
/// Longest piece: one changed byte costs at most this much.
constexpr std::size_t kLongestPiece = 1024;

struct Piece {
  std::size_t offset_ = 0;
  std::string_view text_;
};

std::vector<Piece> Split(std::string_view text) {
  std::vector<Piece> pieces;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const auto window = text.substr(begin, kLongestPiece);
    const auto end = window.find(kRowEnd);
    const auto length = end == std::string_view::npos ? window.size() : end + 1;
    pieces.push_back({begin, window.substr(0, length)});
    begin += length;
  }
  return pieces;
}

/// Whether a run of the base goes on in the last part.
bool Continues(const std::vector<DeltaPart>& parts, std::size_t offset) {
  return !parts.empty() && parts.back().text_.empty() &&
         parts.back().offset_ + parts.back().length_ == offset;
}

}  // namespace

std::vector<DeltaPart> MakeDelta(std::string_view base,
                                 std::string_view target) {
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (const auto& piece : Split(base)) {
    offsets.emplace(piece.text_, piece.offset_);
  }
  std::vector<DeltaPart> parts;
  for (const auto& piece : Split(target)) {
    const auto next =
        parts.empty() ? 0 : parts.back().offset_ + parts.back().length_;
    const auto found = offsets.find(piece.text_);
    if (found == offsets.end()) {
      if (parts.empty()) {
        parts.emplace_back();
      }
      parts.back().text_ += piece.text_;
      continue;
    }
    // The same row may stand in several places: the run goes on if it can.
    const bool here = base.substr(std::min<std::size_t>(next, base.size()),
                                  piece.text_.size()) == piece.text_;
    const auto offset = here ? next : found->second;
    if (Continues(parts, offset)) {
      parts.back().length_ += piece.text_.size();
    } else {
      parts.push_back({offset, piece.text_.size(), {}});
    }
  }
  return parts;
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const std::vector<DeltaPart>& delta,
                                      std::size_t longest) {
  std::string text;
  for (const auto& part : delta) {
    const bool inside = part.offset_ <= base.size() &&
                        part.length_ <= base.size() - part.offset_;
    const auto more = part.length_ + part.text_.size();
    if (!inside || more > longest - text.size()) {
      return std::nullopt;
    }
    text += base.substr(part.offset_, part.length_);
    text += part.text_;
  }
  return text;
}

}  // namespace chalkwell::config
