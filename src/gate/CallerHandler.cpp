#include "dotterel/gate/CallerHandler.h"

#include "dotterel/base/Errors.h"
#include "dotterel/gate/CompletionCall.h"
#include "dotterel/gate/ServiceCall.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

constexpr auto MaxRequestIdBytes = std::size_t{64};

auto isRequestId(const std::string &Text) -> bool {
  return !Text.empty() && Text.size() <= MaxRequestIdBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
                  Character == '-' || Character == '_';
         });
}

auto plainText(unsigned Status, std::string Body) -> HttpResponse {
  return {.m_Status = Status,
          .m_Headers = {{.m_Name = "Content-Type",
                         .m_Value = "text/plain; charset=utf-8"}},
          .m_Body = std::move(Body)};
}

} // namespace

auto CallerHandler::makeRequestId(const HttpRequest &Request) -> RequestId {
  auto CallerId = findHeader(Request.m_Headers, "x-request-id");
  auto GeneratedId = m_Services.m_Random.hex();
  // The caller's id is kept as a prefix, so that it can be found in the
  // caller's logs; the generated suffix makes it unique, since a caller may
  // reuse an id.
  if (CallerId && isRequestId(*CallerId))
    return RequestId{fmt::format("{}-{}", *CallerId, GeneratedId)};
  return RequestId{GeneratedId};
}

auto CallerHandler::isReady() const -> bool {
  if (m_Shutdown.begun() || !m_Services.m_Configuration.current())
    return false;
  return m_Services.m_Freshness.evaluate(
             m_Services.m_Scheduler.now(), m_Services.m_Members,
             m_Services.m_ListedProcesses) != Freshness::Stale;
}

auto CallerHandler::beginShutdown(const ShutdownPeriods &Periods) -> void {
  m_Shutdown.begin(m_Services.m_Scheduler.now(), Periods);
}

auto CallerHandler::handle(HttpExchangePtr Exchange) -> void {
  if (handleGateEndpoint(Exchange))
    return;
  const auto &Request = Exchange->request();
  auto Id = makeRequestId(Request);
  // The time that a request may take is not bounded: its attempts may be
  // repeated.
  if (!m_Shutdown.accepts(m_Services.m_Scheduler.now(), Duration::max())) {
    refuse(Exchange, Id, Refusal(RefusalCode::ShuttingDown, Execution::NotRun));
    return;
  }
  if (!m_Services.m_Configuration.current()) {
    refuse(Exchange, Id, Refusal(RefusalCode::NotReady));
    return;
  }
  if (Request.m_Path == "/v1/models") {
    handleModels(Exchange, Id);
    return;
  }
  if (Request.m_Path == "/v1/chat/completions") {
    handleCompletion(Exchange, std::move(Id), CompletionShape::Chat);
    return;
  }
  if (Request.m_Path == "/v1/completions") {
    handleCompletion(Exchange, std::move(Id), CompletionShape::Text);
    return;
  }
  handleService(Exchange, std::move(Id));
}

auto CallerHandler::handleGateEndpoint(const HttpExchangePtr &Exchange)
    -> bool {
  const auto &Request = Exchange->request();
  const auto &Path = Request.m_Path;
  if (Path != "/healthz" && Path != "/readyz" && Path != "/metrics")
    return false;
  if (Request.m_Method != "GET") {
    refuse(Exchange, makeRequestId(Request),
           Refusal(RefusalCode::MethodNotAllowed));
    return true;
  }
  if (Path == "/healthz")
    Exchange->respond(plainText(200, "ok\n"));
  else if (Path == "/readyz")
    Exchange->respond(isReady() ? plainText(200, "ready\n")
                                : plainText(503, "not ready\n"));
  else
    Exchange->respond(plainText(200, m_Services.m_Metrics.prometheusText()));
  return true;
}

auto CallerHandler::handleModels(const HttpExchangePtr &Exchange,
                                 const RequestId &Request) -> void {
  if (Exchange->request().m_Method != "GET") {
    refuse(Exchange, Request, Refusal(RefusalCode::MethodNotAllowed));
    return;
  }
  auto Authorized = authorize(m_Services, Exchange->request());
  if (const auto *Reason = std::get_if<Refusal>(&Authorized)) {
    refuse(Exchange, Request, *Reason);
    return;
  }
  auto List = nlohmann::json::array();
  for (const auto &Model : m_Services.m_Engines.models())
    List.push_back(
        {{"id", Model.text()}, {"object", "model"}, {"owned_by", "operator"}});
  Exchange->respond(
      {.m_Headers = {{.m_Name = "Content-Type", .m_Value = "application/json"}},
       .m_Body = nlohmann::json{{"object", "list"}, {"data", List}}.dump()});
}

auto CallerHandler::handleCompletion(const HttpExchangePtr &Exchange,
                                     RequestId Request, CompletionShape Shape)
    -> void {
  const auto &Message = Exchange->request();
  if (Message.m_Method != "POST") {
    refuse(Exchange, Request, Refusal(RefusalCode::MethodNotAllowed));
    return;
  }
  auto Authorized = authorize(m_Services, Message);
  if (const auto *Reason = std::get_if<Refusal>(&Authorized)) {
    refuse(Exchange, Request, *Reason);
    return;
  }
  try {
    auto Parsed = parseCompletionRequest(Shape, Message);
    // JSON escapes in the original body can hide the key from a byte search, so
    // the re-encoded body is searched as well.
    if (Parsed.m_EngineBody.find(*bearerToken(Message)) != std::string::npos) {
      refuse(Exchange, Request, Refusal(RefusalCode::KeyInRequest));
      return;
    }
    startCall<CompletionCall>(
        CompletionInput{.m_Request = std::move(Request),
                        .m_Caller = std::get<Caller>(Authorized),
                        .m_Completion = std::move(Parsed),
                        .m_Exchange = Exchange});
  } catch (const ProtocolError &Failure) {
    refuse(Exchange, Request,
           Refusal(RefusalCode::MalformedRequest, Failure.what()));
  }
}

auto CallerHandler::handleService(const HttpExchangePtr &Exchange,
                                  RequestId Request) -> void {
  const auto &Message = Exchange->request();
  auto Slash = Message.m_Path.find('/', 1);
  auto Name = Message.m_Path.substr(
      1, Slash == std::string::npos ? std::string::npos : Slash - 1);
  const auto &Routes = m_Services.m_Configuration.current()->m_Routes;
  auto Found = Routes.find(RouteId{Name});
  if (Found == Routes.end()) {
    refuse(Exchange, Request, Refusal(RefusalCode::UnknownRoute));
    return;
  }
  auto Input = ServiceInput{
      .m_Request = std::move(Request),
      .m_Route = Found->second,
      .m_Path = Slash == std::string::npos ? "/" : Message.m_Path.substr(Slash),
      .m_Exchange = Exchange};
  if (!Input.m_Route.m_Open) {
    auto Authorized = authorize(m_Services, Message);
    if (const auto *Reason = std::get_if<Refusal>(&Authorized)) {
      refuse(Exchange, Input.m_Request, *Reason);
      return;
    }
    Input.m_Caller = std::get<Caller>(Authorized);
  } else if (auto Key = bearerToken(Message);
             Key && containsKey(Message, *Key)) {
    refuse(Exchange, Input.m_Request, Refusal(RefusalCode::KeyInRequest));
    return;
  }
  if (!Input.m_Route.m_Idempotent) {
    auto Key = findHeader(Message.m_Headers, "idempotency-key");
    if (!Key) {
      refuse(Exchange, Input.m_Request,
             Refusal(RefusalCode::IdempotencyKeyMissing));
      return;
    }
    try {
      Input.m_Idempotency = IdempotencyKey::parse(*Key);
    } catch (const ProtocolError &Failure) {
      refuse(Exchange, Input.m_Request,
             Refusal(RefusalCode::IdempotencyKeyMalformed, Failure.what()));
      return;
    }
    if (!Input.m_Idempotency->current(m_Services.m_Scheduler.wallNow())) {
      refuse(Exchange, Input.m_Request,
             Refusal(RefusalCode::IdempotencyKeyExpired));
      return;
    }
  }
  startCall<ServiceCall>(std::move(Input));
}

template <typename Call, typename Input>
auto CallerHandler::startCall(Input Value) -> void {
  auto Number = ++m_LastCallNumber;
  auto Created =
      std::make_shared<Call>(m_Services, std::move(Value), [this, Number] {
        m_Calls.erase(Number);
        m_Services.m_Metrics.setActiveRequests(
            static_cast<double>(m_Calls.size()));
        if (m_Calls.empty() && m_OnIdle)
          std::exchange(m_OnIdle, nullptr)();
      });
  m_Calls.emplace(Number, Created);
  m_Services.m_Metrics.setActiveRequests(static_cast<double>(m_Calls.size()));
  Created->start();
}

auto CallerHandler::refuse(const HttpExchangePtr &Exchange,
                           const RequestId &Request, const Refusal &Reason)
    -> void {
  const auto &Definition = definitionOf(Reason.code());
  m_Services.m_Metrics.countRefusal(std::string(Definition.m_Name));
  // The path is not logged, since it may contain a key.
  m_Services.m_Decisions.record(Request, "request.refused",
                                {{"code", Definition.m_Name}});
  Exchange->respond(Reason.response(Request));
}

auto CallerHandler::bodyTooLarge(std::size_t Limit) -> HttpResponse {
  m_Services.m_Metrics.countRefusal("body_too_large");
  return Refusal(RefusalCode::BodyTooLarge,
                 fmt::format("the limit is {} bytes", Limit))
      .response(RequestId{m_Services.m_Random.hex()});
}

auto CallerHandler::outOfMemory() -> HttpResponse {
  m_Services.m_Metrics.countRefusal("memory_full");
  return Refusal(RefusalCode::MemoryFull)
      .response(RequestId{m_Services.m_Random.hex()});
}

auto CallerHandler::onConfigurationChange() -> void {
  // Iterates over a copy, since a call that ends removes itself from m_Calls.
  auto Calls = std::vector<std::shared_ptr<GateCall>>();
  for (const auto &[Number, Call] : m_Calls)
    Calls.push_back(Call);
  for (const auto &Call : Calls)
    Call->onConfigurationChange();
}

auto CallerHandler::onIdle(std::function<void()> Callback) -> void {
  if (m_Calls.empty())
    Callback();
  else
    m_OnIdle = std::move(Callback);
}

} // namespace dotterel
