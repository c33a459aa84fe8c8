#include "dotterel/fakes/FakeProcess.h"

#include "dotterel/base/Log.h"
#include "dotterel/fakes/FakePlatform.h"
#include "dotterel/fakes/FakeRunner.h"
#include "dotterel/fakes/FakeService.h"

#include <cstdlib>
#include <memory>

namespace dotterel {

namespace {

auto runnerOptions(const Settings &Values) -> FakeRunnerOptions {
  return {.m_Name = Values.text("name"),
          .m_ChecksFencing = Values.enabled("checks-fencing"),
          .m_Slots = static_cast<std::uint32_t>(Values.integer("slots")),
          .m_PrefillTokensPerSecond =
              static_cast<double>(Values.integer("prefill-tokens-per-second")),
          .m_DecodeTokensPerSecond =
              static_cast<double>(Values.integer("decode-tokens-per-second")),
          .m_LoadLag = Values.milliseconds("load-lag-ms"),
          .m_RoleChangeTime = Values.milliseconds("role-change-ms")};
}

auto makeHandler(const Settings &Values, EventLoop &Loop)
    -> std::unique_ptr<HttpHandler> {
  const auto &Kind = Values.text("kind");
  if (Kind == "platform")
    return std::make_unique<FakePlatform>(Loop);
  if (Kind == "service")
    return std::make_unique<FakeService>(Loop);
  // A crash ends the process at once, without clean-up, as a real one would.
  return std::make_unique<FakeRunner>(Loop, runnerOptions(Values),
                                      [] { std::_Exit(EXIT_FAILURE); });
}

} // namespace

auto fakeSettings() -> Settings {
  return {"dotterel-fakes",
          "A stand-in of the platform, a model engine or a plain service.",
          {{.m_Name = "kind",
            .m_Kind = SettingKind::Choice,
            .m_Help = "What to stand in for.",
            .m_Choices = {"platform", "runner", "service"},
            .m_Required = true},
           {.m_Name = "listen",
            .m_Kind = SettingKind::Address,
            .m_Default = "127.0.0.1:0",
            .m_Help = "Address to listen on. Port 0: any."},
           {.m_Name = "name",
            .m_Kind = SettingKind::Name,
            .m_Default = "fake",
            .m_Help = "Name in logs."},
           {.m_Name = "checks-fencing",
            .m_Kind = SettingKind::Switch,
            .m_Default = "false",
            .m_Help = "Whether a runner refuses orders with an old fencing "
                      "number."},
           integerSetting("slots", "8",
                          "Streams that a runner decodes at a time.", 1, 1024),
           integerSetting("prefill-tokens-per-second", "20000",
                          "A runner's prefill speed.", 1, 100'000'000),
           integerSetting("decode-tokens-per-second", "100",
                          "A runner's speed for one stream.", 1, 1'000'000),
           integerSetting("load-lag-ms", "200",
                          "Age of a runner's load reports, in milliseconds.", 0,
                          60'000),
           integerSetting("role-change-ms", "500",
                          "Time that a change of role takes, in milliseconds.",
                          0, 60'000)}};
}

auto runFake(const Settings &Values) -> int {
  auto Loop = EventLoop();
  auto Handler = makeHandler(Values, Loop);
  constexpr auto MaxConnections = 5000U;
  constexpr auto IdleSeconds = 3600U;
  auto Server =
      HttpServer(Loop, *Handler,
                 {.m_Address = SocketAddress::parse(Values.text("listen")),
                  .m_MaxConnections = MaxConnections,
                  .m_IdleTimeoutSeconds = IdleSeconds});
  logInfo("fake.listening", {{"kind", Values.text("kind")},
                             {"name", Values.text("name")},
                             {"address", Server.address().text()}});
  Loop.onTermination([&Loop] { Loop.stop(); });
  Loop.run();
  return EXIT_SUCCESS;
}

} // namespace dotterel
