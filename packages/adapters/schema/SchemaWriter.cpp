#include "adapters/schema/SchemaWriter.h"

#include "adapters/settings/YamlMap.h"

#include <array>
#include <charconv>
#include <yaml-cpp/yaml.h>

namespace mustardshift {

namespace {

/** Writes a number with the fewest digits that read back to the same value. */
std::string FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  return { text.data(), std::to_chars(text.data(), text.data() + text.size(), aValue).ptr };
}

void Write(YAML::Emitter& aOut, const std::string& aKey, const std::string& aValue)
{
  aOut << YAML::Key << aKey << YAML::Value << aValue;
}

void Write(YAML::Emitter& aOut, const Organisation& aOrganisation)
{
  aOut << YAML::BeginMap;
  Write(aOut, "name", aOrganisation.name.Text());
  Write(aOut, "rate", FormatNumber(aOrganisation.rate));
  Write(aOut, "burst", FormatNumber(aOrganisation.burst));
  Write(aOut, "weight", std::to_string(aOrganisation.weight));
  aOut << YAML::Key << "keys" << YAML::Value << YAML::BeginSeq;
  for (const ApiKey& key : aOrganisation.keys) {
    aOut << YAML::BeginMap;
    Write(aOut, "name", key.name);
    Write(aOut, "hash", key.hash);
    aOut << YAML::EndMap;
  }
  aOut << YAML::EndSeq << YAML::EndMap;
}

void Write(YAML::Emitter& aOut, const DatabaseGroup& aDatabase)
{
  aOut << YAML::BeginMap;
  Write(aOut, "name", aDatabase.name.Text());
  Write(aOut, "slots", std::to_string(aDatabase.slots));
  Write(aOut, "connection_limit", std::to_string(aDatabase.connectionLimit));
  aOut << YAML::Key << "servers" << YAML::Value << YAML::BeginSeq;
  for (const DatabaseServer& server : aDatabase.servers) {
    aOut << YAML::BeginMap;
    Write(aOut, "address", server.address.Text());
    Write(aOut, "failure_domain", server.failureDomain.Text());
    aOut << YAML::EndMap;
  }
  aOut << YAML::EndSeq << YAML::EndMap;
}

void Write(YAML::Emitter& aOut, const Route& aRoute)
{
  aOut << YAML::BeginMap;
  Write(aOut, "name", aRoute.name.Text());
  if (aRoute.isPublic) {
    Write(aOut, "public", "true");
  } else {
    Write(aOut, "organisation", aRoute.organisation.Text());
  }
  Write(aOut, "database", aRoute.database.Text());
  Write(aOut, "freshness", FormatSpan(aRoute.freshness));
  aOut << YAML::EndMap;
}

template<class Entry>
void WriteList(YAML::Emitter& aOut, const std::string& aKey, const std::vector<Entry>& aEntries)
{
  aOut << YAML::Key << aKey << YAML::Value << YAML::BeginSeq;
  for (const Entry& entry : aEntries) {
    Write(aOut, entry);
  }
  aOut << YAML::EndSeq;
}

} // namespace

std::string SchemaWriter::WriteText(const Configuration& aConfiguration) const
{
  YAML::Emitter out;
  out << YAML::BeginMap;
  WriteList(out, "organisations", aConfiguration.organisations);
  WriteList(out, "databases", aConfiguration.databases);
  WriteList(out, "routes", aConfiguration.routes);
  out << YAML::EndMap << YAML::Newline;
  return out.c_str();
}

} // namespace mustardshift
