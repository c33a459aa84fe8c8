#include "dotterel/ctl/CheckCommand.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto ExitWarnings = 4;
constexpr auto BytesPerMebibyte = std::size_t{1} << 20U;
constexpr auto ReadSize = std::size_t{64} << 10U;

auto name(DifferenceKind Kind) -> const char * {
  switch (Kind) {
  case DifferenceKind::Added:
    return "added";
  case DifferenceKind::Removed:
    return "removed";
  case DifferenceKind::Changed:
    return "changed";
  }
  return "";
}

/// Replaces control characters, so that names of a document cannot control
/// the terminal or forge a line.
auto printable(std::string Text) -> std::string {
  constexpr auto Delete = '\x7f';
  std::replace_if(
      Text.begin(), Text.end(),
      [](char C) { return (C >= 0 && C < ' ') || C == Delete; }, '?');
  return Text;
}

auto toJson(const std::vector<ConfigurationFinding> &Findings) -> Json {
  auto Result = Json::array();
  for (const auto &Item : Findings)
    Result.push_back({{"path", Item.m_Path}, {"reason", Item.m_Reason}});
  return Result;
}

/// Reads a file of at most \p MaxBytes. The bound also holds for devices.
auto readDocument(const std::string &Path, std::size_t MaxBytes)
    -> std::string {
  auto File = std::unique_ptr<std::FILE, int (*)(std::FILE *)>(
      std::fopen(Path.c_str(), "rbe"), &std::fclose);
  if (!File)
    throw IoError(
        404, fmt::format("cannot read {}: {}", Path, std::strerror(errno)));
  auto Result = std::string();
  auto Part = std::string(ReadSize, '\0');
  while (auto Count = std::fread(Part.data(), 1, Part.size(), File.get())) {
    Result.append(Part, 0, Count);
    if (Result.size() > MaxBytes)
      throw IoError(404, fmt::format("{} is larger than {} bytes "
                                     "(--max-document-mb)",
                                     Path, MaxBytes));
  }
  if (std::ferror(File.get()) != 0)
    throw IoError(
        404, fmt::format("cannot read {}: {}", Path, std::strerror(errno)));
  return Result;
}

} // namespace

auto CheckReport::exitCode() const -> int {
  if (!m_Errors.empty())
    return EXIT_FAILURE;
  return m_Warnings.empty() ? EXIT_SUCCESS : ExitWarnings;
}

auto CheckReport::text() const -> std::string {
  auto Result = std::string();
  for (const auto &Item : m_Errors)
    Result += printable(fmt::format("error: {}", Item.m_Reason)) + "\n";
  for (const auto &Item : m_Warnings)
    Result +=
        printable(fmt::format("warning: {}: {}", Item.m_Path, Item.m_Reason)) +
        "\n";
  if (m_Differences) {
    for (const auto &Item : *m_Differences)
      Result +=
          printable(fmt::format("{} {}{}{}", name(Item.m_Kind), Item.m_Entry,
                                Item.m_Details.empty() ? "" : ": ",
                                fmt::join(Item.m_Details, "; "))) +
          "\n";
    Result += fmt::format("{} differences\n", m_Differences->size());
  }
  return Result + fmt::format("{} errors, {} warnings\n", m_Errors.size(),
                              m_Warnings.size());
}

auto CheckReport::json() const -> std::string {
  auto Result =
      Json{{"errors", toJson(m_Errors)}, {"warnings", toJson(m_Warnings)}};
  if (m_Differences) {
    auto &List = Result["differences"] = Json::array();
    for (const auto &Item : *m_Differences)
      List.push_back({{"kind", name(Item.m_Kind)},
                      {"entry", Item.m_Entry},
                      {"details", Item.m_Details}});
  }
  return Result.dump(2, ' ', false, Json::error_handler_t::replace);
}

auto checkDocument(const std::string &Document,
                   const std::optional<std::string> &InForce,
                   const ConfigurationDecoder &Decode) -> CheckReport {
  auto Report = CheckReport();
  auto Decoded = ServingConfiguration();
  try {
    Decoded = Decode(Document);
  } catch (const ConfigurationError &Failure) {
    Report.m_Errors.push_back({.m_Path = "", .m_Reason = Failure.what()});
    return Report;
  }
  Report.m_Warnings = checkConfiguration(Decoded);
  if (InForce) {
    auto Before = Decode(*InForce);
    Report.m_Differences = compareConfigurations(Before, Decoded);
    // Hosts keep the version in force unless the number is higher.
    if (Decoded.m_Revision <= Before.m_Revision &&
        !Report.m_Differences->empty())
      Report.m_Warnings.push_back(
          {.m_Path = "version",
           .m_Reason = fmt::format(
               "hosts keep the version in force: {} is not above {}",
               Decoded.m_Revision.number(), Before.m_Revision.number())});
  }
  return Report;
}

auto checkSettings() -> Settings {
  constexpr auto MaxMebibytes = 4096;
  return {"dotterelctl",
          "check FILE: checks a configuration before it is sent.",
          {{.m_Name = "against",
            .m_Help = "File of the configuration in force, to compare with."},
           integerSetting("max-document-mb", "256",
                          "Largest document that is read, in mebibytes.", 1,
                          MaxMebibytes),
           {.m_Name = "json",
            .m_Kind = SettingKind::Switch,
            .m_Default = "false",
            .m_Help = "Prints JSON in place of text."}}};
}

auto runCheck(const Settings &Values, const ConfigurationDecoder &Decode)
    -> int {
  if (Values.operands().size() != 2)
    throw SettingsError(102, "check needs one file: dotterelctl check FILE "
                             "[--against=FILE] [--json]");
  auto MaxBytes = static_cast<std::size_t>(Values.integer("max-document-mb")) *
                  BytesPerMebibyte;
  auto InForce = std::optional<std::string>();
  if (const auto &Path = Values.text("against"); !Path.empty())
    InForce = readDocument(Path, MaxBytes);
  auto Report = checkDocument(readDocument(Values.operands().at(1), MaxBytes),
                              InForce, Decode);
  fmt::print("{}",
             Values.enabled("json") ? Report.json() + "\n" : Report.text());
  return Report.exitCode();
}

} // namespace dotterel
