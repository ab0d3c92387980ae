#ifndef DAMASKHOLLOW_CONFIGURATION_TEXTCHANGE_H_
#define DAMASKHOLLOW_CONFIGURATION_TEXTCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhollow {

// Pieces copied from a base text, followed by text that is not in it. A piece is a line, or an
// entry of a list of objects in compact JSON.
struct TextSegment {
  std::size_t first_piece = 0;
  std::size_t piece_count = 0;
  std::string added;
};

// A text as a change of a base text. Documents mostly change in few pieces, so that a change is
// much shorter than the text.
struct TextChange {
  std::vector<TextSegment> segments;
  std::uint64_t result_hash = 0;  // Of the complete new text.
};

// Returns the hash that identifies a text in changes and in requests for them.
std::uint64_t HashOfText(std::string_view text);

// Returns `text` as a change of `base`.
TextChange DescribeChange(std::string_view base, std::string_view text);

// Returns the text that `change` makes of `base`. Empty if the change refers to pieces that the
// base does not have, if the result is longer than `max_bytes`, or if it is not the text that the
// change was made from.
std::optional<std::string> ApplyChange(std::string_view base, const TextChange& change,
                                       std::size_t max_bytes);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_TEXTCHANGE_H_
