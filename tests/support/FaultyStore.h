//===- FaultyStore.h - Store with faults at chosen calls --------*- C++ -*-===//
///
/// \file
/// One process's access to a shared InMemoryStore, with faults injected at
/// calls that the test chooses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_FAULTYSTORE_H
#define DOTTEREL_TESTS_SUPPORT_FAULTYSTORE_H

#include "VirtualScheduler.h"
#include "dotterel/store/InMemoryStore.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace dotterel::test {

enum class StoreFault : std::uint8_t {
  None,
  Refuse,       ///< No effect; the caller gets a refusal.
  LoseRequest,  ///< No effect; the caller gets an unknown outcome.
  LoseResponse, ///< Takes effect; the caller gets an unknown outcome.
  LateEffect,   ///< Takes effect long after the caller has timed out.
};

/// Delays each call and injects faults by call number, counted from 1. A call
/// that was sent takes effect even after its sender has been destroyed, which
/// then gets no response.
class FaultyStore final : public KeyValueStore, public StoreWatch {
public:
  FaultyStore(VirtualScheduler &Scheduler, InMemoryStore &Model)
      : m_Scheduler(Scheduler), m_Model(Model) {}

  auto faultAt(std::uint64_t Call, StoreFault Fault) -> void {
    m_Faults[Call] = Fault;
  }

  /// Injects \p Fault into every call from now on.
  auto setOutage(StoreFault Fault) -> void { m_Outage = Fault; }

  /// Delays every call until resume(), like a process that is paused before it
  /// sends.
  auto pause() -> void { m_Paused = true; }

  /// Sends the delayed calls.
  auto resume() -> void {
    m_Paused = false;
    for (auto &Call : std::exchange(m_DelayedCalls, {}))
      Call();
  }

  [[nodiscard]] auto calls() const -> std::uint64_t { return m_Calls; }

  auto read(KeyRange Range, StoreCallback<RangeResult> Callback)
      -> void override {
    run<RangeResult>([&Model = m_Model, Range] { return Model.read(Range); },
                     std::move(Callback));
  }
  auto commit(StoreTransaction Transaction,
              StoreCallback<TransactionResult> Callback) -> void override {
    run<TransactionResult>(
        [&Model = m_Model, Transaction] { return Model.commit(Transaction); },
        std::move(Callback));
  }
  auto grantLease(Seconds Term, StoreCallback<LeaseId> Callback)
      -> void override {
    run<LeaseId>([&Model = m_Model, Term] { return Model.grantLease(Term); },
                 std::move(Callback));
  }
  auto renewLease(LeaseId Lease, StoreCallback<Seconds> Callback)
      -> void override {
    run<Seconds>([&Model = m_Model, Lease] { return Model.renewLease(Lease); },
                 std::move(Callback));
  }
  auto revokeLease(LeaseId Lease, StoreCallback<bool> Callback)
      -> void override {
    run<bool>([&Model = m_Model, Lease] { return Model.revokeLease(Lease); },
              std::move(Callback));
  }
  auto watch(const std::string &Prefix, StoreRevision After, Duration Wait,
             StoreCallback<WatchResult> Callback) -> void override {
    poll(Prefix, After, m_Scheduler.now() + Wait, Callback);
  }

private:
  /// Repeats the call until there are changes or \p Until has come.
  auto poll(const std::string &Prefix, StoreRevision After, MonotonicTime Until,
            const StoreCallback<WatchResult> &Callback) -> void {
    constexpr auto PollInterval = Milliseconds(10);
    run<WatchResult>(
        [&Model = m_Model, Prefix, After] {
          return Model.changes(Prefix, After);
        },
        [this, Prefix, After, Until, Callback,
         PollInterval](const auto &Reply) {
          auto Idle = Reply && !Reply->m_HistoryLost &&
                      Reply->m_Changes.empty() && m_Scheduler.now() < Until;
          if (!Idle) {
            Callback(Reply);
            return;
          }
          whileAlive(PollInterval, [this, Prefix, After, Until, Callback] {
            poll(Prefix, After, Until, Callback);
          });
        });
  }

  /// Runs \p Action after \p Delay unless this object has been destroyed.
  auto whileAlive(Duration Delay, std::function<void()> Action) -> void {
    m_Scheduler.schedule(
        Delay, [Alive = std::weak_ptr(m_Alive), Action = std::move(Action)] {
          if (!Alive.expired())
            Action();
        });
  }

  template <typename Response, typename Effect>
  auto run(Effect Action, StoreCallback<Response> Callback) -> void {
    if (m_Paused) {
      m_DelayedCalls.push_back(
          [this, Action, Callback] { run<Response>(Action, Callback); });
      return;
    }
    auto Fault = m_Outage;
    ++m_Calls;
    if (auto Found = m_Faults.find(m_Calls); Found != m_Faults.end())
      Fault = Found->second;
    constexpr auto OneWay = Milliseconds(1);
    constexpr auto CallerTimeout = Milliseconds(500);
    constexpr auto LateEffectDelay = Milliseconds(2500);
    switch (Fault) {
    case StoreFault::None:
      m_Scheduler.schedule(OneWay, [this, Alive = std::weak_ptr(m_Alive),
                                    Action, Callback, OneWay] {
        auto Result = StoreReply<Response>{.m_Response = Action()};
        if (Alive.expired())
          return;
        auto Era = m_Model.era();
        whileAlive(OneWay, [this, Result, Callback, Era] {
          if (history().observe(Era))
            Callback(Result);
          else
            Callback({.m_Failure = StoreFailure::Unknown});
        });
      });
      return;
    case StoreFault::Refuse:
      whileAlive(OneWay * 2, [Callback] {
        Callback({.m_Failure = StoreFailure::Refused});
      });
      return;
    case StoreFault::LoseRequest:
      break;
    case StoreFault::LoseResponse:
      m_Scheduler.schedule(OneWay, [Action] { Action(); });
      break;
    case StoreFault::LateEffect:
      m_Scheduler.schedule(LateEffectDelay, [Action] { Action(); });
      break;
    }
    whileAlive(CallerTimeout,
               [Callback] { Callback({.m_Failure = StoreFailure::Unknown}); });
  }

  VirtualScheduler &m_Scheduler;
  InMemoryStore &m_Model;
  std::map<std::uint64_t, StoreFault> m_Faults;
  StoreFault m_Outage = StoreFault::None;
  std::uint64_t m_Calls = 0;
  bool m_Paused = false;
  std::vector<std::function<void()>> m_DelayedCalls;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_FAULTYSTORE_H
