#pragma once

#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/configuration/Configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace mustardshift {

/** Index from keys to the organisations that they belong to.

    The index doesn't follow changes: build a new one for each version of the configuration.

    Thread safety: const methods may be called concurrently. */
class KeyIndex
{
public:
  /** Creates an index without keys. */
  KeyIndex() = default;
  /** Indexes the keys of all organisations. Malformed hashes are ignored. A hash that two
      organisations share matches no key. */
  explicit KeyIndex(const Configuration& aConfiguration);

  /** Returns the organisation that a key belongs to, or a refusal with verdict NotRun: KeyMissing
      for an empty key, KeyUnknown for a key that isn't in the configuration or isn't well-formed.
      The messages don't contain the key. */
  Outcome<OrganisationName> Find(std::string_view aKey) const;

private:
  struct Entry
  {
    std::string hash;
    OrganisationName organisation;
    bool isAmbiguous = false;
  };

  /** Entries by the first 16 digits of the hash. It is practically impossible that the hashes of
      two different keys have the same first 16 digits. */
  std::unordered_map<std::string, Entry> entries;
};

} // namespace mustardshift
