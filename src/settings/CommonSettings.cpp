#include "dotterel/settings/CommonSettings.h"

#include "dotterel/membership/HostList.h"

namespace dotterel {

auto commonSettings() -> std::vector<Setting> {
  return {
      {.m_Name = "host",
       .m_Kind = SettingKind::Name,
       .m_Help = "Name of this host, as the platform lists it.",
       .m_Required = true},
      {.m_Name = "data-centre",
       .m_Kind = SettingKind::Name,
       .m_Help = "Data centre of this host.",
       .m_Required = true},
      {.m_Name = "region",
       .m_Kind = SettingKind::Name,
       .m_Help = "Region of this host.",
       .m_Required = true},
      {.m_Name = "rpc-listen",
       .m_Kind = SettingKind::Address,
       .m_Default = "127.0.0.1:0",
       .m_Help = "Address for the system's own processes. Port 0: any."},
      {.m_Name = "store-url",
       .m_Kind = SettingKind::Url,
       .m_Help = "The platform's key-value service.",
       .m_Required = true},
      {.m_Name = "platform-url",
       .m_Kind = SettingKind::Url,
       .m_Help = "The platform's host list, backend orders and usage intake.",
       .m_Required = true},
      integerSetting("store-timeout-ms", "1500",
                     "Longest wait for the store's answer, in milliseconds.",
                     50, 30'000),
      integerSetting("config-poll-ms", "500",
                     "Pause between reads of the configuration's head, in "
                     "milliseconds.",
                     50, 2'000),
      integerSetting("gossip-interval-ms", "1000",
                     "Pause between exchanges with other processes, in "
                     "milliseconds.",
                     50, 2'000),
      integerSetting("platform-poll-ms", "1000",
                     "Pause between reads of the platform's lists, in "
                     "milliseconds.",
                     50, 10'000),
      integerSetting(
          "load-poll-ms", "500",
          "Pause between load reports of an engine, in milliseconds.", 20,
          10'000),
      integerSetting("load-report-lag-ms", "3000",
                     "By how much engines' load reports lag at most, in "
                     "milliseconds.",
                     0, 60'000),
      integerSetting("freshness-bound-ms", "4000",
                     "Age of the evidence of a read of the store beyond which "
                     "keyed work is refused, in milliseconds.",
                     1'000, 10'000),
      integerSetting(
          "usage-window-seconds", "60",
          "Length of a usage window, in seconds; the same everywhere.", 2,
          86'400),
      {.m_Name = "log-level",
       .m_Kind = SettingKind::Choice,
       .m_Default = "info",
       .m_Help = "Lowest level of lines that are logged.",
       .m_Choices = {"debug", "info", "warning", "error"}},
  };
}

auto locationFrom(const Settings &Values) -> Location {
  return {.m_Host = HostId{Values.text("host")},
          .m_DataCentre = DataCentreId{Values.text("data-centre")},
          .m_Region = RegionId{Values.text("region")}};
}

auto initialMember(const Settings &Values, ProcessRole Role, WallTime Started)
    -> Member {
  auto Where = locationFrom(Values);
  return {.m_Process = processIdOf(Where.m_Host, Role),
          .m_Location = Where,
          .m_Role = Role,
          .m_Incarnation =
              static_cast<std::uint64_t>(Started.time_since_epoch().count())};
}

} // namespace dotterel
