#include "Promises.h"

#include "support/PlatformFakes.h"

#include <algorithm>
#include <fmt/format.h>
#include <string_view>

namespace dotterel::soak {

namespace {

/// Maximum violations of one promise kept for one run; further ones add no
/// information.
constexpr auto MaxViolations = 20;
/// Allowance for the time between a server's receipt of a request and this
/// process's reading of the clock.
constexpr auto ClockSlack = Milliseconds(100);
/// Interval between the starts of the windows in which retries are counted.
constexpr auto RetryWindowStep = Milliseconds(500);

} // namespace

auto parseEvents(const std::string &Body) -> StreamEvents {
  constexpr auto EventEnd = std::string_view("\n\n");
  constexpr auto VersionField = std::string_view(test::EventVersionField);
  auto Events = StreamEvents();
  for (auto Begin = std::size_t{0};;) {
    auto End = Body.find(EventEnd, Begin);
    if (End == std::string::npos) {
      Events.m_Incomplete = Body.substr(Begin);
      return Events;
    }
    auto Event = Body.substr(Begin, End + EventEnd.size() - Begin);
    Begin = End + EventEnd.size();
    auto &Version = Events.m_Versions.emplace_back();
    if (auto Field = Event.find(VersionField); Field != std::string::npos) {
      auto LineEnd = Event.find('\n', Field);
      Version = Event.substr(Field + VersionField.size(),
                             LineEnd - Field - VersionField.size());
      Event.erase(Field, LineEnd + 1 - Field);
    }
    Events.m_Text += Event;
  }
}

auto Promises::requestSent(const std::string &Request, SentRequest Sent)
    -> void {
  m_SentTimes.push_back(Sent.m_SentAt);
  m_Requests[Request] = {.m_Sent = std::move(Sent)};
}

auto Promises::keyAdded(const std::string &Key, MonotonicTime Now) -> void {
  m_KeysAdded.emplace(Key, Now);
}

auto Promises::keyWithdrawn(const std::string &Key, MonotonicTime Now) -> void {
  m_KeysWithdrawn.emplace(Key, Now);
}

auto Promises::serverWithdrawn(const std::string &Server, MonotonicTime Now)
    -> void {
  m_ServersWithdrawn.emplace(Server, Now);
}

auto Promises::recordHostFault(std::size_t Host, MonotonicTime Until) -> void {
  auto &Latest = m_HostFaultEnds[Host];
  Latest = std::max(Latest, Until);
}

auto Promises::recordGlobalFault(MonotonicTime Until) -> void {
  m_GlobalFaultEnd = std::max(m_GlobalFaultEnd, Until);
}

auto Promises::faultsEnded(MonotonicTime Now) -> void {
  for (auto &[Host, Until] : m_HostFaultEnds)
    Until = std::min(Until, Now);
  m_GlobalFaultEnd = Now;
}

auto Promises::hostStopping(std::size_t Host, MonotonicTime Now) -> void {
  m_HostsStopping[Host] = Now;
}

auto Promises::isUndisturbed(std::size_t Host, MonotonicTime Now) const
    -> bool {
  auto Since = Now - m_Bounds.m_ToleranceAfterFault;
  auto Found = m_HostFaultEnds.find(Host);
  return m_GlobalFaultEnd < Since &&
         (Found == m_HostFaultEnds.end() || Found->second < Since);
}

auto Promises::reportViolation(const std::string &Promise,
                               const std::string &Detail) -> void {
  if (++m_ViolationCounts[Promise] <= MaxViolations)
    m_Violations.push_back(fmt::format("{}: {}", Promise, Detail));
}

auto Promises::requestArrived(const std::string &Server,
                              const HttpHeaders &Headers, bool Executed,
                              MonotonicTime Now) -> void {
  auto Request = findHeader(Headers, "X-Request-Id").value_or("");
  auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end()) {
    reportViolation(
        "no-invented-request",
        fmt::format("{} received {}, which no caller sent", Server, Request));
    return;
  }
  auto &Record = Found->second;
  if (++Record.m_Arrivals > 1)
    m_ExtraArrivals.push_back(Now);
  auto WithdrawnServer = m_ServersWithdrawn.find(Server);
  if (WithdrawnServer != m_ServersWithdrawn.end() &&
      isUndisturbed(Record.m_Sent.m_Host, Now) &&
      Now - WithdrawnServer->second > m_Bounds.m_Drain + ClockSlack)
    reportViolation("no-work-for-leaving-servers",
                    fmt::format("{} received {} {} ms after it left", Server,
                                Request,
                                toMilliseconds(Now - WithdrawnServer->second)));
  if (!Executed)
    return;
  ++Record.m_Executions;
  checkExecution(Request, Server, Headers, Now);
}

auto Promises::responseCut(const std::string &Request) -> void {
  if (auto Found = m_Requests.find(Request); Found != m_Requests.end())
    Found->second.m_Cut = true;
}

auto Promises::checkExecution(const std::string &Request,
                              const std::string &Server,
                              const HttpHeaders &Headers, MonotonicTime Now)
    -> void {
  const auto &Record = m_Requests.at(Request);
  const auto &Sent = Record.m_Sent;
  if (Record.m_Executions > 1 && !Sent.m_Idempotent)
    reportViolation("at-most-once", fmt::format("{} was executed again at {}",
                                                Request, Server));
  if (Record.m_Refused && !Sent.m_Idempotent)
    reportViolation(
        "true-refusals",
        fmt::format("{} was refused and then executed at {}", Request, Server));
  if (findHeader(Headers, "X-Tenant") != Sent.m_Organisation ||
      findHeader(Headers, "Authorization"))
    reportViolation("organisation-of-the-key",
                    fmt::format("{} was executed with wrong headers at {}",
                                Request, Server));
  auto Withdrawn = m_KeysWithdrawn.find(Sent.m_Key);
  if (Withdrawn != m_KeysWithdrawn.end() &&
      Sent.m_SentAt > Withdrawn->second + m_Bounds.m_KeyWithdrawalBound)
    reportViolation(
        "withdrawn-keys",
        fmt::format("{} was executed {} ms after its key was withdrawn",
                    Request, toMilliseconds(Now - Withdrawn->second)));
}

auto Promises::responseReceived(const std::string &Request,
                                const HttpCallResult &Result, MonotonicTime Now)
    -> void {
  auto &Record = m_Requests.at(Request);
  const auto &Sent = Record.m_Sent;
  auto Complete = Result.m_Outcome == HttpOutcome::Complete;
  ++m_Statuses[Complete ? Result.m_Status : 0];
  checkEvents(Request, Result);
  if (!Complete) {
    auto Stopping = m_HostsStopping.find(Sent.m_Host);
    // A connection without an execution may have been closed by the host while
    // the request was on its way, which is allowed. A stream that its server
    // cuts ends in the same way at the caller.
    if (Record.m_Executions > 0 && !Record.m_Cut &&
        Result.m_Outcome == HttpOutcome::Broken &&
        isUndisturbed(Sent.m_Host, Now) && Stopping != m_HostsStopping.end() &&
        Now - Stopping->second < m_Bounds.m_StopGrace + Seconds(1))
      reportViolation(
          "planned-stops-lose-nothing",
          fmt::format("{} was executed and its connection was closed; sent {} "
                      "ms and closed {} ms after the stop began",
                      Request, toMilliseconds(Sent.m_SentAt - Stopping->second),
                      toMilliseconds(Now - Stopping->second)));
    return;
  }
  auto Status = Result.m_Status;
  constexpr auto Good = 200U;
  auto Events = parseEvents(Result.m_Body);
  if (Status == Good &&
      (Events.m_Text + Events.m_Incomplete != Sent.m_ExpectedBody ||
       findHeader(Result.m_Headers, "X-Response-Stamp") != "stamp-" + Request))
    reportViolation("own-answer",
                    fmt::format("{} got a response that is not its own: {}",
                                Request, Result.m_Body));
  if (Status == 429 || Status == 503) {
    Record.m_Refused = true;
    if (Record.m_Executions > 0 && !Sent.m_Idempotent)
      reportViolation(
          "true-refusals",
          fmt::format("{} was executed and got status {}", Request, Status));
  }
  if (Status == 400 || Status == 401 || Status == 403 || Status == 404 ||
      Status == 413 || Status == 431)
    checkDenial(Request, Status, Now);
}

auto Promises::checkEvents(const std::string &Request,
                           const HttpCallResult &Result) -> void {
  const auto &Sent = m_Requests.at(Request).m_Sent;
  auto Events = parseEvents(Result.m_Body);
  if (Events.m_Versions.empty())
    return;
  if (!Sent.m_ExpectedBody.starts_with(Events.m_Text))
    reportViolation("own-answer",
                    fmt::format("{} got events that are not its own: {}",
                                Request, Result.m_Body));
  const auto &Stream = Sent.m_Resumes.empty() ? Request : Sent.m_Resumes;
  const auto &First =
      m_StreamVersions.emplace(Stream, Events.m_Versions.front()).first->second;
  auto Other =
      std::find_if(Events.m_Versions.begin(), Events.m_Versions.end(),
                   [&First](const auto &Version) { return Version != First; });
  if (Other != Events.m_Versions.end())
    reportViolation(
        "one-version",
        fmt::format("the stream of {} began at version {} and went on at {} in "
                    "{}",
                    Stream, First, *Other,
                    Request == Stream ? "the same response"
                                      : Request + ", which resumes it"));
}

auto Promises::checkDenial(const std::string &Request, unsigned Status,
                           MonotonicTime Now) -> void {
  const auto &Sent = m_Requests.at(Request).m_Sent;
  if (m_KeysWithdrawn.contains(Sent.m_Key))
    return;
  auto Added = m_KeysAdded.find(Sent.m_Key);
  // A host under a fault, or just after one, may not have the new key yet.
  if (Added != m_KeysAdded.end() &&
      (Sent.m_SentAt < Added->second + m_Bounds.m_ConfigurationApply ||
       !isUndisturbed(Sent.m_Host, Now)))
    return;
  reportViolation(
      "no-false-denial",
      fmt::format("{} got status {} with a key in force", Request, Status));
}

auto Promises::checkRetryBudget() -> void {
  if (m_SentTimes.empty())
    return;
  auto Count = [](const std::vector<MonotonicTime> &Times, MonotonicTime From,
                  MonotonicTime To) {
    return std::count_if(Times.begin(), Times.end(),
                         [From, To](auto At) { return At >= From && At < To; });
  };
  for (auto From = m_SentTimes.front(); From < m_SentTimes.back();
       From += RetryWindowStep) {
    auto To = From + m_Bounds.m_RetryWindow;
    auto Extra = Count(m_ExtraArrivals, From, To);
    auto MaxExtra = m_Bounds.m_RetryRatio *
                        static_cast<double>(Count(m_SentTimes, From, To)) +
                    m_Bounds.m_RetryExtra;
    if (static_cast<double>(Extra) > MaxExtra) {
      reportViolation("retry-budget",
                      fmt::format("{} retries in one window; the limit is {}",
                                  Extra, MaxExtra));
      return;
    }
  }
}

auto Promises::checkAtEnd() -> void { checkRetryBudget(); }

} // namespace dotterel::soak
