#include "Platform.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

namespace {

/** "4 ms an answer". */
constexpr milliseconds kAnswerTime{ 4 };
constexpr milliseconds kIdleTimeout{ 120'000 };
constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t start = 0; start < aBytes.size(); start += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8U;
      if (start + index < aBytes.size()) {
        group |= static_cast<unsigned char>(aBytes[start + index]);
      }
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const bool isPadding = start + index > aBytes.size();
      text.push_back(isPadding ? '=' : kDigits[(group >> (18 - 6 * index)) & 63U]);
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& aText)
{
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : aText) {
    const std::size_t digit = kDigits.find(character);
    if (digit == std::string_view::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes.push_back(static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U));
    }
  }
  return bytes;
}

std::string Unescape(const std::string& aText)
{
  std::string plain;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      plain.push_back(static_cast<char>(std::stoi(aText.substr(index + 1, 2), nullptr, 16)));
      index += 2;
    } else {
      plain.push_back(aText[index]);
    }
  }
  return plain;
}

std::map<std::string, std::string> ParseQuery(const std::string& aText)
{
  std::map<std::string, std::string> query;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find('&', start), aText.size());
    const std::string part = aText.substr(start, end - start);
    const std::size_t equals = std::min(part.find('='), part.size());
    query[part.substr(0, equals)] =
      equals < part.size() ? Unescape(part.substr(equals + 1)) : std::string();
    start = end + 1;
  }
  return query;
}

std::int64_t NowMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

std::string ValueOr(const std::map<std::string, std::string>& aFields,
                    const std::string& aName,
                    const std::string& aDefault)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? aDefault : found->second;
}

} // namespace

Platform::Platform(Record& aRecord)
  : record(aRecord)
{
}

void Platform::Start(Promote aPromote)
{
  this->promote = std::move(aPromote);
  this->listener.Start([this](const std::shared_ptr<Socket>& aSocket) { this->Serve(*aSocket); });
}

void Platform::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard guard(this->mutex);
  this->tables[aTable][aKey] = { aValue, ++this->version, false };
  this->changed.notify_all();
}

void Platform::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard guard(this->mutex);
  this->tables[aTable][aKey] = { "", ++this->version, true };
  this->changed.notify_all();
}

bool Platform::ReadRequest(Socket& aSocket, Request& aRequest)
{
  const auto first = aSocket.ReadLine(kIdleTimeout);
  if (!first) {
    return false;
  }
  const std::size_t methodEnd = std::min(first->find(' '), first->size());
  const std::size_t targetEnd = std::min(first->find(' ', methodEnd + 1), first->size());
  aRequest.method = first->substr(0, methodEnd);
  const std::string target = first->substr(methodEnd + 1, targetEnd - methodEnd - 1);
  const std::size_t queryStart = std::min(target.find('?'), target.size());
  aRequest.path = target.substr(0, queryStart);
  if (queryStart < target.size()) {
    aRequest.query = ParseQuery(target.substr(queryStart + 1));
  }
  while (true) {
    const auto line = aSocket.ReadLine(kIdleTimeout);
    if (!line) {
      return false;
    }
    if (line->empty()) {
      break;
    }
    const std::size_t colon = line->find(':');
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
    aRequest.headers[name] = line->substr(line->find_first_not_of(' ', colon + 1));
  }
  const auto body =
    aSocket.ReadBytes(std::stoul(ValueOr(aRequest.headers, "content-length", "0")), kIdleTimeout);
  aRequest.body = body.value_or("");
  return body.has_value();
}

void Platform::Serve(Socket& aSocket)
{
  while (true) {
    Request request;
    if (!ReadRequest(aSocket, request)) {
      return;
    }
    std::this_thread::sleep_for(kAnswerTime);
    const Response response = this->Answer(request);
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!aSocket.Send(text)) {
      return;
    }
  }
}

Platform::Response Platform::Answer(const Request& aRequest)
{
  if (aRequest.path == "/v1/rows-get") {
    return this->Get(aRequest);
  }
  if (aRequest.path == "/v1/rows-feed") {
    return this->Feed(aRequest);
  }
  if (aRequest.path == "/v1/rows-tx") {
    return this->Transact(aRequest);
  }
  if (aRequest.path == "/promote") {
    return this->Order(aRequest);
  }
  return { 404, "{}" };
}

Platform::Response Platform::Get(const Request& aRequest)
{
  const std::lock_guard guard(this->mutex);
  const std::string table = ValueOr(aRequest.query, "table", "");
  const std::string from = ValueOr(aRequest.query, "from", "");
  const std::size_t limit = std::stoul(ValueOr(aRequest.query, "limit", "500"));
  json rows = json::array();
  bool hasMore = false;
  for (const auto& [key, row] : this->tables[table]) {
    if (row.isRemoved || key < from) {
      continue;
    }
    if (rows.size() >= limit) {
      hasMore = true;
      break;
    }
    rows.push_back({ { "table", table },
                     { "part", "" },
                     { "key", key },
                     { "value", EncodeBase64(row.value) },
                     { "ver", row.version } });
  }
  return { 200,
           json{ { "rows", rows },
                 { "has_more", hasMore },
                 { "ver", this->version },
                 { "now_ms", NowMilliseconds() } }
             .dump() };
}

Platform::Response Platform::Feed(const Request& aRequest)
{
  std::unique_lock lock(this->mutex);
  const std::string table = ValueOr(aRequest.query, "table", "");
  const std::uint64_t after = std::stoull(ValueOr(aRequest.query, "after", "0"));
  const auto until =
    Clock::now() + milliseconds(std::stol(ValueOr(aRequest.query, "wait_ms", "0")));
  std::map<std::uint64_t, std::vector<json>> changes;
  const auto collect = [&] {
    for (const auto& [key, row] : this->tables[table]) {
      if (row.version <= after) {
        continue;
      }
      json entry{ { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
      if (row.isRemoved) {
        entry["tombstone"] = true;
      } else {
        entry["value"] = EncodeBase64(row.value);
      }
      changes[row.version].push_back(std::move(entry));
    }
    return !changes.empty();
  };
  this->changed.wait_until(lock, until, collect);
  json rows = json::array();
  for (auto& [rowVersion, entries] : changes) {
    for (json& entry : entries) {
      rows.push_back(std::move(entry));
    }
  }
  return {
    200, json{ { "rows", rows }, { "ver", this->version }, { "now_ms", NowMilliseconds() } }.dump()
  };
}

Platform::Response Platform::Transact(const Request& aRequest)
{
  const json body = json::parse(aRequest.body);
  const std::lock_guard guard(this->mutex);
  for (const json& entry : body.at("expect")) {
    const Row& row =
      this->tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()];
    const std::uint64_t present = row.isRemoved ? 0 : row.version;
    if (present != entry.at("ver").get<std::uint64_t>()) {
      return { 412, json{ { "rows", json::array() }, { "ver", this->version } }.dump() };
    }
  }
  ++this->version;
  for (const json& entry : body.at("writes")) {
    this->tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()] = {
      DecodeBase64(entry.at("value").get<std::string>()), this->version, false
    };
  }
  for (const json& entry : body.at("remove")) {
    this->tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()] = {
      "", this->version, true
    };
  }
  this->changed.notify_all();
  return { 200, json{ { "ver", this->version }, { "now_ms", NowMilliseconds() } }.dump() };
}

Platform::Response Platform::Order(const Request& aRequest)
{
  const json body = json::parse(aRequest.body);
  const auto service = body.at("service").get<std::string>();
  const auto server = body.at("id").get<std::string>();
  const std::string holder = ValueOr(aRequest.headers, "x-lease-holder", "none");
  const std::uint64_t fence = std::stoull(ValueOr(aRequest.headers, "x-fencing-token", "0"));
  bool isAccepted = false;
  {
    const std::lock_guard guard(this->mutex);
    isAccepted = fence >= this->highestFences[service];
    this->highestFences[service] = std::max(fence, this->highestFences[service]);
  }
  isAccepted = isAccepted && this->promote(service, server);
  this->record.Write("platform: POST /promote service=" + service + " id=" + server +
                     " holder=" + holder + " fence=" + std::to_string(fence) + " -> " +
                     (isAccepted ? "200" : "409"));
  return { isAccepted ? 200 : 409, "{}" };
}

} // namespace review
