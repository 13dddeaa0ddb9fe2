#include "protocol/peer/PeerMessageCodec.h"

#include "protocol/peer/CborStructure.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace mustardshift {

namespace {

using Json = nlohmann::json;

// Map keys are one or two letters long, because the control plane of a VM may send at most 2 KB/s.
constexpr const char* kKind = "k";
constexpr const char* kSender = "f";
constexpr const char* kIncarnation = "i";
constexpr const char* kMessageId = "m";
constexpr const char* kAnswersMessageId = "r";
constexpr const char* kConfigurationVersion = "c";
constexpr const char* kAge = "a";
constexpr const char* kPlatformReachable = "p";
constexpr const char* kKnownVms = "v";
constexpr const char* kPrimaries = "d";
constexpr const char* kSuspected = "s";
constexpr const char* kHeldShards = "q";
constexpr const char* kDrainState = "x";
constexpr const char* kFailureDomain = "z";
constexpr const char* kOrganisation = "o";
constexpr const char* kRequestNumber = "n";
constexpr const char* kTokens = "t";
constexpr const char* kUnits = "w";
constexpr const char* kLoanId = "l";
constexpr const char* kLender = "e";
constexpr const char* kBorrower = "g";
constexpr const char* kBorrowerIncarnation = "h";
constexpr const char* kIsExtension = "y";
constexpr const char* kIsTokensOnly = "aa";
constexpr const char* kUnresolvedChange = "j";
constexpr const char* kDuration = "u";
constexpr const char* kChange = "b";

template<class Tag>
Json NamesToJson(const std::vector<Name<Tag>>& aNames)
{
  Json array = Json::array();
  for (const Name<Tag>& name : aNames) {
    array.push_back(name.Text());
  }
  return array;
}

Json ToJson(const KnownPrimary& aPrimary)
{
  return Json::array({ aPrimary.database.Text(), aPrimary.term, aPrimary.primary.Text() });
}

/** Writes the fields of a message to a map. Some fields are left out when they have their most
    frequent value, which keeps messages small. IsValid() is false once a field had a value out of
    range. */
class FieldWriter
{
public:
  FieldWriter(std::size_t aKind, const PeerHeader& aHeader)
  {
    this->json[kKind] = aKind;
    this->json[kSender] = aHeader.sender.Text();
    this->json[kIncarnation] = aHeader.incarnation;
    this->json[kMessageId] = aHeader.messageId;
    if (aHeader.answersMessageId != 0) {
      this->json[kAnswersMessageId] = aHeader.answersMessageId;
    }
    this->valid = aHeader.messageId != 0 && !aHeader.sender.IsEmpty();
  }

  void WriteState(const PeerState& aState)
  {
    this->json[kConfigurationVersion] = aState.configurationVersion;
    this->WriteAge(kAge, aState.confirmationAge);
    this->json[kPlatformReachable] = aState.platformReachable;
    if (aState.knownVms) {
      Json array = Json::array();
      for (const VmIncarnation& known : *aState.knownVms) {
        array.push_back(Json::array({ known.vm.Text(), known.incarnation }));
      }
      this->json[kKnownVms] = std::move(array);
    }
    if (aState.hasUnresolvedChange) {
      this->json[kUnresolvedChange] = true;
    }
    if (!aState.primaries.empty()) {
      Json array = Json::array();
      for (const KnownPrimary& primary : aState.primaries) {
        array.push_back(ToJson(primary));
      }
      this->json[kPrimaries] = std::move(array);
    }
    if (!aState.suspectedDatabases.empty()) {
      this->json[kSuspected] = NamesToJson(aState.suspectedDatabases);
    }
    if (!aState.heldShards.empty()) {
      this->json[kHeldShards] = aState.heldShards;
    }
    if (aState.drainState != PeerDrainState::Serving) {
      this->json[kDrainState] = static_cast<std::uint8_t>(aState.drainState);
    }
  }

  void WriteAge(const char* aKey, const std::optional<Duration>& aAge)
  {
    if (aAge) {
      this->WriteDuration(aKey, *aAge);
    }
  }

  void WriteDuration(const char* aKey, Duration aDuration)
  {
    this->valid = this->valid && aDuration.count() >= 0;
    this->json[aKey] = static_cast<std::uint64_t>(aDuration.count());
  }

  void WriteAmount(const char* aKey, double aAmount)
  {
    this->valid = this->valid && std::isfinite(aAmount) && aAmount >= 0;
    this->json[aKey] = aAmount;
  }

  void WriteLoanId(const QuotaLoanId& aLoan)
  {
    this->json[kLoanId] =
      Json::array({ aLoan.lender.Text(), aLoan.lenderIncarnation, aLoan.number });
  }

  void WriteUnits(QuotaUnits aUnits)
  {
    this->valid = this->valid && aUnits >= 0;
    this->json[kUnits] = static_cast<std::uint64_t>(aUnits);
  }

  void WriteValue(const char* aKey, Json aValue) { this->json[aKey] = std::move(aValue); }

  bool IsValid() const { return this->valid; }
  const Json& Fields() const { return this->json; }

private:
  Json json = Json::object();
  bool valid = true;
};

/** Reads the fields of a message from a map. IsValid() is false once a required field was missing,
    or a field was of the wrong type or out of range. */
class FieldReader
{
public:
  explicit FieldReader(const Json& aJson)
    : json(aJson)
  {
  }

  bool IsValid() const { return this->valid; }

  std::uint64_t ReadNumber(const char* aKey) { return this->NumberOf(this->FindRequired(aKey)); }

  std::uint64_t ReadNumberOrZero(const char* aKey)
  {
    return this->json.contains(aKey) ? this->ReadNumber(aKey) : 0;
  }

  std::string ReadText(const char* aKey) { return this->TextOf(this->FindRequired(aKey)); }

  bool ReadFlag(const char* aKey)
  {
    const Json& value = this->FindRequired(aKey);
    if (!value.is_boolean()) {
      this->valid = false;
      return false;
    }
    return value.get<bool>();
  }

  double ReadAmount(const char* aKey)
  {
    const Json& value = this->FindRequired(aKey);
    const double amount = value.is_number() ? value.get<double>() : -1;
    if (!std::isfinite(amount) || amount < 0) {
      this->valid = false;
      return 0;
    }
    return amount;
  }

  Duration ReadDuration(const char* aKey)
  {
    const std::uint64_t count = this->ReadNumber(aKey);
    if (count > static_cast<std::uint64_t>(std::numeric_limits<Duration::rep>::max())) {
      this->valid = false;
      return Duration{ 0 };
    }
    return Duration{ static_cast<Duration::rep>(count) };
  }

  std::optional<Duration> ReadAge(const char* aKey)
  {
    if (!this->json.contains(aKey)) {
      return std::nullopt;
    }
    return this->ReadDuration(aKey);
  }

  bool Has(const char* aKey) const { return this->json.contains(aKey); }

  QuotaLoanId ReadLoanId()
  {
    const Json& value = this->FindRequired(kLoanId);
    if (!value.is_array() || value.size() != 3) {
      this->valid = false;
      return {};
    }
    return { VmId(this->TextOf(value[0])), this->NumberOf(value[1]), this->NumberOf(value[2]) };
  }

  QuotaUnits ReadUnits()
  {
    const std::uint64_t units = this->ReadNumber(kUnits);
    if (units > static_cast<std::uint64_t>(kQuotaUnitsTotal)) {
      this->valid = false;
      return 0;
    }
    return static_cast<QuotaUnits>(units);
  }

  KnownPrimary ReadPrimary(const char* aKey) { return this->PrimaryOf(this->FindRequired(aKey)); }

  PeerHeader ReadHeader()
  {
    PeerHeader header{ VmId(this->ReadText(kSender)),
                       this->ReadNumber(kIncarnation),
                       this->ReadNumber(kMessageId),
                       this->ReadNumberOrZero(kAnswersMessageId) };
    this->valid = this->valid && header.messageId != 0 && !header.sender.IsEmpty();
    return header;
  }

  PeerState ReadState()
  {
    PeerState state;
    state.configurationVersion = this->ReadNumber(kConfigurationVersion);
    state.confirmationAge = this->ReadAge(kAge);
    state.platformReachable = this->ReadFlag(kPlatformReachable);
    state.hasUnresolvedChange =
      this->json.contains(kUnresolvedChange) && this->ReadFlag(kUnresolvedChange);
    if (this->json.contains(kKnownVms)) {
      state.knownVms.emplace();
      for (const Json& item : this->FindOptionalArray(kKnownVms)) {
        state.knownVms->push_back(this->IncarnationOf(item));
      }
    }
    for (const Json& item : this->FindOptionalArray(kPrimaries)) {
      state.primaries.push_back(this->PrimaryOf(item));
    }
    for (const Json& item : this->FindOptionalArray(kSuspected)) {
      state.suspectedDatabases.emplace_back(this->TextOf(item));
    }
    for (const Json& item : this->FindOptionalArray(kHeldShards)) {
      const std::uint64_t shard = this->NumberOf(item);
      this->valid = this->valid && shard <= std::numeric_limits<std::uint32_t>::max();
      state.heldShards.push_back(static_cast<std::uint32_t>(shard));
    }
    const std::uint64_t drainState = this->ReadNumberOrZero(kDrainState);
    if (drainState > static_cast<std::uint64_t>(PeerDrainState::Drained)) {
      this->valid = false;
      return state;
    }
    state.drainState = static_cast<PeerDrainState>(drainState);
    return state;
  }

private:
  const Json& FindRequired(const char* aKey)
  {
    const auto found = this->json.find(aKey);
    if (found == this->json.end()) {
      this->valid = false;
      return kNull;
    }
    return *found;
  }

  /** Returns the array with a key, or an empty array when the sender left the key out. */
  const Json& FindOptionalArray(const char* aKey)
  {
    const auto found = this->json.find(aKey);
    if (found == this->json.end()) {
      return kEmptyArray;
    }
    if (!found->is_array()) {
      this->valid = false;
      return kEmptyArray;
    }
    return *found;
  }

  std::uint64_t NumberOf(const Json& aValue)
  {
    if (!aValue.is_number_unsigned()) {
      this->valid = false;
      return 0;
    }
    return aValue.get<std::uint64_t>();
  }

  std::string TextOf(const Json& aValue)
  {
    if (!aValue.is_string()) {
      this->valid = false;
      return {};
    }
    return aValue.get<std::string>();
  }

  VmIncarnation IncarnationOf(const Json& aValue)
  {
    if (!aValue.is_array() || aValue.size() != 2) {
      this->valid = false;
      return {};
    }
    return { VmId(this->TextOf(aValue[0])), this->NumberOf(aValue[1]) };
  }

  KnownPrimary PrimaryOf(const Json& aValue)
  {
    if (!aValue.is_array() || aValue.size() != 3) {
      this->valid = false;
      return {};
    }
    return { DatabaseName(this->TextOf(aValue[0])),
             this->NumberOf(aValue[1]),
             ServerAddress(this->TextOf(aValue[2])) };
  }

  inline static const Json kNull;
  inline static const Json kEmptyArray = Json::array();

  const Json& json;
  bool valid = true;
};

void WriteBody(FieldWriter& aWriter, const Ping& aMessage)
{
  aWriter.WriteState(aMessage.state);
}

void WriteBody(FieldWriter& aWriter, const Pong& aMessage)
{
  aWriter.WriteState(aMessage.state);
}

void WriteBody(FieldWriter& aWriter, const SuspicionQuery& aMessage)
{
  aWriter.WriteValue(kPrimaries, ToJson(aMessage.suspectedPrimary));
}

void WriteBody(FieldWriter& aWriter, const SuspicionAnswer& aMessage)
{
  aWriter.WriteValue(kSuspected, aMessage.suspects);
  aWriter.WriteValue(kFailureDomain, aMessage.failureDomain.Text());
  aWriter.WriteValue(kPrimaries, ToJson(aMessage.knownPrimary));
  aWriter.WriteAge(kAge, aMessage.platformAnswerAge);
}

void WriteBody(FieldWriter& aWriter, const QuotaLoanRequestMessage& aMessage)
{
  const QuotaLoanRequest& request = aMessage.request;
  aWriter.WriteValue(kOrganisation, request.organisation.Text());
  aWriter.WriteValue(kLender, request.lender.Text());
  aWriter.WriteValue(kBorrower, request.borrower.Text());
  aWriter.WriteValue(kBorrowerIncarnation, request.borrowerIncarnation);
  aWriter.WriteValue(kRequestNumber, request.number);
  aWriter.WriteUnits(request.units);
  if (request.tokens != 0) {
    aWriter.WriteAmount(kTokens, request.tokens);
  }
  if (request.extends) {
    aWriter.WriteLoanId(*request.extends);
  }
}

void WriteBody(FieldWriter& aWriter, const QuotaLoanGrantMessage& aMessage)
{
  const QuotaLoanGrant& grant = aMessage.grant;
  aWriter.WriteValue(kOrganisation, grant.organisation.Text());
  aWriter.WriteLoanId(grant.loan);
  aWriter.WriteValue(kBorrower, grant.borrower.Text());
  aWriter.WriteValue(kBorrowerIncarnation, grant.borrowerIncarnation);
  aWriter.WriteValue(kRequestNumber, grant.requestNumber);
  aWriter.WriteValue(kIsExtension, grant.isExtension);
  if (grant.isTokensOnly) {
    aWriter.WriteValue(kIsTokensOnly, true);
  }
  aWriter.WriteUnits(grant.units);
  aWriter.WriteAmount(kTokens, grant.tokens);
  aWriter.WriteDuration(kDuration, grant.duration);
}

void WriteBody(FieldWriter& aWriter, const ConfigurationPush& aMessage)
{
  aWriter.WriteValue(kConfigurationVersion, aMessage.version);
  aWriter.WriteValue(kChange, aMessage.change);
}

void WriteBody(FieldWriter& aWriter, const PrimaryChanged& aMessage)
{
  aWriter.WriteValue(kPrimaries, ToJson(aMessage.primary));
}

void ReadBody(FieldReader& aReader, Ping& aMessage)
{
  aMessage.state = aReader.ReadState();
}

void ReadBody(FieldReader& aReader, Pong& aMessage)
{
  aMessage.state = aReader.ReadState();
}

void ReadBody(FieldReader& aReader, SuspicionQuery& aMessage)
{
  aMessage.suspectedPrimary = aReader.ReadPrimary(kPrimaries);
}

void ReadBody(FieldReader& aReader, SuspicionAnswer& aMessage)
{
  aMessage.suspects = aReader.ReadFlag(kSuspected);
  aMessage.failureDomain = FailureDomainName(aReader.ReadText(kFailureDomain));
  aMessage.knownPrimary = aReader.ReadPrimary(kPrimaries);
  aMessage.platformAnswerAge = aReader.ReadAge(kAge);
}

void ReadBody(FieldReader& aReader, QuotaLoanRequestMessage& aMessage)
{
  QuotaLoanRequest& request = aMessage.request;
  request.organisation = OrganisationName(aReader.ReadText(kOrganisation));
  request.lender = VmId(aReader.ReadText(kLender));
  request.borrower = VmId(aReader.ReadText(kBorrower));
  request.borrowerIncarnation = aReader.ReadNumber(kBorrowerIncarnation);
  request.number = aReader.ReadNumber(kRequestNumber);
  request.units = aReader.ReadUnits();
  if (aReader.Has(kTokens)) {
    request.tokens = aReader.ReadAmount(kTokens);
  }
  if (aReader.Has(kLoanId)) {
    request.extends = aReader.ReadLoanId();
  }
}

void ReadBody(FieldReader& aReader, QuotaLoanGrantMessage& aMessage)
{
  QuotaLoanGrant& grant = aMessage.grant;
  grant.organisation = OrganisationName(aReader.ReadText(kOrganisation));
  grant.loan = aReader.ReadLoanId();
  grant.borrower = VmId(aReader.ReadText(kBorrower));
  grant.borrowerIncarnation = aReader.ReadNumber(kBorrowerIncarnation);
  grant.requestNumber = aReader.ReadNumber(kRequestNumber);
  grant.isExtension = aReader.ReadFlag(kIsExtension);
  grant.isTokensOnly = aReader.Has(kIsTokensOnly) && aReader.ReadFlag(kIsTokensOnly);
  grant.units = aReader.ReadUnits();
  grant.tokens = aReader.ReadAmount(kTokens);
  grant.duration = aReader.ReadDuration(kDuration);
}

void ReadBody(FieldReader& aReader, ConfigurationPush& aMessage)
{
  aMessage.version = aReader.ReadNumber(kConfigurationVersion);
  aMessage.change = aReader.ReadText(kChange);
}

void ReadBody(FieldReader& aReader, PrimaryChanged& aMessage)
{
  aMessage.primary = aReader.ReadPrimary(kPrimaries);
}

/** Creates a message with default fields. aKind is the index of the message type in PeerMessage;
    returns nothing when it is unknown. */
template<std::size_t Index = 0>
std::optional<PeerMessage> MakeMessage(std::uint64_t aKind)
{
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    if (aKind == Index) {
      return PeerMessage(std::in_place_index<Index>);
    }
    return MakeMessage<Index + 1>(aKind);
  } else {
    return std::nullopt;
  }
}

} // namespace

Outcome<std::vector<std::uint8_t>> EncodePeerMessage(const PeerMessage& aMessage)
{
  FieldWriter writer(aMessage.index(), HeaderOf(aMessage));
  std::visit([&writer](const auto& aTypedMessage) { WriteBody(writer, aTypedMessage); }, aMessage);
  if (!writer.IsValid()) {
    return RefuseNotRun(Reason::RequestMalformed, "a field of the peer message is out of range");
  }
  std::vector<std::uint8_t> bytes = Json::to_cbor(writer.Fields());
  if (bytes.size() > kPeerMessageSizeLimit) {
    return RefuseNotRun(Reason::RequestMalformed, "the peer message exceeds the size limit");
  }
  return bytes;
}

Outcome<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() > kPeerMessageSizeLimit) {
    return RefuseNotRun(Reason::RequestMalformed, "the peer message exceeds the size limit");
  }
  if (!HasValidPeerMessageStructure(aBytes)) {
    return RefuseNotRun(Reason::RequestMalformed,
                        "the peer message is not well-formed CBOR of the permitted structure");
  }
  const Json json = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (!json.is_object()) {
    return RefuseNotRun(Reason::RequestMalformed, "the peer message is not a map");
  }
  FieldReader reader(json);
  std::optional<PeerMessage> message = MakeMessage(reader.ReadNumber(kKind));
  if (!reader.IsValid() || !message) {
    return RefuseNotRun(Reason::RequestMalformed,
                        "the kind of the peer message is missing or unknown");
  }
  std::visit(
    [&reader](auto& aTypedMessage) {
      aTypedMessage.header = reader.ReadHeader();
      ReadBody(reader, aTypedMessage);
    },
    *message);
  if (!reader.IsValid()) {
    return RefuseNotRun(
      Reason::RequestMalformed,
      "a field of the peer message is missing, of the wrong type or out of range");
  }
  return std::move(*message);
}

} // namespace mustardshift
