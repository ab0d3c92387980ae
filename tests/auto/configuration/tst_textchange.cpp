#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "base/randomsource.h"
#include "configuration/textchange.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kMaxBytes = 1000000;

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

std::size_t AddedBytes(const TextChange& change) {
  std::size_t bytes = 0;
  for (const TextSegment& segment : change.segments) bytes += segment.added.size();
  return bytes;
}

}  // namespace

class TextChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextChangeTest);
  CPPUNIT_TEST(RestoresAnyText);
  CPPUNIT_TEST(OneChangedLineIsShort);
  CPPUNIT_TEST(OneChangedEntryOfCompactJsonIsShort);
  CPPUNIT_TEST(RefusesWhatDoesNotApply);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Property test: random edits of lines, with duplicates, empty texts and a missing line feed at
  // the end.
  void RestoresAnyText() {
    for (const std::uint64_t seed : {1, 20, 300}) {
      RandomSource random(seed);
      std::vector<std::string> lines;
      std::string base;
      for (int round = 0; round < 2000; ++round) {
        const std::size_t edits = random.Below(4);
        for (std::size_t edit = 0; edit < edits; ++edit) {
          const std::size_t position = random.Below(lines.size() + 1);
          const auto at = lines.begin() + static_cast<std::ptrdiff_t>(position);
          const bool removes = position < lines.size() && random.Below(2) == 0;
          if (removes) {
            lines.erase(at);
          } else {
            lines.insert(at,
                         std::to_string(random.Below(12)) + (random.Below(3) == 0 ? "},{" : ""));
          }
        }
        std::string text = Join(lines);
        if (!text.empty() && random.Below(5) == 0) text.pop_back();
        const std::optional<std::string> applied =
            ApplyChange(base, DescribeChange(base, text), kMaxBytes);
        CPPUNIT_ASSERT(applied);
        CPPUNIT_ASSERT_EQUAL(text, *applied);
        base = text;
      }
    }
  }

  // Guards against sending the whole list of a fleet to every node when one entry changes.
  void OneChangedLineIsShort() {
    for (const std::size_t entries : {10U, 80U, 195U, 1200U}) {
      std::vector<std::string> lines;
      for (std::size_t entry = 0; entry < entries; ++entry) {
        lines.push_back("entry " + std::to_string(entry));
      }
      const std::string base = Join(lines);
      lines[entries / 2] = "changed";
      const TextChange change = DescribeChange(base, Join(lines));
      CPPUNIT_ASSERT(change.segments.size() <= 2);
      CPPUNIT_ASSERT_EQUAL(std::string("changed\n").size(), AddedBytes(change));
    }
  }

  // Guards against a change that is no shorter than the text, because the text is one line, or that
  // refers to each entry by itself, because the entries have equal parts.
  void OneChangedEntryOfCompactJsonIsShort() {
    for (const std::size_t entries : {10U, 1400U}) {
      std::vector<std::string> routes;
      for (std::size_t entry = 0; entry < entries; ++entry) {
        routes.push_back(R"({"id":")" + std::to_string(entry) +
                         R"(","parts":[{"service":"a","weight":1},{"service":"b","weight":2}]})");
      }
      const auto text_of = [&] {
        std::string text = "[";
        for (const std::string& route : routes) text += (text.size() > 1 ? "," : "") + route;
        return text + "]";
      };
      const std::string base = text_of();
      routes[entries / 2] = R"({"id":"changed"})";
      const std::string text = text_of();
      const TextChange change = DescribeChange(base, text);
      CPPUNIT_ASSERT(change.segments.size() <= 2);
      CPPUNIT_ASSERT_EQUAL(routes[entries / 2].size() + 1, AddedBytes(change));
      const std::optional<std::string> applied = ApplyChange(base, change, kMaxBytes);
      CPPUNIT_ASSERT(applied);
      CPPUNIT_ASSERT_EQUAL(text, *applied);
    }
  }

  void RefusesWhatDoesNotApply() {
    const std::string base = "a\nb\nc\n";
    const TextChange good = DescribeChange(base, "a\nx\nc\n");
    CPPUNIT_ASSERT(ApplyChange(base, good, kMaxBytes));
    CPPUNIT_ASSERT(!ApplyChange("a\nb\nd\n", good, kMaxBytes));  // Another base.
    CPPUNIT_ASSERT(!ApplyChange("", good, kMaxBytes));
    CPPUNIT_ASSERT(!ApplyChange(base, good, 3));  // Longer than allowed.
    TextChange bad = good;
    bad.result_hash += 1;
    CPPUNIT_ASSERT(!ApplyChange(base, bad, kMaxBytes));
    struct Row {
      std::size_t first_piece;
      std::size_t piece_count;
    };
    constexpr std::size_t kHuge = static_cast<std::size_t>(-1);
    constexpr std::array kRows{Row{0, 4}, Row{3, 1}, Row{4, 0}, Row{kHuge, 1}, Row{1, kHuge}};
    for (const Row& row : kRows) {
      bad = good;
      bad.segments.front().first_piece = row.first_piece;
      bad.segments.front().piece_count = row.piece_count;
      CPPUNIT_ASSERT(!ApplyChange(base, bad, kMaxBytes));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextChangeTest);

}  // namespace damaskhollow
