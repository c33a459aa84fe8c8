//===- FaultProxy.h - TCP proxy that injects link faults --------*- C++ -*-===//
///
/// \file
/// A loopback proxy between two processes that delays, holds back or resets
/// their TCP traffic.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SOAK_FAULTPROXY_H
#define DOTTEREL_SOAK_FAULTPROXY_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/Socket.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace dotterel::soak {

/// A fault of the link between two processes.
enum class LinkFault : std::uint8_t {
  None,
  Delay,         ///< All bytes arrive later by a fixed delay.
  DropAll,       ///< No bytes arrive; connections stay open.
  DropRequests,  ///< No bytes arrive at the target.
  DropResponses, ///< No bytes arrive from the target.
  Reset,         ///< Open and new connections are reset.
};

/// Returns the name of a fault for the event log.
auto linkFaultName(LinkFault Fault) -> const char *;

/// Forwards TCP connections to one address.
///
/// \invariant Bytes that a fault held back are delivered in order once it ends,
/// as after lost packets, unless their connection was reset.
class FaultProxy {
public:
  FaultProxy(EventLoop &Loop, std::string Target);
  ~FaultProxy();

  /// Returns the address that the proxy listens on.
  [[nodiscard]] auto address() const -> std::string;

  /// Applies a fault to all open and later connections; None ends the fault.
  auto setFault(LinkFault Fault) -> void;

  /// Resets all open connections, as a crash of the target does.
  auto resetConnections() -> void;

  /// Sets the function that decides, for each refusal (status 421 or 503) that
  /// the target sends in one block, whether a copy of it precedes the next
  /// response on its connection.
  auto setRefusalCopies(std::function<bool()> Decide) -> void {
    m_CopiesRefusal = std::move(Decide);
  }

  /// Returns the number of copies that were sent.
  [[nodiscard]] auto copiedRefusals() const -> int { return m_CopiedRefusals; }

private:
  class Connection;

  auto accept() -> void;
  auto remove(const Connection *Closed) -> void;

  EventLoop &m_Loop;
  std::string m_Target;
  LinkFault m_Fault = LinkFault::None;
  std::function<bool()> m_CopiesRefusal;
  int m_CopiedRefusals = 0;
  Socket m_Listener;
  std::list<std::unique_ptr<Connection>> m_Connections;
  std::unique_ptr<FdWatcher> m_Watcher;
};

} // namespace dotterel::soak

#endif // DOTTEREL_SOAK_FAULTPROXY_H
