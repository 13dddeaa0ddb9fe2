#pragma once

#include "core/configuration/Configuration.h"

#include <string>

namespace mustardshift {

/** Writes the schema part of a configuration as a file that SchemaReader reads back to equal
    lists. Keys are written as hashes. The token secret, drained failure domains and the service
    state of databases are left out.

    Thread safety: stateless; may be used from any thread. */
class SchemaWriter
{
public:
  std::string WriteText(const Configuration& aConfiguration) const;
};

} // namespace mustardshift
