#include "core/base/Reason.h"

#include "core/base/NameTable.h"

namespace mustardshift {

std::string_view ToString(Reason aReason)
{
  return NameOf(kReasonNames, aReason);
}

} // namespace mustardshift
