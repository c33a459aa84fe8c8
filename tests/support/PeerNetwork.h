//===- PeerNetwork.h - Peer calls in virtual time ---------------*- C++ -*-===//
///
/// \file
/// Delivers peer calls between the processes of one test, with simulated
/// network partitions and pauses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_PEERNETWORK_H
#define DOTTEREL_TESTS_SUPPORT_PEERNETWORK_H

#include "VirtualScheduler.h"
#include "dotterel/rpc/Peer.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace dotterel::test {

/// The network between the processes, with the pairs that cannot reach each
/// other. Addresses are names.
class PeerNetwork {
public:
  explicit PeerNetwork(VirtualScheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto attach(const std::string &Address, PeerService &Service) -> void {
    m_Services[Address] = &Service;
  }
  auto detach(const std::string &Address) -> void { m_Services.erase(Address); }
  auto cut(const std::string &A, const std::string &B) -> void {
    m_Cuts.insert(std::minmax(A, B));
  }
  auto heal() -> void { m_Cuts.clear(); }

  /// Calls \p Action on the target after a delay, or \p Fail if the target
  /// cannot be reached.
  auto deliver(const std::string &From, const std::string &To,
               std::function<void(PeerService &)> Action,
               std::function<void()> Fail) -> void {
    constexpr auto OneWay = Milliseconds(5);
    constexpr auto Timeout = Milliseconds(1500);
    if (!reaches(From, To)) {
      m_Scheduler.schedule(Timeout, std::move(Fail));
      return;
    }
    m_Scheduler.schedule(
        OneWay, [this, To, Action = std::move(Action), Fail = std::move(Fail)] {
          auto Found = m_Services.find(To);
          if (Found == m_Services.end())
            Fail();
          else
            Action(*Found->second);
        });
  }

  auto reaches(const std::string &From, const std::string &To) const -> bool {
    return m_Services.contains(To) && !m_Cuts.contains(std::minmax(From, To));
  }

  auto scheduler() -> VirtualScheduler & { return m_Scheduler; }

private:
  VirtualScheduler &m_Scheduler;
  std::map<std::string, PeerService *> m_Services;
  std::set<std::pair<std::string, std::string>> m_Cuts;
};

/// The peer calls of one process.
class NetworkCaller final : public PeerCaller {
public:
  NetworkCaller(PeerNetwork &Network, std::string Self)
      : m_Network(Network), m_Self(std::move(Self)) {}

  auto exchange(const std::string &Address, const PeerView &View,
                PeerCallback<PeerView> Callback) -> void override {
    run<PeerView>(
        Address,
        [View](PeerService &Service, auto Done) {
          Done(Service.onExchange(View));
        },
        std::move(Callback));
  }
  auto fetchConfiguration(const std::string &Address,
                          const std::vector<std::uint64_t> &Known,
                          PeerCallback<ConfigurationDelta> Callback)
      -> void override {
    run<ConfigurationDelta>(
        Address,
        [Known](PeerService &Service, auto Done) {
          Done(Service.onFetchConfiguration(Known));
        },
        std::move(Callback));
  }
  auto claim(const std::string &Address, const Claim &Request,
             PeerCallback<ClaimReply> Callback) -> void override {
    run<ClaimReply>(
        Address,
        [Request](PeerService &Service, auto Done) {
          Service.onClaim(Request, Done);
        },
        std::move(Callback));
  }
  auto recordOutcome(const std::string &Address, const ClaimOutcome &Outcome,
                     PeerCallback<bool> Callback) -> void override {
    run<bool>(
        Address,
        [Outcome](PeerService &Service, auto Done) {
          Service.onOutcome(Outcome, Done);
        },
        std::move(Callback));
  }
  auto replicateUsage(const std::string &Address, const UsageSegment &Segment,
                      PeerCallback<bool> Callback) -> void override {
    run<bool>(
        Address,
        [Segment](PeerService &Service, auto Done) {
          Service.onUsage(Segment);
          Done(true);
        },
        std::move(Callback));
  }

private:
  template <typename Reply, typename Action>
  auto run(const std::string &Address, Action Call,
           PeerCallback<Reply> Callback) -> void {
    m_Network.deliver(
        m_Self, Address,
        [this, Address, Call, Callback](PeerService &Service) {
          Call(Service, std::function<void(Reply)>([this, Address,
                                                    Callback](Reply Result) {
                 constexpr auto OneWay = Milliseconds(5);
                 constexpr auto Timeout = Milliseconds(1500);
                 auto Arrives = m_Network.reaches(Address, m_Self);
                 m_Network.scheduler().schedule(
                     Arrives ? OneWay : Timeout, [Callback, Result, Arrives] {
                       Callback(Arrives ? std::optional<Reply>(Result)
                                        : std::nullopt);
                     });
               }));
        },
        [Callback] { Callback(std::nullopt); });
  }

  PeerNetwork &m_Network;
  std::string m_Self;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_PEERNETWORK_H
