#include "dotterel/fakes/FakePlatform.h"

#include "dotterel/fakes/detail/JsonReply.h"
#include "dotterel/store/HttpStore.h"

#include <utility>

namespace dotterel {

using detail::jsonReply;

namespace {

using Json = nlohmann::json;

constexpr auto MaxHistoryEntries = std::size_t{1000};

/// Reads a number that may be written as a string, as the store's JSON has it;
/// 0 without the member.
auto unsignedMember(const Json &Source, const char *Name) -> std::uint64_t {
  if (!Source.contains(Name))
    return 0;
  const auto &Value = Source.at(Name);
  return Value.is_string() ? std::stoull(Value.get<std::string>())
                           : Value.get<std::uint64_t>();
}

/// Splits `/as/<name>/rest` into the name and the rest.
auto splitCaller(const std::string &Path)
    -> std::pair<std::string, std::string> {
  constexpr auto Prefix = std::string_view("/as/");
  if (!Path.starts_with(Prefix))
    return {std::string(), Path};
  auto End = Path.find('/', Prefix.size());
  if (End == std::string::npos)
    return {std::string(), Path};
  return {Path.substr(Prefix.size(), End - Prefix.size()), Path.substr(End)};
}

auto header(StoreRevision Revision) -> Json {
  return {{"revision", std::to_string(Revision.number())}};
}

auto readRange(InMemoryStore &Store, const Json &Body) -> Json {
  auto Range =
      KeyRange{.m_First = decodeBase64(Body.at("key").get<std::string>()),
               .m_End = decodeBase64(Body.value("range_end", ""))};
  auto Result = Store.read(Range);
  auto Values = Json::array();
  for (const auto &Item : Result.m_Values)
    Values.push_back(
        {{"key", encodeBase64(Item.m_Key)},
         {"value", encodeBase64(Item.m_Value)},
         {"mod_revision", std::to_string(Item.m_Modified.number())}});
  return {{"header", header(Result.m_Revision)},
          {"kvs", Values},
          {"count", std::to_string(Values.size())}};
}

auto commitTransaction(InMemoryStore &Store, const Json &Body) -> Json {
  auto Transaction = StoreTransaction();
  for (const auto &Item : Body.value("compare", Json::array()))
    Transaction.m_Compares.push_back(
        {.m_Key = decodeBase64(Item.at("key").get<std::string>()),
         .m_Modified = StoreRevision{unsignedMember(Item, "mod_revision")}});
  for (const auto &Item : Body.value("success", Json::array())) {
    if (Item.contains("request_put")) {
      const auto &Put = Item.at("request_put");
      Transaction.m_Writes.push_back(
          {.m_Key = decodeBase64(Put.at("key").get<std::string>()),
           .m_Value = decodeBase64(Put.value("value", "")),
           .m_Lease = LeaseId{unsignedMember(Put, "lease")}});
      continue;
    }
    const auto &Delete = Item.at("request_delete_range");
    Transaction.m_Writes.push_back(
        {.m_Key = decodeBase64(Delete.at("key").get<std::string>())});
  }
  auto Result = Store.commit(Transaction);
  return {{"header", header(Result.m_Revision)},
          {"succeeded", Result.m_Applied}};
}

} // namespace

auto FakePlatform::handle(HttpExchangePtr Exchange) -> void {
  const auto &Request = Exchange->request();
  auto Body = Request.m_Body.empty()
                  ? Json::object()
                  : Json::parse(Request.m_Body, nullptr, false);
  if (Body.is_discarded()) {
    Exchange->respond(jsonReply(400, {{"error", "malformed"}}));
    return;
  }
  try {
    auto [Caller, Path] = splitCaller(Request.m_Path);
    if (Path.starts_with("/v3/")) {
      if (!m_Faults.m_Cut.contains(Caller))
        handleStore(Exchange, Path);
    } else if (Request.m_Path == "/faults")
      setFaults(Exchange, Body);
    else if (Request.m_Path == "/platform/v1/orders")
      handleOrders(Exchange, Body);
    else if (Request.m_Path == "/platform/v1/spending")
      Exchange->respond(jsonReply(200, updateSpending()));
    else if (Request.m_Path == "/platform/v1/usage")
      handleReports(Exchange, Body);
    else if (Request.m_Path.starts_with("/platform/v1/weights/"))
      handleWeights(Exchange);
    else if (!handleLists(Exchange))
      Exchange->respond(jsonReply(404, {{"error", "not found"}}));
  } catch (const std::exception &Failure) {
    Exchange->respond(jsonReply(400, {{"error", Failure.what()}}));
  }
}

auto FakePlatform::bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse {
  return detail::tooLargeResponse();
}

auto FakePlatform::exceedsRateLimit(bool Write) -> bool {
  auto Limit = Write ? m_Faults.m_WritesPerSecond : m_Faults.m_ReadsPerSecond;
  if (Limit == 0)
    return false;
  auto Second = m_Scheduler.now().time_since_epoch() / Seconds(1);
  auto &[CountedSecond, Calls] = m_CallsInSecond[Write];
  if (CountedSecond != Second)
    Calls = 0;
  CountedSecond = Second;
  return ++Calls > Limit;
}

auto FakePlatform::callStore(const std::string &Path, const Json &Body)
    -> Json {
  if (Path == "/v3/kv/range")
    return readRange(m_Store, Body);
  if (Path == "/v3/kv/txn")
    return commitTransaction(m_Store, Body);
  if (Path == "/v3/lease/grant") {
    auto TimeToLive = Seconds(unsignedMember(Body, "TTL"));
    return {{"ID", std::to_string(m_Store.grantLease(TimeToLive).number())},
            {"TTL", std::to_string(TimeToLive.count())}};
  }
  auto Lease = LeaseId{unsignedMember(Body, "ID")};
  if (Path == "/v3/lease/keepalive") {
    auto Remaining = m_Store.renewLease(Lease);
    return {{"result",
             {{"ID", std::to_string(Lease.number())},
              {"TTL", std::to_string(Remaining.count())}}}};
  }
  if (Path == "/v3/lease/revoke") {
    m_Store.revokeLease(Lease);
    return {{"header", Json::object()}};
  }
  throw std::runtime_error("no such call");
}

auto FakePlatform::handleStore(const HttpExchangePtr &Exchange,
                               const std::string &Path) -> void {
  const auto &Request = Exchange->request();
  auto Write = Path != "/v3/kv/range";
  if (m_Faults.m_StoreUnresponsive)
    return;
  if (m_Faults.m_StoreDown || exceedsRateLimit(Write)) {
    Exchange->respond(jsonReply(m_Faults.m_StoreDown ? 503 : 429,
                                {{"error", "unavailable"}}));
    return;
  }
  auto Response = jsonReply(200, callStore(Path, Json::parse(Request.m_Body)));
  Response.m_Headers.push_back(
      {.m_Name = "x-store-era",
       .m_Value = std::to_string(m_Store.era().number())});
  if (Write && m_Faults.m_LoseResponses > 0) {
    // The write has taken effect; the caller only gets no response.
    --m_Faults.m_LoseResponses;
    return;
  }
  m_Scheduler.schedule(Milliseconds(m_Faults.m_StoreDelayMs),
                       [Exchange, Response] { Exchange->respond(Response); });
}

auto FakePlatform::recordLists() -> void {
  m_ListHistory.emplace_back(
      m_Scheduler.now(), Json{{"hosts", m_Hosts}, {"backends", m_Backends}});
  if (m_ListHistory.size() > MaxHistoryEntries)
    m_ListHistory.pop_front();
}

auto FakePlatform::laggedList(const std::string &Name) const -> Json {
  // With a lag longer than the history, the oldest state is shown, not an empty
  // list.
  auto Shown = m_ListHistory.empty() ? Json::array()
                                     : m_ListHistory.front().second.at(Name);
  auto Horizon = m_Scheduler.now() - Milliseconds(m_Faults.m_ListLagMs);
  for (const auto &[At, State] : m_ListHistory)
    if (At <= Horizon)
      Shown = State.at(Name);
  return {{Name, Shown}};
}

auto FakePlatform::handleLists(const HttpExchangePtr &Exchange) -> bool {
  const auto &Request = Exchange->request();
  auto Hosts = Request.m_Path == "/platform/v1/hosts";
  if (!Hosts && Request.m_Path != "/platform/v1/backends")
    return false;
  auto Name = std::string(Hosts ? "hosts" : "backends");
  if (Request.m_Method == "PUT") {
    updateSpending();
    (Hosts ? m_Hosts : m_Backends) = Json::parse(Request.m_Body).at(Name);
    recordLists();
  }
  Exchange->respond(jsonReply(200, laggedList(Name)));
  return true;
}

auto FakePlatform::handleOrders(const HttpExchangePtr &Exchange,
                                const Json &Body) -> void {
  if (m_Faults.m_BackendOrdersDown) {
    Exchange->respond(jsonReply(503, {{"error", "unavailable"}}));
    return;
  }
  if (Exchange->request().m_Method == "GET") {
    respondToOrderQuery(Exchange);
    return;
  }
  m_Orders.push_back(Body);
  // Accounts for the running time before the order changes a server's state.
  updateSpending();
  auto Accepted = applyOrder(Body);
  recordLists();
  if (m_Faults.m_LoseOrderResponses > 0) {
    --m_Faults.m_LoseOrderResponses;
    return;
  }
  Exchange->respond(Accepted ? jsonReply(200, {{"accepted", Body.at("order")}})
                             : jsonReply(409, {{"error", "not to be had"}}));
}

auto FakePlatform::respondToOrderQuery(const HttpExchangePtr &Exchange) const
    -> void {
  auto BackendId = findHeader(Exchange->request().m_Query, "backend");
  if (!BackendId) {
    Exchange->respond(jsonReply(200, {{"orders", m_Orders}}));
    return;
  }
  for (const auto &Item : m_Backends)
    if (Item.at("id") == *BackendId) {
      Exchange->respond(
          jsonReply(200, {{"state", Item.value("state", "running")},
                          {"last_order", Item.value("last_order", "")}}));
      return;
    }
  Exchange->respond(jsonReply(404, {{"error", "no such backend server"}}));
}

auto FakePlatform::applyOrder(const Json &Order) -> bool {
  for (auto &Item : m_Backends) {
    if (Item.at("id") != Order.at("backend"))
      continue;
    if (Item.value("cheap", false) && Order.at("state") == "running" &&
        Item.at("data_centre") == m_Faults.m_UnavailableDataCentre)
      return false;
    Item["state"] = Order.at("state");
    Item["last_order"] = Order.at("order");
    return true;
  }
  return false;
}

auto FakePlatform::updateSpending() -> Json {
  auto Now = m_Scheduler.now();
  auto Span = std::chrono::duration<double>(Now - m_SpendingUpdatedAt).count();
  m_SpendingUpdatedAt = Now;
  for (const auto &Item : m_Backends)
    if (Item.value("state", "running") != "stopped")
      (Item.value("cheap", false) ? m_CheapSeconds : m_StandardSeconds) += Span;
  return {{"standard_server_seconds", m_StandardSeconds},
          {"cheap_server_seconds", m_CheapSeconds}};
}

auto FakePlatform::handleReports(const HttpExchangePtr &Exchange,
                                 const Json &Body) -> void {
  if (Exchange->request().m_Method == "GET") {
    Exchange->respond(jsonReply(200, {{"reports", m_Reports}}));
    return;
  }
  m_Reports.push_back(Body);
  if (m_Faults.m_LoseReportResponses > 0) {
    --m_Faults.m_LoseReportResponses;
    return;
  }
  Exchange->respond(jsonReply(200, {{"taken", true}}));
}

auto FakePlatform::handleWeights(const HttpExchangePtr &Exchange) -> void {
  if (exceedsRateLimit(false)) {
    Exchange->respond(jsonReply(429, {{"error", "rate limited"}}));
    return;
  }
  constexpr auto WeightBytes = std::size_t{1024};
  Exchange->respond({.m_Status = 200,
                     .m_Headers = {{.m_Name = "Content-Type",
                                    .m_Value = "application/octet-stream"}},
                     .m_Body = std::string(WeightBytes, 'w')});
}

auto FakePlatform::setFaults(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  auto &F = m_Faults;
  F.m_StoreDown = Body.value("store_down", F.m_StoreDown);
  F.m_StoreUnresponsive = Body.value("store_silent", F.m_StoreUnresponsive);
  F.m_StoreDelayMs = Body.value("store_delay_ms", F.m_StoreDelayMs);
  F.m_LoseResponses = Body.value("lose_answers", F.m_LoseResponses);
  F.m_ListLagMs = Body.value("list_lag_ms", F.m_ListLagMs);
  F.m_LoseReportResponses =
      Body.value("lose_report_answers", F.m_LoseReportResponses);
  F.m_WritesPerSecond = Body.value("writes_per_second", F.m_WritesPerSecond);
  F.m_ReadsPerSecond = Body.value("reads_per_second", F.m_ReadsPerSecond);
  F.m_Cut = Body.value("cut", F.m_Cut);
  F.m_BackendOrdersDown =
      Body.value("backend_orders_down", F.m_BackendOrdersDown);
  F.m_LoseOrderResponses =
      Body.value("lose_order_answers", F.m_LoseOrderResponses);
  F.m_UnavailableDataCentre =
      Body.value("unavailable_data_centre", F.m_UnavailableDataCentre);
  if (Body.value("copy_store", false)) {
    m_StoreCopy = m_Store.copy();
    m_StoreCopiedAt = m_Scheduler.now();
  }
  if (Body.value("restore_store", false))
    m_Store.restore(m_StoreCopy, m_Scheduler.now() - m_StoreCopiedAt);
  Exchange->respond(jsonReply(200, {{"store_writes", m_Store.writes()},
                                    {"store_reads", m_Store.reads()}}));
}

} // namespace dotterel
