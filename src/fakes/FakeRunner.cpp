#include "dotterel/fakes/FakeRunner.h"

#include "dotterel/config/Configuration.h"
#include "dotterel/fakes/detail/JsonReply.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

using detail::jsonReply;

namespace {

using Json = nlohmann::json;

constexpr auto LoadInterval = Milliseconds(50);
constexpr auto MaxRecordedRequests = std::size_t{5000};

auto toDuration(double Seconds) -> Duration {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

auto promptOf(const Json &Body, bool Chat) -> std::string {
  if (!Chat)
    return Body.at("prompt").get<std::string>();
  auto Prompt = std::string();
  for (const auto &Message : Body.at("messages")) {
    Prompt += Message.at("role").get<std::string>() + '\n';
    Prompt += Message.at("content").get<std::string>() + '\n';
  }
  return Prompt;
}

/// Returns the work class named by the header x-priority; standard without one.
auto workClassOf(const HttpRequest &Request) -> WorkClass {
  auto Name = findHeader(Request.m_Headers, "x-priority").value_or("standard");
  if (Name == "interactive")
    return WorkClass::Interactive;
  return Name == "batch" ? WorkClass::Batch : WorkClass::Standard;
}

} // namespace

struct FakeRunner::Stream {
  HttpExchangePtr m_Exchange;
  std::string m_Id;
  std::string m_Model;
  bool m_Chat = false;
  WorkClass m_Class = WorkClass::Standard;
  std::vector<std::uint64_t> m_PrefixBlocks;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_Position = 0;
  std::uint64_t m_MaxTokens = 0;
  bool m_Ended = false;
  bool m_Hangs = false;
  bool m_Breaks = false;
  bool m_WrongId = false;
};

FakeRunner::FakeRunner(Scheduler &Scheduler, const FakeRunnerOptions &Options,
                       std::function<void()> Crash)
    : m_Scheduler(Scheduler), m_Options(Options), m_Crash(std::move(Crash)),
      m_Incarnation(m_Random.hex()) {
  recordLoad();
  m_LoadTimer.emplace(Scheduler, LoadInterval, [this] { recordLoad(); });
}

FakeRunner::~FakeRunner() = default;

auto FakeRunner::handle(HttpExchangePtr Exchange) -> void {
  Exchange = detail::withNotice(std::move(Exchange), m_Faults.m_Notice);
  const auto &Request = Exchange->request();
  auto Body = Request.m_Body.empty()
                  ? Json::object()
                  : Json::parse(Request.m_Body, nullptr, false);
  try {
    if (Request.m_Path == "/v1/chat/completions")
      handleCompletion(Exchange, Body, true);
    else if (Request.m_Path == "/v1/completions")
      handleCompletion(Exchange, Body, false);
    else if (Request.m_Path == "/load") {
      if (m_Faults.m_LoadDown)
        Exchange->respond(jsonReply(503, {{"error", "unavailable"}}));
      else
        Exchange->respond(jsonReply(200, m_LoadReports.front().second));
    } else if (Request.m_Path == "/orders")
      handleOrder(Exchange, Body);
    else if (Request.m_Path == "/kv")
      handleCache(Exchange, Body);
    else if (Request.m_Path == "/faults")
      setFaults(Exchange, Body);
    else if (Request.m_Path == "/seen")
      Exchange->respond(jsonReply(200, {{"requests", m_RecordedRequests},
                                        {"orders", m_Orders},
                                        {"completed", m_Completed},
                                        {"cancelled", m_Cancelled}}));
    else
      Exchange->respond(jsonReply(404, {{"error", "not found"}}));
  } catch (const Json::exception &Failure) {
    Exchange->respond(jsonReply(400, {{"error", Failure.what()}}));
  }
}

auto FakeRunner::bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse {
  return detail::tooLargeResponse();
}

auto FakeRunner::speedFactor(EngineRole Stage) const -> double {
  constexpr auto FavouredFactor = 1.6;
  constexpr auto OtherFactor = 0.4;
  auto Factor = 1.0;
  if (m_Role != EngineRole::Mixed)
    Factor = m_Role == Stage ? FavouredFactor : OtherFactor;
  return Factor / m_Faults.m_Slowdown;
}

auto FakeRunner::currentLoad() const -> Json {
  auto Queued = std::uint64_t{0};
  for (const auto &Item : m_Waiting)
    Queued += Item->m_PromptTokens;
  auto Busy = std::max(Duration::zero(), m_PrefillIdleAt - m_Scheduler.now());
  auto Rate =
      m_Options.m_PrefillTokensPerSecond * speedFactor(EngineRole::Prefill);
  Queued += static_cast<std::uint64_t>(
      std::chrono::duration<double>(Busy).count() * Rate);
  return {{"incarnation", m_Incarnation},
          {"role", roleName(m_Role)},
          {"running", m_Running.size() + m_Waiting.size()},
          {"slots", m_ChangingRole ? 1 : m_Options.m_Slots},
          {"queued_prefill_tokens", Queued},
          {"prefill_tokens_per_second", Rate},
          {"decode_tokens_per_second",
           m_Options.m_DecodeTokensPerSecond * speedFactor(EngineRole::Decode)},
          {"last_order", m_LastOrder.value("order", "")}};
}

auto FakeRunner::recordLoad() -> void {
  auto Now = m_Scheduler.now();
  m_LoadReports.emplace_back(Now, currentLoad());
  // The front is the newest report that is at least as old as the lag, and is
  // the one that callers see.
  while (m_LoadReports.size() > 1 &&
         m_LoadReports[1].first <= Now - m_Options.m_LoadLag)
    m_LoadReports.pop_front();
}

auto FakeRunner::handleCompletion(const HttpExchangePtr &Exchange,
                                  const Json &Body, bool Chat) -> void {
  auto Prompt = promptOf(Body, Chat);
  if (m_RecordedRequests.size() < MaxRecordedRequests) {
    auto Headers = Json::object();
    for (const auto &Header : Exchange->request().m_Headers)
      Headers[Header.m_Name] = Header.m_Value;
    m_RecordedRequests.push_back(
        {{"headers", Headers},
         {"body", Exchange->request().m_Body.text().substr(0, 2000)}});
  }
  if (!m_Faults.m_Notice.m_Pause.empty()) {
    detail::refuseForPause(*Exchange, m_Faults.m_Notice);
    return;
  }
  if (m_Faults.m_CrossRefusals > 0) {
    --m_Faults.m_CrossRefusals;
    auto Refusal = jsonReply(503, {{"error", "busy"}});
    Refusal.m_Headers.push_back(
        {.m_Name = "x-request-id", .m_Value = "another"});
    Exchange->respond(std::move(Refusal));
    return;
  }
  if (!m_Faults.m_CrashOn.empty() &&
      Prompt.find(m_Faults.m_CrashOn) != std::string::npos) {
    m_Crash();
    return;
  }
  auto Item = std::make_shared<Stream>();
  Item->m_Exchange = Exchange;
  Item->m_Id = findHeader(Exchange->request().m_Headers, "x-request-id")
                   .value_or("unknown");
  Item->m_Model = Body.at("model").get<std::string>();
  Item->m_Chat = Chat;
  Item->m_PrefixBlocks = prefixBlockDigests(Prompt);
  Item->m_PromptTokens = estimateTokens(Prompt);
  Item->m_Position = Body.value("resume_position", std::uint64_t{0});
  Item->m_MaxTokens = Body.value("max_tokens", std::uint64_t{16});
  Item->m_Hangs = m_Faults.m_HangStreams > 0 && m_Faults.m_HangStreams-- > 0;
  Item->m_Breaks = m_Faults.m_BreakStreams > 0 && m_Faults.m_BreakStreams-- > 0;
  Item->m_WrongId =
      m_Faults.m_CrossResponses > 0 && m_Faults.m_CrossResponses-- > 0;
  Exchange->onDisconnect([this, Item] {
    ++m_Cancelled;
    removeStream(Item);
  });
  Item->m_Class = workClassOf(Exchange->request());
  // Engines honour priorities: waiting requests are sorted by class, and by
  // arrival within a class.
  auto Place =
      std::upper_bound(m_Waiting.begin(), m_Waiting.end(), Item,
                       [](const StreamPtr &Left, const StreamPtr &Right) {
                         return Left->m_Class < Right->m_Class;
                       });
  m_Waiting.insert(Place, Item);
  startWaitingStreams();
}

auto FakeRunner::startWaitingStreams() -> void {
  while (!m_Waiting.empty() && !m_ChangingRole &&
         m_Running.size() < m_Options.m_Slots) {
    auto Item = m_Waiting.front();
    m_Waiting.pop_front();
    m_Running.insert(Item);
    auto Cached = m_Cache.match(Item->m_PrefixBlocks) * TokensPerPrefixBlock;
    auto Tokens = Item->m_PromptTokens + Item->m_Position;
    Tokens -= std::min<std::uint64_t>(Tokens, Cached);
    m_Cache.touch(Item->m_PrefixBlocks);
    auto Rate =
        m_Options.m_PrefillTokensPerSecond * speedFactor(EngineRole::Prefill);
    // Prompts are prefilled one after another; decoding runs concurrently.
    auto Start = std::max(m_Scheduler.now(), m_PrefillIdleAt);
    m_PrefillIdleAt = Start + toDuration(static_cast<double>(Tokens) / Rate);
    m_Scheduler.schedule(m_PrefillIdleAt - m_Scheduler.now(),
                         [this, Item] { finishPrefill(Item); });
  }
}

auto FakeRunner::finishPrefill(const StreamPtr &Item) -> void {
  if (Item->m_Ended)
    return;
  Item->m_Exchange->startStream(
      200, {{.m_Name = "Content-Type", .m_Value = "text/event-stream"},
            {.m_Name = "x-request-id", .m_Value = Item->m_Id}});
  if (!Item->m_Hangs)
    sendNextToken(Item);
}

auto FakeRunner::sendNextToken(const StreamPtr &Item) -> void {
  if (Item->m_Ended)
    return;
  if (Item->m_Position >= Item->m_MaxTokens) {
    finishStream(Item);
    return;
  }
  auto Breaking = Item->m_Breaks && Item->m_Position >= Item->m_MaxTokens / 2;
  if (Breaking) {
    Item->m_Exchange->abort();
    removeStream(Item);
    return;
  }
  writeToken(Item, Item->m_Position);
  if (m_Faults.m_DuplicateTokens > 0) {
    --m_Faults.m_DuplicateTokens;
    writeToken(Item, Item->m_Position);
  }
  ++Item->m_Position;
  if (m_Faults.m_StopAfterTokens > 0 && --m_Faults.m_StopAfterTokens == 0) {
    m_Crash();
    return;
  }
  auto Rate =
      m_Options.m_DecodeTokensPerSecond * speedFactor(EngineRole::Decode);
  m_Scheduler.schedule(toDuration(1.0 / Rate),
                       [this, Item] { sendNextToken(Item); });
}

auto FakeRunner::writeToken(const StreamPtr &Item, std::uint64_t Position)
    -> void {
  auto Text = fmt::format("t{} ", Position);
  auto Choice = Json{{"index", 0}, {"finish_reason", nullptr}};
  if (Item->m_Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  auto Event = Json{{"id", Item->m_WrongId ? "another" : Item->m_Id},
                    {"model", Item->m_Model},
                    {"position", Position},
                    {"choices", Json::array({Choice})}};
  Item->m_Exchange->write(fmt::format("data: {}\n\n", Event.dump()));
}

auto FakeRunner::finishStream(const StreamPtr &Item) -> void {
  auto Choice = Json{{"index", 0}, {"finish_reason", "length"}};
  if (Item->m_Chat)
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  auto Event = Json{{"id", Item->m_Id},
                    {"model", Item->m_Model},
                    {"position", Item->m_Position},
                    {"choices", Json::array({Choice})},
                    {"usage",
                     {{"prompt_tokens", Item->m_PromptTokens},
                      {"completion_tokens", Item->m_Position}}}};
  Item->m_Exchange->write(
      fmt::format("data: {}\n\ndata: [DONE]\n\n", Event.dump()));
  Item->m_Exchange->finish();
  ++m_Completed;
  removeStream(Item);
}

auto FakeRunner::removeStream(const StreamPtr &Item) -> void {
  Item->m_Ended = true;
  m_Running.erase(Item);
  std::erase(m_Waiting, Item);
  Item->m_Exchange->onDisconnect(nullptr);
  m_Scheduler.schedule(Duration::zero(), [this] { startWaitingStreams(); });
}

auto FakeRunner::handleOrder(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  if (Exchange->request().m_Method == "GET") {
    Exchange->respond(jsonReply(
        200, {{"incarnation", m_Incarnation}, {"last_order", m_LastOrder}}));
    return;
  }
  auto Fencing = Body.at("fencing").get<std::uint64_t>();
  m_Orders.push_back(Body);
  if (m_Options.m_ChecksFencing && Fencing < m_HighestFencing) {
    Exchange->respond(jsonReply(409, {{"error", "old fencing number"}}));
    return;
  }
  m_HighestFencing = std::max(m_HighestFencing, Fencing);
  auto Repeated = m_LastOrder.value("order", "") == Body.at("order");
  m_LastOrder = Body;
  if (!Repeated) {
    m_ChangingRole = true;
    auto Role = parseRole(Body.at("role").get<std::string>());
    m_Scheduler.schedule(m_Options.m_RoleChangeTime, [this, Role] {
      m_Role = Role;
      m_ChangingRole = false;
      startWaitingStreams();
    });
  }
  if (m_Faults.m_LoseOrderResponses > 0) {
    --m_Faults.m_LoseOrderResponses;
    return;
  }
  Exchange->respond(jsonReply(200, {{"accepted", Body.at("order")}}));
}

auto FakeRunner::handleCache(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  // The time of an export or import is proportional to its size.
  auto Bytes = Body.value("bytes", 0.0);
  constexpr auto BytesPerSecond = 10e9;
  m_Scheduler.schedule(toDuration(Bytes / BytesPerSecond), [Exchange, Bytes] {
    Exchange->respond(jsonReply(200, {{"bytes", Bytes}}));
  });
}

auto FakeRunner::setFaults(const HttpExchangePtr &Exchange, const Json &Body)
    -> void {
  auto &F = m_Faults;
  F.m_CrashOn = Body.value("crash_on", F.m_CrashOn);
  F.m_StopAfterTokens = Body.value("stop_after_tokens", F.m_StopAfterTokens);
  F.m_BreakStreams = Body.value("break_streams", F.m_BreakStreams);
  F.m_CrossResponses = Body.value("cross_answers", F.m_CrossResponses);
  F.m_CrossRefusals = Body.value("cross_refusals", F.m_CrossRefusals);
  F.m_DuplicateTokens = Body.value("duplicate_tokens", F.m_DuplicateTokens);
  F.m_HangStreams = Body.value("hang_streams", F.m_HangStreams);
  F.m_Slowdown = Body.value("slowdown", F.m_Slowdown);
  F.m_LoseOrderResponses =
      Body.value("lose_order_answers", F.m_LoseOrderResponses);
  F.m_LoadDown = Body.value("load_down", F.m_LoadDown);
  F.m_Notice.set(Body);
  Exchange->respond(jsonReply(200, Json::object()));
}

} // namespace dotterel
