#include "dotterel/routing/EngineTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

auto ratio(Duration Numerator, Duration Denominator) -> double {
  return static_cast<double>(Numerator.count()) /
         static_cast<double>(Denominator.count());
}

auto servesModel(const Backend &Server, const ModelId &Model) -> bool {
  return std::find(Server.m_Models.begin(), Server.m_Models.end(), Model) !=
         Server.m_Models.end();
}

/// Returns the options of the access, which the host's name makes differ
/// between processes.
auto accessOptions(const Location &Self, ServerAccessOptions Options)
    -> ServerAccessOptions {
  Options.m_SpreadSeed ^= std::hash<HostId>()(Self.m_Host);
  return Options;
}

} // namespace

EngineTable::EngineTable(Location Self, const EngineTableOptions &Options)
    : m_Self(std::move(Self)), m_Options(Options),
      m_Outliers(Options.m_Outliers),
      m_Access(Options.m_RateLimits, accessOptions(m_Self, Options.m_Access)) {}

auto EngineTable::targetOf(const Entry &Item) const -> SendTarget {
  const auto &Server = Item.m_Backend;
  auto Start = std::uint64_t{0};
  if (Item.m_Load) {
    const auto &Text = Item.m_Load->m_Incarnation;
    // Never 0, which stands for an unknown start.
    Start = XXH3_64bits(Text.data(), Text.size()) | 1U;
  }
  return {.m_Backend = Server.m_Id,
          .m_Address = Server.m_Url,
          .m_Start = Start,
          .m_Draining = Server.m_Stopped || m_Leaving.contains(Server.m_Id) ||
                        m_Drained.contains(Server.m_Id)};
}

auto EngineTable::check(const BackendId &Id, SendPurpose Purpose,
                        MonotonicTime Now) const -> SendDenial {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end()
             ? SendDenial::Unlisted
             : m_Access.check(targetOf(Found->second), Purpose, Now);
}

auto EngineTable::admit(const BackendId &Id, SendPurpose Purpose,
                        MonotonicTime Now) -> SendDecision {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return {.m_Denial = SendDenial::Unlisted};
  auto Target = targetOf(Found->second);
  return m_Access.admit(Target, Purpose, {.m_Listed = &Target}, Now);
}

auto EngineTable::recordNotice(const BackendId &Id, const ServerNotice &Notice,
                               MonotonicTime Now) -> void {
  auto Found = m_Entries.find(Id);
  if (Found != m_Entries.end())
    m_Access.recordNotice(targetOf(Found->second), Notice, Now);
}

auto EngineTable::updateList(const std::vector<Backend> &Listed) -> void {
  auto Present = std::set<BackendId>();
  for (const auto &Server : subset(Listed)) {
    Present.insert(Server.m_Id);
    auto Found = m_Entries.find(Server.m_Id);
    if (Found == m_Entries.end())
      m_Entries.emplace(Server.m_Id, Entry{.m_Backend = Server,
                                           .m_Prefixes = PrefixIndex(
                                               m_Options.m_MaxCachedBlocks)});
    else
      Found->second.m_Backend = Server;
    // A stopped server is no longer marked as leaving, so that it gets requests
    // after its next start.
    if (Server.m_Leaving && !Server.m_Stopped)
      m_Leaving.insert(Server.m_Id);
    else if (Server.m_Stopped)
      m_Leaving.erase(Server.m_Id);
  }
  std::erase_if(m_Entries, [&](const auto &Item) {
    // A server stays in the table until this gate's requests on it have ended.
    return !Present.contains(Item.first) && Item.second.m_InFlight.empty();
  });
  // The list may lag: a server stays marked as leaving until it is no longer
  // listed.
  std::erase_if(m_Leaving,
                [&](const auto &Id) { return !Present.contains(Id); });
}

auto EngineTable::subset(const std::vector<Backend> &Listed) const
    -> std::vector<Backend> {
  struct Ranked {
    bool m_Stopped = false;
    Duration m_RoundTripTime;
    std::uint64_t m_Weight = 0;
    const Backend *m_Server = nullptr;
  };
  auto Chosen = std::vector<Backend>();
  auto Models = std::map<ModelId, std::vector<Ranked>>();
  const auto &Host = m_Self.m_Host.text();
  auto Seed = XXH3_64bits(Host.data(), Host.size());
  for (const auto &Server : Listed) {
    if (!Server.m_Service.empty()) {
      Chosen.push_back(Server);
      continue;
    }
    const auto &Id = Server.m_Id.text();
    auto Item =
        Ranked{.m_Stopped = Server.m_Stopped,
               .m_RoundTripTime = roundTripTo(Server),
               .m_Weight = XXH3_64bits_withSeed(Id.data(), Id.size(), Seed),
               .m_Server = &Server};
    for (const auto &Model : Server.m_Models)
      Models[Model].push_back(Item);
  }
  auto ChosenIds = std::set<BackendId>();
  for (auto &[Model, Servers] : Models) {
    std::sort(Servers.begin(), Servers.end(),
              [](const Ranked &Left, const Ranked &Right) {
                return std::tie(Left.m_Stopped, Left.m_RoundTripTime,
                                Left.m_Weight) < std::tie(Right.m_Stopped,
                                                          Right.m_RoundTripTime,
                                                          Right.m_Weight);
              });
    if (Servers.size() > m_Options.m_MaxEnginesPerModel)
      Servers.resize(m_Options.m_MaxEnginesPerModel);
    for (const auto &Item : Servers)
      if (ChosenIds.insert(Item.m_Server->m_Id).second)
        Chosen.push_back(*Item.m_Server);
  }
  return Chosen;
}

auto EngineTable::updateLoad(const BackendId &Id, const EngineLoad &Load,
                             MonotonicTime Now) -> void {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  auto &Item = Found->second;
  if (Item.m_Load && Item.m_Load->m_Incarnation != Load.m_Incarnation) {
    Item.m_Prefixes.clear();
    Item.m_Load.reset();
    rateLimits().remove(Id);
  }
  updateOtherGatesLoad(Item, Load, Now);
  Item.m_Load = Load;
  Item.m_ReportedAt = Now;
  Item.m_UnreachableUntil = MonotonicTime();
}

auto EngineTable::updateOtherGatesLoad(Entry &Item, const EngineLoad &Load,
                                       MonotonicTime Now) -> void {
  // Subtracts the gate's present requests, since those at the unknown time of
  // the report are not available. The error averages out.
  Item.m_OtherGatesRunning = static_cast<double>(Load.m_Running) -
                             static_cast<double>(Item.m_InFlight.size());
  auto Weight = Item.m_Load ? 1 - std::exp(-ratio(Now - Item.m_ReportedAt,
                                                  m_Options.m_AveragingTime))
                            : 1.0;
  Item.m_OtherGatesMean +=
      Weight * (Item.m_OtherGatesRunning - Item.m_OtherGatesMean);
}

auto EngineTable::markUnreachable(const BackendId &Id, MonotonicTime Now)
    -> void {
  auto Found = m_Entries.find(Id);
  if (Found != m_Entries.end())
    Found->second.m_UnreachableUntil = Now + m_Options.m_UnreachableRetryDelay;
}

auto EngineTable::setUnderCheck(const BackendId &Id, bool UnderCheck) -> void {
  auto Found = m_Entries.find(Id);
  if (Found != m_Entries.end())
    Found->second.m_UnderCheck = UnderCheck;
}

auto EngineTable::markLeaving(const BackendId &Id) -> void {
  if (m_Entries.contains(Id))
    m_Leaving.insert(Id);
}

auto EngineTable::leaving() const -> std::vector<BackendId> {
  return {m_Leaving.begin(), m_Leaving.end()};
}

auto EngineTable::isUsable(const Entry &Item, const EngineQuery &Query,
                           MonotonicTime Now) const -> bool {
  const auto &Server = Item.m_Backend;
  if (!Server.m_Service.empty() || !Item.m_Load || Server.m_Stopped ||
      Item.m_UnderCheck || Now < Item.m_UnreachableUntil)
    return false;
  if (Server.m_Cheap && !Query.m_CheapAllowed)
    return false;
  if (m_Access.check(targetOf(Item), SendPurpose::Execute, Now) !=
      SendDenial::None)
    return false;
  if (Query.m_Stream &&
      !mayContinue(*Query.m_Stream, Server.m_Service, Server.m_Version))
    return false;
  return servesModel(Server, Query.m_Model);
}

auto EngineTable::isOpenTo(const Entry &Item, const EngineQuery &Query)
    -> bool {
  if (Item.m_RunsAlone)
    return false;
  if (!Item.m_ReservedFor.empty() && Item.m_ReservedFor != Query.m_Request)
    return false;
  return !Query.m_Alone || Item.m_InFlight.empty();
}

auto EngineTable::usableEngines(const EngineQuery &Query,
                                MonotonicTime Now) const
    -> std::vector<const Entry *> {
  auto Untried = std::vector<const Entry *>();
  auto Tried = std::vector<const Entry *>();
  for (const auto &[Id, Item] : m_Entries)
    if (isUsable(Item, Query, Now))
      (Query.m_Tried.contains(Id) ? Tried : Untried).push_back(&Item);
  auto Engines = std::move(Untried.empty() ? Tried : Untried);
  if (Query.m_Alone) {
    preferOtherDataCentres(Engines, Query);
    preferOwned(Engines);
  }
  return Engines;
}

auto EngineTable::candidates(const EngineQuery &Query, MonotonicTime Now) const
    -> std::vector<Candidate> {
  auto Healthy = std::vector<Candidate>();
  auto Ejected = std::vector<Candidate>();
  auto Pool = std::size_t{0};
  auto PoolEjected = std::size_t{0};
  for (const auto *Item : usableEngines(Query, Now)) {
    if (!isOpenTo(*Item, Query))
      continue;
    auto IsEjected = m_Outliers.ejected(Item->m_Backend.m_Id, Now);
    ++Pool;
    PoolEjected += IsEjected ? 1 : 0;
    auto Engine = makeCandidate(*Item, Query, Now);
    if (Engine.m_Running >= Engine.m_Slots * m_Options.m_Overcommit)
      continue;
    (IsEjected ? Ejected : Healthy).push_back(std::move(Engine));
  }
  if (Pool > 0 && !m_Outliers.mayExclude(PoolEjected, Pool))
    Healthy.insert(Healthy.end(), Ejected.begin(), Ejected.end());
  if (Query.m_Alone)
    preferIdle(Healthy);
  return Healthy;
}

auto EngineTable::preferOtherDataCentres(std::vector<const Entry *> &Engines,
                                         const EngineQuery &Query) -> void {
  // The engines of a data centre that is lost or reclaimed go one after
  // another: on the next one the request would be alone when it is lost.
  auto LostThere = [&Query](const Entry *Item) {
    return Query.m_LostIn.contains(Item->m_Backend.m_DataCentre);
  };
  if (!std::all_of(Engines.begin(), Engines.end(), LostThere))
    std::erase_if(Engines, LostThere);
}

auto EngineTable::preferOwned(std::vector<const Entry *> &Engines) const
    -> void {
  auto IsNotOwned = [this](const Entry *Item) {
    return m_ExclusiveOwner && !m_ExclusiveOwner(Item->m_Backend.m_Id);
  };
  if (!std::all_of(Engines.begin(), Engines.end(), IsNotOwned))
    std::erase_if(Engines, IsNotOwned);
}

auto EngineTable::preferIdle(std::vector<Candidate> &Engines) -> void {
  auto IsBusy = [](const Candidate &Engine) { return Engine.m_Running > 0; };
  if (!std::all_of(Engines.begin(), Engines.end(), IsBusy))
    std::erase_if(Engines, IsBusy);
}

auto EngineTable::makeCandidate(const Entry &Item, const EngineQuery &Query,
                                MonotonicTime Now) const -> Candidate {
  const auto &Load = *Item.m_Load;
  auto Age = std::chrono::duration<double>(Now - Item.m_ReportedAt).count();
  // The engine has processed a part of the reported queue since the report.
  auto ProcessedTokens = Age * Load.m_PrefillTokensPerSecond;
  auto Reported = std::max(
      0.0, static_cast<double>(Load.m_QueuedPrefillTokens) - ProcessedTokens);
  return {.m_Id = Item.m_Backend.m_Id,
          .m_OwnInFlight = static_cast<std::uint32_t>(Item.m_InFlight.size()),
          .m_Running = static_cast<std::uint32_t>(
              std::lround(expectedRunning(Item, Now))),
          .m_Slots = Load.m_Slots,
          .m_QueuedPrefillTokens = std::max(Reported, Item.m_OwnPrefillTokens),
          .m_PrefillTokensPerSecond = Load.m_PrefillTokensPerSecond,
          .m_DecodeTokensPerSecond = Load.m_DecodeTokensPerSecond,
          .m_CachedTokens = Item.m_Prefixes.match(Query.m_PrefixBlocks) *
                            TokensPerPrefixBlock,
          .m_RoundTripTime = roundTripTo(Item.m_Backend)};
}

auto EngineTable::roundTripTo(const Backend &Server) const -> Duration {
  if (Server.m_Region != m_Self.m_Region)
    return m_Options.m_RegionRoundTrip;
  if (Server.m_DataCentre != m_Self.m_DataCentre)
    return m_Options.m_DataCentreRoundTrip;
  return Duration::zero();
}

auto EngineTable::reserve(const EngineQuery &Query, MonotonicTime Now) -> void {
  auto IsReserved = [&](const auto &Item) {
    return Item.second.m_ReservedFor == Query.m_Request;
  };
  if (std::any_of(m_Entries.begin(), m_Entries.end(), IsReserved))
    return;
  const Entry *LeastLoaded = nullptr;
  for (const auto *Item : usableEngines(Query, Now)) {
    if (Item->m_RunsAlone || !Item->m_ReservedFor.empty())
      continue;
    if (LeastLoaded == nullptr ||
        Item->m_InFlight.size() < LeastLoaded->m_InFlight.size())
      LeastLoaded = Item;
  }
  if (LeastLoaded != nullptr)
    m_Entries.at(LeastLoaded->m_Backend.m_Id).m_ReservedFor = Query.m_Request;
}

auto EngineTable::unreserve(const RequestId &Request) -> void {
  for (auto &[Id, Item] : m_Entries)
    if (Item.m_ReservedFor == Request)
      Item.m_ReservedFor = RequestId{};
}

auto EngineTable::serves(const ModelId &Model) const -> bool {
  return std::any_of(m_Entries.begin(), m_Entries.end(),
                     [&Model](const auto &Item) {
                       return servesModel(Item.second.m_Backend, Model);
                     });
}

auto EngineTable::continues(const ModelId &Model,
                            const StreamOrigin &Origin) const -> bool {
  return std::any_of(m_Entries.begin(), m_Entries.end(), [&](const auto &Item) {
    const auto &Server = Item.second.m_Backend;
    return !Server.m_Stopped && servesModel(Server, Model) &&
           mayContinue(Origin, Server.m_Service, Server.m_Version);
  });
}

auto EngineTable::utilisation(MonotonicTime Now) const -> double {
  auto Running = 0.0;
  auto Slots = 0.0;
  for (const auto &[Id, Item] : m_Entries) {
    if (!Item.m_Load || Item.m_Backend.m_Leaving)
      continue;
    Running += expectedRunning(Item, Now);
    Slots += Item.m_Load->m_Slots;
  }
  return Slots > 0 ? Running / Slots : 1.0;
}

auto EngineTable::expectedRunning(const Entry &Item, MonotonicTime Now) const
    -> double {
  auto Age = Now - Item.m_ReportedAt + m_Options.m_ReportLag;
  auto Correlation = std::exp(-ratio(Age, m_Options.m_LoadCorrelationTime));
  auto Others =
      Item.m_OtherGatesMean +
      Correlation * (Item.m_OtherGatesRunning - Item.m_OtherGatesMean);
  return static_cast<double>(Item.m_InFlight.size()) + std::max(0.0, Others);
}

auto EngineTable::models() const -> std::vector<ModelId> {
  auto Names = std::set<ModelId>();
  for (const auto &[Id, Item] : m_Entries)
    Names.insert(Item.m_Backend.m_Models.begin(),
                 Item.m_Backend.m_Models.end());
  return {Names.begin(), Names.end()};
}

auto EngineTable::pickService(const std::string &Service, bool CheapAllowed,
                              const std::set<BackendId> &Excluded,
                              MonotonicTime Now) -> std::optional<Backend> {
  auto Healthy = std::vector<Backend>();
  auto Ejected = std::vector<Backend>();
  for (const auto &[Id, Item] : m_Entries) {
    const auto &Server = Item.m_Backend;
    if (Server.m_Service != Service || Excluded.contains(Id) ||
        (Server.m_Cheap && !CheapAllowed) ||
        m_Access.check(targetOf(Item), SendPurpose::Execute, Now) !=
            SendDenial::None)
      continue;
    (m_Outliers.ejected(Id, Now) ? Ejected : Healthy).push_back(Server);
  }
  if (Healthy.empty())
    Healthy = std::move(Ejected);
  if (Healthy.empty())
    return std::nullopt;
  // Round robin over the nearest servers.
  auto Nearest = roundTripTo(
      *std::min_element(Healthy.begin(), Healthy.end(),
                        [this](const auto &Left, const auto &Right) {
                          return roundTripTo(Left) < roundTripTo(Right);
                        }));
  std::erase_if(Healthy, [&](const Backend &Server) {
    return roundTripTo(Server) > Nearest;
  });
  return Healthy[m_NextService++ % Healthy.size()];
}

auto EngineTable::timeToOpen(const std::string &Service,
                             MonotonicTime Now) const
    -> std::optional<Duration> {
  auto Shortest = std::optional<Duration>();
  for (const auto &[Id, Item] : m_Entries) {
    auto Target = targetOf(Item);
    if (Item.m_Backend.m_Service == Service &&
        opensByItself(m_Access.check(Target, SendPurpose::Execute, Now)))
      Shortest = std::min(m_Access.timeToOpen(Target, Now),
                          Shortest.value_or(Duration::max()));
  }
  return Shortest;
}

auto EngineTable::begin(const BackendId &Id, const InFlightRequest &Flight)
    -> void {
  auto Found = m_Entries.find(Id);
  assert(Found != m_Entries.end() && "begin() requires a server of the table");
  auto &Item = Found->second;
  unreserve(Flight.m_Request);
  Item.m_InFlight[Flight.m_Attempt] = Flight;
  Item.m_OwnPrefillTokens += static_cast<double>(Flight.m_Work.m_PrefillTokens);
  Item.m_RunsAlone = Item.m_RunsAlone || Flight.m_Alone;
  Item.m_Prefixes.touch(Flight.m_PrefixBlocks);
}

auto EngineTable::markPrefilled(const BackendId &Id, const AttemptId &Attempt)
    -> void {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  auto Flight = Found->second.m_InFlight.find(Attempt);
  if (Flight == Found->second.m_InFlight.end())
    return;
  auto &Tokens = Flight->second.m_Work.m_PrefillTokens;
  Found->second.m_OwnPrefillTokens -= static_cast<double>(Tokens);
  Tokens = 0;
}

auto EngineTable::end(const BackendId &Id, const AttemptId &Attempt) -> void {
  markPrefilled(Id, Attempt);
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  auto &Item = Found->second;
  auto Flight = Item.m_InFlight.find(Attempt);
  if (Flight == Item.m_InFlight.end())
    return;
  if (Flight->second.m_Alone)
    Item.m_RunsAlone = false;
  Item.m_InFlight.erase(Flight);
}

auto EngineTable::runningOn(const BackendId &Id) const
    -> std::vector<RunningRequest> {
  auto Running = std::vector<RunningRequest>();
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return Running;
  for (const auto &[Attempt, Flight] : Found->second.m_InFlight)
    Running.push_back({.m_Digest = Flight.m_Digest,
                       .m_Alone = Flight.m_Alone,
                       .m_SentAt = Flight.m_SentAt});
  return Running;
}

auto EngineTable::find(const BackendId &Id) const -> const Backend * {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? nullptr : &Found->second.m_Backend;
}

auto EngineTable::load(const BackendId &Id) const -> std::optional<EngineLoad> {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? std::nullopt : Found->second.m_Load;
}

auto EngineTable::reportedAt(const BackendId &Id) const -> MonotonicTime {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? MonotonicTime()
                                  : Found->second.m_ReportedAt;
}

auto EngineTable::all() const -> std::vector<Backend> {
  auto Servers = std::vector<Backend>();
  for (const auto &[Id, Item] : m_Entries)
    Servers.push_back(Item.m_Backend);
  return Servers;
}

auto EngineTable::inFlight(const BackendId &Id) const -> std::size_t {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? 0 : Found->second.m_InFlight.size();
}

} // namespace dotterel
