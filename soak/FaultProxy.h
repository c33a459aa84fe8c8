//===- FaultProxy.h - Loopback proxy that harms connections -----*- C++ -*-===//
///
/// \file
/// Stands between two processes and delays, silences, cuts or resets what they
/// say to each other.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SOAK_FAULTPROXY_H
#define DOTTEREL_SOAK_FAULTPROXY_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/Socket.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace dotterel::soak {

enum class LinkFault : std::uint8_t {
  None,
  Delay,       ///< All bytes arrive later.
  Silence,     ///< Nothing arrives, connections stay open.
  CutRequests, ///< Nothing arrives at the target.
  CutAnswers,  ///< Nothing arrives from the target.
  Reset,       ///< Connections are reset, new ones too.
};

auto nameOf(LinkFault Fault) -> const char *;

/// Passes TCP connections on to one address.
///
/// \invariant Bytes that a fault held back arrive in their order once it has
/// ended, as after lost packets, unless their connection was reset.
class FaultProxy {
public:
  FaultProxy(EventLoop &Loop, std::string Target);
  ~FaultProxy();

  [[nodiscard]] auto address() const -> std::string;

  auto setFault(LinkFault Fault) -> void;

private:
  class Link;

  auto accept() -> void;
  auto remove(const Link *Ended) -> void;

  EventLoop &m_Loop;
  std::string m_Target;
  LinkFault m_Fault = LinkFault::None;
  Socket m_Listener;
  std::list<std::unique_ptr<Link>> m_Links;
  std::unique_ptr<FdWatcher> m_Watcher;
};

} // namespace dotterel::soak

#endif // DOTTEREL_SOAK_FAULTPROXY_H
