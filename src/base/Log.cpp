#include "dotterel/base/Log.h"

#include "dotterel/base/Errors.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto LevelNames =
    std::array<std::string_view, 4>{"debug", "info", "warning", "error"};

auto threshold() -> LogLevel & {
  static auto Level = LogLevel::Info;
  return Level;
}

auto sink() -> std::function<void(std::string_view)> & {
  static auto Sink = std::function<void(std::string_view)>();
  return Sink;
}

auto needsQuotes(std::string_view Value) -> bool {
  if (Value.empty())
    return true;
  for (auto Character : Value) {
    auto Code = static_cast<unsigned char>(Character);
    if (Code <= 0x20 || Code == 0x7f || Character == '"' || Character == '=')
      return true;
  }
  return false;
}

auto appendValue(std::string &Line, std::string_view Value) -> void {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (auto Character : Value) {
    auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Line += '\\';
      Line += Character;
    } else if (Code < 0x20 || Code == 0x7f) {
      Line += fmt::format("\\x{:02x}", Code);
    } else {
      Line += Character;
    }
  }
  Line += '"';
}

} // namespace

LogField::LogField(std::string_view Key, double Value)
    : m_Key(Key), m_Value(fmt::format("{:.3f}", Value)) {}

auto formatFields(std::initializer_list<LogField> Fields) -> std::string {
  auto Line = std::string();
  for (const auto &Field : Fields) {
    if (!Line.empty())
      Line += ' ';
    Line += Field.key();
    Line += '=';
    appendValue(Line, Field.value());
  }
  return Line;
}

auto logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void {
  if (Level >= threshold())
    logLine(Level, Event, formatFields(Fields));
}

auto logLine(LogLevel Level, std::string_view Event, std::string_view Fields)
    -> void {
  if (Level < threshold())
    return;
  auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  auto WholeSeconds = std::chrono::time_point_cast<std::chrono::seconds>(Now);
  auto Line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                  fmt::gmtime(WholeSeconds), (Now - WholeSeconds).count(),
                  LevelNames[static_cast<std::size_t>(Level)], Event);
  if (!Fields.empty()) {
    Line += ' ';
    Line += Fields;
  }
  Line += '\n';
  if (sink()) {
    sink()(Line);
    return;
  }
  // Ignores the result: a failure to write a log line must not stop the
  // service.
  static_cast<void>(std::fwrite(Line.data(), 1, Line.size(), stderr));
}

auto logDebug(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void {
  logEvent(LogLevel::Debug, Event, Fields);
}

auto logInfo(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void {
  logEvent(LogLevel::Info, Event, Fields);
}

auto logWarning(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void {
  logEvent(LogLevel::Warning, Event, Fields);
}

auto logError(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void {
  logEvent(LogLevel::Error, Event, Fields);
}

auto setLogLevel(std::string_view Name) -> void {
  for (auto Index = std::size_t{0}; Index < LevelNames.size(); ++Index) {
    if (LevelNames[Index] != Name)
      continue;
    threshold() = static_cast<LogLevel>(Index);
    return;
  }
  throw SettingsError(101, fmt::format("no such log level: {}", Name));
}

auto setLogSink(std::function<void(std::string_view)> Sink) -> void {
  sink() = std::move(Sink);
}

} // namespace dotterel
