//===- DatagramNetwork.h - Datagrams between tested hosts -------*- C++ -*-===//
///
/// \file
/// Datagram ports that are connected by a simulated network in virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_DATAGRAMNETWORK_H
#define DOTTEREL_TESTS_SUPPORT_DATAGRAMNETWORK_H

#include "VirtualScheduler.h"
#include "dotterel/base/Random.h"
#include "dotterel/peers/DatagramPort.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dotterel::test {

/// The network between the hosts of one test. It delivers each datagram after
/// m_Delay and up to m_MaxJitter, and loses and repeats some at random.
class DatagramNetwork {
public:
  explicit DatagramNetwork(VirtualScheduler &Scheduler)
      : m_Scheduler(Scheduler) {}

  class Port final : public DatagramPort {
  public:
    Port(DatagramNetwork &Owner, std::string Address)
        : m_Owner(Owner), m_Address(std::move(Address)) {
      Owner.m_Ports[m_Address] = this;
    }
    auto send(const std::string &Address, std::string_view Bytes)
        -> void override {
      m_Owner.transmit(m_Address, Address, std::string(Bytes));
    }
    auto onReceive(
        std::function<void(const std::string &, std::string_view)> Callback)
        -> void override {
      m_OnReceive = std::move(Callback);
    }
    [[nodiscard]] auto address() const -> std::string override {
      return m_Address;
    }

    [[nodiscard]] auto dropped() const -> std::uint64_t override { return 0; }

    std::function<void(const std::string &, std::string_view)> m_OnReceive;

  private:
    DatagramNetwork &m_Owner;
    std::string m_Address;
  };

  auto transmit(const std::string &From, const std::string &To,
                std::string Bytes) -> void {
    if (m_Cut || (m_IsCut && m_IsCut(From, To)))
      return;
    m_SentSizes.push_back(Bytes.size());
    if (m_Random.unit() < m_RepeatRate)
      deliver(From, To, Bytes);
    if (m_Random.unit() >= m_LossRate)
      deliver(From, To, std::move(Bytes));
  }

  Duration m_Delay = Milliseconds(1);
  Duration m_MaxJitter = Duration::zero(); ///< Reorders datagrams.
  double m_LossRate = 0;
  double m_RepeatRate = 0;
  Random m_Random{1};
  /// Returns whether there is no connection between two addresses.
  std::function<bool(const std::string &, const std::string &)> m_IsCut;
  bool m_Cut = false;
  std::vector<std::size_t> m_SentSizes; ///< Bytes of each datagram, in order.
  std::map<std::string, Port *> m_Ports;

private:
  auto deliver(const std::string &From, const std::string &To,
               std::string Bytes) -> void {
    auto Jitter = Duration(static_cast<Duration::rep>(
        m_Random.below(static_cast<std::uint64_t>(m_MaxJitter.count()) + 1)));
    m_Scheduler.schedule(
        m_Delay + Jitter, [this, From, To, Bytes = std::move(Bytes)] {
          if (auto Found = m_Ports.find(To);
              Found != m_Ports.end() && Found->second->m_OnReceive)
            Found->second->m_OnReceive(From, Bytes);
        });
  }

  VirtualScheduler &m_Scheduler;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_DATAGRAMNETWORK_H
