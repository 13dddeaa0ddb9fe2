#include "core/base/Verdict.h"

#include "core/base/NameTable.h"

namespace mustardshift {

std::string_view ToString(Verdict aVerdict)
{
  return NameOf(kVerdictNames, aVerdict);
}

} // namespace mustardshift
