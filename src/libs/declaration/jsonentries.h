#ifndef DAMASKHOLLOW_DECLARATION_JSONENTRIES_H_
#define DAMASKHOLLOW_DECLARATION_JSONENTRIES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhollow {

// The text of a JSON object, split at the entries of one of its array fields.
struct JsonEntries {
  std::vector<std::string_view> entries;  // Without the white space around them.
  // The object with kSplitField in place of the array. If the text is not valid JSON, neither is
  // this text or one of the entries.
  std::string rest;
};

// Returns the position after the JSON string that starts at `start`, or the end of the text.
std::size_t EndOfJsonString(std::string_view text, std::size_t start);

// Value of the split field in JsonEntries::rest. Any other value there shows that the object has
// the field more than once, so that the last one counts.
inline constexpr int kSplitField = 0;

// Splits an object at the entries of `field`, so that entries known from an earlier text need not
// be parsed again. Empty if the object has no such field or it is not an array.
std::optional<JsonEntries> SplitJsonArray(std::string_view text, std::string_view field);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_JSONENTRIES_H_
