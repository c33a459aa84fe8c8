//===- LogOutput.h - Log lines on standard output ---------------*- C++ -*-===//
///
/// \file
/// Writes log lines without ever waiting for their reader.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_LOGOUTPUT_H
#define DOTTEREL_IO_LOGOUTPUT_H

#include "dotterel/io/EventLoop.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dotterel {

struct LogOutputOptions {
  int m_Fd = 1;
  /// Lines beyond this are dropped and counted.
  std::size_t m_MostBytes = std::size_t{256} << 10U;
  /// Lines per second below the level of a warning, and how many may come at
  /// once. Warnings and errors are not limited.
  double m_LinesPerSecond = 100;
  double m_Burst = 400;
  /// Lines are collected for so long: each write costs a system call.
  Duration m_WriteInterval = Milliseconds(50);
};

/// Takes the process's log lines while it lives.
class LogOutput {
public:
  LogOutput(EventLoop &Loop, const LogOutputOptions &Options);
  LogOutput(const LogOutput &) = delete;
  auto operator=(const LogOutput &) -> LogOutput & = delete;
  ~LogOutput();

  /// Lines that were not written since the start.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return m_Dropped; }

private:
  auto take(std::string_view Line) -> void;
  auto admit(std::string_view Line) -> bool;
  auto write() -> void;

  EventLoop &m_Loop;
  LogOutputOptions m_Options;
  std::string m_Buffer;
  double m_Tokens;
  MonotonicTime m_RefilledAt;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_Told = 0;
  std::optional<TimerId> m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_IO_LOGOUTPUT_H
