#include "core/session/SessionToken.h"
#include "core/base/BoundedCbor.h"
#include "core/session/SessionTokenCodec.h"
#include "core/session/TermHistory.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

const std::string kSecret(64, 'a');
const OrganisationName kOrganisation("harbour");

/** Generates a token with arbitrary content. */
SessionToken ArbitraryToken()
{
  SessionToken token(*rc::gen::map(rc::gen::string<std::string>(), [](const std::string& aText) {
    return OrganisationName(aText.substr(0, 64));
  }));
  const auto count = *rc::gen::inRange(0, 24);
  for (int i = 0; i < count; ++i) {
    const DatabaseName database("database-" + std::to_string(*rc::gen::inRange(0, 20)));
    const LogPosition position{ *rc::gen::arbitrary<std::uint64_t>(),
                                *rc::gen::arbitrary<std::uint64_t>() };
    if (*rc::gen::arbitrary<bool>()) {
      token.ObserveWrite(database, position);
    } else {
      token.ObserveRead(database, position);
    }
  }
  return token;
}

Reason ReasonOf(const Outcome<SessionToken>& aOutcome)
{
  CPPUNIT_ASSERT(!aOutcome.has_value());
  CPPUNIT_ASSERT(aOutcome.error().verdict == Verdict::NotRun);
  return aOutcome.error().reason;
}

/** Observes databases in random order. Returns the number of databases whose observed position the
    token no longer has and whose reads need not go to the primary.

    @param aUsePrimary  whether the session obeys MustReadAtPrimary; false is the broken variant. */
int CountLostPositions(std::uint64_t aSeed, bool aUsePrimary)
{
  std::mt19937_64 random(aSeed);
  SessionToken token(kOrganisation);
  std::vector<LogPosition> observedPositions(24);
  const std::size_t count = random() % 60;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::size_t databaseIndex = random() % observedPositions.size();
    observedPositions[databaseIndex] = { 1, i };
    token.ObserveRead(DatabaseName(std::to_string(databaseIndex)),
                      observedPositions[databaseIndex]);
  }
  CPPUNIT_ASSERT(token.Databases().size() <= SessionToken::kMaxDatabases);
  int lostPositions = 0;
  for (std::size_t databaseIndex = 0; databaseIndex < observedPositions.size(); ++databaseIndex) {
    const DatabaseName name(std::to_string(databaseIndex));
    const bool isCovered = aUsePrimary && token.MustReadAtPrimary(name);
    lostPositions +=
      isCovered || token.MinimumPositionFor(name) == observedPositions[databaseIndex] ? 0 : 1;
  }
  return lostPositions;
}

} // namespace

/** Guards against tokens that lose a position (the session would then read old data), against
    tokens that a client can alter or use for another organisation, and against input that crashes
    the decoder. */
class SessionTokenTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SessionTokenTest);
  CPPUNIT_TEST(ComparesPositionsOfEndedTerms);
  CPPUNIT_TEST(OnlyRaisesPositions);
  CPPUNIT_TEST(ReadsDroppedDatabasesAtPrimary);
  CPPUNIT_TEST(DecodesWhatWasEncoded);
  CPPUNIT_TEST(RefusesTokensOfOtherOrganisationsAndSecrets);
  CPPUNIT_TEST(RefusesMutatedBytes);
  CPPUNIT_TEST(StaysWithinTheLengthLimit);
  CPPUNIT_TEST(BoundsCborStructure);
  CPPUNIT_TEST_SUITE_END();

public:
  void ComparesPositionsOfEndedTerms()
  {
    const TermHistory history({ { 7, 90 }, { 1, 1 }, { 4, 50 }, { 8, 80 } });
    Section("a minimum position with offset 0 is always held", [&] {
      CPPUNIT_ASSERT(history.Holds({ 0, 0 }, { 0, 0 }));
      CPPUNIT_ASSERT(history.Holds({ 1, 3 }, { 4, 0 }));
    });
    Section("offsets are compared within a term", [&] {
      CPPUNIT_ASSERT(history.Holds({ 4, 60 }, { 4, 60 }));
      CPPUNIT_ASSERT(!history.Holds({ 4, 59 }, { 4, 60 }));
    });
    Section("a server in a lower term doesn't hold a position of a higher term", [&] {
      CPPUNIT_ASSERT(!history.Holds({ 4, 1000 }, { 7, 95 }));
    });
    Section("a position of an earlier term is held only before the start of the next term", [&] {
      CPPUNIT_ASSERT(history.Holds({ 7, 100 }, { 4, 89 }));
      CPPUNIT_ASSERT(!history.Holds({ 7, 100 }, { 4, 90 }));
      CPPUNIT_ASSERT(!history.Holds({ 7, 85 }, { 4, 86 }));
    });
    Section("a later term that starts at a lower offset limits the held positions further", [&] {
      CPPUNIT_ASSERT(history.Holds({ 8, 200 }, { 4, 79 }));
      CPPUNIT_ASSERT(!history.Holds({ 8, 200 }, { 4, 80 }));
    });
    Section("a position is not held if the history lacks its term or the server's term", [&] {
      CPPUNIT_ASSERT(!history.Holds({ 7, 100 }, { 5, 60 }));
      CPPUNIT_ASSERT(!history.Holds({ 9, 100 }, { 4, 60 }));
    });
  }

  void OnlyRaisesPositions()
  {
    const DatabaseName database("bookings");
    SessionToken token(kOrganisation);
    CPPUNIT_ASSERT(token.MinimumPositionFor(database) == LogPosition{});
    token.ObserveWrite(database, { 2, 10 });
    token.ObserveRead(database, { 2, 7 });
    CPPUNIT_ASSERT((token.MinimumPositionFor(database) == LogPosition{ 2, 10 }));
    token.ObserveWrite(database, { 1, 99 });
    CPPUNIT_ASSERT((token.MinimumPositionFor(database) == LogPosition{ 2, 10 }));
    token.ObserveRead(database, { 3, 8 });
    CPPUNIT_ASSERT((token.MinimumPositionFor(database) == LogPosition{ 3, 8 }));
    CPPUNIT_ASSERT((token.Databases().front().write == LogPosition{ 2, 10 }));
  }

  void ReadsDroppedDatabasesAtPrimary()
  {
    int lostPositions = 0;
    int lostWhenBroken = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      lostPositions += CountLostPositions(seed, true);
      lostWhenBroken += CountLostPositions(seed, false);
    }
    CPPUNIT_ASSERT_EQUAL(0, lostPositions);
    Section("the check detects when dropped databases are treated as never observed",
            [&] { CPPUNIT_ASSERT(lostWhenBroken > 0); });
  }

  void DecodesWhatWasEncoded()
  {
    const bool propertyHolds = rc::check("decoding returns what was encoded", [] {
      const SessionTokenCodec codec(kSecret);
      const SessionToken token = ArbitraryToken();
      const std::string bytes = codec.Encode(token);
      RC_ASSERT(bytes.size() <= SessionTokenCodec::kMaxBytes);
      const Outcome<SessionToken> decoded = codec.Decode(bytes, token.Organisation());
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(*decoded == token);
    });
    CPPUNIT_ASSERT(propertyHolds);
  }

  void RefusesTokensOfOtherOrganisationsAndSecrets()
  {
    const SessionTokenCodec codec(kSecret);
    SessionToken token(kOrganisation);
    token.ObserveWrite(DatabaseName("bookings"), { 3, 141 });
    const std::string bytes = codec.Encode(token);
    Section("an empty token starts a session", [&] {
      const Outcome<SessionToken> decoded = codec.Decode("", kOrganisation);
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(*decoded == SessionToken(kOrganisation));
    });
    Section("another organisation can't use the token", [&] {
      CPPUNIT_ASSERT(ReasonOf(codec.Decode(bytes, OrganisationName("quay"))) ==
                     Reason::OrganisationMismatch);
      CPPUNIT_ASSERT(ReasonOf(codec.Decode(bytes, OrganisationName())) ==
                     Reason::OrganisationMismatch);
    });
    Section("a token of a public route is valid on public routes only", [&] {
      const std::string publicToken = codec.Encode(SessionToken());
      CPPUNIT_ASSERT(codec.Decode(publicToken, OrganisationName()).has_value());
      CPPUNIT_ASSERT(ReasonOf(codec.Decode(publicToken, kOrganisation)) ==
                     Reason::OrganisationMismatch);
    });
    Section("a token that was encoded with another secret is refused", [&] {
      const SessionTokenCodec other(std::string(64, 'b'));
      CPPUNIT_ASSERT(ReasonOf(other.Decode(bytes, kOrganisation)) == Reason::TokenInvalid);
    });
    Section("a token above the maximum length is refused", [&] {
      const std::string tooLong(SessionTokenCodec::kMaxBytes + 1, '\1');
      CPPUNIT_ASSERT(ReasonOf(codec.Decode(tooLong, kOrganisation)) == Reason::TokenInvalid);
    });
  }

  void RefusesMutatedBytes()
  {
    const SessionTokenCodec codec(kSecret);
    SessionToken token(kOrganisation);
    token.ObserveWrite(DatabaseName("bookings"), { 3, 141 });
    token.ObserveRead(DatabaseName("invoices"), { 1ULL << 40U, 59 });
    const std::string bytes = codec.Encode(token);
    Section("each flipped bit is detected", [&] {
      for (std::size_t bit = 0; bit < 8 * bytes.size(); ++bit) {
        std::string mutated = bytes;
        mutated[bit / 8] = static_cast<char>(mutated[bit / 8] ^ (1 << (bit % 8)));
        CPPUNIT_ASSERT(ReasonOf(codec.Decode(mutated, kOrganisation)) == Reason::TokenInvalid);
      }
    });
    Section("each truncation is detected", [&] {
      for (std::size_t length = 1; length < bytes.size(); ++length) {
        CPPUNIT_ASSERT(ReasonOf(codec.Decode(bytes.substr(0, length), kOrganisation)) ==
                       Reason::TokenInvalid);
      }
      CPPUNIT_ASSERT(ReasonOf(codec.Decode(bytes + '\0', kOrganisation)) == Reason::TokenInvalid);
    });
    Section("random bytes are refused", [&] {
      std::mt19937_64 random(20261204);
      for (int round = 0; round < 5000; ++round) {
        std::string noise(1 + random() % 300, '\0');
        for (char& byte : noise) {
          byte = static_cast<char>(random());
        }
        noise[0] = '\1';
        CPPUNIT_ASSERT(ReasonOf(codec.Decode(noise, kOrganisation)) == Reason::TokenInvalid);
      }
    });
  }

  void StaysWithinTheLengthLimit()
  {
    const SessionTokenCodec codec(kSecret);
    SessionToken token(kOrganisation);
    const auto name = [](int aNumber) {
      return DatabaseName(std::string(300, 'd') + std::to_string(aNumber));
    };
    for (int i = 0; i < 10; ++i) {
      token.ObserveRead(name(i), { ~0ULL, ~0ULL });
    }
    const Outcome<SessionToken> decoded = codec.Decode(codec.Encode(token), kOrganisation);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->MustReadAtPrimary(name(0)));
    CPPUNIT_ASSERT((decoded->MinimumPositionFor(name(9)) == LogPosition{ ~0ULL, ~0ULL }));

    SessionToken full{ OrganisationName(std::string(64, 'o')) };
    for (std::size_t i = 0; i < SessionToken::kMaxDatabases; ++i) {
      const DatabaseName database(std::string(64, static_cast<char>('a' + i)));
      full.ObserveWrite(database, { ~0ULL, ~0ULL });
      full.ObserveRead(database, { ~0ULL, ~0ULL });
    }
    const Outcome<SessionToken> whole = codec.Decode(codec.Encode(full), full.Organisation());
    CPPUNIT_ASSERT(whole.has_value());
    CPPUNIT_ASSERT(*whole == full);
  }

  void BoundsCborStructure()
  {
    Section("deep nesting is refused without recursion", [] {
      CPPUNIT_ASSERT(!ParseBoundedCbor(std::string(std::size_t{ 1 } << 22U, '\x81')));
    });
    Section("nested indefinite strings are refused", [] {
      CPPUNIT_ASSERT(!ParseBoundedCbor(std::string(std::size_t{ 1 } << 22U, '\x7f')));
    });
    Section("an item count larger than the input is refused", [] {
      CPPUNIT_ASSERT(!ParseBoundedCbor(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
      CPPUNIT_ASSERT(!ParseBoundedCbor(std::string("\xbb\x80\x00\x00\x00\x00\x00\x00\x00", 9)));
    });
    Section("random bytes never crash the parser", [] {
      std::mt19937_64 random(7);
      for (int round = 0; round < 200000; ++round) {
        std::string noise(1 + random() % 24, '\0');
        for (char& byte : noise) {
          byte = static_cast<char>(random());
        }
        ParseBoundedCbor(noise);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenTest);

} // namespace mustardshift
