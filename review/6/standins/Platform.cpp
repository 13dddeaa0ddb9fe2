#include "Platform.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {

namespace http = boost::beast::http;
namespace base64 = boost::beast::detail::base64;
using boost::asio::ip::tcp;
using nlohmann::json;

namespace {

/** Times of the store's answers, as the page of the deployment gives them. */
constexpr Milliseconds kReadTime(4);
constexpr Milliseconds kWriteTime(6);
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kPreconditionFailed = 412;

std::string Encode(const std::string& aText)
{
  std::string encoded(base64::encoded_size(aText.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

std::string Decode(const std::string& aText)
{
  std::string plain(base64::decoded_size(aText.size()), '\0');
  plain.resize(base64::decode(plain.data(), aText.data(), aText.size()).first);
  return plain;
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

std::map<std::string, std::string> ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  std::size_t begin = aTarget.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = aTarget.find('&', begin + 1);
    const std::string part = aTarget.substr(begin + 1, end - begin - 1);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
    }
    begin = end;
  }
  return query;
}

} // namespace

struct Platform::Connection : std::enable_shared_from_this<Platform::Connection>
{
  Connection(Platform& aPlatform, tcp::socket aSocket)
    : platform(aPlatform)
    , socket(std::move(aSocket))
  {
  }

  void Read()
  {
    this->request = {};
    http::async_read(
      this->socket,
      this->buffer,
      this->request,
      [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
        if (!aError) {
          self->Handle();
        }
      });
  }

  void Handle()
  {
    std::map<std::string, std::string> headers;
    for (const auto& field : this->request) {
      headers[std::string(field.name_string())] = std::string(field.value());
    }
    this->platform.Handle(
      std::string(this->request.target()),
      this->request.body(),
      headers,
      [self = this->shared_from_this()](unsigned aStatus, const std::string& aBody) {
        self->Answer(aStatus, aBody);
      });
  }

  void Answer(unsigned aStatus, const std::string& aBody)
  {
    this->response = {};
    this->response.version(11);
    this->response.result(aStatus);
    this->response.set(http::field::content_type, "application/json");
    this->response.body() = aBody;
    this->response.keep_alive(true);
    this->response.prepare_payload();
    http::async_write(
      this->socket,
      this->response,
      [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
        if (!aError) {
          self->Read();
        }
      });
  }

  Platform& platform;
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

Platform::Platform(Loop& aLoop)
  : loop(aLoop)
  , acceptor(aLoop.Io(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
  , address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
{
  this->Accept();
}

void Platform::Accept()
{
  this->acceptor.async_accept([this](const boost::system::error_code& aError, tcp::socket aSocket) {
    if (!aError) {
      std::make_shared<Connection>(*this, std::move(aSocket))->Read();
    }
    this->Accept();
  });
}

void Platform::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  this->tables[aTable][aKey] = { aValue, ++this->version, false };
  this->WakeWaiters();
}

void Platform::Remove(const std::string& aTable, const std::string& aKey)
{
  this->tables[aTable][aKey] = { "", ++this->version, true };
  this->WakeWaiters();
}

bool Platform::PassesFence(const PromoteCall& aCall)
{
  std::uint64_t& highest = this->highestFence[aCall.service];
  if (aCall.fence < highest) {
    return false;
  }
  highest = aCall.fence;
  return true;
}

void Platform::Handle(const std::string& aTarget,
                      const std::string& aBody,
                      const std::map<std::string, std::string>& aHeaders,
                      const Answer& aAnswer)
{
  const std::string path = aTarget.substr(0, aTarget.find('?'));
  if (path == "/v1/rows-get") {
    this->loop.After(
      kReadTime, [this, query = ParseQuery(aTarget), aAnswer] { this->HandleGet(query, aAnswer); });
  } else if (path == "/v1/rows-feed") {
    this->loop.After(kReadTime, [this, query = ParseQuery(aTarget), aAnswer] {
      this->HandleFeed(query, aAnswer);
    });
  } else if (path == "/v1/rows-tx") {
    this->loop.After(kWriteTime, [this, aBody, aAnswer] { this->HandleWrite(aBody, aAnswer); });
  } else if (path == "/promote") {
    this->HandlePromote(aBody, aHeaders, aAnswer);
  } else {
    aAnswer(kNotFound, "");
  }
}

void Platform::HandleGet(const Query& aQuery, const Answer& aAnswer)
{
  constexpr std::size_t kMostRows = 500;
  const std::string& table = aQuery.at("table");
  const auto from = aQuery.find("from");
  const auto limit = aQuery.find("limit");
  const std::size_t most =
    limit == aQuery.end() ? kMostRows : std::min<std::size_t>(kMostRows, std::stoul(limit->second));
  json rows = json::array();
  bool hasMore = false;
  for (const auto& [key, row] : this->tables[table]) {
    if (row.isRemoved || (from != aQuery.end() && key < from->second)) {
      continue;
    }
    if (rows.size() == most) {
      hasMore = true;
      break;
    }
    rows.push_back({ { "table", table },
                     { "part", "" },
                     { "key", key },
                     { "value", Encode(row.value) },
                     { "ver", row.version } });
  }
  aAnswer(kOk,
          json{ { "rows", rows },
                { "has_more", hasMore },
                { "ver", this->version },
                { "now_ms", this->loop.Now() } }
            .dump());
}

std::string Platform::Changes(const std::string& aTable, std::uint64_t aAfter, bool& aIsEmpty) const
{
  std::map<std::pair<std::uint64_t, std::string>, json> changes;
  const auto table = this->tables.find(aTable);
  if (table != this->tables.end()) {
    for (const auto& [key, row] : table->second) {
      if (row.version <= aAfter) {
        continue;
      }
      json entry{ { "table", aTable }, { "part", "" }, { "key", key }, { "ver", row.version } };
      if (row.isRemoved) {
        entry["tombstone"] = true;
      } else {
        entry["value"] = Encode(row.value);
      }
      changes[{ row.version, key }] = std::move(entry);
    }
  }
  aIsEmpty = changes.empty();
  json rows = json::array();
  for (auto& [place, entry] : changes) {
    rows.push_back(std::move(entry));
  }
  return json{ { "rows", rows }, { "ver", this->version }, { "now_ms", this->loop.Now() } }.dump();
}

void Platform::HandleFeed(const Query& aQuery, const Answer& aAnswer)
{
  Waiter waiter{ aQuery.at("table"), std::stoull(aQuery.at("after")), aAnswer, ++this->lastWaiter };
  bool isEmpty = false;
  const std::string changes = this->Changes(waiter.table, waiter.after, isEmpty);
  const long wait = std::stol(aQuery.at("wait_ms"));
  if (!isEmpty || wait == 0) {
    aAnswer(kOk, changes);
    return;
  }
  this->waiters.push_back(waiter);
  this->loop.After(Milliseconds(wait), [this, id = waiter.id] {
    const auto found = std::find_if(this->waiters.begin(),
                                    this->waiters.end(),
                                    [id](const Waiter& aWaiter) { return aWaiter.id == id; });
    if (found != this->waiters.end()) {
      const Waiter expired = *found;
      this->waiters.erase(found);
      bool isStillEmpty = false;
      expired.answer(kOk, this->Changes(expired.table, expired.after, isStillEmpty));
    }
  });
}

void Platform::WakeWaiters()
{
  std::vector<Waiter> still;
  for (Waiter& waiter : std::exchange(this->waiters, {})) {
    bool isEmpty = false;
    const std::string changes = this->Changes(waiter.table, waiter.after, isEmpty);
    if (isEmpty) {
      still.push_back(std::move(waiter));
    } else {
      waiter.answer(kOk, changes);
    }
  }
  this->waiters.insert(this->waiters.end(), still.begin(), still.end());
}

void Platform::HandleWrite(const std::string& aBody, const Answer& aAnswer)
{
  const json body = json::parse(aBody);
  for (const json& entry : body.at("expect")) {
    const auto& table = this->tables[entry.at("table").get<std::string>()];
    const auto row = table.find(entry.at("key").get<std::string>());
    const std::uint64_t present =
      row == table.end() || row->second.isRemoved ? 0 : row->second.version;
    if (present != entry.at("ver").get<std::uint64_t>()) {
      aAnswer(kPreconditionFailed,
              json{ { "rows", json::array() }, { "ver", this->version } }.dump());
      return;
    }
  }
  ++this->version;
  for (const json& entry : body.at("writes")) {
    this->tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()] = {
      Decode(entry.at("value").get<std::string>()), this->version, false
    };
  }
  for (const json& entry : body.at("remove")) {
    this->tables[entry.at("table").get<std::string>()][entry.at("key").get<std::string>()] = {
      "", this->version, true
    };
  }
  aAnswer(kOk, json{ { "ver", this->version }, { "now_ms", this->loop.Now() } }.dump());
  this->WakeWaiters();
}

void Platform::HandlePromote(const std::string& aBody,
                             const std::map<std::string, std::string>& aHeaders,
                             const Answer& aAnswer)
{
  const json body = json::parse(aBody);
  const PromoteCall call{ body.at("service").get<std::string>(),
                          body.at("id").get<std::string>(),
                          aHeaders.at("X-Lease-Holder"),
                          std::stoull(aHeaders.at("X-Fencing-Token")) };
  if (this->onPromote) {
    this->onPromote(call, aAnswer);
  } else if (this->PassesFence(call)) {
    aAnswer(kOk, "{}");
  } else {
    aAnswer(kConflict, "");
  }
}

} // namespace review
