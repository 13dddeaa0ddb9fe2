#include "proxy/tests/SessionFixture.h"

#include "core/configuration/KeyHash.h"

#include <cppunit/TestAssert.h>
#include <sstream>

namespace mustardshift::proxy::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

SessionFixture::SessionFixture()
{
  this->network.now = this->now;
  this->network.Add("s1", true);
  this->network.Add("s2", false);
  this->network.Add("s3", false);
  this->cluster.ApplyConfigurationIfNewer(this->MakeConfiguration(1));
  this->Put("s1", ServerRole::Primary);
  this->Put("s2", ServerRole::Replica);
  this->Put("s3", ServerRole::Replica);
  RateAllocation allocation;
  allocation.version = 1;
  for (const char* organisation : { "blue", "green" }) {
    allocation.shares[OrganisationName(organisation)][VmId("vm-1")] = { kRateParts, kRateParts, 1 };
  }
  this->buckets.Configure(
    this->now - seconds(10), this->cluster.Configuration().limits, allocation);
  this->pool.SetFleetSize(1);
  this->Confirm();
}

SessionConfiguration SessionFixture::MakeConfiguration(std::uint64_t aVersion) const
{
  const DatabaseName group("fittings");
  SessionConfiguration configuration;
  configuration.version = aVersion;
  configuration.connectionLimits[group] = 20;
  SessionRoute route;
  route.group = group;
  route.statementTimeout = milliseconds(800);
  configuration.routes["bookings"] = route;
  route.consistency = ReadConsistency::Bounded;
  route.maxStaleness = milliseconds(1500);
  configuration.routes["board"] = route;
  route.consistency = ReadConsistency::Session;
  route.maxStaleness = milliseconds(2500);
  configuration.routes["notes"] = route;
  route.consistency = ReadConsistency::Bounded;
  route.isPublic = true;
  configuration.routes["hours"] = route;
  for (const char* organisation : { "blue", "green" }) {
    const OrganisationName name(organisation);
    configuration.limits[name] = { 100, 100 };
    configuration.organisationsByKeyHash[KeyHash(std::string("key-") + organisation)] = name;
  }
  return configuration;
}

void SessionFixture::Put(const std::string& aId, ServerRole aRole, ServerState aState)
{
  ServerRecord record;
  record.id = ServerId(aId);
  record.group = DatabaseName("fittings");
  record.address = ServerAddress("10.0.0.1:5000");
  record.domain = FailureDomainName("domain-" + aId);
  record.slots = 3;
  record.role = aRole;
  record.state = aState;
  this->cluster.PutServer(record, this->now);
}

void SessionFixture::Confirm()
{
  this->cluster.Confirm(this->now);
  this->buckets.SetLease(this->now + seconds(5));
}

std::shared_ptr<ClientSession<FakeNetwork>> SessionFixture::Open(const std::string& aDatabase,
                                                                 const std::string& aKey)
{
  auto session = std::make_shared<ClientSession<FakeNetwork>>(
    this->context, aDatabase, aKey.empty() ? std::string() : KeyHash(aKey));
  if (session->Open(this->now)) {
    return nullptr;
  }
  return session;
}

Statement SessionFixture::Parse(const std::string& aText)
{
  std::istringstream words(aText);
  std::string word;
  words >> word;
  Statement statement;
  statement.text = aText;
  if (word == "BEGIN") {
    statement.kind = aText == "BEGIN READ" ? StatementKind::BeginReadOnly : StatementKind::Begin;
  } else if (word == "COMMIT") {
    statement.kind = StatementKind::Commit;
  } else if (word == "ROLLBACK") {
    statement.kind = StatementKind::Rollback;
  } else if (word == "READ") {
    statement.kind = StatementKind::Read;
  } else if (word == "WRITE") {
    statement.kind = StatementKind::Write;
  } else if (word == "SET") {
    statement.kind = StatementKind::SetVariable;
    words >> statement.name >> statement.body;
  } else if (word == "PREPARE") {
    std::string access;
    statement.kind = StatementKind::Prepare;
    words >> statement.name >> access >> statement.body;
    statement.access = access == "WRITE" ? AccessKind::Write : AccessKind::Read;
  } else {
    statement.kind = StatementKind::Execute;
    words >> statement.name >> statement.body;
  }
  return statement;
}

std::shared_ptr<std::optional<ClientReply>> SessionFixture::Start(
  ClientSession<FakeNetwork>& aSession,
  const std::string& aText)
{
  auto reply = std::make_shared<std::optional<ClientReply>>();
  aSession.Execute(this->now,
                   "request-" + std::to_string(++this->lastRequest),
                   Parse(aText),
                   [reply](Instant, ClientReply aReply) { *reply = std::move(aReply); });
  return reply;
}

ClientReply SessionFixture::Run(ClientSession<FakeNetwork>& aSession, const std::string& aText)
{
  const auto reply = this->Start(aSession, aText);
  const Instant limit = this->now + seconds(5);
  while (!reply->has_value() && this->now < limit) {
    this->Advance(milliseconds(1));
  }
  CPPUNIT_ASSERT_MESSAGE("no reply to " + aText, reply->has_value());
  return **reply;
}

void SessionFixture::Advance(Duration aTime)
{
  const Instant end = this->now + aTime;
  while (true) {
    const auto due = this->scheduler.NextDue();
    if (!due || *due > end) {
      break;
    }
    this->now = std::max(this->now, *due);
    this->network.now = this->now;
    this->scheduler.RunDue(this->now);
  }
  this->now = end;
  this->network.now = this->now;
}

std::vector<ExecutedStatement> SessionFixture::RunsOf(const std::string& aText) const
{
  std::vector<ExecutedStatement> found;
  for (const ExecutedStatement& run : this->network.executedStatements) {
    if (run.statement == aText) {
      found.push_back(run);
    }
  }
  return found;
}

} // namespace mustardshift::proxy::test
