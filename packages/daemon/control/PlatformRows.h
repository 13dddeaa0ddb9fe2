#pragma once

#include "adapters/platform/TableRow.h"
#include "core/base/Names.h"
#include "core/lease/QuotaShardRow.h"
#include "core/lease/QuotaShardWrite.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift {

/** Keys and key prefixes of the daemons' rows in the platform's table. */
inline constexpr std::string_view kHeadKey = "configuration/head";
inline constexpr std::string_view kSnapshotKey = "configuration/snapshot";
inline constexpr std::string_view kChangePrefix = "configuration/change/";
inline constexpr std::string_view kDatabasePrefix = "database/";
inline constexpr std::string_view kShardPrefix = "shard/";
inline constexpr std::string_view kVmPrefix = "vm/";

/** Key of the row of one configuration change. Thread safety: pure. */
std::string ChangeKey(std::uint64_t aVersion);

/** Name of the object that holds the snapshot of one configuration version. Thread safety: pure. */
std::string SnapshotName(std::uint64_t aVersion);

/** Key of a database's row. Thread safety: pure. */
std::string DatabaseKey(const DatabaseName& aDatabase);

/** Key of a quota shard's row. Thread safety: pure. */
std::string ShardKey(QuotaShardId aShard);

/** Key of a VM's registration row. Thread safety: pure. */
std::string VmKey(const VmId& aVm);

/** Encodes a version number as a row value, in decimal. Thread safety: pure. */
std::string EncodeNumber(std::uint64_t aNumber);

/** Decodes a version number; returns nullopt if the value is not a decimal number. Thread safety:
    pure. */
std::optional<std::uint64_t> DecodeNumber(std::string_view aValue);

/** Content of the row `database/<name>`. */
struct DatabaseRow
{
  std::uint64_t term = 0;
  ServerAddress primary;
  std::string operationId;
};

std::string EncodeDatabaseRow(const DatabaseRow& aRow);
std::optional<DatabaseRow> DecodeDatabaseRow(std::string_view aValue);

/** Content of the row `vm/<id>`. */
struct VmRow
{
  std::uint64_t incarnation = 0;
  std::string callerAddress;
  std::string operatorAddress;
  std::string peerAddress;
  FailureDomainName failureDomain;
};

std::string EncodeVmRow(const VmRow& aRow);
std::optional<VmRow> DecodeVmRow(std::string_view aValue);

/** Encodes the value that a write stores in each of its shard rows. */
std::string EncodeShardWrite(const QuotaShardWrite& aWrite);

/** Decodes a shard's row; returns nullopt if its key or value is malformed. */
std::optional<QuotaShardRow> DecodeShardRow(const TableRow& aRow);

} // namespace mustardshift
