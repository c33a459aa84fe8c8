#include "dotterel/load/LoadRun.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

constexpr auto BytesPerToken = std::size_t{4};
constexpr auto StatusOk = 200U;
constexpr auto MaxSwingFactor = 4.0;
constexpr auto CallTimeout = Seconds(120);

auto milliseconds(Duration Span) -> double {
  return std::chrono::duration<double, std::milli>(Span).count();
}

} // namespace

/// A request in flight.
struct LoadRun::RequestInFlight {
  MonotonicTime m_Due;
  MonotonicTime m_LastToken;
  std::string m_Organisation;
  const LoadClass *m_Class = nullptr;
  std::uint64_t m_ExpectedTokens = 0;
  std::uint64_t m_Tokens = 0;
  bool m_StreamEnded = false;
  std::string m_Buffer;
  std::vector<double> m_TokenGapsMs;
  double m_FirstTokenMs = 0;

  auto receive(std::string_view Data, MonotonicTime Now) -> void {
    m_Buffer.append(Data);
    auto Start = std::size_t{0};
    for (auto End = m_Buffer.find("\n\n"); End != std::string::npos;
         End = m_Buffer.find("\n\n", Start)) {
      auto Event = std::string_view(m_Buffer).substr(Start, End - Start);
      Start = End + 2;
      if (Event == "data: [DONE]")
        m_StreamEnded = true;
      else if (Event.find("\"content\":") != std::string_view::npos)
        recordToken(Now);
    }
    m_Buffer.erase(0, Start);
  }

  auto recordToken(MonotonicTime Now) -> void {
    if (m_Tokens++ == 0)
      m_FirstTokenMs = milliseconds(Now - m_Due);
    else
      m_TokenGapsMs.push_back(milliseconds(Now - m_LastToken));
    m_LastToken = Now;
  }
};

auto quantile(std::vector<double> Values, double Share) -> double {
  if (Values.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

auto defaultLoadClasses() -> std::vector<LoadClass> {
  constexpr auto FirstTokenTarget = Milliseconds(1200);
  return {{.m_Name = "interactive",
           .m_Share = 0.4,
           .m_LengthFactor = 0.25,
           .m_FirstTokenTarget = FirstTokenTarget,
           .m_ResponseTarget = Seconds(5)},
          {.m_Name = "standard",
           .m_Share = 0.5,
           .m_LengthFactor = 1,
           .m_FirstTokenTarget = FirstTokenTarget,
           .m_ResponseTarget = Seconds(60)},
          {.m_Name = "batch",
           .m_Share = 0.1,
           .m_LengthFactor = 4,
           .m_FirstTokenTarget = Seconds(60),
           .m_ResponseTarget = Seconds(120)}};
}

auto LoadStatistics::inTimeShare() const -> double {
  return m_Sent == 0
             ? 1.0
             : static_cast<double>(m_InTime) / static_cast<double>(m_Sent);
}

auto LoadResult::lowestInTimeShare() const -> double {
  auto Worst = 1.0;
  for (const auto &[Name, Statistics] : m_Organisations)
    Worst = std::min(Worst, Statistics.inTimeShare());
  return Worst;
}

LoadRun::LoadRun(EventLoop &Loop, HttpClient &Client, LoadOptions Options,
                 std::function<void()> OnEnd)
    : m_Loop(Loop), m_Client(Client), m_Options(std::move(Options)),
      m_OnEnd(std::move(OnEnd)), m_Random(m_Options.m_Seed) {}

auto LoadRun::start() -> void {
  m_Start = m_Loop.now();
  m_NextDue = m_Start;
  scheduleNext();
}

auto LoadRun::scheduleNext() -> void {
  auto Gap = -std::log(1 - m_Random.unit()) / rate();
  m_NextDue += Duration(static_cast<std::int64_t>(Gap * 1e6));
  if (m_NextDue - m_Start > m_Options.m_RunDuration) {
    m_AllSent = true;
    endIfDone();
    return;
  }
  m_Loop.schedule(m_NextDue - m_Loop.now(), [this] {
    send(m_NextDue);
    scheduleNext();
  });
}

auto LoadRun::rate() const -> double {
  auto ElapsedShare =
      std::chrono::duration<double>(m_NextDue - m_Start).count() /
      std::chrono::duration<double>(m_Options.m_RunDuration).count();
  return m_Options.m_RequestsPerSecond *
         (1 + (m_Options.m_RampFactor - 1) * ElapsedShare);
}

auto LoadRun::drawTokenCounts(const LoadClass &Class)
    -> std::pair<std::uint64_t, std::uint64_t> {
  auto PromptTokens =
      static_cast<double>(m_Options.m_MeanPromptTokens) * Class.m_LengthFactor;
  auto ResponseTokens = static_cast<double>(m_Options.m_MeanResponseTokens) *
                        Class.m_LengthFactor;
  if (m_Options.m_SwingPeriod > Duration::zero()) {
    auto Phase = std::chrono::duration<double>(m_NextDue - m_Start).count() /
                 std::chrono::duration<double>(m_Options.m_SwingPeriod).count();
    constexpr auto Pi = 3.14159265358979;
    auto Factor = std::pow(MaxSwingFactor, std::sin(2 * Pi * Phase));
    PromptTokens *= Factor;
    ResponseTokens /= Factor;
  }
  // Exponentially distributed lengths: many short ones, few long ones.
  auto DrawTokens = [this](double Mean) {
    auto Value = -std::log(1 - m_Random.unit()) * Mean;
    return static_cast<std::uint64_t>(std::max(1.0, Value));
  };
  return {DrawTokens(PromptTokens), DrawTokens(ResponseTokens)};
}

auto LoadRun::pickOrganisation() -> std::size_t {
  // The first organisation is the largest: each other one has half the requests
  // of the one before it.
  auto Index = std::size_t{0};
  while (Index + 1 < m_Options.m_Keys.size() && m_Random.below(2) == 0)
    ++Index;
  return Index;
}

auto LoadRun::pickClass() -> const LoadClass & {
  auto Drawn = m_Random.unit();
  for (const auto &Class : m_Options.m_Classes) {
    if (Drawn < Class.m_Share)
      return Class;
    Drawn -= Class.m_Share;
  }
  return m_Options.m_Classes.back();
}

auto LoadRun::pickUrl(std::size_t Organisation) -> const std::string & {
  if (Organisation == 0 && m_Random.unit() < m_Options.m_SkewShare)
    return m_Options.m_Urls.front();
  return m_Options.m_Urls[m_Random.below(m_Options.m_Urls.size())];
}

auto LoadRun::send(MonotonicTime Due) -> void {
  const auto &Class = pickClass();
  auto [PromptTokens, ResponseTokens] = drawTokenCounts(Class);
  auto Organisation = pickOrganisation();
  auto Item = std::make_shared<RequestInFlight>();
  Item->m_Due = Due;
  Item->m_Organisation = fmt::format("{}", Organisation);
  Item->m_Class = &Class;
  Item->m_ExpectedTokens = ResponseTokens;
  auto Text = m_Random.hex();
  Text.resize(PromptTokens * BytesPerToken, 'p');
  auto Call = HttpCall();
  Call.m_Method = "POST";
  Call.m_Url = pickUrl(Organisation) + "/v1/chat/completions";
  Call.m_Headers = {{.m_Name = "Authorization",
                     .m_Value = "Bearer " + m_Options.m_Keys[Organisation]},
                    {.m_Name = "x-priority", .m_Value = Class.m_Name},
                    {.m_Name = "Content-Type", .m_Value = "application/json"}};
  Call.m_Body =
      nlohmann::json{{"model", m_Options.m_Model},
                     {"max_tokens", ResponseTokens},
                     {"stream", true},
                     {"messages", {{{"role", "user"}, {"content", Text}}}}}
          .dump();
  Call.m_Timeout = CallTimeout;
  Call.m_OnData = [this, Item](std::string_view Data) {
    Item->receive(Data, m_Loop.now());
  };
  Call.m_OnDone = [this, Item](const HttpCallResult &Reply) {
    recordResult(*Item, Reply);
  };
  ++m_InFlight;
  m_Client.start(std::move(Call));
}

auto LoadRun::recordResult(const RequestInFlight &Item,
                           const HttpCallResult &Reply) -> void {
  auto Total = milliseconds(m_Loop.now() - Item.m_Due);
  auto Complete = Reply.m_Outcome == HttpOutcome::Complete &&
                  Reply.m_Status == StatusOk && Item.m_StreamEnded &&
                  Item.m_Tokens == Item.m_ExpectedTokens;
  auto InTime =
      Complete &&
      Item.m_FirstTokenMs <= milliseconds(Item.m_Class->m_FirstTokenTarget) &&
      Total <= milliseconds(Item.m_Class->m_ResponseTarget);
  auto Refused =
      Reply.m_Outcome == HttpOutcome::Complete && Reply.m_Status != StatusOk;
  for (auto *Target :
       {&m_Result.m_All, &m_Result.m_Organisations[Item.m_Organisation],
        &m_Result.m_Classes[Item.m_Class->m_Name]}) {
    ++Target->m_Sent;
    Target->m_CompleteCount += Complete ? 1 : 0;
    Target->m_InTime += InTime ? 1 : 0;
    Target->m_Refused += Refused ? 1 : 0;
    Target->m_Failed += !Complete && !Refused ? 1 : 0;
    if (!Complete)
      continue;
    Target->m_FirstTokenMs.push_back(Item.m_FirstTokenMs);
    Target->m_TotalMs.push_back(Total);
    Target->m_TokenGapsMs.insert(Target->m_TokenGapsMs.end(),
                                 Item.m_TokenGapsMs.begin(),
                                 Item.m_TokenGapsMs.end());
  }
  --m_InFlight;
  endIfDone();
}

auto LoadRun::endIfDone() -> void {
  if (m_AllSent && m_InFlight == 0)
    m_OnEnd();
}

} // namespace dotterel
