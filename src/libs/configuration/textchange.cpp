#include "configuration/textchange.h"

#include <unordered_map>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

// Splits a text into pieces that end with a line feed or with the comma after a JSON object, so
// that compact JSON has one piece per entry of its lists.
std::vector<std::string_view> PiecesOf(std::string_view text) {
  std::vector<std::string_view> pieces;
  std::size_t start = 0;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool is_end_of_object = text[index] == ',' && index > 0 && text[index - 1] == '}';
    if (text[index] != '\n' && !is_end_of_object) continue;
    pieces.push_back(text.substr(start, index + 1 - start));
    start = index + 1;
  }
  if (start < text.size()) pieces.push_back(text.substr(start));
  return pieces;
}

}  // namespace

std::uint64_t HashOfText(std::string_view text) { return StableHash("text", text); }

TextChange DescribeChange(std::string_view base, std::string_view text) {
  std::unordered_map<std::string_view, std::size_t> positions;
  const std::vector<std::string_view> base_pieces = PiecesOf(base);
  for (std::size_t index = 0; index < base_pieces.size(); ++index) {
    positions.emplace(base_pieces[index], index);
  }
  TextChange change;
  for (const std::string_view piece : PiecesOf(text)) {
    TextSegment* last = change.segments.empty() ? nullptr : &change.segments.back();
    // Of equal pieces, the one that continues the last segment is preferred over the first one.
    const std::size_t next = last == nullptr ? 0 : last->first_piece + last->piece_count;
    if (last != nullptr && last->added.empty() && next < base_pieces.size() &&
        base_pieces[next] == piece) {
      ++last->piece_count;
      continue;
    }
    const auto found = positions.find(piece);
    if (found != positions.end()) {
      change.segments.push_back({found->second, 1, {}});
      continue;
    }
    if (last == nullptr) last = &change.segments.emplace_back();
    last->added += piece;
  }
  change.result_hash = HashOfText(text);
  return change;
}

std::optional<std::string> ApplyChange(std::string_view base, const TextChange& change,
                                       std::size_t max_bytes) {
  const std::vector<std::string_view> pieces = PiecesOf(base);
  std::string text;
  for (const TextSegment& segment : change.segments) {
    const bool is_in_base = segment.first_piece <= pieces.size() &&
                            segment.piece_count <= pieces.size() - segment.first_piece;
    if (!is_in_base) return std::nullopt;
    for (std::size_t index = 0; index < segment.piece_count; ++index) {
      text += pieces[segment.first_piece + index];
      if (text.size() > max_bytes) return std::nullopt;
    }
    text += segment.added;
    if (text.size() > max_bytes) return std::nullopt;
  }
  if (HashOfText(text) != change.result_hash) return std::nullopt;
  return text;
}

}  // namespace damaskhollow
