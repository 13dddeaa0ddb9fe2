#include "core/session/SessionTokenCodec.h"

#include "core/base/Assert.h"
#include "core/base/BoundedCbor.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace mustardshift {

namespace {

constexpr char kFormat = 1;
constexpr std::size_t kDigestBytes = 32;
constexpr std::size_t kHeaderBytes = 1 + kDigestBytes;

std::string EncodeContent(const SessionToken& aToken)
{
  nlohmann::json databases = nlohmann::json::array();
  for (const ObservedPositions& observed : aToken.Databases()) {
    databases.push_back(nlohmann::json::array({ observed.database.Text(),
                                                observed.write.term,
                                                observed.write.offset,
                                                observed.read.term,
                                                observed.read.offset }));
  }
  return ToCbor(nlohmann::json::array(
    { aToken.Organisation().Text(), aToken.HasDroppedDatabases(), std::move(databases) }));
}

std::optional<ObservedPositions> ReadObservedPositions(const nlohmann::json& aItem)
{
  if (!aItem.is_array() || aItem.size() != 5 || !aItem[0].is_string()) {
    return std::nullopt;
  }
  if (!std::all_of(aItem.begin() + 1, aItem.end(), [](const nlohmann::json& aNumber) {
        return aNumber.is_number_unsigned();
      })) {
    return std::nullopt;
  }
  const auto number = [&](std::size_t aIndex) { return aItem[aIndex].get<std::uint64_t>(); };
  return ObservedPositions{ DatabaseName(aItem[0].get<std::string>()),
                            { number(1), number(2) },
                            { number(3), number(4) } };
}

std::optional<SessionToken> DecodeContent(std::string_view aContent)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aContent);
  if (!value || !value->is_array() || value->size() != 3) {
    return std::nullopt;
  }
  const nlohmann::json& organisation = (*value)[0];
  const nlohmann::json& hasDroppedDatabases = (*value)[1];
  const nlohmann::json& list = (*value)[2];
  if (!organisation.is_string() || !hasDroppedDatabases.is_boolean() || !list.is_array() ||
      list.size() > SessionToken::kMaxDatabases) {
    return std::nullopt;
  }
  std::vector<ObservedPositions> databases;
  for (const nlohmann::json& item : list) {
    std::optional<ObservedPositions> observed = ReadObservedPositions(item);
    const auto isSame = [&](const ObservedPositions& aOther) {
      return aOther.database == observed->database;
    };
    const bool isRepeated = observed && std::any_of(databases.begin(), databases.end(), isSame);
    if (!observed || isRepeated) {
      return std::nullopt;
    }
    databases.push_back(std::move(*observed));
  }
  return SessionToken(OrganisationName(organisation.get<std::string>()),
                      std::move(databases),
                      hasDroppedDatabases.get<bool>());
}

} // namespace

SessionTokenCodec::SessionTokenCodec(std::string aSecret)
  : secret(std::move(aSecret))
{
  MUSTARDSHIFT_ASSERT(this->secret.size() >= kDigestBytes);
}

std::string SessionTokenCodec::Encode(SessionToken aToken) const
{
  std::string content = EncodeContent(aToken);
  while (content.size() + kHeaderBytes > kMaxBytes) {
    MUSTARDSHIFT_ASSERT(aToken.DropLeastRecentlyObserved());
    content = EncodeContent(aToken);
  }
  return kFormat + this->ComputeHmac(content) + content;
}

Outcome<SessionToken> SessionTokenCodec::Decode(std::string_view aBytes,
                                                const OrganisationName& aExpected) const
{
  if (aBytes.empty()) {
    return SessionToken(aExpected);
  }
  if (aBytes.size() > kMaxBytes) {
    return RefuseNotRun(Reason::TokenInvalid, "the session token is too long");
  }
  if (aBytes.size() <= kHeaderBytes || aBytes.front() != kFormat) {
    return RefuseNotRun(Reason::TokenInvalid, "the session token is malformed");
  }
  const std::string_view digest = aBytes.substr(1, kDigestBytes);
  const std::string_view content = aBytes.substr(kHeaderBytes);
  const std::string expectedDigest = this->ComputeHmac(content);
  if (CRYPTO_memcmp(digest.data(), expectedDigest.data(), kDigestBytes) != 0) {
    return RefuseNotRun(Reason::TokenInvalid, "the session token was altered");
  }
  std::optional<SessionToken> token = DecodeContent(content);
  if (!token) {
    return RefuseNotRun(Reason::TokenInvalid, "the session token is malformed");
  }
  if (token->Organisation() != aExpected) {
    return RefuseNotRun(Reason::OrganisationMismatch,
                        "the session token belongs to another organisation");
  }
  return std::move(*token);
}

std::string SessionTokenCodec::ComputeHmac(std::string_view aContent) const
{
  std::string message(1, kFormat);
  message += aContent;
  std::array<unsigned char, kDigestBytes> digest{};
  unsigned int length = 0;
  const unsigned char* result = HMAC(EVP_sha256(),
                                     this->secret.data(),
                                     static_cast<int>(this->secret.size()),
                                     reinterpret_cast<const unsigned char*>(message.data()),
                                     message.size(),
                                     digest.data(),
                                     &length);
  MUSTARDSHIFT_ASSERT(result != nullptr && length == kDigestBytes);
  return { digest.begin(), digest.end() };
}

} // namespace mustardshift
