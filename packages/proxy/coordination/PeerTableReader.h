#pragma once

#include "proxy/coordination/TableStore.h"

#include <concepts>
#include <string>

namespace mustardshift::proxy {

/** Reads other VMs' copies of tables. Each handler is called exactly once, and never before the
    call that it was passed to has returned. Any failure is reported as a StoreFailure. */
template<class Reader>
concept PeerTableReader = requires(Reader aReader,
                                   const std::string& aAddress,
                                   const std::string& aTable,
                                   RowsHandler aHandler)
{
  aReader.ReadTable(aAddress, aTable, aHandler);
};

} // namespace mustardshift::proxy
