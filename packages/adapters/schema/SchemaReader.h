#pragma once

#include "adapters/schema/Schema.h"
#include "adapters/settings/InputError.h"

#include <string>
#include <tl/expected.hpp>

namespace mustardshift {

/** Reads the operators' schema file, YAML. All faults are reported together, and a schema is
    returned only when there are none. Checked across entries: names, key hashes and server
    addresses are unique, routes refer to organisations and databases of the file, each database
    has three servers, and limits are positive.

    Thread safety: stateless; may be used from any thread. */
class SchemaReader
{
public:
  /** Reads a file. An unreadable file is a fault too. */
  tl::expected<Schema, InputErrors> ReadFile(const std::string& aPath) const;

  /** Reads a text.
      @param aName  name of the text, as faults show it. */
  tl::expected<Schema, InputErrors> ReadText(const std::string& aText,
                                             const std::string& aName) const;
};

} // namespace mustardshift
