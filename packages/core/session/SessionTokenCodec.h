#pragma once

#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/session/SessionToken.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mustardshift {

/** Encodes session tokens into bytes that clients store but can't alter, and decodes them.

    The layout is a format number (one byte), an HMAC-SHA256 over the format number and the content
    (32 bytes), and the content as CBOR.

    Thread safety: const methods may be called concurrently. */
class SessionTokenCodec
{
public:
  /** Maximum length of an encoded token, in bytes. The decoder checks the length first. */
  static constexpr std::size_t kMaxBytes = 2048;

  /** @param aSecret  Configuration::tokenSecret; all VMs need the same one.

      Precondition: aSecret has at least 32 bytes. */
  explicit SessionTokenCodec(std::string aSecret);

  /** Encodes a token. When long names make the result larger than kMaxBytes, the least recently
      observed databases are dropped, as described at SessionToken, so that an encoded token is
      never too long to be decoded.
      Precondition: the organisation's name has at most 1024 bytes. */
  std::string Encode(SessionToken aToken) const;

  /** Decodes a token. An empty input starts a new session of the expected organisation.

      @param aExpected  organisation on whose behalf the request runs; empty on a public route.
      @return  the token, or a refusal with verdict NotRun: TokenInvalid when the token is too long,
               was altered, was encoded with another secret or is malformed; OrganisationMismatch
      when it belongs to another organisation. */
  Outcome<SessionToken> Decode(std::string_view aBytes, const OrganisationName& aExpected) const;

private:
  /** Returns the HMAC over the format number and a content. */
  std::string ComputeHmac(std::string_view aContent) const;

  std::string secret;
};

} // namespace mustardshift
