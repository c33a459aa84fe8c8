#include "dotterel/gate/GateProcess.h"

#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/routing/RoutingPolicy.h"
#include "dotterel/settings/CommonSettings.h"

#include <utility>

namespace dotterel {

auto gateSettings() -> Settings {
  auto Declarations = commonSettings();
  auto GateOnly = std::vector<Setting>{
      {.m_Name = "listen",
       .m_Kind = SettingKind::Address,
       .m_Default = "127.0.0.1:8080",
       .m_Help = "Address for callers."},
      {.m_Name = "admin-listen",
       .m_Kind = SettingKind::Address,
       .m_Default = "127.0.0.1:0",
       .m_Help = "Address for operators. Port 0: any."},
      {.m_Name = "key-secret",
       .m_Help = "Secret under which keys are digested; the same everywhere.",
       .m_Required = true,
       .m_Secret = true},
      {.m_Name = "operator-token",
       .m_Help = "Token that operators send.",
       .m_Required = true,
       .m_Secret = true},
      {.m_Name = "routing-policy",
       .m_Kind = SettingKind::Choice,
       .m_Default = "expected-first-token",
       .m_Help = "How an engine is chosen.",
       .m_Choices = routingPolicyNames()},
      {.m_Name = "waiting-queue",
       .m_Kind = SettingKind::Choice,
       .m_Default = "fair",
       .m_Help = "Order of requests that wait.",
       .m_Choices = waitingQueueNames()},
      integerSetting("usage-flush-ms", "5000",
                     "Pause between writes of usage to the store, in "
                     "milliseconds.",
                     100, 60'000),
      integerSetting("max-body-bytes", "8388608",
                     "Largest body of a request, in bytes.", 1024, 1 << 28),
      integerSetting("memory-mb", "0",
                     "Memory of this process, in MiB, of which callers' "
                     "requests and answers get a share. 0: that of the system.",
                     0, 1 << 24),
      integerSetting("max-connections", "2000",
                     "Open connections of callers at most.", 1, 100'000),
      integerSetting("idle-timeout-seconds", "30",
                     "A connection without progress is closed after this time, "
                     "in seconds.",
                     1, 3600),
      integerSetting(
          "stall-timeout-ms", "15000",
          "An engine's stream without progress is given up after this "
          "time, in milliseconds.",
          100, 600'000),
      integerSetting("request-timeout-ms", "600000",
                     "Longest time on an engine, in milliseconds.", 100,
                     3'600'000),
      integerSetting("drain-lag-ms", "5000",
                     "After a stop is asked for, callers are taken in for this "
                     "time, until the balancer has noticed, in milliseconds.",
                     0, 120'000),
      integerSetting("drain-timeout-ms", "600000",
                     "Longest wait for requests in progress when stopping, in "
                     "milliseconds.",
                     0, 3'600'000),
  };
  Declarations.insert(Declarations.end(), GateOnly.begin(), GateOnly.end());
  return {"dotterel-gate",
          "Serves callers: checks keys, admits, routes and counts usage.",
          std::move(Declarations)};
}

} // namespace dotterel
