//===- HostileCrowd.h - Callers that keep to no limits ----------*- C++ -*-===//
///
/// \file
/// Connections on which callers announce, send and read as no proper client
/// does.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_HOSTILECROWD_H
#define DOTTEREL_TESTS_SUPPORT_HOSTILECROWD_H

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace dotterel::test {

/// What each caller of a crowd does. The bytes sent on a connection are m_Head,
/// m_Blocks times m_Block, and m_Trickle again and again.
struct HostileBehaviour {
  std::string m_Head;
  std::string m_Block;
  std::size_t m_Blocks = 0;
  std::string m_Trickle; ///< Sent every 100 ms. Empty: nothing is.
  bool m_Reads = true;
  std::size_t m_Callers = 40;
  /// Connections of a caller, one after the other: the next one begins when the
  /// server has closed the last one.
  int m_Connections = 1;
};

/// Runs a crowd in a thread of its own, until it is destroyed.
class HostileCrowd {
public:
  /// \p Address is an IPv4 loopback address, IP:PORT.
  HostileCrowd(const std::string &Address, HostileBehaviour Behaviour);
  HostileCrowd(const HostileCrowd &) = delete;
  auto operator=(const HostileCrowd &) -> HostileCrowd & = delete;
  ~HostileCrowd();

  /// Returns whether each caller has sent all of its blocks, or lost its last
  /// connection.
  [[nodiscard]] auto sentAll() const -> bool { return m_SentAll; }
  [[nodiscard]] auto sentBytes() const -> std::size_t { return m_SentBytes; }

private:
  struct Caller {
    int m_Fd = -1;
    int m_Connections = 0; ///< Including the current one.
    std::size_t m_Sent = 0;
    std::size_t m_Trickled = 0;
  };

  auto run() -> void;
  auto connect(Caller &Target) -> void;
  auto disconnect(Caller &Target) -> void;
  auto send(Caller &Target, bool TrickleDue) -> void;
  auto receive(Caller &Target) -> void;
  [[nodiscard]] auto totalBytes() const -> std::size_t {
    return m_Behaviour.m_Head.size() +
           m_Behaviour.m_Blocks * m_Behaviour.m_Block.size();
  }
  [[nodiscard]] auto done(const Caller &Target) const -> bool {
    return Target.m_Fd < 0 || Target.m_Sent == totalBytes();
  }

  HostileBehaviour m_Behaviour;
  unsigned m_Port;
  std::vector<Caller> m_Callers;
  std::atomic<bool> m_Stop = false;
  std::atomic<bool> m_SentAll = false;
  std::atomic<std::size_t> m_SentBytes = 0;
  std::thread m_Thread;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_HOSTILECROWD_H
