#include "PlatformFakes.h"

#include <algorithm>
#include <fmt/format.h>
#include <sodium.h>

namespace dotterel::test {

namespace {

using Json = nlohmann::json;

auto loopbackOptions() -> StrictHttpServerOptions {
  return {.m_Address = SocketAddress::parse("127.0.0.1:0")};
}

auto toBase64(const std::string &Bytes) -> std::string {
  auto Text = std::string(
      sodium_base64_encoded_len(Bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(Text.data(), Text.size(),
                    reinterpret_cast<const unsigned char *>(Bytes.data()),
                    Bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  Text.pop_back();
  return Text;
}

auto fromBase64(const std::string &Text) -> std::string {
  auto Bytes = std::string(Text.size(), '\0');
  auto Size = std::size_t{0};
  sodium_base642bin(reinterpret_cast<unsigned char *>(Bytes.data()),
                    Bytes.size(), Text.data(), Text.size(), nullptr, &Size,
                    nullptr, sodium_base64_VARIANT_ORIGINAL);
  Bytes.resize(Size);
  return Bytes;
}

auto encodeItem(const StoredValue &Value) -> Json {
  return {{"key", Value.m_Key},
          {"value", toBase64(Value.m_Value)},
          {"revision", Value.m_Modified.number()},
          {"created_at", Value.m_Modified.number()},
          {"lease", 0}};
}

/// Returns the value of a query parameter, with escaped characters decoded.
auto queryValue(const HttpRequest &Request, const std::string &Name)
    -> std::string {
  auto Text = findHeader(Request.m_Query, Name).value_or("");
  auto Result = std::string();
  for (auto Index = std::size_t{0}; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Result += Text[Index];
      continue;
    }
    Result +=
        static_cast<char>(std::stoi(Text.substr(Index + 1, 2), nullptr, 16));
    Index += 2;
  }
  return Result;
}

auto parseNumber(const std::string &Text) -> std::uint64_t {
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

FakeStore::FakeStore(EventLoop &Loop)
    : m_Loop(Loop), m_Model(Loop), m_Server(Loop, *this, loopbackOptions()),
      m_Timer(Loop, Milliseconds(20), [this] { respondToWatches(); }) {}

auto FakeStore::put(const std::string &Key, const Json &Value) -> void {
  auto Result =
      m_Model.commit({.m_Writes = {{.m_Key = Key, .m_Value = Value.dump()}}});
  recordChange({Key}, Result.m_Revision.number());
}

auto FakeStore::remove(const std::string &Key) -> void {
  auto Result = m_Model.commit({.m_Writes = {{.m_Key = Key}}});
  recordChange({Key}, Result.m_Revision.number());
}

auto FakeStore::recordChange(const std::vector<std::string> &Keys,
                             std::uint64_t Revision) -> void {
  m_Revision = Revision;
  for (const auto &Key : Keys)
    m_History.push_back({.m_Key = Key, .m_Revision = Revision});
  respondToWatches();
}

auto FakeStore::discardHistory() -> void {
  m_DiscardedRevision = m_Revision;
  m_History.clear();
}

auto FakeStore::takeCopy() -> void {
  m_Copy = m_Model.copy();
  m_CopiedAt = m_Loop.now();
  m_CopiedRevision = m_Revision;
}

auto FakeStore::restore() -> void {
  m_Model.restore(m_Copy, m_Loop.now() - m_CopiedAt);
  m_Revision = m_CopiedRevision;
  std::erase_if(m_History, [this](const Change &Entry) {
    return Entry.m_Revision > m_Revision;
  });
}

auto FakeStore::respond(const HttpExchangePtr &Exchange,
                        HttpResponse Response) const -> void {
  Response.m_Headers.push_back(
      {.m_Name = "Store-Era",
       .m_Value = std::to_string(m_Model.era().number())});
  Exchange->respond(std::move(Response));
}

auto FakeStore::events(const std::string &Prefix, std::uint64_t After) -> Json {
  auto Events = Json::array();
  for (const auto &Entry : m_History) {
    if (Entry.m_Revision <= After || !Entry.m_Key.starts_with(Prefix))
      continue;
    auto Found = m_Model.read(KeyRange::single(Entry.m_Key));
    if (Found.m_Values.empty())
      Events.push_back({{"key", Entry.m_Key},
                        {"revision", Entry.m_Revision},
                        {"deleted", true}});
    else
      Events.push_back(encodeItem(Found.m_Values.front()));
  }
  return Events;
}

auto FakeStore::respondToWatches() -> void {
  if (m_Unresponsive)
    return;
  for (auto Current = m_Watches.begin(); Current != m_Watches.end();) {
    if (Current->m_After < m_DiscardedRevision ||
        Current->m_After > m_Revision) {
      respond(Current->m_Exchange, {.m_Status = 410});
      Current = m_Watches.erase(Current);
      continue;
    }
    auto Events = events(Current->m_Prefix, Current->m_After);
    if (Events.empty() && m_Loop.now() < Current->m_Until) {
      ++Current;
      continue;
    }
    respond(
        Current->m_Exchange,
        jsonResponse(200, Json{{"events", Events}, {"at", m_Revision}}.dump()));
    Current = m_Watches.erase(Current);
  }
}

auto FakeStore::commit(const Json &Body) -> HttpResponse {
  auto Transaction = StoreTransaction();
  auto Keys = std::vector<std::string>();
  for (const auto &Row : Body.at("precondition"))
    Transaction.m_Compares.push_back(
        {.m_Key = Row.at("key"),
         .m_Modified = StoreRevision{Row.at("revision").get<std::uint64_t>()}});
  for (const auto &Put : Body.at("puts")) {
    Keys.push_back(Put.at("key"));
    Transaction.m_Writes.push_back(
        {.m_Key = Put.at("key"),
         .m_Value = fromBase64(Put.at("value")),
         .m_Lease = LeaseId{Put.value("lease", std::uint64_t{0})}});
  }
  for (const auto &Key : Body.at("remove")) {
    Keys.push_back(Key);
    Transaction.m_Writes.push_back({.m_Key = Key});
  }
  auto Result = m_Model.commit(Transaction);
  if (!Result.m_Applied)
    return jsonResponse(412, R"({"items":[]})");
  recordChange(Keys, Result.m_Revision.number());
  return jsonResponse(200,
                      Json{{"revision", Result.m_Revision.number()}}.dump());
}

auto FakeStore::handle(HttpExchangePtr Exchange) -> void {
  const auto &Request = Exchange->request();
  if (m_Unresponsive)
    return;
  if (m_Unavailable) {
    respond(Exchange, {.m_Status = 503});
    return;
  }
  const auto &Path = Request.m_Path;
  if (Path == "/dotterelpoint/kv-watch") {
    m_Watches.push_back(
        {.m_Prefix = queryValue(Request, "path_prefix"),
         .m_After = parseNumber(queryValue(Request, "after")),
         .m_Until = m_Loop.now() +
                    Milliseconds(parseNumber(queryValue(Request, "wait_ms"))),
         .m_Exchange = Exchange});
    respondToWatches();
    return;
  }
  if (Path == "/dotterelpoint/kv-key" || Path == "/dotterelpoint/kv-range") {
    auto Single = Path == "/dotterelpoint/kv-key";
    auto Found = m_Model.read(
        Single ? KeyRange::single(queryValue(Request, "key"))
               : KeyRange::prefix(queryValue(Request, "path_prefix")));
    auto Items = Json::array();
    for (const auto &Value : Found.m_Values)
      Items.push_back(encodeItem(Value));
    if (Single && Items.empty()) {
      respond(Exchange, {.m_Status = 404});
      return;
    }
    auto Document =
        Single ? Items.front() : Json{{"items", Items}, {"has_more", false}};
    Document["at"] = m_Revision;
    respond(Exchange, jsonResponse(200, Document.dump()));
    return;
  }
  if (Path == "/dotterelpoint/kv-txn") {
    auto Response = commit(Json::parse(Request.m_Body));
    if (!m_DropWriteResponses)
      respond(Exchange, std::move(Response));
    return;
  }
  if (Path == "/dotterelpoint/kv-lease") {
    auto Lease = m_Model.grantLease(std::chrono::ceil<Seconds>(Milliseconds(
        Json::parse(Request.m_Body).at("ttl_ms").get<std::int64_t>())));
    respond(Exchange,
            jsonResponse(200, Json{{"lease", Lease.number()}}.dump()));
    return;
  }
  auto Lease = LeaseId{parseNumber(Path.substr(Path.rfind('/') + 1))};
  if (Path.starts_with("/dotterelpoint/kv-keep/")) {
    auto Left = m_Model.renewLease(Lease);
    respond(
        Exchange,
        Left == Seconds::zero()
            ? HttpResponse{.m_Status = 404}
            : jsonResponse(200, Json{{"ttl_ms", toMilliseconds(Left)}}.dump()));
    return;
  }
  respond(Exchange, {.m_Status = m_Model.revokeLease(Lease) ? 200U : 404U});
}

namespace {

auto fakeEvent(int Number, const std::string &Version) -> std::string {
  return fmt::format("id: {0}\n{1}data: event {0}\n\n", Number,
                     Version.empty() ? "" : EventVersionField + Version + "\n");
}

} // namespace

auto fakeEvents(int Count, int First) -> std::string {
  auto Text = std::string();
  for (auto Number = First; Number <= Count; ++Number)
    Text += fakeEvent(Number, "");
  return Text;
}

FakeServer::FakeServer(EventLoop &Loop, std::string Id)
    : m_Id(std::move(Id)), m_Loop(Loop) {
  m_Server.emplace(Loop, *this, loopbackOptions());
}

auto FakeServer::handle(HttpExchangePtr Exchange) -> void {
  const auto &Headers = Exchange->request().m_Headers;
  auto Request = findHeader(Headers, "X-Request-Id").value_or("");
  auto RefusalHeaders =
      HttpHeaders{{"X-Request-Id", Request}, {"X-Not-Executed", "1"}};
  if (findHeader(Headers, "X-Expect-Instance").value_or(m_Id) != m_Id) {
    Exchange->respond({.m_Status = 421, .m_Headers = RefusalHeaders});
    return;
  }
  if (m_OnArrival)
    m_OnArrival(Headers, m_RequestsToRefuse == 0);
  if (m_RequestsToRefuse > 0) {
    --m_RequestsToRefuse;
    Exchange->respond({.m_Status = 503, .m_Headers = RefusalHeaders});
    return;
  }
  ++m_Executions[Request];
  m_Headers.push_back(Headers);
  if (findHeader(Headers, CrashHeader)) {
    m_Loop.schedule(Duration::zero(), [this] { m_Server.reset(); });
    return;
  }
  auto Truncate = m_ResponsesToTruncate > 0;
  m_ResponsesToTruncate -= Truncate ? 1 : 0;
  m_Loop.schedule(m_WorkTime, [this, Exchange, Request, Truncate] {
    auto ResponseHeaders = HttpHeaders{
        {"X-Request-Id", Request}, {"X-Response-Stamp", "stamp-" + Request}};
    if (Truncate) {
      Exchange->startStream(200, ResponseHeaders);
      Exchange->abort();
      return;
    }
    const auto &RequestHeaders = Exchange->request().m_Headers;
    if (auto Events = findHeader(RequestHeaders, EventCountHeader)) {
      ResponseHeaders.push_back({"Content-Type", "text/event-stream"});
      Exchange->startStream(200, ResponseHeaders);
      auto LastId = findHeader(RequestHeaders, "Last-Event-Id").value_or("0");
      sendEvents(Exchange, std::stoi(LastId) + 1, std::stoi(*Events));
      return;
    }
    Exchange->respond({.m_Status = 200,
                       .m_Headers = ResponseHeaders,
                       .m_Body = Exchange->request().m_Target + "|" +
                                 Exchange->request().m_Body.text()});
  });
}

auto FakeServer::sendEvents(const HttpExchangePtr &Exchange, int Number,
                            int Count) -> void {
  if (m_EventsToBreakAfter > 0 && Number > m_EventsToBreakAfter) {
    Exchange->abort();
    return;
  }
  if (Number > Count) {
    Exchange->finish();
    return;
  }
  m_Loop.schedule(EventInterval, [this, Exchange, Number, Count] {
    Exchange->write(fakeEvent(Number, m_Version));
    sendEvents(Exchange, Number + 1, Count);
  });
}

FakeFleet::FakeFleet(EventLoop &Loop)
    : m_Server(Loop, *this, loopbackOptions()) {}

auto FakeFleet::handle(HttpExchangePtr Exchange) -> void {
  const auto &Request = Exchange->request();
  if (Request.m_Path == "/usage") {
    auto Body = Json::parse(Request.m_Body);
    m_Reports[Body.at("window_id").get<std::uint64_t>()].insert(
        Body.at("counts").dump());
  }
  Exchange->respond({.m_Status = 200});
}

} // namespace dotterel::test
