#include "dotterel/gate/AdminHandler.h"

#include "dotterel/auth/KeyDigest.h"
#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/gate/Dispatcher.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto StatusOk = 200U;
constexpr auto StatusBadRequest = 400U;
constexpr auto StatusForbidden = 403U;
constexpr auto StatusNotFound = 404U;
constexpr auto StatusConflict = 409U;
constexpr auto StatusUnavailable = 503U;

auto jsonReply(unsigned Status, const Json &Body) -> HttpResponse {
  return jsonResponse(Status, Body.dump());
}

auto errorReply(unsigned Status, const std::string &Code,
                const std::string &Reason) -> HttpResponse {
  return jsonReply(Status, {{"error", {{"code", Code}, {"message", Reason}}}});
}

auto changeStatus(ChangeResult::Kind Kind)
    -> std::pair<unsigned, const char *> {
  switch (Kind) {
  case ChangeResult::Kind::Accepted:
    return {StatusOk, "accepted"};
  case ChangeResult::Kind::Rejected:
    return {StatusBadRequest, "rejected"};
  case ChangeResult::Kind::Conflict:
    return {StatusConflict, "conflict"};
  case ChangeResult::Kind::Unknown:
    return {StatusUnavailable, "unknown"};
  case ChangeResult::Kind::StoreDown:
    return {StatusUnavailable, "store_down"};
  }
  return {StatusUnavailable, ""};
}

/// Returns the field \p Name of a request body.
/// \throws ConfigurationError 202 when the field is missing or has another
/// type.
template <typename Value>
auto readField(const Json &Body, const char *Name) -> Value {
  try {
    return Body.at(Name).get<Value>();
  } catch (const Json::exception &) {
    throw ConfigurationError(
        202, fmt::format("{}: is missing or of a wrong type", Name));
  }
}

template <typename Value>
auto readField(const Json &Body, const char *Name, Value Default) -> Value {
  return Body.contains(Name) ? readField<Value>(Body, Name) : Default;
}

auto readMilliseconds(const Json &Body, const char *Name, Milliseconds Default)
    -> Milliseconds {
  return Milliseconds(readField<std::int64_t>(Body, Name, Default.count()));
}

auto parsePreset(const Json &Body) -> Preset {
  auto Defaults = Preset();
  return {
      .m_Id = PresetId{readField<std::string>(Body, "id")},
      .m_RoleChanges = readField(Body, "role_changes", Defaults.m_RoleChanges),
      .m_CheapServers =
          readField(Body, "cheap_servers", Defaults.m_CheapServers),
      .m_ServerOrders =
          readField(Body, "server_orders", Defaults.m_ServerOrders),
      .m_MinServers = readField(Body, "least_servers", Defaults.m_MinServers),
      .m_QueueLimit = readField(Body, "queue_limit", Defaults.m_QueueLimit),
      .m_InteractiveDeadline = readMilliseconds(Body, "interactive_deadline_ms",
                                                Defaults.m_InteractiveDeadline),
      .m_StandardDeadline = readMilliseconds(Body, "standard_deadline_ms",
                                             Defaults.m_StandardDeadline),
      .m_BatchDeadline = readMilliseconds(Body, "batch_deadline_ms",
                                          Defaults.m_BatchDeadline)};
}

auto parseRoute(const Json &Body) -> Route {
  auto Defaults = Route();
  return {.m_Id = RouteId{readField<std::string>(Body, "id")},
          .m_Service = readField<std::string>(Body, "service"),
          .m_Open = readField(Body, "open", Defaults.m_Open),
          .m_Idempotent = readField(Body, "idempotent", Defaults.m_Idempotent),
          .m_CheapServers =
              readField(Body, "cheap_servers", Defaults.m_CheapServers),
          .m_Timeout =
              readMilliseconds(Body, "timeout_ms", Defaults.m_Timeout)};
}

} // namespace

AdminHandler::AdminHandler(GateServices &Services, ConfigurationStore &Store,
                           std::string Token,
                           std::function<void()> AnnounceRelease)
    : m_Services(Services), m_Store(Store), m_Token(std::move(Token)),
      m_AnnounceRelease(std::move(AnnounceRelease)) {
  m_Endpoints = {
      {{"GET", "/admin/v1/status"}, &AdminHandler::status},
      {{"GET", "/admin/v1/configuration"}, &AdminHandler::configuration},
      {{"GET", "/admin/v1/explain"}, &AdminHandler::explain},
      {{"POST", "/admin/v1/presets"}, &AdminHandler::putPreset},
      {{"POST", "/admin/v1/presets/switch"}, &AdminHandler::switchPreset},
      {{"POST", "/admin/v1/routes"}, &AdminHandler::putRoute},
      {{"POST", "/admin/v1/keys/grant"}, &AdminHandler::grantKey},
      {{"POST", "/admin/v1/keys/withdraw"}, &AdminHandler::withdrawKey},
      {{"POST", "/admin/v1/backends/drain"}, &AdminHandler::drainBackend},
      {{"POST", "/admin/v1/quarantine/release"}, &AdminHandler::releaseDigest}};
}

auto AdminHandler::isAuthorized(const HttpRequest &Request) const -> bool {
  auto PresentedToken = bearerToken(Request);
  // Comparing digests does not reveal through its timing at which position the
  // tokens differ.
  return PresentedToken && digestKey(*PresentedToken, m_Services.m_KeySecret) ==
                               digestKey(m_Token, m_Services.m_KeySecret);
}

auto AdminHandler::handle(HttpExchangePtr Exchange) -> void {
  const auto &Request = Exchange->request();
  if (!isAuthorized(Request)) {
    Exchange->respond(errorReply(StatusForbidden, "forbidden",
                                 "send the operators' token as Authorization: "
                                 "Bearer TOKEN"));
    return;
  }
  auto Found = m_Endpoints.find({Request.m_Method, Request.m_Path});
  if (Found == m_Endpoints.end()) {
    Exchange->respond(
        errorReply(StatusNotFound, "not_found", "no such order or question"));
    return;
  }
  auto Body = Json::object();
  if (Request.m_Method == "POST")
    Body = Json::parse(Request.m_Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange->respond(errorReply(StatusBadRequest, "malformed",
                                 "the body is no JSON object"));
    return;
  }
  try {
    (this->*Found->second)(Exchange, Body);
  } catch (const ConfigurationError &Failure) {
    Exchange->respond(errorReply(StatusBadRequest, "rejected", Failure.what()));
  }
}

auto AdminHandler::bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse {
  return errorReply(StatusBadRequest, "malformed", "the body is too large");
}

auto AdminHandler::applyChange(const HttpExchangePtr &Exchange,
                               const Json &Body,
                               std::function<void(Configuration &)> Edit,
                               const Json &Extra) -> void {
  auto Expected =
      ConfigRevision{readField<std::uint64_t>(Body, "expected_revision", 0)};
  m_Store.change(std::move(Edit), {.m_ExpectedRevision = Expected},
                 [Exchange, Extra](const ChangeResult &Result) {
                   auto [Status, Code] = changeStatus(Result.m_Kind);
                   logInfo("operator.change", {{"result", Code},
                                               {"revision", Result.m_Revision},
                                               {"reason", Result.m_Reason}});
                   if (Result.m_Kind != ChangeResult::Kind::Accepted) {
                     Exchange->respond(
                         errorReply(Status, Code, Result.m_Reason));
                     return;
                   }
                   auto ResponseBody = Extra;
                   ResponseBody["revision"] = Result.m_Revision.number();
                   Exchange->respond(jsonReply(Status, ResponseBody));
                 });
}

auto AdminHandler::putPreset(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  auto Value = parsePreset(Body);
  applyChange(
      Exchange, Body,
      [Value](Configuration &Target) { Target.m_Presets[Value.m_Id] = Value; },
      Json::object());
}

auto AdminHandler::switchPreset(const HttpExchangePtr &Exchange,
                                const Json &Body) -> void {
  auto Id = PresetId{readField<std::string>(Body, "id")};
  applyChange(
      Exchange, Body,
      [Id](Configuration &Target) { Target.m_PresetInForce = Id; },
      Json::object());
}

auto AdminHandler::putRoute(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  auto Value = parseRoute(Body);
  applyChange(
      Exchange, Body,
      [Value](Configuration &Target) { Target.m_Routes[Value.m_Id] = Value; },
      Json::object());
}

auto AdminHandler::grantKey(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  auto Key = generateKey();
  auto Record = KeyRecord{
      .m_Digest = digestKey(Key, m_Services.m_KeySecret),
      .m_Organisation =
          OrganisationId{readField<std::string>(Body, "organisation")},
      .m_Weight = readField<std::uint32_t>(Body, "weight", 1)};
  applyChange(Exchange, Body,
              [Record](Configuration &Target) { Target.m_Keys.put(Record); },
              {{"key", Key}, {"digest", Record.m_Digest}});
}

auto AdminHandler::withdrawKey(const HttpExchangePtr &Exchange,
                               const Json &Body) -> void {
  auto Digest = Body.contains("key")
                    ? digestKey(readField<std::string>(Body, "key"),
                                m_Services.m_KeySecret)
                    : readField<std::string>(Body, "digest");
  applyChange(Exchange, Body,
              [Digest](Configuration &Target) {
                if (!Target.m_Keys.erase(Digest))
                  throw ConfigurationError(202, "key: no such key is granted");
              },
              {{"digest", Digest}});
}

auto AdminHandler::drainBackend(const HttpExchangePtr &Exchange,
                                const Json &Body) -> void {
  auto Id = BackendId{readField<std::string>(Body, "id")};
  auto Drain = readField<bool>(Body, "drain", true);
  if (Drain && m_Services.m_Engines.find(Id) == nullptr)
    throw ConfigurationError(202, "id: no such backend server is listed");
  applyChange(
      Exchange, Body,
      [Id, Drain](Configuration &Target) {
        if (Drain)
          Target.m_Drained.insert(Id);
        else
          Target.m_Drained.erase(Id);
      },
      Json::object());
}

auto AdminHandler::releaseDigest(const HttpExchangePtr &Exchange,
                                 const Json &Body) -> void {
  auto Text = readField<std::string>(Body, "digest");
  auto Value = std::uint64_t{0};
  constexpr auto Hexadecimal = 16;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value,
                                Hexadecimal);
  if (Parsed.ec != std::errc{} || Parsed.ptr != Text.data() + Text.size())
    throw ConfigurationError(202, "digest: must be hexadecimal");
  m_Services.m_Crashes.release(RequestDigest{Value});
  logInfo("quarantine.released", {{"digest", Text}});
  if (m_Services.m_OnCrashEvidence)
    m_Services.m_OnCrashEvidence({RequestDigest{Value}});
  m_AnnounceRelease();
  Exchange->respond(jsonReply(StatusOk, {{"digest", Text}}));
}

auto AdminHandler::explain(const HttpExchangePtr &Exchange,
                           const Json & /*Body*/) -> void {
  auto Request = findHeader(Exchange->request().m_Query, "request");
  if (!Request)
    throw ConfigurationError(202, "request: is missing");
  auto Lines = m_Services.m_Decisions.explain(RequestId{*Request});
  if (Lines.empty()) {
    Exchange->respond(errorReply(StatusNotFound, "not_found",
                                 "this gate keeps no decision on the request"));
    return;
  }
  Exchange->respond(jsonReply(StatusOk, {{"decisions", Lines}}));
}

auto AdminHandler::configuration(const HttpExchangePtr &Exchange,
                                 const Json & /*Body*/) -> void {
  const auto &Current = m_Services.m_Configuration.current();
  if (!Current) {
    Exchange->respond(
        errorReply(StatusUnavailable, "not_ready", "no configuration yet"));
    return;
  }
  auto Head = Json::parse(encodeHead(*Current));
  Head.erase("shards");
  auto Keys = Json::array();
  Current->m_Keys.forEach([&Keys](const KeyRecord &Record) {
    Keys.push_back({{"digest", Record.m_Digest},
                    {"organisation", Record.m_Organisation.text()},
                    {"weight", Record.m_Weight}});
  });
  Head["keys"] = Keys;
  Exchange->respond(jsonReply(StatusOk, Head));
}

auto AdminHandler::status(const HttpExchangePtr &Exchange,
                          const Json & /*Body*/) -> void {
  auto Now = m_Services.m_Scheduler.now();
  auto &Self = m_Services.m_Members.self();
  Self.m_ConfigRevision = m_Services.m_Configuration.revision();
  auto Describe = [](const Member &Item, bool Live) {
    return Json{{"process", Item.m_Process.text()},
                {"data_centre", Item.m_Location.m_DataCentre.text()},
                {"region", Item.m_Location.m_Region.text()},
                {"address", Item.m_Address},
                {"live", Live},
                {"leaving", Item.m_Leaving},
                {"store_lost", Item.m_StoreLost},
                {"config_revision", Item.m_ConfigRevision.number()}};
  };
  auto Members = Json::array({Describe(Self, true)});
  auto Seen = std::set<ProcessId>{Self.m_Process};
  for (const auto &Item : m_Services.m_Members.live(Now)) {
    Members.push_back(Describe(Item, true));
    Seen.insert(Item.m_Process);
  }
  for (const auto &Process : m_Services.m_ListedProcesses)
    if (!Seen.contains(Process))
      Members.push_back(Describe({.m_Process = Process}, false));
  auto Backends = Json::array();
  for (const auto &Server : m_Services.m_Engines.all()) {
    auto Item = Json{
        {"id", Server.m_Id.text()},
        {"data_centre", Server.m_DataCentre.text()},
        {"service", Server.m_Service},
        {"cheap", Server.m_Cheap},
        {"leaving", Server.m_Leaving},
        {"stopped", Server.m_Stopped},
        {"in_flight", m_Services.m_Engines.inFlight(Server.m_Id)},
        {"ejected", m_Services.m_Engines.outliers().ejected(Server.m_Id, Now)}};
    if (auto Load = m_Services.m_Engines.load(Server.m_Id)) {
      Item["role"] = roleName(Load->m_Role);
      Item["running"] = Load->m_Running;
    }
    Backends.push_back(std::move(Item));
  }
  auto Quarantined = Json::array();
  for (const auto &Report :
       m_Services.m_Crashes.reports(m_Services.m_Scheduler.now()))
    if (m_Services.m_Crashes.verdict(Report.m_Digest) ==
        CrashVerdict::Quarantined)
      Quarantined.push_back(fmt::format("{:016x}", Report.m_Digest.number()));
  auto Age = m_Services.m_Freshness.age(Now);
  Exchange->respond(jsonReply(
      StatusOk,
      {{"process", Self.m_Process.text()},
       {"revision", Self.m_ConfigRevision.number()},
       {"evidence_age_ms",
        Age == Duration::max() ? Json(nullptr) : Json(toMilliseconds(Age))},
       {"waiting", m_Services.m_Dispatcher.waitingCount()},
       {"hosts_listed", !m_Services.m_ListedProcesses.empty()},
       {"members", Members},
       {"backends", Backends},
       {"quarantined", Quarantined}}));
}

} // namespace dotterel
