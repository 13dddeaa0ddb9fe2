#include "adapters/platform/TableClient.h"

#include "adapters/channel/ChannelFactory.h"
#include "adapters/platform/PlatformCall.h"
#include "platform.grpc.pb.h"

namespace mustardshift {

namespace v1 = platform::v1;

namespace {

std::vector<TableRow> RowsOf(const google::protobuf::RepeatedPtrField<v1::Row>& aRows)
{
  std::vector<TableRow> rows;
  rows.reserve(static_cast<std::size_t>(aRows.size()));
  for (const v1::Row& row : aRows) {
    rows.push_back(TableRow{ row.key(), row.value(), row.version() });
  }
  return rows;
}

} // namespace

TableClient::TableClient(const std::string& aAddress, const std::string& aUserAgent)
  : channel(MakeChannel(aAddress, aUserAgent))
{
}

PlatformResult<void> TableClient::Commit(const std::vector<RowPrecondition>& aPreconditions,
                                         const std::vector<RowWrite>& aWrites,
                                         Duration aTimeout)
{
  v1::CommitRequest request;
  for (const RowPrecondition& precondition : aPreconditions) {
    v1::Precondition& added = *request.add_preconditions();
    added.set_key(precondition.key);
    added.set_version(precondition.version);
  }
  for (const RowWrite& write : aWrites) {
    v1::Write& added = *request.add_writes();
    added.set_key(write.key);
    added.set_value(write.value);
    added.set_remove(write.remove);
  }
  auto result = CallPlatform<v1::CommitResponse>(
    *this->channel, aTimeout, [&](grpc::ClientContext& aContext, v1::CommitResponse& aResponse) {
      return v1::TableService::NewStub(this->channel)->Commit(&aContext, request, &aResponse);
    });
  if (!result) {
    return tl::unexpected<PlatformFailure>(std::move(result.error()));
  }
  if (!result->committed()) {
    return tl::unexpected<PlatformFailure>(PlatformFailure{
      PlatformError::Conflict, RowsOf(result->conflicts()), "a precondition did not hold" });
  }
  return {};
}

PlatformResult<std::vector<TableRow>> TableClient::Read(const std::vector<std::string>& aKeys,
                                                        Duration aTimeout)
{
  v1::ReadRequest request;
  for (const std::string& key : aKeys) {
    request.add_keys(key);
  }
  return CallPlatform<v1::ReadResponse>(
           *this->channel,
           aTimeout,
           [&](grpc::ClientContext& aContext, v1::ReadResponse& aResponse) {
             return v1::TableService::NewStub(this->channel)->Read(&aContext, request, &aResponse);
           })
    .map([](const v1::ReadResponse& aResponse) { return RowsOf(aResponse.rows()); });
}

PlatformResult<std::vector<TableRow>> TableClient::Scan(const std::string& aPrefix,
                                                        std::uint32_t aLimit,
                                                        Duration aTimeout)
{
  v1::ScanRequest request;
  request.set_prefix(aPrefix);
  request.set_limit(aLimit);
  return CallPlatform<v1::ReadResponse>(
           *this->channel,
           aTimeout,
           [&](grpc::ClientContext& aContext, v1::ReadResponse& aResponse) {
             return v1::TableService::NewStub(this->channel)->Scan(&aContext, request, &aResponse);
           })
    .map([](const v1::ReadResponse& aResponse) { return RowsOf(aResponse.rows()); });
}

} // namespace mustardshift
