#include <cppunit/TestAssert.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "support/responsegrammar.h"
#include "support/scriptedserver.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using test::ScriptedServer;

constexpr int kRoundsPerSeed = 250;
constexpr std::size_t kMaxChanges = 3;
constexpr std::size_t kMaxPieces = 4;

// Texts that tend to change how a head is read.
constexpr std::array<std::string_view, 24> kTexts{" ",
                                                  "\t",
                                                  "\r",
                                                  "\n",
                                                  "\r\n",
                                                  "\r\n ",
                                                  "\r\n\t",
                                                  ":",
                                                  ": ",
                                                  "\x01",
                                                  "\x1b",
                                                  "\x7f",
                                                  "\x80",
                                                  "\xff",
                                                  "0",
                                                  "9",
                                                  "HTTP/",
                                                  "HTTP/1.1",
                                                  "Seal: s2\r\n",
                                                  "\r\n\r\n",
                                                  "\"",
                                                  ",",
                                                  "chunked",
                                                  "Content-Length: 1\r\n"};

// What is sent before the head that is changed.
constexpr std::array<std::string_view, 3> kPrefixes{
    "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nxx"};

std::string RandomHead(RandomSource& random) {
  std::vector<std::string> fields{"Request-Id: mine\r\n", "Seal: s\r\n", "X-Other: a b\r\n",
                                  "Keep-Alive: timeout=5\r\n"};
  fields.emplace_back(random.Below(2) == 0 ? "Content-Length: 3\r\n"
                                           : "Transfer-Encoding: chunked\r\n");
  std::string head = "HTTP/1.1 200 OK\r\n";
  while (!fields.empty()) {
    const auto field = fields.begin() + static_cast<std::ptrdiff_t>(random.Below(fields.size()));
    head += *field;
    fields.erase(field);
  }
  return head + "\r\n";
}

// Replaces or removes bytes, or inserts texts, at random places.
void Change(RandomSource& random, std::string& head) {
  for (std::size_t changes = 1 + random.Below(kMaxChanges); changes > 0 && !head.empty();
       --changes) {
    const std::size_t place = random.Below(head.size());
    const std::string_view text = kTexts[random.Below(kTexts.size())];
    switch (random.Below(4)) {
      case 0:
        head[place] = static_cast<char>(random.Below(256));
        break;
      case 1:
        head.erase(place, 1);
        break;
      case 2:
        head.replace(place, 1, text);
        break;
      default:
        head.insert(place, text);
        break;
    }
  }
}

std::vector<std::string> Split(RandomSource& random, std::string_view bytes) {
  std::vector<std::string> pieces;
  while (!bytes.empty() && pieces.size() + 1 < kMaxPieces) {
    const std::size_t size = 1 + random.Below(bytes.size());
    pieces.emplace_back(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  if (!bytes.empty()) pieces.emplace_back(bytes);
  return pieces;
}

struct HeadFuzzRow {
  std::string_view name;
  bool changes_head;
  std::uint64_t seed;
};

constexpr std::array kRows{
    HeadFuzzRow{"sound heads", false, 1},     HeadFuzzRow{"changed heads, 2", true, 2},
    HeadFuzzRow{"changed heads, 3", true, 3}, HeadFuzzRow{"changed heads, 4", true, 4},
    HeadFuzzRow{"changed heads, 5", true, 5},
};

// Guards against a head that the parser takes although the grammar of RFC 9112 does not, wherever
// it is broken, and against a sound one that is refused.
void TestHeads(const HeadFuzzRow& row) {
  RandomSource random(row.seed);
  for (int round = 0; round < kRoundsPerSeed; ++round) {
    std::string head = RandomHead(random);
    const std::string body =
        head.find("chunked") == std::string::npos ? "abc" : "3\r\nabc\r\n0\r\n\r\n";
    if (row.changes_head) Change(random, head);
    const std::string prefix(kPrefixes[random.Below(kPrefixes.size())]);
    std::string bytes = prefix;
    bytes += head;
    bytes += body;
    const ScriptedServer server(Split(random, bytes), ScriptedServer::End::kClose);
    const test::CollectedResponse answer = test::FetchFrom(server);
    const std::string text = "round " + std::to_string(round) + ": " + bytes;
    if (!row.changes_head) CPPUNIT_ASSERT_MESSAGE(text, answer.complete && answer.body == "abc");
    const bool is_accepted = answer.status != 0;
    CPPUNIT_ASSERT_MESSAGE(text, !is_accepted || test::StartsWithValidHead(head));
  }
}

const test::TableTest<HeadFuzzRow> registration("HeadFuzz", kRows, &TestHeads);

}  // namespace

}  // namespace damaskhollow
