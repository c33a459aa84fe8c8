#include "dotterel/fleet/Discovery.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

namespace {

constexpr auto ListTimeout = Seconds(2);
constexpr auto LoadTimeout = Milliseconds(800);
constexpr auto StatusOk = 200U;

} // namespace

Discovery::Discovery(Scheduler &Scheduler, HttpClient &Client,
                     BackendClient &Backends, EngineTable &Engines,
                     const DiscoveryOptions &Options)
    : m_Scheduler(Scheduler), m_Client(Client), m_Backends(Backends),
      m_Engines(Engines), m_Options(Options) {}

auto Discovery::start() -> void {
  m_ListTimer.emplace(m_Scheduler, m_Options.m_ListInterval,
                      [this] { pollLists(); });
  m_LoadTimer.emplace(m_Scheduler, m_Options.m_LoadInterval,
                      [this] { pollLoads(); });
  pollLists();
}

auto Discovery::stop() -> void {
  m_ListTimer.reset();
  m_LoadTimer.reset();
}

auto Discovery::makeCall(const std::string &Url, Duration Timeout,
                         std::function<void(const std::string &)> Handler)
    -> std::optional<HttpCall> {
  if (!m_Pending.insert(Url).second)
    return std::nullopt;
  auto Call = HttpCall();
  Call.m_Url = Url;
  Call.m_Timeout = Timeout;
  Call.m_OnDone = [this, Alive = std::weak_ptr(m_Alive), Url,
                   Handler = std::move(Handler)](const HttpCallResult &Result) {
    if (Alive.expired())
      return;
    m_Pending.erase(Url);
    if (Result.m_Outcome != HttpOutcome::Complete ||
        Result.m_Status != StatusOk)
      return;
    try {
      Handler(Result.m_Body);
    } catch (const ProtocolError &Failure) {
      logWarning("discovery.malformed",
                 {{"url", Url}, {"reason", Failure.what()}});
    }
  };
  return Call;
}

auto Discovery::fetchFromPlatform(
    const std::string &Path, std::function<void(const std::string &)> Handler)
    -> void {
  if (auto Call = makeCall(m_Options.m_PlatformUrl + Path, ListTimeout,
                           std::move(Handler)))
    m_Client.start(std::move(*Call));
}

auto Discovery::pollLists() -> void {
  fetchFromPlatform("/platform/v1/backends", [this](const std::string &Body) {
    m_Engines.updateList(parseBackends(Body));
    pollLoads();
  });
  fetchFromPlatform("/platform/v1/hosts", [this](const std::string &Body) {
    if (m_OnHostList)
      m_OnHostList(parseHostList(Body));
  });
}

auto Discovery::pollLoads() -> void {
  if (m_LoadPollingPredicate && !m_LoadPollingPredicate())
    return;
  for (const auto &Server : m_Engines.all()) {
    if (!Server.m_Service.empty())
      continue;
    auto Id = Server.m_Id;
    auto Call =
        makeCall(Server.m_Url + "/load", LoadTimeout,
                 [this, Id](const std::string &Body) {
                   m_Engines.updateLoad(Id, parseLoad(Body), m_Scheduler.now());
                   if (m_OnLoad)
                     m_OnLoad();
                 });
    if (Call)
      m_Backends.start(Id, SendPurpose::Probe, std::move(*Call));
  }
}

} // namespace dotterel
