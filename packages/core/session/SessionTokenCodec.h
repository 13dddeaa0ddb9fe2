#pragma once

#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/session/SessionToken.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mustardshift {

/** Turns session tokens into bytes that clients can carry but not alter, and back.

    The bytes are a format number (one byte), an HMAC-SHA256 over the format number and the content
    (32 bytes), and the content as CBOR.

    Thread safety: const methods may be called concurrently. */
class SessionTokenCodec
{
public:
  /** Longest token in bytes; a longer one is refused before anything else is looked at. */
  static constexpr std::size_t kMaximumBytes = 2048;

  /** @param aSecret  Configuration::tokenSecret; all VMs need the same one.
      Precondition: at least 32 bytes. */
  explicit SessionTokenCodec(std::string aSecret);

  /** Encodes a token. When long names make it larger than kMaximumBytes, the least recently
      observed databases are dropped, as SessionToken describes; an encoded token is never too long
      to be decoded.
      Precondition: the organisation's name has at most 1024 bytes. */
  std::string Encode(SessionToken aToken) const;

  /** Decodes a token. Empty bytes stand for a new session of the expected organisation.

      @param aExpected  organisation that the request runs on behalf of; empty on a public route.
      @return  the token, or a refusal with verdict NotRun: TokenInvalid when the token is too long,
               was altered, was made under another secret or is malformed; OrganisationMismatch when
               it belongs to another organisation. */
  Outcome<SessionToken> Decode(std::string_view aBytes, const OrganisationName& aExpected) const;

private:
  std::string Authenticate(std::string_view aContent) const;

  std::string secret;
};

} // namespace mustardshift
