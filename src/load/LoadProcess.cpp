#include "dotterel/load/LoadProcess.h"

#include "dotterel/ctl/Table.h"
#include "dotterel/load/LoadRun.h"

#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace dotterel {

namespace {

constexpr auto Median = 0.5;
constexpr auto Percentile95 = 0.95;
constexpr auto Percentile99 = 0.99;

auto split(const std::string &Text) -> std::vector<std::string> {
  auto Parts = std::vector<std::string>();
  auto Stream = std::istringstream(Text);
  auto Part = std::string();
  while (std::getline(Stream, Part, ','))
    Parts.push_back(Part);
  return Parts;
}

auto fromPercent(std::int64_t Value) -> double {
  constexpr auto Whole = 100.0;
  return static_cast<double>(Value) / Whole;
}

auto optionsFrom(const Settings &Values) -> LoadOptions {
  return {.m_Urls = split(Values.text("urls")),
          .m_Keys = split(Values.text("keys")),
          .m_Seed = static_cast<std::uint64_t>(Values.integer("seed")),
          .m_RequestsPerSecond =
              static_cast<double>(Values.integer("requests-per-second")),
          .m_RunDuration = Seconds(Values.integer("seconds")),
          .m_MeanPromptTokens =
              static_cast<std::uint64_t>(Values.integer("prompt-tokens")),
          .m_MeanResponseTokens =
              static_cast<std::uint64_t>(Values.integer("answer-tokens")),
          .m_RampFactor = fromPercent(Values.integer("ramp-percent")),
          .m_SkewShare = fromPercent(Values.integer("skew-percent")),
          .m_SwingPeriod = Seconds(Values.integer("swing-seconds")),
          .m_Model = Values.text("model")};
}

auto run(LoadOptions Options) -> LoadResult {
  auto Loop = EventLoop();
  auto Client = makeHttpClient(Loop);
  auto Run = LoadRun(Loop, *Client, std::move(Options), [&] { Loop.stop(); });
  Run.start();
  Loop.run();
  return Run.result();
}

auto row(const std::string &Name, const LoadStatistics &Statistics)
    -> std::vector<std::string> {
  auto Number = [](double Value) { return fmt::format("{:.2f}", Value); };
  return {Name,
          std::to_string(Statistics.m_Sent),
          std::to_string(Statistics.m_CompleteCount),
          std::to_string(Statistics.m_InTime),
          std::to_string(Statistics.m_Refused),
          std::to_string(Statistics.m_Failed),
          Number(quantile(Statistics.m_FirstTokenMs, Median)),
          Number(quantile(Statistics.m_FirstTokenMs, Percentile95)),
          Number(quantile(Statistics.m_FirstTokenMs, Percentile99)),
          Number(quantile(Statistics.m_TokenGapsMs, Percentile95)),
          Number(quantile(Statistics.m_TotalMs, Median))};
}

auto toJson(const LoadStatistics &Statistics) -> nlohmann::json {
  return {
      {"sent", Statistics.m_Sent},
      {"whole", Statistics.m_CompleteCount},
      {"in_time", Statistics.m_InTime},
      {"in_time_share", Statistics.inTimeShare()},
      {"refused", Statistics.m_Refused},
      {"broken", Statistics.m_Failed},
      {"first_token_p50_ms", quantile(Statistics.m_FirstTokenMs, Median)},
      {"first_token_p95_ms", quantile(Statistics.m_FirstTokenMs, Percentile95)},
      {"first_token_p99_ms", quantile(Statistics.m_FirstTokenMs, Percentile99)},
      {"gap_p95_ms", quantile(Statistics.m_TokenGapsMs, Percentile95)},
      {"total_p50_ms", quantile(Statistics.m_TotalMs, Median)}};
}

auto addRows(Table &Target, const std::string &Name, const LoadResult &Result)
    -> void {
  Target.add(row(Name, Result.m_All));
  for (const auto &[Organisation, Statistics] : Result.m_Organisations)
    Target.add(row(fmt::format("{} org {}", Name, Organisation), Statistics));
  for (const auto &[Class, Statistics] : Result.m_Classes)
    Target.add(row(fmt::format("{} {}", Name, Class), Statistics));
}

auto printJson(const LoadResult &Result, const LoadResult *Compared) -> void {
  auto Document = nlohmann::json{{"all", toJson(Result.m_All)},
                                 {"worst_served", Result.lowestInTimeShare()}};
  for (const auto &[Name, Statistics] : Result.m_Organisations)
    Document["organisations"][Name] = toJson(Statistics);
  for (const auto &[Name, Statistics] : Result.m_Classes)
    Document["classes"][Name] = toJson(Statistics);
  if (Compared != nullptr)
    Document["compared"] = toJson(Compared->m_All);
  fmt::print("{}\n", Document.dump(2));
}

auto printTable(const LoadResult &Result, const LoadResult *Compared) -> void {
  auto Rows =
      Table({"TARGET", "SENT", "WHOLE", "IN TIME", "REFUSED", "BROKEN",
             "FIRST P50 MS", "P95", "P99", "GAP P95 MS", "TOTAL P50 MS"});
  addRows(Rows, "system", Result);
  if (Compared != nullptr)
    addRows(Rows, "compared", *Compared);
  fmt::print("{}worst-served organisation: {:.3f} of its requests in time\n",
             Rows.text(), Result.lowestInTimeShare());
  if (Compared == nullptr)
    return;
  auto MedianMs = quantile(Result.m_All.m_FirstTokenMs, Median);
  auto ComparedMedianMs = quantile(Compared->m_All.m_FirstTokenMs, Median);
  constexpr auto MicrosecondsPerMillisecond = 1000;
  fmt::print("first token p50: {:.0f} us more, ratio {:.3f}\n",
             (MedianMs - ComparedMedianMs) * MicrosecondsPerMillisecond,
             ComparedMedianMs > 0 ? MedianMs / ComparedMedianMs : 0);
}

} // namespace

auto loadSettings() -> Settings {
  return {
      "dotterel-load",
      "Sends a seeded mix of completions at stated times and prints figures.",
      {{.m_Name = "urls",
        .m_Help = "Gates' addresses for callers, with commas between.",
        .m_Required = true},
       {.m_Name = "compare-urls",
        .m_Help = "The same load goes to these afterwards, for comparison."},
       {.m_Name = "keys",
        .m_Help = "Keys of organisations, largest first, with commas between.",
        .m_Required = true,
        .m_Secret = true},
       {.m_Name = "model",
        .m_Kind = SettingKind::Name,
        .m_Default = "namer",
        .m_Help = "Model to ask for."},
       integerSetting("seed", "1", "Seed of the mix.", 0, 1'000'000'000),
       integerSetting("requests-per-second", "50", "Mean rate.", 1, 20'000),
       integerSetting("seconds", "10", "Length of the run, in seconds.", 1,
                      600),
       integerSetting("prompt-tokens", "200", "Mean tokens of a prompt.", 1,
                      100'000),
       integerSetting("answer-tokens", "20", "Mean tokens of an answer.", 1,
                      10'000),
       integerSetting("ramp-percent", "100",
                      "The rate at the end, in percent of that at the start.",
                      1, 10'000),
       integerSetting("skew-percent", "0",
                      "Part of the largest organisation's requests that go to "
                      "the first gate beyond its share, in percent.",
                      0, 100),
       integerSetting("swing-seconds", "0",
                      "Period of the mix's swing, in seconds; 0: none.", 0,
                      600),
       {.m_Name = "json",
        .m_Kind = SettingKind::Switch,
        .m_Default = "false",
        .m_Help = "Prints JSON in place of a table."}}};
}

auto runLoad(const Settings &Values) -> int {
  auto Options = optionsFrom(Values);
  auto Result = run(Options);
  auto Compared = std::unique_ptr<LoadResult>();
  if (!Values.text("compare-urls").empty()) {
    Options.m_Urls = split(Values.text("compare-urls"));
    Compared = std::make_unique<LoadResult>(run(Options));
  }
  if (Values.enabled("json"))
    printJson(Result, Compared.get());
  else
    printTable(Result, Compared.get());
  return EXIT_SUCCESS;
}

} // namespace dotterel
