#include <cppunit/TestAssert.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "support/scriptedserver.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using test::CollectedResponse;
using test::ScriptedServer;

constexpr std::size_t kMaxBodyBytes = 3000;
constexpr std::size_t kMaxPieces = 5;
constexpr std::size_t kMaxLateResponses = 2;
constexpr int kRoundsPerSeed = 60;

enum class Framing { kLength, kChunks, kNone };
constexpr std::array kFramings{Framing::kLength, Framing::kChunks, Framing::kNone};

// The fault in the bytes that a server sends.
// kInsertedRefusal is a refusal of another request inside the head; kCutRefusal one that is cut in
// its head and followed by the response.
enum class Damage {
  kNone,
  kTruncated,
  kCorruptHead,
  kTrailingBytes,
  kInsertedRefusal,
  kCutRefusal
};

std::string RandomBody(RandomSource& random) {
  std::string body(random.Below(kMaxBodyBytes + 1), ' ');
  for (char& byte : body) byte = static_cast<char>(random.Below(256));
  return body;
}

std::string Chunked(RandomSource& random, std::string_view body) {
  std::string text;
  while (!body.empty()) {
    const std::size_t size = 1 + random.Below(body.size());
    std::array<char, 16> digits{};
    std::snprintf(digits.data(), digits.size(), "%zx\r\n", size);
    text += digits.data() + std::string(body.substr(0, size)) + "\r\n";
    body.remove_prefix(size);
  }
  return text + "0\r\n\r\n";
}

std::string Head(std::string_view id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) + "\r\nSeal: s\r\n";
}

// A refusal of another request, with its fields in random order.
std::string MakeRefusal(RandomSource& random) {
  std::vector<std::string> fields{"Request-Id: other\r\n", "Not-Run: 1\r\n",
                                  "Content-Length: 0\r\n", "Retry-After: 0.3\r\n"};
  std::string text = "HTTP/1.1 503 Busy\r\n";
  while (!fields.empty()) {
    const auto field = fields.begin() + static_cast<std::ptrdiff_t>(random.Below(fields.size()));
    text += *field;
    fields.erase(field);
  }
  return text + "\r\n";
}

std::string MakeResponse(RandomSource& random, std::string_view id, Framing framing,
                         std::string_view body) {
  switch (framing) {
    case Framing::kLength:
      return Head(id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             std::string(body);
    case Framing::kChunks:
      return Head(id) + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(random, body);
    case Framing::kNone:
      return Head(id) + "\r\n" + std::string(body);
  }
  return {};
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

struct FuzzRow {
  std::string_view name;
  Damage damage;
  std::uint64_t seed;
};

constexpr std::array kRows{
    FuzzRow{"whole, 1", Damage::kNone, 1},
    FuzzRow{"whole, 2", Damage::kNone, 2},
    FuzzRow{"cut short, 3", Damage::kTruncated, 3},
    FuzzRow{"cut short, 4", Damage::kTruncated, 4},
    FuzzRow{"spoiled head, 5", Damage::kCorruptHead, 5},
    FuzzRow{"spoiled head, 6", Damage::kCorruptHead, 6},
    FuzzRow{"bytes behind, 7", Damage::kTrailingBytes, 7},
    FuzzRow{"refusal inside, 8", Damage::kInsertedRefusal, 8},
    FuzzRow{"refusal inside, 9", Damage::kInsertedRefusal, 9},
    FuzzRow{"cut refusal before, 10", Damage::kCutRefusal, 10},
    FuzzRow{"cut refusal before, 11", Damage::kCutRefusal, 11},
};

// The bytes that a faulty server sends and the body of the response that belongs to the request.
struct Script {
  std::string bytes;
  std::string own_body;
  ScriptedServer::End end = ScriptedServer::End::kClose;
};

Script MakeScript(RandomSource& random, Damage damage) {
  Script script;
  for (std::size_t late = random.Below(kMaxLateResponses + 1); late > 0; --late) {
    const Framing framing = random.Below(2) == 0 ? Framing::kLength : Framing::kChunks;
    script.bytes += MakeResponse(random, "other", framing, RandomBody(random));
  }
  Framing framing = kFramings[random.Below(kFramings.size())];
  // What follows the head of a close-delimited response belongs to its body.
  if (damage == Damage::kTrailingBytes && framing == Framing::kNone) framing = Framing::kLength;
  script.own_body = RandomBody(random);
  std::string own = MakeResponse(random, "mine", framing, script.own_body);
  if (damage == Damage::kTruncated) {
    own.resize(random.Below(own.size()));
    // An orderly close ends a close-delimited response at any point, so only a reset truncates it.
    if (framing == Framing::kNone) script.end = ScriptedServer::End::kReset;
  } else if (damage == Damage::kCorruptHead) {
    own[random.Below(Head("mine").size())] = static_cast<char>(random.Below(256));
  } else if (damage == Damage::kTrailingBytes) {
    own += MakeResponse(random, "other", Framing::kLength, RandomBody(random));
  } else if (damage == Damage::kInsertedRefusal) {
    const std::size_t head = own.find("\r\n\r\n");
    own.insert(1 + random.Below(head), MakeRefusal(random));
  } else if (damage == Damage::kCutRefusal) {
    std::string refusal = MakeRefusal(random);
    refusal.resize(1 + random.Below(refusal.size() - 1));
    own.insert(0, refusal);
  }
  script.bytes += own;
  return script;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

void CheckAnswer(const Script& script, Damage damage, const CollectedResponse& answer) {
  // Only bytes of the request's own response may be passed on.
  const bool is_own = script.own_body.compare(0, answer.body.size(), answer.body) == 0;
  CPPUNIT_ASSERT(is_own || (damage == Damage::kCorruptHead && !IsSuccess(answer.status)));
  // The server refused no request but another one.
  CPPUNIT_ASSERT(!answer.refused);
  const bool is_whole = answer.complete && answer.body == script.own_body;
  switch (damage) {
    case Damage::kNone:
    case Damage::kTrailingBytes:
      CPPUNIT_ASSERT(is_whole && IsSuccess(answer.status));
      return;
    case Damage::kInsertedRefusal:
    case Damage::kCutRefusal:
      CPPUNIT_ASSERT(answer.failure || is_whole);
      return;
    case Damage::kTruncated:
      CPPUNIT_ASSERT(!answer.complete && answer.failure);
      return;
    case Damage::kCorruptHead:
      CPPUNIT_ASSERT(!answer.complete || !IsSuccess(answer.status) || is_whole);
      return;
  }
}

// Guards against a parser that passes on bytes of another response, treats a truncated response as
// complete, or loses a complete one, regardless of how the bytes are split in transit.
void TestFuzzedAnswers(const FuzzRow& row) {
  RandomSource random(row.seed);
  for (int round = 0; round < kRoundsPerSeed; ++round) {
    const Script script = MakeScript(random, row.damage);
    const ScriptedServer server(Split(random, script.bytes), script.end);
    CheckAnswer(script, row.damage, test::FetchFrom(server));
  }
}

const test::TableTest<FuzzRow> registration("AnswerFuzz", kRows, TestFuzzedAnswers);

}  // namespace

}  // namespace damaskhollow
