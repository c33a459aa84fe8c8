//===- LogOutput.h - Log lines on standard output ---------------*- C++ -*-===//
///
/// \file
/// Declares the log sink, which writes log lines to a file descriptor and never
/// blocks on its reader.
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
  /// Size of the buffer. Lines that do not fit are dropped and counted.
  std::size_t m_MaxBufferBytes = std::size_t{256} << 10U;
  /// Token bucket for lines below the level of a warning: its rate, in lines
  /// per second, and its size, in lines. Warnings and errors are not limited.
  double m_MaxLinesPerSecond = 100;
  double m_MaxBurstLines = 400;
  /// Time for which lines are collected before a write, because each write
  /// costs a system call.
  Duration m_WriteInterval = Milliseconds(50);
};

/// Writes the process's log lines during its own lifetime.
class LogOutput {
public:
  LogOutput(EventLoop &Loop, const LogOutputOptions &Options);
  LogOutput(const LogOutput &) = delete;
  auto operator=(const LogOutput &) -> LogOutput & = delete;
  ~LogOutput();

  /// Returns the number of lines dropped since the start.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return m_Dropped; }

private:
  auto appendLine(std::string_view Line) -> void;
  auto admit(std::string_view Line) -> bool;
  auto write() -> void;

  EventLoop &m_Loop;
  LogOutputOptions m_Options;
  std::string m_Buffer;
  double m_Tokens;
  MonotonicTime m_RefilledAt;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_ReportedDropped = 0;
  std::optional<TimerId> m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_IO_LOGOUTPUT_H
