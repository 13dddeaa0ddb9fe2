#include "protocol/peer/PeerMessageCodec.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdint>
#include <limits>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

constexpr std::uint32_t kSeed = 20261204;

using Bytes = std::vector<std::uint8_t>;

/** Generates messages with random fields. The kind is taken modulo the number of kinds. */
class RandomMessageGenerator
{
public:
  PeerMessage Generate(std::size_t aKind)
  {
    const PeerHeader header{
      VmId(this->Text(1)), this->random(), 1 + this->random() / 2, this->SmallNumber()
    };
    switch (aKind % std::variant_size_v<PeerMessage>) {
      case 0:
        return Ping{ header, this->State() };
      case 1:
        return Pong{ header, this->State() };
      case 2:
        return SuspicionQuery{ header, this->Primary() };
      case 3:
        return SuspicionAnswer{ header,
                                this->SmallNumber() == 0,
                                FailureDomainName(this->Text(0)),
                                this->Primary(),
                                this->Age() };
      case 4:
        return QuotaLoanRequestMessage{ header, this->LoanRequest() };
      case 5:
        return QuotaLoanGrantMessage{ header, this->LoanGrant() };
      case 6:
        return ConfigurationPush{ header, this->random(), this->Text(0) };
      default:
        return PrimaryChanged{ header, this->Primary() };
    }
  }

  std::mt19937_64 random{ kSeed };

private:
  std::uint64_t SmallNumber() { return this->random() % 4; }

  std::string Text(std::size_t aMinimumLength)
  {
    std::string text;
    for (std::uint64_t remaining = aMinimumLength + this->random() % 20; remaining > 0;
         --remaining) {
      text.push_back(static_cast<char>(this->random()));
    }
    return text;
  }

  QuotaLoanId Loan() { return { VmId(this->Text(0)), this->random(), this->random() }; }

  QuotaLoanRequest LoanRequest()
  {
    QuotaLoanRequest request;
    request.organisation = OrganisationName(this->Text(0));
    request.lender = VmId(this->Text(0));
    request.borrower = VmId(this->Text(0));
    request.borrowerIncarnation = this->random();
    request.number = this->random();
    request.units = static_cast<QuotaUnits>(this->random() % kQuotaUnitsTotal);
    if (this->SmallNumber() == 0) {
      request.extends = this->Loan();
    }
    if (this->SmallNumber() == 0) {
      request.tokens = this->Amount();
    }
    return request;
  }

  QuotaLoanGrant LoanGrant()
  {
    QuotaLoanGrant grant;
    grant.organisation = OrganisationName(this->Text(0));
    grant.loan = this->Loan();
    grant.borrower = VmId(this->Text(0));
    grant.borrowerIncarnation = this->random();
    grant.requestNumber = this->random();
    grant.isExtension = this->SmallNumber() == 0;
    grant.isTokensOnly = this->SmallNumber() == 0;
    grant.units = static_cast<QuotaUnits>(this->random() % kQuotaUnitsTotal);
    grant.tokens = this->Amount();
    grant.duration = this->Age().value_or(Duration{ 1 });
    return grant;
  }

  double Amount() { return static_cast<double>(this->random() % 100000) / 7.0; }

  std::optional<Duration> Age()
  {
    if (this->SmallNumber() == 0) {
      return std::nullopt;
    }
    return Duration{ static_cast<Duration::rep>(this->random() >> (1 + this->random() % 60)) };
  }

  KnownPrimary Primary()
  {
    return { DatabaseName(this->Text(0)), this->random(), ServerAddress(this->Text(0)) };
  }

  PeerState State()
  {
    PeerState state;
    state.configurationVersion = this->random();
    state.confirmationAge = this->Age();
    state.platformReachable = this->SmallNumber() == 0;
    state.hasUnresolvedChange = this->SmallNumber() == 0;
    if (this->SmallNumber() != 0) {
      state.knownVms.emplace();
      for (std::uint64_t remaining = this->SmallNumber(); remaining > 0; --remaining) {
        state.knownVms->push_back({ VmId(this->Text(0)), this->random() });
      }
    }
    for (std::uint64_t remaining = this->SmallNumber(); remaining > 0; --remaining) {
      state.primaries.push_back(this->Primary());
      state.suspectedDatabases.emplace_back(this->Text(0));
      state.heldShards.push_back(static_cast<std::uint32_t>(this->random()));
    }
    state.drainState = static_cast<PeerDrainState>(this->random() % 3);
    return state;
  }
};

} // namespace

/** Guards against fields that are lost or changed by encoding and decoding, and against bytes from
    the network that crash the daemon or are decoded as a message that no VM sent. */
class PeerMessageCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerMessageCodecTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(RefusesTruncatedAndExtendedBytes);
  CPPUNIT_TEST(RefusesOversizedMessages);
  CPPUNIT_TEST(SurvivesRandomBytes);
  CPPUNIT_TEST(RefusesInvalidFields);
  CPPUNIT_TEST(KeepsPingsWithinBandwidthLimit);
  CPPUNIT_TEST_SUITE_END();

public:
  void RoundTrips()
  {
    RandomMessageGenerator generator;
    for (std::size_t i = 0; i < 8000; ++i) {
      const PeerMessage message = generator.Generate(i);
      const Outcome<Bytes> bytes = EncodePeerMessage(message);
      CPPUNIT_ASSERT(bytes.has_value());
      const Outcome<PeerMessage> decoded = DecodePeerMessage(*bytes);
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(*decoded == message);
    }
  }

  void RefusesTruncatedAndExtendedBytes()
  {
    RandomMessageGenerator generator;
    for (std::size_t i = 0; i < 80; ++i) {
      Bytes bytes = EncodePeerMessage(generator.Generate(i)).value();
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        CPPUNIT_ASSERT(!DecodePeerMessage(std::span(bytes).first(size)).has_value());
      }
      bytes.push_back(0);
      CPPUNIT_ASSERT(!DecodePeerMessage(bytes).has_value());
    }
  }

  void RefusesOversizedMessages()
  {
    ConfigurationPush push{ { VmId("vm-1"), 1, 1, 0 }, 1, std::string(kPeerMessageSizeLimit, 'x') };
    CPPUNIT_ASSERT(!EncodePeerMessage(push).has_value());
    push.change.resize(kPeerMessageSizeLimit - 100);
    Bytes bytes = EncodePeerMessage(push).value();
    CPPUNIT_ASSERT(DecodePeerMessage(bytes).has_value());
    bytes.resize(kPeerMessageSizeLimit + 1);
    CPPUNIT_ASSERT(!DecodePeerMessage(bytes).has_value());
  }

  void SurvivesRandomBytes()
  {
    RandomMessageGenerator generator;
    Section("random bytes are refused", [&] {
      for (std::size_t i = 0; i < 20000; ++i) {
        Bytes bytes(generator.random() % 200);
        for (std::uint8_t& byte : bytes) {
          byte = static_cast<std::uint8_t>(generator.random());
        }
        CPPUNIT_ASSERT(!DecodePeerMessage(bytes).has_value());
      }
    });
    Section("corrupted messages are refused or decode to a message that can be encoded", [&] {
      std::size_t decodedCount = 0;
      for (std::size_t i = 0; i < 20000; ++i) {
        Bytes bytes = EncodePeerMessage(generator.Generate(i)).value();
        for (std::uint64_t remaining = 1 + generator.random() % 3; remaining > 0; --remaining) {
          bytes[generator.random() % bytes.size()] = static_cast<std::uint8_t>(generator.random());
        }
        const Outcome<PeerMessage> decoded = DecodePeerMessage(bytes);
        if (decoded) {
          ++decodedCount;
          CPPUNIT_ASSERT(EncodePeerMessage(*decoded).has_value());
        }
      }
      CPPUNIT_ASSERT(decodedCount > 0);
    });
    Section("bytes that each start a nested item are refused, up to the size limit", [&] {
      // Initial bytes of arrays, maps, text and byte strings, of definite and of indefinite length,
      // and of tags.
      for (const int initialByte :
           { 0x81, 0x9F, 0xA1, 0xBF, 0x61, 0x7F, 0x41, 0x5F, 0xC1, 0xD8, 0x9B }) {
        const Bytes bytes(kPeerMessageSizeLimit, static_cast<std::uint8_t>(initialByte));
        CPPUNIT_ASSERT(!DecodePeerMessage(bytes).has_value());
      }
    });
  }

  void RefusesInvalidFields()
  {
    const PeerHeader header{ VmId("vm-1"), 1, 1, 0 };
    CPPUNIT_ASSERT(!EncodePeerMessage(Ping{ { VmId("vm-1"), 1, 0, 0 }, {} }).has_value());
    CPPUNIT_ASSERT(!EncodePeerMessage(Ping{ { VmId(), 1, 1, 0 }, {} }).has_value());
    Section("a loan request for a negative number of units is refused", [&] {
      QuotaLoanRequestMessage request{ header, {} };
      request.request.units = -1;
      CPPUNIT_ASSERT(!EncodePeerMessage(request).has_value());
    });
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    for (const double tokens : { -1.0, notANumber, std::numeric_limits<double>::infinity() }) {
      QuotaLoanGrantMessage grant{ header, {} };
      grant.grant.tokens = tokens;
      CPPUNIT_ASSERT(!EncodePeerMessage(grant).has_value());
    }
    Section("a grant with a negative duration is refused", [&] {
      QuotaLoanGrantMessage grant{ header, {} };
      grant.grant.duration = Duration{ -1 };
      CPPUNIT_ASSERT(!EncodePeerMessage(grant).has_value());
    });
  }

  void KeepsPingsWithinBandwidthLimit()
  {
    // A VM in a cell of 12 sends 11 pings and 11 pongs a second and may send 2 KB/s in total.
    constexpr std::size_t kMaximumPingSize = 2000 / 22;
    Ping ping{ { VmId("vm-12"), 1700000000, 1000000, 999999 }, {} };
    ping.state.configurationVersion = 100000;
    ping.state.confirmationAge = Duration{ 999999 };
    ping.state.platformReachable = true;
    ping.state.heldShards = { 11 };
    const std::size_t size = EncodePeerMessage(ping).value().size();
    CPPUNIT_ASSERT(size <= kMaximumPingSize);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessageCodecTest);

} // namespace mustardshift
