#define DOCTEST_CONFIG_IMPLEMENT
#include "SoakRun.h"
#include "dotterel/base/Log.h"
#include "dotterel/settings/Settings.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace dotterel;

auto declaredSettings() -> Settings {
  return {
      "dotterel-soak",
      "Runs hosts under seeded faults and judges what callers and servers see.",
      {integerSetting("seed", "1", "First seed; 0 takes fresh ones.", 0,
                      1'000'000'000),
       integerSetting("seeds", "1", "Seeds run one after the other.", 1, 10000),
       integerSetting("hosts", "4", "Host processes.", 1, 200),
       integerSetting("servers", "4", "Backend servers at the start.", 1, 200),
       integerSetting("rounds", "1", "Series of faults in a run.", 1, 1000),
       integerSetting("fault-ms", "10000", "Length of a series of faults.", 0,
                      600'000),
       integerSetting("planned-ms", "6000",
                      "Length of the planned changes after it.", 0, 600'000),
       {.m_Name = "logs",
        .m_Help = "Folder for the hosts' logs. Empty: not kept."}}};
}

auto runSeed(const soak::SoakOptions &Options) -> bool {
  auto Run = soak::SoakRun(Options);
  auto Broken = Run.run();
  std::cout << fmt::format("soak seed {}: {} ({})\n", Options.m_Seed,
                           Broken.empty() ? "passed" : "FAILED",
                           Run.statuses());
  if (!Broken.empty())
    for (const auto &Line : Run.eventLog())
      std::cout << "  " << Line << '\n';
  for (const auto &Line : Broken)
    std::cout << "  BROKEN " << Line << '\n';
  std::cout << std::flush;
  return Broken.empty();
}

auto runSoak(const Settings &Values) -> int {
  // The fakes in this process log the calls of the hosts; only errors are
  // of interest.
  setLogLevel("error");
  auto Size = [&Values](const char *Name) {
    return static_cast<std::size_t>(Values.integer(Name));
  };
  auto Options = soak::SoakOptions{
      .m_Seed = Size("seed"),
      .m_Hosts = Size("hosts"),
      .m_Servers = Size("servers"),
      .m_FaultTime = Milliseconds(Values.integer("fault-ms")),
      .m_PlannedTime = Milliseconds(Values.integer("planned-ms")),
      .m_Rounds = Size("rounds"),
      .m_LogFolder = Values.text("logs")};
  constexpr auto MaxSeed = std::uint64_t{1'000'000'000};
  auto SeedSource = Random(systemSeed());
  auto FreshSeeds = Options.m_Seed == 0;
  auto Failed = 0;
  for (auto Remaining = Size("seeds"); Remaining > 0;
       --Remaining, ++Options.m_Seed) {
    if (FreshSeeds)
      Options.m_Seed = SeedSource.below(MaxSeed) + 1;
    Failed += runSeed(Options) ? 0 : 1;
  }
  return Failed == 0 ? 0 : 1;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  // The classes of tests/support report failures as doctest assertions, which
  // are handled here outside of a test case.
  auto Context = doctest::Context();
  Context.setAsDefaultForAssertsOutOfTestCases();
  Context.setAssertHandler([](const doctest::AssertData &Failure) {
    std::cerr << Failure.m_expr << std::endl;
    std::abort();
  });
  auto Declared = declaredSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments, &runSoak);
}
