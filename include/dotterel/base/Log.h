//===- Log.h - Structured logging -------------------------------*- C++ -*-===//
///
/// \file
/// Writes each event as one line of `key=value` pairs to standard error.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_LOG_H
#define DOTTEREL_BASE_LOG_H

#include "dotterel/base/Ids.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dotterel {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One `key=value` pair of a log line.
class LogField {
public:
  LogField(std::string_view Key, std::string_view Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, const char *Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, const std::string &Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, bool Value)
      : m_Key(Key), m_Value(Value ? "true" : "false") {}
  LogField(std::string_view Key, double Value);
  template <std::integral Number>
  LogField(std::string_view Key, Number Value)
      : m_Key(Key), m_Value(std::to_string(Value)) {}
  template <typename Tag>
  LogField(std::string_view Key, const TextId<Tag> &Value)
      : m_Key(Key), m_Value(Value.text()) {}
  template <typename Tag>
  LogField(std::string_view Key, const NumberId<Tag> &Value)
      : m_Key(Key), m_Value(std::to_string(Value.number())) {}

  LogField(std::string_view Key, StoreRevision Value)
      : m_Key(Key), m_Value(std::to_string(Value.number())) {}

  [[nodiscard]] auto key() const -> std::string_view { return m_Key; }
  [[nodiscard]] auto value() const -> const std::string & { return m_Value; }

private:
  std::string_view m_Key;
  std::string m_Value;
};

/// Writes one line if \p Level is at or above the log level of the process.
///
/// Values with spaces, quotes, `=` or control characters are quoted and
/// escaped, so that text from a caller cannot forge a log line. Never pass keys
/// or prompts.
auto logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void;

/// Writes one line with fields that formatFields() has formatted.
auto logLine(LogLevel Level, std::string_view Event, std::string_view Fields)
    -> void;

auto logDebug(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void;
auto logInfo(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void;
auto logWarning(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void;
auto logError(std::string_view Event, std::initializer_list<LogField> Fields)
    -> void;

/// Sets the lowest level that is written.
/// \throws SettingsError 101 if \p Name is not the name of a level.
auto setLogLevel(std::string_view Name) -> void;

/// Writes log lines to \p Sink instead of standard error; an empty \p Sink
/// restores standard error.
auto setLogSink(std::function<void(std::string_view)> Sink) -> void;

/// Formats the fields as on a log line, without time, level and event.
auto formatFields(std::initializer_list<LogField> Fields) -> std::string;

} // namespace dotterel

#endif // DOTTEREL_BASE_LOG_H
