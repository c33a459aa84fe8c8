//===- ConnectionCheck.h - Whether a server accepts connections -*- C++ -*-===//
///
/// \file
/// Opens connections to find out whether servers still accept them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_CONNECTIONCHECK_H
#define DOTTEREL_IO_CONNECTIONCHECK_H

#include "dotterel/base/Units.h"
#include "dotterel/io/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Checks by TCP connections that are closed again without sending anything.
/// Checks that have not ended when it is destroyed are dropped.
class ConnectionChecker {
public:
  explicit ConnectionChecker(EventLoop &Loop);
  ConnectionChecker(const ConnectionChecker &) = delete;
  auto operator=(const ConnectionChecker &) -> ConnectionChecker & = delete;
  ~ConnectionChecker();

  /// Calls \p Done, never from inside check(), with whether \p Address accepts
  /// a connection within \p Timeout. A check that cannot be started says
  /// nothing about the server and reports that it does.
  auto check(const std::string &Address, Duration Timeout,
             std::function<void(bool)> Done) -> void;

  [[nodiscard]] auto pending() const -> std::size_t { return m_Checks.size(); }

private:
  struct Check;
  auto finishLater(std::uint64_t Id, bool Accepted) -> void;
  auto finish(std::uint64_t Id, bool Accepted) -> void;

  EventLoop &m_Loop;
  std::unordered_map<std::uint64_t, std::unique_ptr<Check>> m_Checks;
  std::uint64_t m_LastId = 0;
};

} // namespace dotterel

#endif // DOTTEREL_IO_CONNECTIONCHECK_H
