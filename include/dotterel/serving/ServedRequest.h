//===- ServedRequest.h - One request from arrival to answer -----*- C++ -*-===//
///
/// \file
/// The attempts of one request: placement, prefill and generation, retries,
/// resumption and refusals.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVEDREQUEST_H
#define DOTTEREL_SERVING_SERVEDREQUEST_H

#include "dotterel/base/DemandMeter.h"
#include "dotterel/serving/EnginePlacement.h"
#include "dotterel/serving/EventSplitter.h"
#include "dotterel/serving/RetryWindow.h"
#include "dotterel/serving/ServingMetrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

struct ServedRequestOptions {
  /// A request has its final answer so long after its time-out at the latest;
  /// a server's own answer at its deadline arrives before that.
  Duration m_ExpirySlack = Milliseconds(190);
  /// Pause between looks at whether an attempt's server is silent.
  Duration m_SilenceInterval = Milliseconds(200);
  /// Connections and redirections that failed before anything ran.
  std::uint32_t m_MostPlacements = 4;
  /// A stream whose caller has not taken so much is ended.
  std::size_t m_MostBacklogBytes = std::size_t{1} << 20U;
  /// Share of the time left that a request may be expected to wait.
  double m_FeasibleShare = 0.9;
  /// Callers return within this share of their time; later ones give up.
  double m_ReturnShare = 0.3;
  Duration m_ShortestReturn = Milliseconds(100);
  /// Prompts of so many tokens are told to other hosts when they were read.
  TokenCount m_ToldTokens{1024};
};

/// What requests share on a host.
struct ServingContext {
  Scheduler &m_Scheduler;
  Random &m_Random;
  BackendTransport &m_Transport;
  BackendDirectory &m_Directory;
  LoadBook &m_Loads;
  OutlierDetector &m_Health;
  const Distance &m_Distance;
  PartCaches &m_Caches;
  PrefillSpeed &m_Speed;
  RetryWindow &m_Retries;
  ServingMetrics &m_Metrics;
  const ServerChoice &m_ServerChoice;
  const EnginePlacement &m_Placement;
  ServedRequestOptions m_Options;
  /// A request of the organisation began to run.
  std::function<void(const OrganisationId &)> m_CountUsage;
  /// Prompts that engines have read, for the other hosts.
  std::vector<PromptRead> m_Reads;
  DemandMeter m_Demand;

  [[nodiscard]] auto view() const -> ChoiceView {
    return {.m_Directory = m_Directory,
            .m_Loads = m_Loads,
            .m_Health = m_Health,
            .m_Distance = m_Distance,
            .m_Random = m_Random};
  }
};

/// What was found out about a request before it is served.
struct RequestTerms {
  std::shared_ptr<const ServingConfiguration> m_Configuration;
  const ServingRoute *m_Route = nullptr;  ///< In m_Configuration.
  const ServiceSpec *m_Service = nullptr; ///< In m_Configuration.
  OrganisationId m_Organisation;          ///< Empty on open routes.
  std::uint32_t m_Priority = 0;
};

/// One request.
///
/// \invariant A request whose route does not let it be repeated is sent on only
/// as long as no earlier attempt may have run it.
/// \invariant A refusal says "not run" only when no attempt may have run it.
class ServedRequest final : public AttemptListener {
public:
  /// \p Ended is called once, as the last thing.
  ServedRequest(ServingContext &Context, CallerExchangePtr Exchange,
                RequestTerms Terms, std::function<void()> Ended);
  ServedRequest(const ServedRequest &) = delete;
  auto operator=(const ServedRequest &) -> ServedRequest & = delete;
  ~ServedRequest() override;

  auto start() -> void;

  auto onBegin(const AnswerHead &Head, const std::optional<LoadReport> &Load)
      -> void override;
  auto onData(std::string_view Data) -> void override;
  auto onEnd(AttemptResult Result) -> void override;

private:
  struct Attempt {
    TransportId m_Id;
    BackendId m_Backend;
    std::string m_Address;
    DataCentreId m_DataCentre;
    AttemptPurpose m_Purpose = AttemptPurpose::Serve;
    double m_Tokens = 0;    ///< Prompt tokens still to be read.
    double m_Planned = 0;   ///< Prompt tokens that were expected to be read.
    bool m_Fetched = false; ///< Whether cached parts were to be fetched.
    MonotonicTime m_Since;
    std::optional<CacheHandle> m_Cache; ///< That it was to take.
  };

  auto place() -> void;
  auto placePrompt() -> void;
  auto placePlain() -> void;
  auto decodeElsewhere(const Attempt &Reader) -> void;
  auto send(const BackendRecord &Target, AttemptPurpose Purpose, double Tokens,
            const std::string &FetchFrom) -> void;
  auto settleAttempt(const AttemptResult &Result) -> Attempt;
  /// Counts the next attempt; false when the budget does not allow it.
  [[nodiscard]] auto payFor() -> bool;
  /// The newest attempt does not count after all.
  auto takeBack() -> void;
  auto prefillEnded(const Attempt &Ended, const AttemptResult &Result) -> void;
  auto serveEnded(const Attempt &Ended, AttemptResult Result) -> void;
  auto answered(const Attempt &Ended, AttemptResult Result) -> void;
  auto retryUnrun(const Attempt &Ended, const AttemptResult &Result) -> void;
  auto retryAfterFailure(const Attempt &Ended, const AttemptResult &Result)
      -> void;
  [[nodiscard]] auto mayRepeat() const -> bool;
  auto refuse(RefusalCode Code, std::string Detail,
              std::optional<Duration> RetryAfter = std::nullopt) -> void;
  auto finish(const std::string &Outcome, const std::string &Detail) -> void;
  auto callerLeft() -> void;
  auto expire() -> void;
  /// Sends a request that may be repeated to another server when its own one
  /// is silent.
  auto watchSilence() -> void;
  auto armSilence() -> void;
  auto dropAttempt() -> void;
  auto countRun() -> void;
  auto noteRead(const BackendId &Engine) -> void;
  auto forward(std::string_view Data) -> void;
  [[nodiscard]] auto timeLeft() const -> Duration;
  [[nodiscard]] auto returnTime(Duration Wanted) -> Duration;

  ServingContext &m_Context;
  CallerExchangePtr m_Exchange;
  RequestTerms m_Terms;
  std::function<void()> m_Ended;
  MonotonicTime m_ArrivedAt;
  MonotonicTime m_Deadline;
  std::optional<TimerId> m_Timer;
  std::optional<TimerId> m_SilenceTimer;
  std::optional<Attempt> m_Attempt;
  std::optional<CacheHandle> m_Cache; ///< Read elsewhere and not yet taken.
  Attempt m_Reader;                   ///< That has read it.
  bool m_CacheTried = false; ///< Whether it was offered to a second engine.
  std::set<BackendId> m_Excluded;
  std::uint32_t m_Placements = 0;
  std::uint32_t m_Runs = 0; ///< Attempts that may have run the request.
  /// Attempts that count against the budget: all but one accepted prefill. The
  /// first is free.
  std::uint32_t m_Arrivals = 0;
  bool m_PrefillAccepted = false;
  bool m_Paid = false;    ///< Whether the newest attempt was charged.
  bool m_Prepaid = false; ///< The next attempt was charged to the budget.
  bool m_Streaming = false;
  bool m_FirstSeen = false;
  bool m_Counted = false;
  bool m_Done = false;
  EventSplitter m_Events;
  std::string m_Trail; ///< Servers and ends of the attempts, for the log.
  Duration m_Estimate{};
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVEDREQUEST_H
