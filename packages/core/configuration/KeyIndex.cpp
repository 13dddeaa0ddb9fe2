#include "core/configuration/KeyIndex.h"

#include "core/base/Sha256.h"
#include "core/configuration/KeyHash.h"

#include <openssl/crypto.h>

#include <cstddef>

namespace mustardshift {

namespace {

constexpr std::size_t kPrefixDigits = 16;

} // namespace

KeyIndex::KeyIndex(const Configuration& aConfiguration)
{
  for (const Organisation& organisation : aConfiguration.organisations) {
    for (const ApiKey& key : organisation.keys) {
      if (!IsSha256Hex(key.hash)) {
        continue;
      }
      const auto [entry, isNew] = this->entries.try_emplace(key.hash.substr(0, kPrefixDigits),
                                                            Entry{ key.hash, organisation.name });
      if (!isNew && entry->second.organisation != organisation.name) {
        entry->second.isAmbiguous = true;
      }
    }
  }
}

Outcome<OrganisationName> KeyIndex::Find(std::string_view aKey) const
{
  if (aKey.empty()) {
    return RefuseNotRun(Reason::KeyMissing, "the route needs a key");
  }
  if (!IsWellFormedKey(aKey)) {
    return RefuseNotRun(Reason::KeyUnknown, "the key is malformed");
  }
  // The duration of the look-up may depend on the prefix of the hash, which doesn't help an
  // attacker to find a key. The whole hash is compared in constant time.
  const std::string hash = KeyHash(aKey);
  const auto found = this->entries.find(hash.substr(0, kPrefixDigits));
  if (found == this->entries.end() || found->second.isAmbiguous ||
      CRYPTO_memcmp(found->second.hash.data(), hash.data(), hash.size()) != 0) {
    return RefuseNotRun(Reason::KeyUnknown, "the key is unknown");
  }
  return found->second.organisation;
}

} // namespace mustardshift
