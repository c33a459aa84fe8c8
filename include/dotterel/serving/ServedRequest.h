//===- ServedRequest.h - One request from arrival to response ---*- C++ -*-===//
///
/// \file
/// Controls the attempts of one request: placement, prefill and decode,
/// retries, resumption and refusals.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVEDREQUEST_H
#define DOTTEREL_SERVING_SERVEDREQUEST_H

#include "dotterel/admission/OrganisationLimits.h"
#include "dotterel/base/DemandMeter.h"
#include "dotterel/routing/ServerRateLimits.h"
#include "dotterel/serving/CrashMonitor.h"
#include "dotterel/serving/EnginePlacement.h"
#include "dotterel/serving/EventSplitter.h"
#include "dotterel/serving/OffloadDecisions.h"
#include "dotterel/serving/RetryWindow.h"
#include "dotterel/serving/ServingMetrics.h"
#include "dotterel/serving/StreamOrigins.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

struct ServedRequestOptions {
  /// Time after its timeout at which a request is ended at the latest. A
  /// response that a server sends at the deadline arrives before that.
  Duration m_DeadlineGrace = Milliseconds(190);
  /// Interval of the checks for an unresponsive server.
  Duration m_ActivityCheckInterval = Milliseconds(200);
  /// Delay from which a check is skipped: a host that was busy or suspended has
  /// not read yet what the server has sent.
  Duration m_MaxActivityCheckDelay = Milliseconds(100);
  /// Maximum number of placements of a request, including those whose attempts
  /// failed before the request was executed.
  std::uint32_t m_MaxPlacements = 4;
  /// Maximum number of bytes buffered for a caller; a stream that exceeds it is
  /// aborted.
  std::size_t m_MaxUnsentBytes = std::size_t{1} << 20U;
  /// Maximum size of one event, which carries a few tokens. A stream that
  /// exceeds it counts as failed.
  std::size_t m_MaxEventBytes = std::size_t{256} << 10U;
  /// Maximum expected time to the first event, as a share of the time left.
  double m_MaxWaitShare = 0.9;
  /// Maximum time for which a prefilled prompt waits until a decode engine may
  /// receive it, as a share of the time left.
  double m_MaxPermitWaitShare = 0.25;
  /// Maximum retry-after time, as a share of the time left: callers that would
  /// retry later give up.
  double m_MaxRetryAfterShare = 0.3;
  Duration m_MinRetryAfter = Milliseconds(100);
  /// Minimum number of tokens of a prefilled prompt that is reported to other
  /// hosts.
  TokenCount m_MinReportedTokens{1024};
};

/// State that all requests of a host share.
struct ServingContext {
  Scheduler &m_Scheduler;
  Random &m_Random;
  BackendTransport &m_Transport;
  StreamOrigins *m_Origins = nullptr; ///< Never null.
  BackendDirectory &m_Directory;
  LoadTracker &m_Loads;
  OutlierDetector &m_Health;
  const Distance &m_Distance;
  PartCaches &m_Caches;
  PrefillSpeed &m_Speed;
  ServerSpeeds &m_Speeds;
  RetryWindow &m_Retries;
  ServerRateLimits &m_RateLimits;
  ServerAccess &m_Access;
  OrganisationLimits &m_OrganisationLimits;
  CrashMonitor &m_Crashes;
  ServingMetrics &m_Metrics;
  const ServerChoice &m_ServerChoice;
  const EnginePlacement &m_Placement;
  OffloadDecisions &m_Offloads;
  ServedRequestOptions m_Options;
  /// Called when the execution of a request of the organisation begins.
  std::function<void(const OrganisationId &)> m_CountUsage;
  /// Prefilled prompts to be reported to other hosts.
  std::vector<PromptRead> m_Reads;
  DemandMeter m_Demand;
  /// Ends with the context; for callbacks that can outlive it.
  std::shared_ptr<bool> m_Lifetime = std::make_shared<bool>(true);

  [[nodiscard]] auto view(const OffloadChoice &Offload = {}) const
      -> ChoiceView {
    return {.m_Directory = m_Directory,
            .m_Loads = m_Loads,
            .m_Health = m_Health,
            .m_Access = m_Access,
            .m_Speeds = m_Speeds,
            .m_Distance = m_Distance,
            .m_Random = m_Random,
            .m_Offload = Offload};
  }
};

/// Route, service and caller of a request, determined before it is served.
struct RequestParameters {
  std::shared_ptr<const ServingConfiguration> m_Configuration;
  const ServingRoute *m_Route = nullptr;  ///< In m_Configuration.
  const ServiceSpec *m_Service = nullptr; ///< In m_Configuration.
  OrganisationId m_Organisation;          ///< Empty on public routes.
  std::uint32_t m_Priority = 0;
  /// Empty if the organisation has no limit.
  std::optional<LimitCharge> m_Charge;
};

/// Serves one request.
///
/// \invariant A request whose route does not allow repetition is sent again
/// only if no earlier attempt may have executed it.
/// \invariant A refusal states "not run" only if no attempt may have executed
/// the request.
/// \invariant A request is charged once to its organisation's limit, whatever
/// its attempts, and not at all if none reached a server that may have run it.
/// \invariant All events of a stream, also over several requests of a caller
/// that takes it up again, are of servers of one service and software version.
/// A stream whose origin is not known is not taken up.
/// \invariant A request is not sent, nor its prefilled prompt passed on, while
/// one of its digests is quarantined, unless it is a trial.
class ServedRequest final : public AttemptListener {
public:
  /// \p Ended is called exactly once, as the last action of the request.
  ServedRequest(ServingContext &Context, CallerExchangePtr Exchange,
                RequestParameters Parameters, std::function<void()> Ended);
  ServedRequest(const ServedRequest &) = delete;
  auto operator=(const ServedRequest &) -> ServedRequest & = delete;
  ~ServedRequest() override;

  auto start() -> void;

  /// Ends the request because the process exits: with a refusal that says
  /// whether the request may have run, or by cutting a stream.
  auto endForShutdown() -> void;

  auto onBegin(const ResponseHead &Head, const ServerReport &Report)
      -> void override;
  auto onData(std::string_view Data) -> void override;
  auto onEnd(AttemptResult Result) -> void override;

private:
  struct Attempt {
    TransportId m_Id;
    BackendId m_Backend;
    std::string m_Address;
    DataCentreId m_DataCentre;
    std::uint64_t m_ServerStartedAt = 0; ///< As in BackendRecord.
    SoftwareVersion m_Version;
    AttemptPurpose m_Purpose = AttemptPurpose::Serve;
    /// Returns the server as it was chosen, as a target.
    [[nodiscard]] auto target() const -> SendTarget {
      return {.m_Backend = m_Backend,
              .m_Address = m_Address,
              .m_Start = m_ServerStartedAt,
              .m_StartsOrdered = true};
    }

    double m_PendingTokens = 0; ///< Prompt tokens not yet prefilled.
    double m_PlannedTokens = 0; ///< Prompt tokens expected to be prefilled.
    /// Whether the server was asked to fetch cached parts.
    bool m_FetchedParts = false;
    bool m_Begun = false; ///< Whether a streamed response has begun.
    MonotonicTime m_StartedAt;
    /// Expected time at a server of usual speed; zero if it is not known.
    Duration m_UsualTime{};
    /// Slowdown of the server that the choice was based on.
    double m_Slowdown = 1;
    /// KV cache that the server was asked to fetch.
    std::optional<CacheHandle> m_Cache;
  };

  /// Returns whether the caller takes up a stream that has begun before.
  [[nodiscard]] auto takesUpStream() const -> bool;
  /// Finds out which software began the stream, and places the request.
  auto takeUpStream() -> void;
  auto handleLookup(const StreamLookup &Found) -> void;
  /// Has the request served by the service that began the stream. \returns
  /// whether the route leads to it.
  [[nodiscard]] auto returnToService(const StreamOrigin &Origin) -> bool;
  /// Records which software has begun the stream, or goes on with it.
  auto recordOrigin() -> void;
  [[nodiscard]] auto view(const OffloadChoice &Offload = {}) const
      -> ChoiceView;
  auto place() -> void;
  auto placePrompt() -> void;
  auto placePlain() -> void;
  auto sendToDecodeEngine(const Attempt &PrefillAttempt) -> void;
  /// Waits until a pause ends or the request rate of a decode engine permits
  /// the request, unless that takes too long. \returns whether it waits.
  auto waitForDecodeEngine() -> bool;
  auto send(const BackendRecord &Target, AttemptPurpose Purpose, double Tokens,
            const std::string &FetchFrom, Duration UsualTime = {}) -> void;
  /// Returns the permission to send to \p Target.
  [[nodiscard]] auto admit(const BackendRecord &Target, AttemptPurpose Purpose)
      -> SendDecision;
  /// Goes on after the permission to send to \p Target was denied.
  auto handleDenial(const BackendRecord &Target, AttemptPurpose Purpose,
                    SendDenial Denial) -> void;
  /// Refuses the request if one of its digests is quarantined and it cannot be
  /// a trial. Returns whether it did.
  [[nodiscard]] auto refuseIfQuarantined() -> bool;
  auto completeAttempt(const AttemptResult &Result) -> Attempt;
  /// \param StatesRateLimit whether the report states the server's present
  /// limit: it is about that server, and has just been sent.
  auto recordReport(const Attempt &Source, const ServerReport &Report,
                    bool StatesRateLimit) -> void;
  /// Compares the time that work of \p Done has taken with that at other
  /// servers.
  auto recordWork(const Attempt &Done) -> void;
  /// Records what a response to \p Source states about whether its server takes
  /// requests. \param FromAddress whether only the address of the server is
  /// certain, since it is not the one that was expected there.
  auto recordNotice(const Attempt &Source, const ServerNotice &Notice,
                    bool FromAddress) -> void;
  /// Releases the KV cache that is not yet passed on.
  auto releaseCache() -> void;
  /// Has the server of an attempt checked whose connection ended.
  auto reportBroken(const Attempt &Ended) -> void;
  /// Counts the next attempt. Returns false if the retry budget is exhausted.
  [[nodiscard]] auto chargeAttempt() -> bool;
  /// Stops counting the latest attempt and refunds its charge.
  auto refundAttempt() -> void;
  auto prefillEnded(const Attempt &Ended, const AttemptResult &Result) -> void;
  auto serveEnded(const Attempt &Ended, AttemptResult Result) -> void;
  auto handleResponse(const Attempt &Ended, AttemptResult Result) -> void;
  auto retryNotExecuted(const Attempt &Ended, const AttemptResult &Result)
      -> void;
  auto retryAfterFailure(const Attempt &Ended, const AttemptResult &Result)
      -> void;
  [[nodiscard]] auto mayRepeat() const -> bool;
  auto refuse(RefusalCode Code, std::string Detail,
              std::optional<Duration> RetryAfter = std::nullopt) -> void;
  /// Refuses the request because no server may receive it. \p Reason says why,
  /// unless they will after a while.
  auto refuseWithoutServer(const char *Reason) -> void;
  auto finish(const std::string &Outcome, const std::string &Detail) -> void;
  auto handleDisconnect() -> void;
  auto handleDeadline() -> void;
  /// Sends a repeatable request to another server if the current one is
  /// unresponsive.
  auto checkActivity() -> void;
  /// Returns whether a server other than the current one may take the request.
  [[nodiscard]] auto hasAlternative(MonotonicTime Now) const -> bool;
  /// Places a stream again after a while that was taken from an unresponsive
  /// server. Returns false if that is not allowed.
  [[nodiscard]] auto placeLater() -> bool;
  auto scheduleActivityCheck() -> void;
  auto cancelAttempt() -> void;
  auto countUsage() -> void;
  auto recordPrefill(const BackendId &Engine) -> void;
  auto forward(std::string_view Data) -> void;
  /// Returns whether the attempt's latest event exceeds its limit.
  [[nodiscard]] auto eventTooLong() const -> bool;
  /// Cancels the attempt and handles it as a failed one.
  auto failAttempt(std::string Detail) -> void;
  [[nodiscard]] auto timeLeft() const -> Duration;
  [[nodiscard]] auto retryAfter(Duration Wanted) -> Duration;
  /// Returns a randomised retry-after time not before \p Opening, unless
  /// callers would give up until then.
  [[nodiscard]] auto retryAfterOpening(Duration Opening) -> Duration;

  ServingContext &m_Context;
  CallerExchangePtr m_Exchange;
  RequestParameters m_Parameters;
  std::function<void()> m_OnEnded;
  RequestDigests m_Digests;
  std::unique_ptr<CrashTrial> m_Trial;
  bool m_TrialFailed = false;
  MonotonicTime m_ArrivedAt;
  MonotonicTime m_Deadline;
  std::optional<TimerId> m_DeadlineTimer;
  std::optional<TimerId> m_ActivityTimer;
  std::optional<Attempt> m_Attempt;
  /// Prefilled KV cache that is not yet passed to a decode engine.
  std::optional<CacheHandle> m_Cache;
  Attempt m_PrefillAttempt; ///< Attempt that prefilled m_Cache.
  /// Whether m_Cache was passed to a second engine.
  bool m_CacheReoffered = false;
  std::set<BackendId> m_Excluded;
  /// Of the first placement only; later ones go wherever a server is left.
  OffloadChoice m_Offload;
  std::uint32_t m_Placements = 0;
  std::uint32_t m_Runs = 0; ///< Attempts that may have executed the request.
  /// Attempts that count against the retry budget: all except one accepted
  /// prefill. The first one is not charged.
  std::uint32_t m_CountedAttempts = 0;
  bool m_PrefillAccepted = false;
  /// Whether the latest attempt was charged to the budget.
  bool m_Charged = false;
  /// Whether an attempt was cancelled because its server was unresponsive.
  bool m_TakenFromServer = false;
  /// When the next activity check is due.
  MonotonicTime m_ActivityCheckAt;
  /// Whether the next attempt is already charged.
  bool m_ChargedInAdvance = false;
  bool m_Streaming = false;
  /// Software that began the stream; empty until it is known.
  std::optional<StreamOrigin> m_Origin;
  std::optional<StreamLookupId> m_Lookup;
  /// Whether the response that the caller receives consists of events.
  bool m_EventStream = false;
  bool m_FirstDataReceived = false;
  bool m_UsageCounted = false;
  /// Whether an attempt, also a prefill, may have reached its server.
  bool m_MayHaveReached = false;
  bool m_Done = false;
  EventSplitter m_Events;
  /// Servers and outcomes of the attempts, for the log.
  std::string m_AttemptLog;
  Duration m_Estimate{};
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVEDREQUEST_H
