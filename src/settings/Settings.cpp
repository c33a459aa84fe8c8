#include "dotterel/settings/Settings.h"

#include "dotterel/base/Errors.h"
#include "dotterel/io/SocketAddress.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <memory>
#include <optional>
#include <popt.h>
#include <utility>

namespace dotterel {

namespace {

/// Return values of poptGetNextOpt() for the flags that every program has.
constexpr auto HelpFlag = 1;
constexpr auto VersionFlag = 2;
constexpr auto CheckFlag = 3;
/// Return value for the first declared setting; the others follow in order.
constexpr auto FirstSettingFlag = 10;

constexpr auto UsageExitCode = 2;

auto parseInteger(const std::string &Text) -> std::optional<std::int64_t> {
  auto Value = std::int64_t{0};
  const auto *Last = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), Last, Value);
  if (Result.ec != std::errc{} || Result.ptr != Last || Text.empty())
    return std::nullopt;
  return Value;
}

auto isAddress(const std::string &Text) -> bool {
  try {
    SocketAddress::parse(Text);
    return true;
  } catch (const ProtocolError &) {
    return false;
  }
}

auto isName(const std::string &Text) -> bool {
  auto Allowed = [](char Character) {
    return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
           Character == '-' || Character == '_' || Character == '.';
  };
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), Allowed);
}

auto isUrl(const std::string &Text) -> bool {
  for (const auto *Scheme : {"http://", "https://"})
    if (Text.starts_with(Scheme))
      return Text.size() > std::string(Scheme).size() && Text.back() != '/';
  return false;
}

/// Returns a description of the allowed values, for messages.
auto allowed(const Setting &Item) -> std::string {
  switch (Item.m_Kind) {
  case SettingKind::Text:
    return "a text";
  case SettingKind::Name:
    return "letters, digits, - _ .";
  case SettingKind::Address:
    return "IP:PORT";
  case SettingKind::Url:
    return "http://HOST:PORT without a slash at its end";
  case SettingKind::Integer:
    return fmt::format("{} to {}", Item.m_Min, Item.m_Max);
  case SettingKind::Choice:
    return fmt::format("{}", fmt::join(Item.m_Choices, ", "));
  case SettingKind::Switch:
    return "true, false";
  }
  return {};
}

auto isAllowed(const Setting &Item, const std::string &Value) -> bool {
  if (Value.empty())
    return !Item.m_Required && Item.m_Default.empty();
  switch (Item.m_Kind) {
  case SettingKind::Text:
    return true;
  case SettingKind::Name:
    return isName(Value);
  case SettingKind::Address:
    return isAddress(Value);
  case SettingKind::Url:
    return isUrl(Value);
  case SettingKind::Integer: {
    auto Number = parseInteger(Value);
    return Number && *Number >= Item.m_Min && *Number <= Item.m_Max;
  }
  case SettingKind::Choice:
    return std::find(Item.m_Choices.begin(), Item.m_Choices.end(), Value) !=
           Item.m_Choices.end();
  case SettingKind::Switch:
    return Value == "true" || Value == "false";
  }
  return false;
}

using PoptPointer = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

} // namespace

auto integerSetting(std::string Name, std::string Default, std::string Help,
                    std::int64_t Min, std::int64_t Max) -> Setting {
  return {.m_Name = std::move(Name),
          .m_Kind = SettingKind::Integer,
          .m_Default = std::move(Default),
          .m_Help = std::move(Help),
          .m_Min = Min,
          .m_Max = Max};
}

Settings::Settings(std::string Program, std::string Summary,
                   std::vector<Setting> Declared)
    : m_Program(std::move(Program)), m_Summary(std::move(Summary)),
      m_Declared(std::move(Declared)) {
  for (const auto &Item : m_Declared)
    m_Values[Item.m_Name] = Item.m_Default;
}

auto Settings::parse(int ArgumentCount, const char *const *Arguments)
    -> SettingsAction {
  readEnvironment();
  auto Action = readFlags(ArgumentCount, Arguments);
  if (Action == SettingsAction::Run || Action == SettingsAction::Check)
    check();
  return Action;
}

auto Settings::readEnvironment() -> void {
  for (const auto &Item : m_Declared)
    if (const auto *Value =
            std::getenv(environmentVariable(Item.m_Name).c_str()))
      m_Values[Item.m_Name] = Value;
}

auto Settings::readFlags(int ArgumentCount, const char *const *Arguments)
    -> SettingsAction {
  auto Options = std::vector<poptOption>();
  Options.push_back({"help", 'h', POPT_ARG_NONE, nullptr, HelpFlag, "", ""});
  Options.push_back(
      {"version", 0, POPT_ARG_NONE, nullptr, VersionFlag, "", ""});
  Options.push_back({"check", 0, POPT_ARG_NONE, nullptr, CheckFlag, "", ""});
  auto NextFlag = FirstSettingFlag;
  for (const auto &Item : m_Declared) {
    auto Kind =
        Item.m_Kind == SettingKind::Switch
            ? unsigned{POPT_ARG_STRING} | unsigned{POPT_ARGFLAG_OPTIONAL}
            : unsigned{POPT_ARG_STRING};
    Options.push_back(
        {Item.m_Name.c_str(), 0, Kind, nullptr, NextFlag++, "", ""});
  }
  Options.push_back(POPT_TABLEEND);
  auto ExpandedArguments = withSwitchValues(ArgumentCount, Arguments);
  auto Pointers = std::vector<const char *>();
  for (const auto &Item : ExpandedArguments)
    Pointers.push_back(Item.c_str());
  auto Context = PoptPointer(poptGetContext(m_Program.c_str(),
                                            static_cast<int>(Pointers.size()),
                                            Pointers.data(), Options.data(), 0),
                             &poptFreeContext);
  auto Action = SettingsAction::Run;
  auto Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    if (Code == HelpFlag)
      Action = SettingsAction::Help;
    else if (Code == VersionFlag)
      Action = SettingsAction::Version;
    else if (Code == CheckFlag)
      Action = SettingsAction::Check;
    if (Code < FirstSettingFlag)
      continue;
    const auto &Item =
        m_Declared[static_cast<std::size_t>(Code - FirstSettingFlag)];
    auto *Value = poptGetOptArg(Context.get());
    m_Values[Item.m_Name] = Value != nullptr ? Value : "";
    std::free(Value); // NOLINT: popt allocates with malloc
  }
  if (Code < -1)
    throw SettingsError(
        102, fmt::format("{}: {}; see {} --help",
                         poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS),
                         poptStrerror(Code), m_Program));
  while (const auto *Operand = poptGetArg(Context.get()))
    m_Operands.emplace_back(Operand);
  return Action;
}

auto Settings::withSwitchValues(int ArgumentCount,
                                const char *const *Arguments) const
    -> std::vector<std::string> {
  // popt would read the next operand as the optional value of a switch.
  auto Result = std::vector<std::string>(Arguments, Arguments + ArgumentCount);
  for (auto &Argument : Result)
    for (const auto &Item : m_Declared)
      if (Item.m_Kind == SettingKind::Switch && Argument == "--" + Item.m_Name)
        Argument += "=true";
  return Result;
}

auto Settings::check() const -> void {
  auto InvalidSettings = std::string();
  for (const auto &Item : m_Declared) {
    const auto &Value = m_Values.at(Item.m_Name);
    if (isAllowed(Item, Value))
      continue;
    InvalidSettings +=
        fmt::format("\n  --{} ({}): {}; allowed: {}", Item.m_Name,
                    environmentVariable(Item.m_Name),
                    Value.empty()   ? "is missing"
                    : Item.m_Secret ? "has a wrong value"
                                    : fmt::format("is '{}'", Value),
                    allowed(Item));
  }
  if (!InvalidSettings.empty())
    throw SettingsError(101, "wrong settings:" + InvalidSettings);
}

auto Settings::text(const std::string &Name) const -> const std::string & {
  return m_Values.at(Name);
}

auto Settings::integer(const std::string &Name) const -> std::int64_t {
  return parseInteger(m_Values.at(Name)).value();
}

auto Settings::milliseconds(const std::string &Name) const -> Milliseconds {
  return Milliseconds(integer(Name));
}

auto Settings::enabled(const std::string &Name) const -> bool {
  return m_Values.at(Name) == "true";
}

auto Settings::help() const -> std::string {
  auto Text = fmt::format("Usage: {} [--FLAG=VALUE ...]\n{}\n\nA flag goes "
                          "before its environment variable, and that before "
                          "the default.\n\n",
                          m_Program, m_Summary);
  for (const auto &Item : m_Declared) {
    Text += fmt::format("  --{}=VALUE  ({})\n      {}\n      allowed: {}",
                        Item.m_Name, environmentVariable(Item.m_Name),
                        Item.m_Help, allowed(Item));
    if (Item.m_Required)
      Text += "; required\n";
    else
      Text += fmt::format("; default: {}\n",
                          Item.m_Default.empty() ? "none" : Item.m_Default);
  }
  Text += "  --check    check the settings and exit\n"
          "  --help     print this text and exit\n"
          "  --version  print the version and exit\n";
  return Text;
}

auto Settings::version() -> std::string { return DOTTEREL_VERSION; }

auto Settings::environmentVariable(const std::string &Name) -> std::string {
  auto Variable = std::string("DOTTEREL_");
  for (auto Character : Name)
    Variable += Character == '-' ? '_'
                                 : static_cast<char>(std::toupper(
                                       static_cast<unsigned char>(Character)));
  return Variable;
}

auto runProgram(Settings &Declared, int ArgumentCount,
                const char *const *Arguments, int (*Run)(const Settings &))
    -> int {
  try {
    switch (Declared.parse(ArgumentCount, Arguments)) {
    case SettingsAction::Help:
      fmt::print("{}", Declared.help());
      return EXIT_SUCCESS;
    case SettingsAction::Version:
      fmt::print("{}\n", Settings::version());
      return EXIT_SUCCESS;
    case SettingsAction::Check:
      fmt::print("settings are correct\n");
      return EXIT_SUCCESS;
    case SettingsAction::Run:
      return Run(Declared);
    }
  } catch (const SettingsError &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return UsageExitCode;
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
  }
  return EXIT_FAILURE;
}

} // namespace dotterel
