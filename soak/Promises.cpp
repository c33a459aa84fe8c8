#include "Promises.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel::soak {

namespace {

/// Violations of one run that are kept; more say nothing new.
constexpr auto MostViolations = std::size_t{20};
/// Time between a server's receipt and this process's look at its clock.
constexpr auto ClockSlack = Milliseconds(100);
/// Pause between the starts of two windows in which repeats are counted.
constexpr auto WindowStep = Milliseconds(500);

} // namespace

auto Promises::sent(const std::string &Request, SentRequest What) -> void {
  m_SentTimes.push_back(What.m_SentAt);
  m_Requests[Request] = {.m_What = std::move(What)};
}

auto Promises::keyGiven(const std::string &Key, MonotonicTime Now) -> void {
  m_Given.emplace(Key, Now);
}

auto Promises::keyWithdrawn(const std::string &Key, MonotonicTime Now) -> void {
  m_Withdrawn.emplace(Key, Now);
}

auto Promises::serverLeaving(const std::string &Server, MonotonicTime Now)
    -> void {
  m_Leaving.emplace(Server, Now);
}

auto Promises::disturbHost(std::size_t Host, MonotonicTime Until) -> void {
  auto &Latest = m_Disturbed[Host];
  Latest = std::max(Latest, Until);
}

auto Promises::disturbAll(MonotonicTime Until) -> void {
  m_AllDisturbed = std::max(m_AllDisturbed, Until);
}

auto Promises::healed(MonotonicTime Now) -> void {
  for (auto &[Host, Until] : m_Disturbed)
    Until = std::min(Until, Now);
  m_AllDisturbed = Now;
}

auto Promises::stopping(std::size_t Host, MonotonicTime Now) -> void {
  m_Stopping[Host] = Now;
}

auto Promises::inTouch(std::size_t Host, MonotonicTime Now) const -> bool {
  auto Since = Now - m_Bounds.m_Contact;
  auto Found = m_Disturbed.find(Host);
  return m_AllDisturbed < Since &&
         (Found == m_Disturbed.end() || Found->second < Since);
}

auto Promises::broken(const std::string &Promise, const std::string &Detail)
    -> void {
  if (m_Violations.size() < MostViolations)
    m_Violations.push_back(fmt::format("{}: {}", Promise, Detail));
}

auto Promises::arrived(const std::string &Server, const HttpHeaders &Headers,
                       bool Executed, MonotonicTime Now) -> void {
  auto Request = findHeader(Headers, "X-Request-Id").value_or("");
  auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end()) {
    broken("no-invented-request",
           fmt::format("{} got {}, which no caller sent", Server, Request));
    return;
  }
  auto &Known = Found->second;
  if (++Known.m_Arrivals > 1)
    m_ExtraArrivals.push_back(Now);
  auto Leaving = m_Leaving.find(Server);
  if (Leaving != m_Leaving.end() && inTouch(Known.m_What.m_Host, Now) &&
      Now - Leaving->second > m_Bounds.m_Drain + ClockSlack)
    broken("no-work-for-leaving-servers",
           fmt::format("{} got {} {} ms after it left", Server, Request,
                       toMilliseconds(Now - Leaving->second)));
  if (!Executed)
    return;
  ++Known.m_Runs;
  judgeRun(Request, Server, Headers, Now);
}

auto Promises::judgeRun(const std::string &Request, const std::string &Server,
                        const HttpHeaders &Headers, MonotonicTime Now) -> void {
  const auto &Known = m_Requests.at(Request);
  const auto &What = Known.m_What;
  if (Known.m_Runs > 1 && !What.m_MayRepeat)
    broken("at-most-once", fmt::format("{} ran again at {}", Request, Server));
  if (Known.m_Refused && !What.m_MayRepeat)
    broken("true-refusals",
           fmt::format("{} was refused and runs at {}", Request, Server));
  if (findHeader(Headers, "X-Tenant") != What.m_Organisation ||
      findHeader(Headers, "Authorization"))
    broken("organisation-of-the-key",
           fmt::format("{} ran with other headers at {}", Request, Server));
  auto Withdrawn = m_Withdrawn.find(What.m_Key);
  if (Withdrawn != m_Withdrawn.end() &&
      What.m_SentAt > Withdrawn->second + m_Bounds.m_KeyWithdrawal)
    broken("withdrawn-keys",
           fmt::format("{} ran {} ms after its key was withdrawn", Request,
                       toMilliseconds(Now - Withdrawn->second)));
}

auto Promises::answered(const std::string &Request,
                        const HttpCallResult &Result, MonotonicTime Now)
    -> void {
  auto &Known = m_Requests.at(Request);
  const auto &What = Known.m_What;
  auto Complete = Result.m_Outcome == HttpOutcome::Complete;
  ++m_Statuses[Complete ? Result.m_Status : 0];
  if (!Complete) {
    auto Stopping = m_Stopping.find(What.m_Host);
    // A connection that was closed before it carried the request to a server
    // may have crossed the host's own close.
    if (Known.m_Runs > 0 && Result.m_Outcome == HttpOutcome::Broken &&
        inTouch(What.m_Host, Now) && Stopping != m_Stopping.end() &&
        Now - Stopping->second < m_Bounds.m_Grace + Seconds(1))
      broken("planned-stops-lose-nothing",
             fmt::format("{} ran and its connection was closed", Request));
    return;
  }
  auto Status = Result.m_Status;
  constexpr auto Good = 200U;
  if (Status == Good &&
      (Result.m_Body != What.m_Answer ||
       findHeader(Result.m_Headers, "X-Response-Stamp") != "stamp-" + Request))
    broken("own-answer",
           fmt::format("{} got another answer: {}", Request, Result.m_Body));
  if (Status == 429 || Status == 503) {
    Known.m_Refused = true;
    if (Known.m_Runs > 0 && !What.m_MayRepeat)
      broken("true-refusals",
             fmt::format("{} has run and got {}", Request, Status));
  }
  if (Status == 400 || Status == 401 || Status == 403 || Status == 404 ||
      Status == 413 || Status == 431)
    judgeDenial(Request, Status, Now);
}

auto Promises::judgeDenial(const std::string &Request, unsigned Status,
                           MonotonicTime Now) -> void {
  const auto &What = m_Requests.at(Request).m_What;
  if (m_Withdrawn.contains(What.m_Key))
    return;
  auto Given = m_Given.find(What.m_Key);
  // A host that is out of touch may not know a new key yet.
  if (Given != m_Given.end() &&
      (What.m_SentAt < Given->second + m_Bounds.m_ConfigurationApply ||
       !inTouch(What.m_Host, Now)))
    return;
  broken("no-false-denial",
         fmt::format("{} got {} with a key in force", Request, Status));
}

auto Promises::judgeBudget() -> void {
  if (m_SentTimes.empty())
    return;
  auto Count = [](const std::vector<MonotonicTime> &Times, MonotonicTime From,
                  MonotonicTime To) {
    return std::count_if(Times.begin(), Times.end(),
                         [From, To](auto At) { return At >= From && At < To; });
  };
  for (auto From = m_SentTimes.front(); From < m_SentTimes.back();
       From += WindowStep) {
    auto To = From + m_Bounds.m_RetryWindow;
    auto Extra = Count(m_ExtraArrivals, From, To);
    auto Most = m_Bounds.m_RetryRatio *
                    static_cast<double>(Count(m_SentTimes, From, To)) +
                m_Bounds.m_RetryExtra;
    if (static_cast<double>(Extra) > Most) {
      broken("retry-budget",
             fmt::format("{} repeats where {} were allowed", Extra, Most));
      return;
    }
  }
}

auto Promises::finish() -> void { judgeBudget(); }

} // namespace dotterel::soak
