#include "dotterel/io/LogOutput.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace dotterel {

LogOutput::LogOutput(EventLoop &Loop, const LogOutputOptions &Options)
    : m_Loop(Loop), m_Options(Options), m_Tokens(Options.m_MaxBurstLines),
      m_RefilledAt(Loop.now()) {
  setLogSink([this](std::string_view Line) { appendLine(Line); });
}

LogOutput::~LogOutput() {
  setLogSink(nullptr);
  if (m_Timer)
    m_Loop.cancel(*m_Timer);
  write();
}

auto LogOutput::admit(std::string_view Line) -> bool {
  if (m_Buffer.size() + Line.size() > m_Options.m_MaxBufferBytes)
    return false;
  if (Line.find(" level=info ") == std::string_view::npos &&
      Line.find(" level=debug ") == std::string_view::npos)
    return true;
  auto Now = m_Loop.now();
  auto Elapsed = std::chrono::duration<double>(Now - m_RefilledAt).count();
  m_RefilledAt = Now;
  m_Tokens = std::min(m_Options.m_MaxBurstLines,
                      m_Tokens + Elapsed * m_Options.m_MaxLinesPerSecond);
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

auto LogOutput::appendLine(std::string_view Line) -> void {
  if (!admit(Line)) {
    ++m_Dropped;
    return;
  }
  if (m_Dropped > m_ReportedDropped) {
    m_Buffer += fmt::format("level=warning event=log.dropped lines={}\n",
                            m_Dropped - m_ReportedDropped);
    m_ReportedDropped = m_Dropped;
  }
  m_Buffer.append(Line);
  if (!m_Timer)
    m_Timer = m_Loop.schedule(m_Options.m_WriteInterval, [this] {
      m_Timer.reset();
      write();
    });
}

auto LogOutput::write() -> void {
  while (!m_Buffer.empty()) {
    auto Target = pollfd{.fd = m_Options.m_Fd, .events = POLLOUT, .revents = 0};
    if (::poll(&Target, 1, 0) != 1 || (Target.revents & POLLOUT) == 0)
      break;
    // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
    auto Size = std::min<std::size_t>(m_Buffer.size(), PIPE_BUF);
    auto Count = ::write(m_Options.m_Fd, m_Buffer.data(), Size);
    if (Count <= 0)
      break;
    m_Buffer.erase(0, static_cast<std::size_t>(Count));
  }
  if (!m_Buffer.empty() && !m_Timer)
    m_Timer = m_Loop.schedule(m_Options.m_WriteInterval, [this] {
      m_Timer.reset();
      write();
    });
}

} // namespace dotterel
