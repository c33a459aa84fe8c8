#include "dotterel/gate/Metrics.h"

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

auto counterFamily(Registry &Target, const char *Name, const char *Help)
    -> Family<Counter> & {
  return BuildCounter().Name(Name).Help(Help).Register(Target);
}

auto gauge(Registry &Target, const char *Name, const char *Help) -> Gauge & {
  return BuildGauge().Name(Name).Help(Help).Register(Target).Add({});
}

auto histogram(Registry &Target, const char *Name, const char *Help,
               const Histogram::BucketBoundaries &Buckets) -> Histogram & {
  return BuildHistogram().Name(Name).Help(Help).Register(Target).Add({},
                                                                     Buckets);
}

} // namespace

struct GateMetrics::Impl {
  Registry m_Registry;
  Family<Counter> &m_CompleteResponses =
      counterFamily(m_Registry, "dotterel_answers_total",
                    "Whole answers given, by kind of work.");
  Family<Counter> &m_Refusals = counterFamily(
      m_Registry, "dotterel_refusals_total", "Errors given, by code.");
  Family<Counter> &m_SendDenials = counterFamily(
      m_Registry, "dotterel_send_denials_total",
      "Calls to backend servers that were not permitted, by reason.");
  Counter &m_Retries =
      counterFamily(m_Registry, "dotterel_retries_total",
                    "Attempts after the first one of a request.")
          .Add({});
  Counter &m_BackendFailures =
      counterFamily(m_Registry, "dotterel_backend_failures_total",
                    "Attempts that failed at a backend server.")
          .Add({});
  Counter &m_BrokenResponses =
      counterFamily(m_Registry, "dotterel_broken_responses_total",
                    "Responses that began to arrive and were incomplete or not "
                    "valid.")
          .Add({});
  Family<Counter> &m_Tokens = counterFamily(m_Registry, "dotterel_tokens_total",
                                            "Tokens billed, by kind.");
  Counter &m_Prefill = m_Tokens.Add({{"kind", "prefill"}});
  Counter &m_Decode = m_Tokens.Add({{"kind", "decode"}});
  Histogram &m_FirstToken =
      histogram(m_Registry, "dotterel_first_token_seconds",
                "Time from a request's arrival to its first token.",
                {0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5, 15, 60});
  Histogram &m_TokenGap = histogram(
      m_Registry, "dotterel_token_gap_seconds", "Time between tokens.",
      {0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.25, 1});
  Gauge &m_Waiting = gauge(m_Registry, "dotterel_waiting_requests",
                           "Requests that wait for a backend server.");
  Gauge &m_MemoryUsed =
      gauge(m_Registry, "dotterel_caller_memory_bytes",
            "Bytes held for callers: requests, and responses not read.");
  Gauge &m_MemoryPeak = gauge(m_Registry, "dotterel_caller_memory_peak_bytes",
                              "Most bytes held for callers at once.");
  Gauge &m_MemoryBudget =
      gauge(m_Registry, "dotterel_caller_memory_budget_bytes",
            "Bytes that may be held for callers.");
  Family<Gauge> &m_MemoryRefusals =
      prometheus::BuildGauge()
          .Name("dotterel_caller_memory_refusals")
          .Help("Refusals and closes for memory since the start, by reason.")
          .Register(m_Registry);
  Gauge &m_Active =
      gauge(m_Registry, "dotterel_active_requests", "Requests being handled.");
  Gauge &m_ConfigRevision = gauge(m_Registry, "dotterel_config_revision",
                                  "Revision of the configuration in force.");
  Gauge &m_ConfirmationAge =
      gauge(m_Registry, "dotterel_config_evidence_age_seconds",
            "Age of the newest known read of the store.");
  Gauge &m_UnreplicatedUsage =
      gauge(m_Registry, "dotterel_usage_uncopied",
            "Counts answered without a copy on another host.");
};

GateMetrics::GateMetrics() : m_Impl(std::make_unique<Impl>()) {}
GateMetrics::~GateMetrics() = default;

auto GateMetrics::countCompleteResponse(const std::string &Kind) -> void {
  m_Impl->m_CompleteResponses.Add({{"kind", Kind}}).Increment();
}

auto GateMetrics::countRefusal(const std::string &Code) -> void {
  m_Impl->m_Refusals.Add({{"code", Code}}).Increment();
}

auto GateMetrics::countSendDenial(SendDenial Denial) -> void {
  m_Impl->m_SendDenials.Add({{"reason", nameOf(Denial)}}).Increment();
}

auto GateMetrics::countRetry() -> void { m_Impl->m_Retries.Increment(); }

auto GateMetrics::countBackendFailure() -> void {
  m_Impl->m_BackendFailures.Increment();
}

auto GateMetrics::observeFirstToken(double Seconds) -> void {
  m_Impl->m_FirstToken.Observe(Seconds);
}

auto GateMetrics::observeTokenGap(double Seconds) -> void {
  m_Impl->m_TokenGap.Observe(Seconds);
}

auto GateMetrics::countTokens(std::uint64_t Prefill, std::uint64_t Decode)
    -> void {
  m_Impl->m_Prefill.Increment(static_cast<double>(Prefill));
  m_Impl->m_Decode.Increment(static_cast<double>(Decode));
}

auto GateMetrics::setWaitingRequests(double Count) -> void {
  m_Impl->m_Waiting.Set(Count);
}

auto GateMetrics::setCallerMemory(const MemoryBudget &Memory) -> void {
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

auto GateMetrics::setActiveRequests(double Count) -> void {
  m_Impl->m_Active.Set(Count);
}

auto GateMetrics::setConfigRevision(double Revision) -> void {
  m_Impl->m_ConfigRevision.Set(Revision);
}

auto GateMetrics::setConfirmationAge(double Seconds) -> void {
  m_Impl->m_ConfirmationAge.Set(Seconds);
}

auto GateMetrics::setUnreplicatedUsage(double Count) -> void {
  m_Impl->m_UnreplicatedUsage.Set(Count);
}

auto GateMetrics::setBrokenResponses(std::uint64_t Total) -> void {
  m_Impl->m_BrokenResponses.Increment(static_cast<double>(Total) -
                                      m_Impl->m_BrokenResponses.Value());
}

auto GateMetrics::prometheusText() const -> std::string {
  return prometheus::TextSerializer().Serialize(m_Impl->m_Registry.Collect());
}

} // namespace dotterel
