#include "dotterel/serving/CrashMonitor.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

/// Maximum number of suspected parts that are logged for one loss.
constexpr auto MaxSuspectsLogged = 8;

/// Stands for all services in a digest. No service has an empty name.
const auto AnyService = ModelId{""};

} // namespace

auto BackendIncarnation::lossId() const -> BackendId {
  return BackendId{fmt::format("{}/{}", m_Id.text(), m_StartedAt)};
}

auto RequestDigests::all() const -> std::vector<RequestDigest> {
  auto Result = std::vector<RequestDigest>{m_Content};
  if (m_ContentAnywhere)
    Result.push_back(*m_ContentAnywhere);
  for (const auto &Item : m_Parts)
    Result.push_back(Item.m_Digest);
  return Result;
}

auto digestsOf(const CallerRequest &Request, const ServiceSpec &Service,
               const OrganisationId &Organisation) -> RequestDigests {
  // A service that runs a request says nothing about the others, so each has a
  // digest of its own. The other digest follows the request when its route
  // leads to another service.
  auto Model = ModelId{Service.m_Id.text()};
  auto Content = std::string();
  auto Add = [&Content](const std::string &Text) {
    Content += fmt::format("{}:", Text.size());
    Content += Text;
  };
  Add(Organisation.text());
  Add(Request.m_Method);
  Add(Request.m_Target);
  Add(Request.m_Body);
  auto Result = RequestDigests{.m_Request = Request.m_Id};
  if (Request.m_Prompt) {
    const auto &Parts = Request.m_Prompt->m_Parts;
    for (const auto &Item : Parts)
      Add(Item.m_Id);
    if (Service.m_Engine)
      for (auto Index = std::size_t{0}; Index + 1 < Parts.size(); ++Index)
        Result.m_Parts.push_back(
            {.m_Id = Parts[Index].m_Id,
             .m_Digest = digestPromptPart(Model, Parts[Index].m_Id)});
  }
  Result.m_Content = digestRequest(Model, Content);
  Add(Request.m_Host);
  Result.m_ContentAnywhere = digestRequest(AnyService, Content);
  return Result;
}

CrashTrial::CrashTrial(CrashMonitor &Monitor,
                       std::vector<RequestDigest> Digests)
    : m_Monitor(&Monitor), m_MonitorAlive(Monitor.m_Alive),
      m_Digests(std::move(Digests)) {
  m_Monitor->m_Trials.insert(m_Digests.begin(), m_Digests.end());
}

CrashTrial::~CrashTrial() {
  if (m_MonitorAlive.expired())
    return;
  for (auto Digest : m_Digests)
    m_Monitor->m_Trials.erase(Digest);
}

auto CrashTrial::covers(RequestDigest Digest) const -> bool {
  return std::find(m_Digests.begin(), m_Digests.end(), Digest) !=
         m_Digests.end();
}

CrashMonitor::CrashMonitor(Scheduler &Scheduler, BackendTransport &Transport,
                           ServingMetrics &Metrics,
                           const CrashMonitorOptions &Options)
    : m_Scheduler(Scheduler), m_Transport(Transport), m_Metrics(Metrics),
      m_Options(Options), m_Registry(Options.m_Registry),
      m_ExpiryTimer(Scheduler, Options.m_ExpiryInterval, [this] { expire(); }) {
}

auto CrashMonitor::attemptBroken(const BackendIncarnation &Server,
                                 const RequestDigests &Digests,
                                 MonotonicTime SentAt) -> void {
  removeOldChecks();
  auto LossId = Server.lossId();
  auto Found = m_Checks.find(LossId);
  // The server may have ended since it was found reachable.
  if (Found != m_Checks.end() &&
      Found->second.m_State == CheckState::Reachable) {
    m_Checks.erase(Found);
    Found = m_Checks.end();
  }
  if (Found == m_Checks.end()) {
    if (m_Checks.size() >= m_Options.m_MaxChecks)
      return;
    Found = m_Checks
                .emplace(LossId, Check{.m_Server = Server,
                                       .m_BrokenAt = m_Scheduler.now()})
                .first;
    startCheck(LossId);
  }
  auto &Current = Found->second;
  auto Broken = BrokenAttempt{.m_Digests = Digests, .m_SentAt = SentAt};
  if (Current.m_State == CheckState::Lost)
    recordLoss(Current, {std::move(Broken)});
  else if (Current.m_State == CheckState::Pending &&
           Current.m_Attempts.size() < m_Options.m_MaxAttemptsPerCheck)
    Current.m_Attempts.push_back(std::move(Broken));
}

auto CrashMonitor::startCheck(const BackendId &LossId) -> void {
  m_Transport.checkReachable(
      m_Checks.at(LossId).m_Server.m_Address,
      [this, LossId, Alive = std::weak_ptr(m_Alive)](bool Reachable) {
        if (!Alive.expired())
          checkEnded(LossId, Reachable);
      });
}

auto CrashMonitor::checkEnded(const BackendId &LossId, bool Reachable) -> void {
  auto Now = m_Scheduler.now();
  auto &Ended = m_Checks.at(LossId);
  if (Reachable && !std::exchange(Ended.m_Rechecked, true)) {
    m_Scheduler.schedule(m_Options.m_RecheckDelay,
                         [this, LossId, Alive = std::weak_ptr(m_Alive)] {
                           if (!Alive.expired())
                             startCheck(LossId);
                         });
    return;
  }
  Ended.m_ExpiresAt = Now + m_Options.m_CheckLifetime;
  Ended.m_State = Reachable ? CheckState::Reachable : CheckState::Lost;
  auto Broken = std::exchange(Ended.m_Attempts, {});
  logEvent(Reachable ? LogLevel::Info : LogLevel::Warning,
           Reachable ? "backend.reachable" : "backend.crashed",
           {{"backend", Ended.m_Server.m_Id},
            {"started_at", Ended.m_Server.m_StartedAt},
            {"attempts", Broken.size()},
            {"ms", toMilliseconds(Now - Ended.m_BrokenAt)}});
  if (Reachable)
    return;
  m_Metrics.countLostServer();
  recordLoss(Ended, Broken);
}

auto CrashMonitor::recordLoss(const Check &Ended,
                              const std::vector<BrokenAttempt> &Broken)
    -> void {
  auto Running = std::vector<RunningRequest>();
  auto Changed = std::vector<RequestDigest>();
  for (const auto &Attempt : Broken) {
    // Sent over a connection that had outlived the server.
    if (Attempt.m_SentAt > Ended.m_BrokenAt)
      continue;
    describe(Attempt.m_Digests);
    for (auto Digest : Attempt.m_Digests.all()) {
      if (Ended.m_Succeeded.contains(Digest))
        continue;
      Running.push_back({.m_Digest = Digest, .m_SentAt = Attempt.m_SentAt});
      if (std::find(Changed.begin(), Changed.end(), Digest) == Changed.end())
        Changed.push_back(Digest);
    }
  }
  if (Running.empty())
    return;
  auto NewSuspects = std::vector<RequestDigest>();
  for (auto Digest : Changed)
    if (m_Registry.verdict(Digest) == CrashVerdict::Clear)
      NewSuspects.push_back(Digest);
  m_Registry.recordLoss(Ended.m_Server.lossId(), Ended.m_Server.m_DataCentre,
                        Running, Ended.m_BrokenAt);
  auto Logged = 0;
  for (auto Digest : NewSuspects) {
    auto Found = m_Descriptions.find(Digest);
    if (Found == m_Descriptions.end() || !Found->second.m_Part ||
        ++Logged > MaxSuspectsLogged)
      continue;
    logInfo("crash.suspected", {{"digest", Digest},
                                {"part", Found->second.m_PartId},
                                {"request", Found->second.m_NewestRequest},
                                {"backend", Ended.m_Server.m_Id}});
  }
  for (auto Digest : Changed)
    review(Digest, "loss");
  notify(Changed);
}

auto CrashMonitor::attemptSucceeded(const RequestDigests &Digests) -> void {
  removeOldChecks();
  auto Changed = std::vector<RequestDigest>();
  for (auto Digest : Digests.all()) {
    // A loss is recorded when its check ends, which may be later than a success
    // that refutes it.
    for (auto &[LossId, Current] : m_Checks)
      Current.m_Succeeded.insert(Digest);
    if (m_Registry.recordSuccess(Digest))
      Changed.push_back(Digest);
  }
  for (auto Digest : Changed)
    review(Digest, "success");
  notify(Changed);
}

auto CrashMonitor::quarantined(const RequestDigests &Digests,
                               const CrashTrial *Trial) const
    -> std::optional<RequestDigest> {
  auto IsTried = [&](RequestDigest Digest) {
    if (Trial == nullptr || !Trial->covers(Digest) ||
        !m_Quarantined.contains(Digest))
      return false;
    return Digest == Digests.m_ContentAnywhere
               ? newToService(Digests)
               : explainedByOther(Digest, Digests);
  };
  auto IsQuarantined = [&](RequestDigest Digest) {
    return m_Registry.verdict(Digest) == CrashVerdict::Quarantined &&
           !IsTried(Digest);
  };
  // A part explains more than the one request does.
  for (const auto &Item : Digests.m_Parts)
    if (IsQuarantined(Item.m_Digest))
      return Item.m_Digest;
  if (IsQuarantined(Digests.m_Content))
    return Digests.m_Content;
  if (Digests.m_ContentAnywhere && IsQuarantined(*Digests.m_ContentAnywhere))
    return Digests.m_ContentAnywhere;
  return std::nullopt;
}

auto CrashMonitor::newToService(const RequestDigests &Digests) const -> bool {
  auto Found = m_Quarantined.find(*Digests.m_ContentAnywhere);
  return m_Registry.verdict(Digests.m_Content) == CrashVerdict::Clear &&
         Found != m_Quarantined.end() &&
         Found->second.size() <= m_Options.m_MaxLossesBeforeTrial;
}

auto CrashMonitor::beginTrial(const RequestDigests &Digests)
    -> std::unique_ptr<CrashTrial> {
  // A request cannot be told apart from another one with the same content.
  if (m_Quarantined.contains(Digests.m_Content))
    return nullptr;
  auto Tried = std::vector<RequestDigest>();
  if (auto Anywhere = Digests.m_ContentAnywhere;
      Anywhere && m_Quarantined.contains(*Anywhere)) {
    if (m_Trials.contains(*Anywhere) || !newToService(Digests))
      return nullptr;
    Tried.push_back(*Anywhere);
  }
  for (const auto &Item : Digests.m_Parts) {
    if (!m_Quarantined.contains(Item.m_Digest))
      continue;
    // More than one trial at a time would crash several servers if the part is
    // the one that crashes them.
    if (m_Trials.contains(Item.m_Digest) ||
        !explainedByOther(Item.m_Digest, Digests))
      return nullptr;
    Tried.push_back(Item.m_Digest);
  }
  if (Tried.empty())
    return nullptr;
  logInfo("crash.trial", {{"digest", Tried.front()},
                          {"reason", Tried.front() == Digests.m_ContentAnywhere
                                         ? "new_service"
                                         : "other_digest"},
                          {"request", Digests.m_Request}});
  return std::make_unique<CrashTrial>(*this, std::move(Tried));
}

auto CrashMonitor::explainedByOther(RequestDigest Digest,
                                    const RequestDigests &Request) const
    -> bool {
  const auto &Losses = m_Quarantined.at(Digest);
  auto Own = Request.all();
  return std::any_of(
      m_Quarantined.begin(), m_Quarantined.end(), [&](const auto &Other) {
        return std::find(Own.begin(), Own.end(), Other.first) == Own.end() &&
               std::includes(Other.second.begin(), Other.second.end(),
                             Losses.begin(), Losses.end());
      });
}

auto CrashMonitor::merge(const std::vector<CrashReport> &Reports,
                         MonotonicTime Now) -> void {
  for (const auto &Report : Reports) {
    m_Registry.merge(Report, Now);
    review(Report.m_Digest, "report");
  }
}

auto CrashMonitor::describe(const RequestDigests &Digests) -> void {
  auto Add = [this, &Digests](RequestDigest Digest, const std::string &PartId,
                              bool Part) {
    if (m_Descriptions.size() >= m_Options.m_Registry.m_MaxDigests &&
        !m_Descriptions.contains(Digest))
      return;
    m_Descriptions[Digest] = {.m_PartId = PartId,
                              .m_NewestRequest = Digests.m_Request,
                              .m_Part = Part};
  };
  Add(Digests.m_Content, {}, false);
  if (Digests.m_ContentAnywhere)
    Add(*Digests.m_ContentAnywhere, {}, false);
  for (const auto &Item : Digests.m_Parts)
    Add(Item.m_Digest, Item.m_Id, true);
}

auto CrashMonitor::review(RequestDigest Digest, const char *Reason) -> void {
  auto IsQuarantined = m_Registry.verdict(Digest) == CrashVerdict::Quarantined;
  auto WasQuarantined = m_Quarantined.contains(Digest);
  auto Losses = std::set<BackendId>();
  if (IsQuarantined) {
    auto Report = m_Registry.report(Digest, m_Scheduler.now());
    for (const auto &[LossId, Ages] : Report->m_Losses)
      Losses.insert(LossId);
    m_Quarantined[Digest] = Losses;
  }
  if (IsQuarantined == WasQuarantined)
    return;
  auto Known = Description();
  auto Kind = "unknown";
  if (auto Found = m_Descriptions.find(Digest); Found != m_Descriptions.end()) {
    Known = Found->second;
    Kind = Known.m_Part ? "part" : "request";
  }
  if (!IsQuarantined)
    m_Quarantined.erase(Digest);
  m_Metrics.setQuarantinedDigests(static_cast<double>(m_Quarantined.size()));
  logEvent(IsQuarantined ? LogLevel::Warning : LogLevel::Info,
           IsQuarantined ? "crash.quarantined" : "crash.released",
           {{"digest", Digest},
            {"reason", Reason},
            {"kind", Kind},
            {"part", Known.m_PartId},
            {"losses", Losses.size()},
            {"request", Known.m_NewestRequest}});
}

auto CrashMonitor::notify(const std::vector<RequestDigest> &Changed) -> void {
  if (!Changed.empty() && m_OnChange)
    m_OnChange(Changed);
}

auto CrashMonitor::removeOldChecks() -> void {
  std::erase_if(m_Checks, [Now = m_Scheduler.now()](const auto &Item) {
    return Item.second.m_ExpiresAt <= Now;
  });
}

auto CrashMonitor::expire() -> void {
  removeOldChecks();
  m_Registry.expire(m_Scheduler.now());
  for (const auto &[Digest, Losses] : std::map(m_Quarantined))
    review(Digest, "expiry");
  std::erase_if(m_Descriptions, [this](const auto &Item) {
    return m_Registry.verdict(Item.first) == CrashVerdict::Clear;
  });
}

} // namespace dotterel
