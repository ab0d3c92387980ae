#include "declaration/jsonentries.h"

#include <algorithm>
#include <cstddef>

namespace damaskhollow {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trimmed(std::string_view text) {
  const std::size_t start = text.find_first_not_of(kSpace);
  if (start == std::string_view::npos) return {};
  return text.substr(start, text.find_last_not_of(kSpace) + 1 - start);
}

bool IsOpening(char character) { return character == '{' || character == '['; }
bool IsClosing(char character) { return character == '}' || character == ']'; }

// Returns the position of the first character of the array `field` of the outermost object, or
// nullopt.
std::optional<std::size_t> FindArray(std::string_view text, std::string_view field) {
  std::size_t depth = 0;
  for (std::size_t index = 0; index < text.size();) {
    if (text[index] != '"') {
      if (IsOpening(text[index])) ++depth;
      if (IsClosing(text[index]) && depth > 0) --depth;
      ++index;
      continue;
    }
    const std::size_t end = EndOfJsonString(text, index);
    const bool is_field = depth == 1 && end - index == field.size() + 2 &&
                          text.substr(index + 1, field.size()) == field;
    index = end;
    if (!is_field) continue;
    const std::size_t colon = text.find_first_not_of(kSpace, end);
    if (colon == std::string_view::npos || text[colon] != ':') continue;
    const std::size_t value = text.find_first_not_of(kSpace, colon + 1);
    if (value == std::string_view::npos || text[value] != '[') return std::nullopt;
    return value;
  }
  return std::nullopt;
}

}  // namespace

std::size_t EndOfJsonString(std::string_view text, std::size_t start) {
  std::size_t index = start + 1;
  while (index < text.size() && text[index] != '"') index += text[index] == '\\' ? 2 : 1;
  return std::min(index + 1, text.size());
}

std::optional<JsonEntries> SplitJsonArray(std::string_view text, std::string_view field) {
  const std::optional<std::size_t> start = FindArray(text, field);
  if (!start) return std::nullopt;
  JsonEntries split;
  std::size_t depth = 0;
  std::size_t entry = *start + 1;
  for (std::size_t index = entry; index < text.size();) {
    const char character = text[index];
    if (character == '"') {
      index = EndOfJsonString(text, index);
      continue;
    }
    const bool is_end = depth == 0 && IsClosing(character);
    if (is_end || (depth == 0 && character == ',')) {
      const std::string_view found = Trimmed(text.substr(entry, index - entry));
      // An array with one empty entry has none.
      if (!is_end || !found.empty() || !split.entries.empty()) split.entries.push_back(found);
      entry = index + 1;
    }
    if (is_end) {
      if (character != ']') return std::nullopt;
      split.rest = std::string(text.substr(0, *start)) + std::to_string(kSplitField);
      split.rest += text.substr(index + 1);
      return split;
    }
    if (IsOpening(character)) ++depth;
    if (IsClosing(character)) --depth;
    ++index;
  }
  return std::nullopt;
}

}  // namespace damaskhollow
