//===- ServingFakes.h - Fake callers and servers ----------------*- C++ -*-===//
///
/// \file
/// Fakes of BackendTransport and CallerExchange that a test controls.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_SERVINGFAKES_H
#define DOTTEREL_TESTS_SUPPORT_SERVINGFAKES_H

#include "VirtualScheduler.h"
#include "dotterel/serving/ServingCore.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dotterel::test {

/// Records attempts. The test responds to them through their listeners.
class FakeTransport final : public BackendTransport {
public:
  struct Sent {
    BackendAttempt m_Attempt;
    AttemptListener *m_Listener = nullptr;
    bool m_Cancelled = false;
    bool m_Ended = false;
  };

  auto send(SendPermit Permit, const BackendAttempt &Attempt, bool /*Stream*/,
            AttemptListener &Listener) -> TransportId override {
    REQUIRE(Permit.backend() == Attempt.m_Backend);
    m_Sent.push_back({.m_Attempt = Attempt, .m_Listener = &Listener});
    return TransportId{m_Sent.size()};
  }
  auto cancel(TransportId Attempt) -> void override {
    m_Sent.at(Attempt.number() - 1).m_Cancelled = true;
  }
  auto release(SendPermit Permit, const CacheHandle &Cache,
               std::function<void(const ServerNotice &)> Done)
      -> void override {
    REQUIRE(Permit.purpose() == SendPurpose::Release);
    m_Released.push_back(Cache.m_Handle);
    m_OnReleased.push_back(std::move(Done));
  }

  auto checkReachable(const std::string &Address,
                      std::function<void(bool)> Done) -> void override {
    m_Checks.push_back({.m_Address = Address, .m_Done = std::move(Done)});
  }

  /// Ends the checks in progress: the servers at m_LostAddresses accept no
  /// connections.
  auto endChecks() -> void {
    for (auto &Ended : std::exchange(m_Checks, {}))
      Ended.m_Done(!m_LostAddresses.contains(Ended.m_Address));
  }

  /// Ends the latest attempt.
  auto end(AttemptResult Result) -> void {
    auto &Last = m_Sent.back();
    Last.m_Ended = true;
    Last.m_Listener->onEnd(std::move(Result));
  }

  struct Check {
    std::string m_Address;
    std::function<void(bool)> m_Done;
  };

  std::vector<Sent> m_Sent;
  std::vector<std::string> m_Released;
  /// Callbacks for the responses to releases.
  std::vector<std::function<void(const ServerNotice &)>> m_OnReleased;
  std::vector<Check> m_Checks;
  std::set<std::string> m_LostAddresses;
};

/// What a caller has received.
struct CallerView {
  std::optional<Refusal> m_Refusal;
  std::optional<Duration> m_RetryAfter;
  std::optional<unsigned> m_Status;
  std::string m_Body;
  bool m_Finished = false;
  bool m_Aborted = false;
  std::function<void()> m_OnDisconnect;
};

class FakeExchange final : public CallerExchange {
public:
  FakeExchange(CallerRequest Request, std::shared_ptr<CallerView> View)
      : m_Request(std::move(Request)), m_View(std::move(View)) {}

  [[nodiscard]] auto request() const -> const CallerRequest & override {
    return m_Request;
  }
  auto refuse(const Refusal &Reason, std::optional<Duration> RetryAfter)
      -> void override {
    m_View->m_Refusal = Reason;
    m_View->m_RetryAfter = RetryAfter;
  }
  auto sendResponse(const ResponseHead &Head, std::string Body)
      -> void override {
    m_View->m_Status = Head.m_Status;
    m_View->m_Body = std::move(Body);
    m_View->m_Finished = true;
  }
  auto beginStream(const ResponseHead &Head) -> void override {
    m_View->m_Status = Head.m_Status;
  }
  auto write(std::string_view Data) -> void override { m_View->m_Body += Data; }
  auto finish() -> void override { m_View->m_Finished = true; }
  auto abort() -> void override { m_View->m_Aborted = true; }
  [[nodiscard]] auto unsentBytes() const -> std::size_t override { return 0; }
  auto onDisconnect(std::function<void()> Callback) -> void override {
    m_View->m_OnDisconnect = std::move(Callback);
  }

private:
  CallerRequest m_Request;
  std::shared_ptr<CallerView> m_View;
};

/// A serving core with one plain service and one service of engines.
struct ServingFixture {
  explicit ServingFixture(const ServingCoreOptions &Options = {});

  /// Starts a request on the route "safe", "unsafe", "stream" or "resumable".
  auto serve(const std::string &Route, const std::string &Key = "k",
             std::optional<PromptShape> Prompt = std::nullopt)
      -> std::shared_ptr<CallerView>;

  /// Puts a configuration in force in which the plain routes lead to a service
  /// with three servers of its own.
  auto movePlainRoutes(const std::string &Service) -> void;

  /// Lets the core destroy requests that have ended.
  auto destroyEnded() -> void { m_Scheduler.advance(Milliseconds(1)); }

  VirtualScheduler m_Scheduler;
  Random m_Random{7};
  FakeTransport m_Transport;
  Distance m_Distance{
      {.m_Host = HostId{"h"},
       .m_DataCentre = DataCentreId{"a"},
       .m_Region = RegionId{"r"}},
      {{DataCentreId{"a"}, RegionId{"r"}}, {DataCentreId{"b"}, RegionId{"s"}}}};
  ServingMetrics m_Metrics;
  std::map<std::string, int> m_Usage;
  ServingCore m_Core;
  std::uint64_t m_LastId = 0;
};

inline ServingFixture::ServingFixture(const ServingCoreOptions &Options)
    : m_Core(
          m_Scheduler, m_Random, m_Transport, m_Distance, m_Metrics,
          [this](const OrganisationId &Organisation) {
            ++m_Usage[Organisation.text()];
          },
          Options) {
  auto Configuration = ServingConfiguration();
  Configuration.m_Revision = ConfigRevision{1};
  auto Route = [](const std::string &Name, RequestKind Kind,
                  const std::string &Service, bool Resumable) {
    return ServingRoute{.m_Id = RouteId{Name},
                        .m_Host = "h",
                        .m_PathPrefix = "/" + Name + "/",
                        .m_Kind = Kind,
                        .m_Timeout = Seconds(3),
                        .m_LatencyTarget = Milliseconds(500),
                        .m_Shares = {{.m_Service = ServiceId{Service}}},
                        .m_MaxAttempts = 2,
                        .m_Resumable = Resumable};
  };
  Configuration.m_Routes = {
      Route("safe", RequestKind::Safe, "desk", false),
      Route("unsafe", RequestKind::Unsafe, "desk", false),
      Route("stream", RequestKind::Stream, "llm", false),
      Route("resumable", RequestKind::Stream, "llm", true)};
  Configuration.m_Services.emplace(ServiceId{"desk"},
                                   ServiceSpec{.m_Id = ServiceId{"desk"}});
  Configuration.m_Services.emplace(
      ServiceId{"llm"},
      ServiceSpec{.m_Id = ServiceId{"llm"},
                  .m_Engine = EngineTraits{
                      .m_Slots = 8, .m_CacheCapacity = TokenCount{400'000}}});
  Configuration.m_KeysRequired = true;
  Configuration.m_Keys.emplace(
      "k", KeyHolder{.m_Organisation = OrganisationId{"o"}});
  m_Core.apply(std::move(Configuration));
  m_Core.recordConfirmation(m_Scheduler.now());
  auto Server = [](const std::string &Id, const std::string &Service,
                   EngineStage Stage) {
    return BackendRecord{.m_Id = BackendId{Id},
                         .m_Service = ServiceId{Service},
                         .m_Address = Id + ":1",
                         .m_DataCentre = DataCentreId{"a"},
                         .m_Slots = 8,
                         .m_Stage = Stage};
  };
  for (const auto *Id : {"d1", "d2", "d3"})
    m_Core.directory().put(Server(Id, "desk", EngineStage::None));
  for (const auto *Id : {"g1", "g2"})
    m_Core.directory().put(Server(Id, "llm", EngineStage::Decode));
  for (const auto *Id : {"p1", "p2"})
    m_Core.directory().put(Server(Id, "llm", EngineStage::Prefill));
}

inline auto ServingFixture::serve(const std::string &Route,
                                  const std::string &Key,
                                  std::optional<PromptShape> Prompt)
    -> std::shared_ptr<CallerView> {
  auto View = std::make_shared<CallerView>();
  m_Core.serve(std::make_shared<FakeExchange>(
      CallerRequest{.m_Id = RequestId{std::to_string(++m_LastId)},
                    .m_Host = "h",
                    .m_Path = "/" + Route + "/x",
                    .m_Key = Key,
                    .m_TimeLeft = Seconds(2),
                    .m_Prompt = std::move(Prompt),
                    .m_Method = "POST",
                    .m_Target = "/" + Route + "/x"},
      View));
  return View;
}

inline auto ServingFixture::movePlainRoutes(const std::string &Service)
    -> void {
  auto Moved = *m_Core.configuration();
  Moved.m_Revision = ConfigRevision{Moved.m_Revision.number() + 1};
  Moved.m_Services.insert_or_assign(ServiceId{Service},
                                    ServiceSpec{.m_Id = ServiceId{Service}});
  for (auto &Route : Moved.m_Routes)
    if (Route.m_Kind != RequestKind::Stream)
      Route.m_Shares = {{.m_Service = ServiceId{Service}}};
  m_Core.apply(std::move(Moved));
  for (auto Number = 1; Number <= 3; ++Number) {
    auto Record = *m_Core.directory().find(BackendId{"d1"});
    Record.m_Id = BackendId{Service + std::to_string(Number)};
    Record.m_Service = ServiceId{Service};
    Record.m_Address = Record.m_Id.text() + ":1";
    m_Core.directory().put(Record);
  }
}

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_SERVINGFAKES_H
