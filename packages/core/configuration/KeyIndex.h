#pragma once

#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/configuration/Configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace mustardshift {

/** Finds the organisation that a presented key belongs to.

    Thread safety: const methods may be called concurrently. Build a new index for each version of
    the configuration. */
class KeyIndex
{
public:
  /** An index without keys. */
  KeyIndex() = default;
  /** Takes the keys of all organisations. Entries that aren't hashes match no key; of two
      organisations with the same hash, neither gets it. */
  explicit KeyIndex(const Configuration& aConfiguration);

  /** Returns the key's organisation, or a refusal with verdict NotRun: KeyMissing for an empty key,
      KeyUnknown for any other that isn't in the configuration or isn't well-formed. The messages
      don't contain the key. */
  Outcome<OrganisationName> Find(std::string_view aKey) const;

private:
  struct Entry
  {
    std::string hash;
    OrganisationName organisation;
    bool isAmbiguous = false;
  };

  /** By the first 16 digits of the hash. Different hashes that share them don't occur by chance. */
  std::unordered_map<std::string, Entry> entries;
};

} // namespace mustardshift
