#include "dotterel/serving/ServingMetrics.h"

#include "dotterel/io/MemoryBudget.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace dotterel {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

auto counters(Registry &Target, const char *Name, const char *Help)
    -> Family<Counter> & {
  return BuildCounter().Name(Name).Help(Help).Register(Target);
}

auto gauge(Registry &Target, const char *Name, const char *Help) -> Gauge & {
  return BuildGauge().Name(Name).Help(Help).Register(Target).Add({});
}

/// Bucket limits in seconds, from less than one network round trip to the
/// longest timeouts in use.
const auto LatencyBuckets = Histogram::BucketBoundaries{
    0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2, 3, 5};

auto seconds(Duration Value) -> double {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

auto nameOf(RequestKind Kind) -> const char * {
  switch (Kind) {
  case RequestKind::Safe:
    return "safe";
  case RequestKind::Unsafe:
    return "unsafe";
  case RequestKind::Stream:
    return "stream";
  }
  return "";
}

auto nameOf(AttemptPurpose Purpose) -> const char * {
  return Purpose == AttemptPurpose::Serve ? "serve" : "prefill";
}

auto nameOf(AttemptOutcome Outcome) -> const char * {
  switch (Outcome) {
  case AttemptOutcome::Complete:
    return "whole";
  case AttemptOutcome::NotSent:
    return "not_sent";
  case AttemptOutcome::NotExecuted:
    return "not_executed";
  case AttemptOutcome::WrongServer:
    return "wrong_server";
  case AttemptOutcome::Failed:
    return "broken";
  case AttemptOutcome::TimedOut:
    return "timed_out";
  }
  return "";
}

struct ServingMetrics::Impl {
  Registry m_Registry;
  Family<Counter> &m_Requests =
      counters(m_Registry, "dotterel_serving_requests_total",
               "Requests that ended, by kind and outcome.");
  Family<Counter> &m_Attempts =
      counters(m_Registry, "dotterel_serving_attempts_total",
               "Attempts at backend servers, by purpose and end.");
  Family<Histogram> &m_FirstByte =
      BuildHistogram()
          .Name("dotterel_serving_first_answer_seconds")
          .Help("Time to the first byte of a server's answer, by kind.")
          .Register(m_Registry);
  Family<Histogram> &m_CompleteResponse =
      BuildHistogram()
          .Name("dotterel_serving_whole_answer_seconds")
          .Help("Time to the end of a whole answer, by kind.")
          .Register(m_Registry);
  Histogram &m_LoopDelay =
      BuildHistogram()
          .Name("dotterel_serving_loop_delay_seconds")
          .Help("Delay of a periodic check of the event loop.")
          .Register(m_Registry)
          .Add({}, LatencyBuckets);
  Counter &m_SkippedResponses =
      counters(m_Registry, "dotterel_serving_skipped_responses_total",
               "Responses of servers that belonged to another request than the "
               "one that was sent.")
          .Add({});
  Family<Counter> &m_TakeUps =
      counters(m_Registry, "dotterel_serving_streams_taken_up_total",
               "Streams that callers took up again, by how their origin was "
               "found.");
  Gauge &m_StreamOrigins = gauge(m_Registry, "dotterel_serving_stream_origins",
                                 "Streams whose origin this host keeps.");
  Counter &m_LostServers =
      counters(m_Registry, "dotterel_serving_lost_servers_total",
               "Servers that accepted no connections after an attempt at them "
               "broke.")
          .Add({});
  Gauge &m_QuarantinedDigests =
      gauge(m_Registry, "dotterel_serving_quarantined_digests",
            "Requests and parts of prompts that are refused since servers "
            "crashed while they ran.");
  Gauge &m_RateLimitedServers =
      gauge(m_Registry, "dotterel_serving_rate_limited_servers",
            "Servers that limit the rate of their requests.");
  Gauge &m_LeavingServers =
      gauge(m_Registry, "dotterel_serving_leaving_servers",
            "Servers that have said that they are about to end.");
  Gauge &m_PausedServers =
      gauge(m_Registry, "dotterel_serving_paused_servers",
            "Servers that want no requests from this host for a while.");
  Gauge &m_SlowServers =
      gauge(m_Registry, "dotterel_serving_slow_servers",
            "Servers where work takes at least 1.5 times as long as usual.");
  Family<Counter> &m_SendDenials =
      counters(m_Registry, "dotterel_serving_send_denials_total",
               "Servers that were not sent a request, and requests that were "
               "not sent, by reason.");
  Family<Counter> &m_Offloads =
      counters(m_Registry, "dotterel_serving_offload_requests_total",
               "Requests by the decision about leaving the data centre and by "
               "distance.");
  Gauge &m_PressureHere =
      gauge(m_Registry, "dotterel_serving_offload_pressure_here",
            "Highest pressure of a service in this data centre; 1: full.");
  Gauge &m_PressureElsewhere =
      gauge(m_Registry, "dotterel_serving_offload_occupancy_elsewhere",
            "Occupancy of a service in the emptiest other data centre, the "
            "highest of all services.");
  Gauge &m_StoreEra =
      gauge(m_Registry, "dotterel_serving_store_era",
            "Newest history of the store that was observed; it rises when the "
            "store is restored from a copy.");
  Gauge &m_MemoryUsed =
      gauge(m_Registry, "dotterel_serving_caller_memory_bytes",
            "Bytes held for callers: requests, and responses not read.");
  Gauge &m_MemoryPeak =
      gauge(m_Registry, "dotterel_serving_caller_memory_peak_bytes",
            "Most bytes held for callers at once.");
  Gauge &m_MemoryBudget =
      gauge(m_Registry, "dotterel_serving_caller_memory_budget_bytes",
            "Bytes that may be held for callers.");
  Family<Gauge> &m_MemoryRefusals =
      prometheus::BuildGauge()
          .Name("dotterel_serving_caller_memory_refusals")
          .Help("Refusals and closes for memory since the start, by reason.")
          .Register(m_Registry);
  Gauge &m_Active = gauge(m_Registry, "dotterel_serving_active_requests",
                          "Requests being handled.");
  Gauge &m_ConfigRevision =
      gauge(m_Registry, "dotterel_serving_config_revision",
            "Revision of the configuration in force.");
  Gauge &m_ConfirmationAge =
      gauge(m_Registry, "dotterel_serving_evidence_age_seconds",
            "Age of the newest answer of the store on the configuration.");
  Family<Counter> &m_DutyCalls =
      counters(m_Registry, "dotterel_serving_duty_calls_total",
               "Usage reports and orders sent, by matter and outcome.");
  Family<Counter> &m_OrderEvents =
      counters(m_Registry, "dotterel_serving_order_events_total",
               "Orders and reports held back or sent again, by matter and "
               "event.");
  Family<Counter> &m_DutiesGivenUp =
      counters(m_Registry, "dotterel_serving_duty_given_up_total",
               "Times that this host gave the fleet duty up, by reason.");
  Gauge &m_DutyHeld = gauge(m_Registry, "dotterel_serving_duty_held",
                            "Whether this host holds the fleet duty.");
  Family<Counter> &m_LimitDenials =
      counters(m_Registry, "dotterel_serving_limit_denials_total",
               "Requests refused by the limit of their organisation.");
  Gauge &m_Limits = gauge(m_Registry, "dotterel_serving_limited_organisations",
                          "Organisations with a limit.");
  Gauge &m_LimitsInUse =
      gauge(m_Registry, "dotterel_serving_limits_in_use",
            "Organisations with a limit that this host has lately served.");
  Gauge &m_LimitUse =
      gauge(m_Registry, "dotterel_serving_limit_use",
            "Highest known use of a limit, as a share of the limit.");
  Gauge &m_LimitOwnPart = gauge(m_Registry, "dotterel_serving_limit_own_part",
                                "Part of that use which is this host's.");
  Gauge &m_LimitUnheardHosts =
      gauge(m_Registry, "dotterel_serving_limit_unheard_hosts",
            "Registered hosts whose share of the limits is reserved.");
  Counter &m_BrokenResponses =
      counters(m_Registry, "dotterel_serving_broken_responses_total",
               "Responses that began to arrive and were incomplete or not "
               "valid.")
          .Add({});
  Gauge &m_LinesDropped =
      gauge(m_Registry, "dotterel_serving_log_lines_dropped",
            "Log lines dropped since the start, since their reader was slow "
            "or their rate over its bound.");
  Gauge &m_DatagramsDropped =
      gauge(m_Registry, "dotterel_serving_datagrams_dropped",
            "Datagrams to other hosts that the system did not take.");
};

ServingMetrics::ServingMetrics() : m_Impl(std::make_unique<Impl>()) {}
ServingMetrics::~ServingMetrics() = default;

auto ServingMetrics::countRequest(RequestKind Kind, const std::string &Outcome)
    -> void {
  m_Impl->m_Requests.Add({{"kind", nameOf(Kind)}, {"outcome", Outcome}})
      .Increment();
}

auto ServingMetrics::countAttempt(AttemptPurpose Purpose,
                                  AttemptOutcome Outcome) -> void {
  m_Impl->m_Attempts
      .Add({{"purpose", nameOf(Purpose)}, {"end", nameOf(Outcome)}})
      .Increment();
}

auto ServingMetrics::countOffload(const char *Reason, const char *Distance)
    -> void {
  m_Impl->m_Offloads.Add({{"reason", Reason}, {"distance", Distance}})
      .Increment();
}

auto ServingMetrics::setOffloadPressure(double Here, double Elsewhere) -> void {
  m_Impl->m_PressureHere.Set(Here);
  m_Impl->m_PressureElsewhere.Set(Elsewhere);
}

auto ServingMetrics::observeFirstByte(RequestKind Kind, Duration Value)
    -> void {
  m_Impl->m_FirstByte.Add({{"kind", nameOf(Kind)}}, LatencyBuckets)
      .Observe(seconds(Value));
}

auto ServingMetrics::observeCompleteResponse(RequestKind Kind, Duration Value)
    -> void {
  m_Impl->m_CompleteResponse.Add({{"kind", nameOf(Kind)}}, LatencyBuckets)
      .Observe(seconds(Value));
}

auto ServingMetrics::observeLoopDelay(Duration Value) -> void {
  m_Impl->m_LoopDelay.Observe(seconds(Value));
}

auto ServingMetrics::countLostServer() -> void {
  m_Impl->m_LostServers.Increment();
}

auto ServingMetrics::setQuarantinedDigests(double Count) -> void {
  m_Impl->m_QuarantinedDigests.Set(Count);
}

auto ServingMetrics::setRateLimitedServers(double Count) -> void {
  m_Impl->m_RateLimitedServers.Set(Count);
}

auto ServingMetrics::setLeavingServers(double Count) -> void {
  m_Impl->m_LeavingServers.Set(Count);
}

auto ServingMetrics::setPausedServers(double Count) -> void {
  m_Impl->m_PausedServers.Set(Count);
}

auto ServingMetrics::setSlowServers(double Count) -> void {
  m_Impl->m_SlowServers.Set(Count);
}

auto ServingMetrics::countSkippedResponses(std::uint32_t Count) -> void {
  m_Impl->m_SkippedResponses.Increment(Count);
}

auto ServingMetrics::countTakeUp(const char *Found) -> void {
  m_Impl->m_TakeUps.Add({{"found", Found}}).Increment();
}

auto ServingMetrics::setStreamOrigins(double Count) -> void {
  m_Impl->m_StreamOrigins.Set(Count);
}

auto ServingMetrics::countSendDenial(SendDenial Denial) -> void {
  m_Impl->m_SendDenials.Add({{"reason", nameOf(Denial)}}).Increment();
}

auto ServingMetrics::countLimitDenial(LimitDenial Denial) -> void {
  m_Impl->m_LimitDenials.Add({{"reason", nameOf(Denial)}}).Increment();
}

auto ServingMetrics::setLimitFigures(const LimitFigures &Figures) -> void {
  m_Impl->m_Limits.Set(static_cast<double>(Figures.m_Limits));
  m_Impl->m_LimitsInUse.Set(static_cast<double>(Figures.m_InUse));
  m_Impl->m_LimitUse.Set(Figures.m_MaxUse);
  m_Impl->m_LimitOwnPart.Set(Figures.m_OwnPart);
  m_Impl->m_LimitUnheardHosts.Set(static_cast<double>(Figures.m_UnheardHosts));
}

auto ServingMetrics::setStoreEra(double Era) -> void {
  m_Impl->m_StoreEra.Set(Era);
}

auto ServingMetrics::setCallerMemory(const MemoryBudget &Memory) -> void {
  m_Impl->m_MemoryUsed.Set(static_cast<double>(Memory.usedBytes()));
  m_Impl->m_MemoryBudget.Set(static_cast<double>(Memory.limitBytes()));
  const auto &Counts = Memory.counts();
  m_Impl->m_MemoryPeak.Set(static_cast<double>(Counts.m_PeakBytes));
  auto Set = [this](const char *Reason, std::uint64_t Count) {
    m_Impl->m_MemoryRefusals.Add({{"reason", Reason}})
        .Set(static_cast<double>(Count));
  };
  Set("no_room", Counts.m_Refused);
  Set("yielded", Counts.m_GivenUp);
}

auto ServingMetrics::setActive(double Count) -> void {
  m_Impl->m_Active.Set(Count);
}

auto ServingMetrics::setConfigRevision(double Revision) -> void {
  m_Impl->m_ConfigRevision.Set(Revision);
}

auto ServingMetrics::setConfirmationAge(double Seconds) -> void {
  m_Impl->m_ConfirmationAge.Set(Seconds);
}

auto ServingMetrics::setDutyHeld(bool Held) -> void {
  m_Impl->m_DutyHeld.Set(Held ? 1 : 0);
}

auto ServingMetrics::countDutyCall(const char *Matter, const char *Outcome)
    -> void {
  m_Impl->m_DutyCalls.Add({{"matter", Matter}, {"outcome", Outcome}})
      .Increment();
}

auto ServingMetrics::countOrderEvent(const char *Matter, const char *Event)
    -> void {
  m_Impl->m_OrderEvents.Add({{"matter", Matter}, {"event", Event}}).Increment();
}

auto ServingMetrics::countDutyGivenUp(const char *Reason) -> void {
  m_Impl->m_DutiesGivenUp.Add({{"reason", Reason}}).Increment();
}

auto ServingMetrics::setBrokenResponses(std::uint64_t Total) -> void {
  m_Impl->m_BrokenResponses.Increment(static_cast<double>(Total) -
                                      m_Impl->m_BrokenResponses.Value());
}

auto ServingMetrics::setLogLinesDropped(double Count) -> void {
  m_Impl->m_LinesDropped.Set(Count);
}

auto ServingMetrics::setDatagramsDropped(double Count) -> void {
  m_Impl->m_DatagramsDropped.Set(Count);
}

auto ServingMetrics::text() const -> std::string {
  return prometheus::TextSerializer().Serialize(m_Impl->m_Registry.Collect());
}

} // namespace dotterel
