#include "dotterel/fleet/BackendClient.h"

#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

namespace {

/// Header in all responses of a server that is about to end: "1".
constexpr auto LeavingHeader = "x-server-leaving";
constexpr auto RetryAfterHeader = "Retry-After";
/// Ids of calls that were not permitted begin here, far above those that the
/// client assigns.
constexpr auto FirstDeniedId = std::uint64_t{1} << 63U;

} // namespace

auto BackendClient::start(const BackendId &Backend, SendPurpose Purpose,
                          HttpCall Call) -> HttpCallId {
  auto Decision = m_Engines.admit(Backend, Purpose, m_Scheduler.now());
  if (!Decision.m_Permit)
    return deny(Backend, Purpose, Decision.m_Denial, std::move(Call));
  watchNotices(Backend, Call);
  return m_Client.start(std::move(Call));
}

auto BackendClient::cancel(HttpCallId Call) -> void {
  auto Found = m_Denied.find(Call);
  if (Found == m_Denied.end()) {
    m_Client.cancel(Call);
    return;
  }
  m_Scheduler.cancel(Found->second);
  m_Denied.erase(Found);
}

auto BackendClient::watchNotices(const BackendId &Backend, HttpCall &Call)
    -> void {
  auto Record = [this, Lifetime = std::weak_ptr(m_Lifetime), Backend,
                 Recorded = std::make_shared<bool>(false)](
                    unsigned Status, const HttpHeaders &Headers) {
    if (!Lifetime.expired() && !std::exchange(*Recorded, true))
      recordNotice(Backend, Status, Headers);
  };
  // The caller may cancel the call while it handles the headers.
  if (Call.m_OnHeaders)
    Call.m_OnHeaders = [Record, OnHeaders = std::move(Call.m_OnHeaders)](
                           unsigned Status, const HttpHeaders &Headers) {
      Record(Status, Headers);
      OnHeaders(Status, Headers);
    };
  Call.m_OnDone = [Record,
                   OnDone = std::move(Call.m_OnDone)](HttpCallResult Result) {
    Record(Result.m_Status, Result.m_Headers);
    if (OnDone)
      OnDone(std::move(Result));
  };
}

auto BackendClient::recordNotice(const BackendId &Backend, unsigned Status,
                                 const HttpHeaders &Headers) -> void {
  m_Engines.recordNotice(
      Backend,
      parseServerNotice(Status, findHeader(Headers, LeavingHeader),
                        findHeader(Headers, RetryAfterHeader)),
      m_Scheduler.now());
}

auto BackendClient::deny(const BackendId &Backend, SendPurpose Purpose,
                         SendDenial Denial, HttpCall Call) -> HttpCallId {
  // Probes are sent by a timer and would fill the log during a pause.
  if (Purpose != SendPurpose::Probe)
    logInfo("send.denied", {{"backend", Backend}, {"reason", nameOf(Denial)}});
  if (m_OnDenied)
    m_OnDenied(Denial);
  auto Id = HttpCallId{FirstDeniedId + ++m_LastDenied};
  auto Timer = m_Scheduler.schedule(
      Duration::zero(), [this, Lifetime = std::weak_ptr(m_Lifetime), Id, Denial,
                         OnDone = std::move(Call.m_OnDone)] {
        if (Lifetime.expired())
          return;
        m_Denied.erase(Id);
        if (OnDone)
          OnDone(
              {.m_Outcome = HttpOutcome::NotSent, .m_Detail = nameOf(Denial)});
      });
  m_Denied.emplace(Id, Timer);
  return Id;
}

} // namespace dotterel
