//===- FaultyStore.h - Store with faults at chosen calls --------*- C++ -*-===//
///
/// \file
/// One process's access to a shared StoreModel, with a fault at each call that
/// a test names.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_FAULTYSTORE_H
#define DOTTEREL_TESTS_SUPPORT_FAULTYSTORE_H

#include "VirtualScheduler.h"
#include "dotterel/store/InMemoryStore.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace dotterel::test {

enum class StoreFault : std::uint8_t {
  None,
  Refuse,      ///< No effect, and the caller learns so.
  LoseRequest, ///< No effect, and the caller does not know.
  LoseAnswer,  ///< Takes effect, and the caller does not know.
  LateEffect,  ///< The caller gives up; the effect follows long after.
};

/// Delays each call and plants faults by call number, counted from 1.
class FaultyStore final : public KeyValueStore {
public:
  FaultyStore(VirtualScheduler &Scheduler, StoreModel &Model)
      : m_Scheduler(Scheduler), m_Model(Model) {}

  auto faultAt(std::uint64_t Call, StoreFault Fault) -> void {
    m_Faults[Call] = Fault;
  }

  /// Fails every call from now on in this way.
  auto setOutage(StoreFault Fault) -> void { m_Outage = Fault; }

  /// Holds every call back, as a process that is paused before it sends.
  auto pause() -> void { m_Paused = true; }

  /// Sends the calls that were held back.
  auto resume() -> void {
    m_Paused = false;
    for (auto &Call : std::exchange(m_Held, {}))
      Call();
  }

  [[nodiscard]] auto calls() const -> std::uint64_t { return m_Calls; }

  auto read(KeyRange Range, StoreCallback<RangeResult> Callback)
      -> void override {
    run<RangeResult>([this, Range] { return m_Model.read(Range); },
                     std::move(Callback));
  }
  auto commit(StoreTransaction Transaction,
              StoreCallback<TransactionResult> Callback) -> void override {
    run<TransactionResult>(
        [this, Transaction] { return m_Model.commit(Transaction); },
        std::move(Callback));
  }
  auto grantLease(Seconds Term, StoreCallback<LeaseId> Callback)
      -> void override {
    run<LeaseId>([this, Term] { return m_Model.grantLease(Term); },
                 std::move(Callback));
  }
  auto keepLease(LeaseId Lease, StoreCallback<Seconds> Callback)
      -> void override {
    run<Seconds>([this, Lease] { return m_Model.keepLease(Lease); },
                 std::move(Callback));
  }
  auto revokeLease(LeaseId Lease, StoreCallback<bool> Callback)
      -> void override {
    run<bool>([this, Lease] { return m_Model.revokeLease(Lease); },
              std::move(Callback));
  }

private:
  template <typename Answer, typename Effect>
  auto run(Effect Action, StoreCallback<Answer> Callback) -> void {
    if (m_Paused) {
      m_Held.push_back(
          [this, Action, Callback] { run<Answer>(Action, Callback); });
      return;
    }
    auto Fault = m_Outage;
    ++m_Calls;
    if (auto Found = m_Faults.find(m_Calls); Found != m_Faults.end())
      Fault = Found->second;
    constexpr auto OneWay = Milliseconds(1);
    constexpr auto GiveUp = Milliseconds(500);
    constexpr auto Late = Milliseconds(2500);
    switch (Fault) {
    case StoreFault::None:
      m_Scheduler.schedule(OneWay, [this, Action, Callback, OneWay] {
        auto Result = StoreReply<Answer>{.m_Answer = Action()};
        m_Scheduler.schedule(OneWay, [Result, Callback] { Callback(Result); });
      });
      return;
    case StoreFault::Refuse:
      m_Scheduler.schedule(OneWay * 2, [Callback] {
        Callback({.m_Failure = StoreFailure::Refused});
      });
      return;
    case StoreFault::LoseRequest:
      break;
    case StoreFault::LoseAnswer:
      m_Scheduler.schedule(OneWay, [Action] { Action(); });
      break;
    case StoreFault::LateEffect:
      m_Scheduler.schedule(Late, [Action] { Action(); });
      break;
    }
    m_Scheduler.schedule(
        GiveUp, [Callback] { Callback({.m_Failure = StoreFailure::Unknown}); });
  }

  VirtualScheduler &m_Scheduler;
  StoreModel &m_Model;
  std::map<std::uint64_t, StoreFault> m_Faults;
  StoreFault m_Outage = StoreFault::None;
  std::uint64_t m_Calls = 0;
  bool m_Paused = false;
  std::vector<std::function<void()>> m_Held;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_FAULTYSTORE_H
