#include "dotterel/base/Log.h"
#include "dotterel/host/HostProcess.h"
#include "dotterel/io/MemoryBudget.h"
#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/io/UdpPort.h"
#include "dotterel/settings/Settings.h"
#include "platform/CallerRequestHandler.h"
#include "platform/EngineTransport.h"
#include "platform/NodeSettings.h"
#include "platform/PlatformFleetCalls.h"
#include "platform/PlatformRecords.h"
#include "platform/PlatformStore.h"

#include <algorithm>

namespace {

using namespace dotterel;

auto declaredSettings() -> Settings {
  return {"dotterel-host",
          "Serves callers on the platform: one process on each host.",
          {{.m_Name = "platform-settings",
            .m_Default = platform::nodeSettingsPath(),
            .m_Help = "The platform's settings file."},
           {.m_Name = "metrics-listen",
            .m_Help = "Address for metrics, IP:PORT. Empty: none."},
           integerSetting("fleet-percent", "100",
                          "Servers ordered, in percent of the most allowed.", 1,
                          100),
           integerSetting("ordinary-percent", "17",
                          "Ordered servers that cannot be reclaimed, in "
                          "percent.",
                          0, 100),
           integerSetting("prefill-percent", "50",
                          "Engines of a data centre that read prompts for "
                          "others, in percent.",
                          0, 90),
           {.m_Name = "offload",
            .m_Kind = SettingKind::Switch,
            .m_Default = "false",
            .m_Help = "Whether requests leave a data centre under pressure by "
                      "shares, as far as others have free places."},
           integerSetting("offload-leave-percent", "90",
                          "Pressure from which requests leave, in percent of "
                          "the slots or of the latency target.",
                          10, 1000),
           integerSetting("offload-return-percent", "70",
                          "Pressure below which requests stay again, and up to "
                          "which a data centre takes requests of others.",
                          0, 1000),
           integerSetting("offload-region-megabyte-ms", "5",
                          "Waiting time that equals the price of a megabyte to "
                          "another data centre of the region, in ms.",
                          0, 60'000),
           integerSetting("offload-remote-megabyte-ms", "20",
                          "Waiting time that equals the price of a megabyte to "
                          "another region, in ms.",
                          0, 60'000),
           integerSetting("max-order-delay-ms", "12000",
                          "Longest time after its arrival at which an order "
                          "that was not answered is executed, in ms. Orders "
                          "wait for it where fencing tokens are not checked.",
                          0, 600'000),
           {.m_Name = "log-level",
            .m_Kind = SettingKind::Choice,
            .m_Default = "info",
            .m_Help = "Lowest level of lines that are logged.",
            .m_Choices = {"debug", "info", "warning", "error"}}}};
}

auto plannerOptions(const Settings &Values) -> FleetPlannerOptions {
  constexpr auto Percent = 0.01;
  auto Share = [&Values](const char *Name) {
    return Percent * static_cast<double>(Values.integer(Name));
  };
  return {.m_OrdinaryShare = Share("ordinary-percent"),
          .m_MaxFleetShare = Share("fleet-percent"),
          .m_PrefillShare = Share("prefill-percent")};
}

auto offloadOptions(const Settings &Values) -> OffloadOptions {
  constexpr auto Percent = 0.01;
  auto Options = OffloadOptions();
  Options.m_Enabled = Values.enabled("offload");
  Options.m_LeavePressure =
      Percent * static_cast<double>(Values.integer("offload-leave-percent"));
  Options.m_UnsafeLeavePressure =
      std::max(Options.m_UnsafeLeavePressure, Options.m_LeavePressure);
  Options.m_ReturnPressure = std::min(
      Options.m_LeavePressure,
      Percent * static_cast<double>(Values.integer("offload-return-percent")));
  Options.m_LendPressure = Options.m_ReturnPressure;
  Options.m_RegionMegabytePrice =
      Values.milliseconds("offload-region-megabyte-ms");
  Options.m_RemoteMegabytePrice =
      Values.milliseconds("offload-remote-megabyte-ms");
  return Options;
}

/// Limits the bodies that the host buffers while it receives them. The rest of
/// its memory is for copies that are being decoded or sent to callers, and for
/// the host's state.
auto clientOptions(const HostSettings &Settings) -> PooledHttpClientOptions {
  constexpr auto MegabyteBytes = std::size_t{1} << 20U;
  constexpr auto MaxResponseShare = 1.0 / 16;
  constexpr auto MaxBufferedShare = 1.0 / 8;
  auto Memory = static_cast<double>(Settings.m_MemoryMegabytes * MegabyteBytes);
  return {.m_MaxResponseBytes =
              static_cast<std::size_t>(Memory * MaxResponseShare),
          .m_MaxBufferedBytes =
              static_cast<std::size_t>(Memory * MaxBufferedShare)};
}

auto runHost(const Settings &Values) -> int {
  setLogLevel(Values.text("log-level"));
  returnLargeBlocks();
  const auto &Path = Values.text("platform-settings");
  auto Node = platform::readNodeSettings(Path);
  auto Loop = EventLoop();
  auto Client = makePooledHttpClient(Loop, clientOptions(Node));
  auto Store = platform::PlatformStore(
      *Client, {.m_Address = Node.m_StoreAddress,
                .m_MaxReadBytes = clientOptions(Node).m_MaxBufferedBytes});
  auto Transport = platform::EngineTransport(Loop, *Client);
  auto Fleet = platform::PlatformFleetCalls(
      *Client, {.m_Address = Node.m_FleetAddress,
                .m_Holder = Node.m_Location.m_Host,
                .m_ChecksFencing = Node.m_Bounds.m_ChecksFencing});
  auto Datagrams = UdpPort(Loop, SocketAddress::parse(Node.m_PeerAddress));
  auto Records = platform::PlatformRecords();
  auto Host = HostProcess(
      Loop,
      {.m_Store = Store,
       .m_Watch = Store,
       .m_Transport = Transport,
       .m_Fleet = Fleet,
       .m_Datagrams = Datagrams,
       .m_Records = Records,
       .m_ReadSettings = [Path] { return platform::readNodeSettings(Path); },
       .m_BrokenResponses = [&Client] { return Client->brokenResponses(); }},
      {.m_Settings = Node,
       .m_MetricsAddress = Values.text("metrics-listen"),
       .m_Planner = plannerOptions(Values),
       .m_MaxOrderDelay = Values.milliseconds("max-order-delay-ms"),
       .m_Offload = offloadOptions(Values)});
  auto Callers = platform::CallerRequestHandler(
      [&Host](CallerExchangePtr Exchange) { Host.serve(std::move(Exchange)); });
  auto Readiness = platform::ReadinessHandler([&Host] { return Host.ready(); });
  return Host.run(Callers, Readiness);
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  auto Declared = declaredSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments, &runHost);
}
