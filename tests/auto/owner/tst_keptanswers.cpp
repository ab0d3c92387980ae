#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "owner/retransmitcache.h"

namespace damaskhollow {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};

wire::ResponseChunk ChunkOf(std::uint32_t sequence, std::size_t bytes, bool last = false) {
  wire::ResponseChunk chunk;
  chunk.set_sequence(sequence);
  chunk.set_data(std::string(bytes, 'x'));
  chunk.set_last(last);
  if (sequence == 0) chunk.mutable_head()->set_status(200);
  return chunk;
}

// Returns a response of three chunks: the head with 100 bytes, 200 bytes, and an empty last chunk.
RetransmitBuffer BufferOfThree() {
  RetransmitBuffer buffer;
  buffer.Add(ChunkOf(0, 100));
  buffer.Add(ChunkOf(1, 200));
  buffer.Add(ChunkOf(2, 0, true));
  return buffer;
}

std::vector<std::uint32_t> SequencesFrom(const RetransmitBuffer& buffer,
                                         std::uint32_t next_sequence) {
  std::vector<std::uint32_t> sequences;
  for (const wire::Envelope& message : buffer.MessagesFrom(next_sequence)) {
    sequences.push_back(message.response_chunk().sequence());
  }
  return sequences;
}

CallKey KeyOf(std::uint64_t call) {
  return {BackendServerId("ingress"), Incarnation{1}, CallId{call}};
}

}  // namespace

class KeptAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeptAnswersTest);
  CPPUNIT_TEST(SendsWhatIsMissing);
  CPPUNIT_TEST(KeepsChunksUntilTheyAreCredited);
  CPPUNIT_TEST(CreditIsTheSameInAnyPieces);
  CPPUNIT_TEST(SendsNothingAfterAGap);
  CPPUNIT_TEST(BoundsBytesIncludingHeads);
  CPPUNIT_TEST(DropsOldAnswers);
  CPPUNIT_TEST(KeepsFirstAnswerOfACall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SendsWhatIsMissing() {
    const RetransmitBuffer buffer = BufferOfThree();
    CPPUNIT_ASSERT((SequencesFrom(buffer, 0) == std::vector<std::uint32_t>{0, 1, 2}));
    CPPUNIT_ASSERT((SequencesFrom(buffer, 2) == std::vector<std::uint32_t>{2}));
    CPPUNIT_ASSERT(SequencesFrom(buffer, 3).empty());
    CPPUNIT_ASSERT(buffer.MessagesFrom(0).front().response_chunk().has_head());
  }

  // Guards against a response that cannot be sent again because a chunk was removed too early.
  void KeepsChunksUntilTheyAreCredited() {
    struct Row {
      std::size_t credited;
      std::size_t kept;
    };
    for (const Row& row :
         std::array{Row{0, 3}, Row{99, 3}, Row{100, 2}, Row{299, 2}, Row{300, 1}, Row{100000, 1}}) {
      RetransmitBuffer buffer = BufferOfThree();
      buffer.OnCredit(row.credited);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.credited), row.kept, buffer.chunks.size());
      CPPUNIT_ASSERT(buffer.chunks.back().last());
    }
  }

  void CreditIsTheSameInAnyPieces() {
    RetransmitBuffer buffer = BufferOfThree();
    for (int count = 0; count < 299; ++count) buffer.OnCredit(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, buffer.chunks.size());
    buffer.OnCredit(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, buffer.chunks.size());
    CPPUNIT_ASSERT_EQUAL(buffer.chunks.front().ByteSizeLong(), buffer.bytes);
  }

  // Guards against a response that is relayed with chunks missing in the middle.
  void SendsNothingAfterAGap() {
    RetransmitBuffer buffer = BufferOfThree();
    buffer.OnCredit(100);
    CPPUNIT_ASSERT((SequencesFrom(buffer, 1) == std::vector<std::uint32_t>{1, 2}));
    CPPUNIT_ASSERT(SequencesFrom(buffer, 0).empty());
  }

  // Guards against unbounded memory use by responses that have large heads and no body.
  void BoundsBytesIncludingHeads() {
    RetransmitCache cache(10000, std::chrono::seconds(3));
    for (std::uint64_t call = 1; call <= 10; ++call) {
      wire::ResponseChunk chunk = ChunkOf(0, 0, true);
      chunk.mutable_head()->add_headers()->set_value(std::string(3000, 'h'));
      RetransmitBuffer buffer;
      buffer.Add(chunk);
      cache.Store(KeyOf(call), buffer, kStart);
    }
    for (std::uint64_t call = 1; call <= 7; ++call) {
      CPPUNIT_ASSERT(cache.Find(KeyOf(call)) == nullptr);
    }
    for (std::uint64_t call = 8; call <= 10; ++call) {
      CPPUNIT_ASSERT(cache.Find(KeyOf(call)) != nullptr);
    }
    RetransmitBuffer too_large;
    too_large.Add(ChunkOf(0, 10001, true));
    cache.Store(KeyOf(11), too_large, kStart);
    CPPUNIT_ASSERT(cache.Find(KeyOf(11)) == nullptr);
    CPPUNIT_ASSERT(cache.Find(KeyOf(10)) != nullptr);
  }

  void DropsOldAnswers() {
    RetransmitCache cache(10000, std::chrono::seconds(3));
    cache.Store(KeyOf(1), BufferOfThree(), kStart);
    cache.Store(KeyOf(2), BufferOfThree(), kStart + std::chrono::seconds(1));
    cache.EvictExpired(kStart + std::chrono::seconds(3));
    CPPUNIT_ASSERT(cache.Find(KeyOf(1)) != nullptr);
    cache.EvictExpired(kStart + std::chrono::seconds(3) + Duration(1));
    CPPUNIT_ASSERT(cache.Find(KeyOf(1)) == nullptr);
    CPPUNIT_ASSERT(cache.Find(KeyOf(2)) != nullptr);
  }

  void KeepsFirstAnswerOfACall() {
    RetransmitCache cache(10000, std::chrono::seconds(3));
    cache.Store(KeyOf(1), BufferOfThree(), kStart);
    cache.Store(KeyOf(1), RetransmitBuffer{}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cache.Find(KeyOf(1))->chunks.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptAnswersTest);

}  // namespace damaskhollow
