#include "configuration/textchange.h"

#include <unordered_map>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

// Splits a text into lines, each with its line feed.
std::vector<std::string_view> LinesOf(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return lines;
}

}  // namespace

std::uint64_t HashOfText(std::string_view text) { return StableHash("text", text); }

TextChange DescribeChange(std::string_view base, std::string_view text) {
  std::unordered_map<std::string_view, std::size_t> positions;
  const std::vector<std::string_view> base_lines = LinesOf(base);
  for (std::size_t index = 0; index < base_lines.size(); ++index) {
    positions.emplace(base_lines[index], index);
  }
  TextChange change;
  for (const std::string_view line : LinesOf(text)) {
    const auto found = positions.find(line);
    if (found == positions.end()) {
      if (change.segments.empty()) change.segments.emplace_back();
      change.segments.back().added += line;
      continue;
    }
    TextSegment* last = change.segments.empty() ? nullptr : &change.segments.back();
    const bool continues = last != nullptr && last->added.empty() &&
                           last->first_line + last->line_count == found->second;
    if (continues) {
      ++last->line_count;
    } else {
      change.segments.push_back({found->second, 1, {}});
    }
  }
  change.result_hash = HashOfText(text);
  return change;
}

std::optional<std::string> ApplyChange(std::string_view base, const TextChange& change,
                                       std::size_t max_bytes) {
  const std::vector<std::string_view> lines = LinesOf(base);
  std::string text;
  for (const TextSegment& segment : change.segments) {
    const bool is_in_base = segment.first_line <= lines.size() &&
                            segment.line_count <= lines.size() - segment.first_line;
    if (!is_in_base) return std::nullopt;
    for (std::size_t index = 0; index < segment.line_count; ++index) {
      text += lines[segment.first_line + index];
      if (text.size() > max_bytes) return std::nullopt;
    }
    text += segment.added;
    if (text.size() > max_bytes) return std::nullopt;
  }
  if (HashOfText(text) != change.result_hash) return std::nullopt;
  return text;
}

}  // namespace damaskhollow
