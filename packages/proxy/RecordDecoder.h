#pragma once

#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/cluster/SessionConfiguration.h"
#include "proxy/coordination/StoredRow.h"

#include <concepts>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace mustardshift::proxy {

/** Marks a failure domain as out of service for as long as the record exists. */
struct EvacuationRecord
{
  FailureDomainName domain;
};

/** Decoded row of the operators' table. */
using OperatorRecord = std::variant<SessionConfiguration, EvacuationRecord>;

/** Decodes the rows that operators and database servers write to the store. An error says why a row
    can't be decoded. */
template<class Decoder>
concept RecordDecoder = requires(const StoredRow& aRow)
{
  {
    Decoder::kOperatorTable
    } -> std::convertible_to<std::string_view>;
  {
    Decoder::kServerTable
    } -> std::convertible_to<std::string_view>;
  {
    Decoder::DecodeOperatorRow(aRow)
    } -> std::same_as<tl::expected<OperatorRecord, std::string>>;
  {
    Decoder::DecodeServerRow(aRow)
    } -> std::same_as<tl::expected<ServerRecord, std::string>>;
};

} // namespace mustardshift::proxy
