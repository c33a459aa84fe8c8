//===- ScriptedStore.h - Store with scripted responses ----------*- C++ -*-===//
///
/// \file
/// Keeps calls pending until the test responds to them, at any time it chooses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_SCRIPTEDSTORE_H
#define DOTTEREL_TESTS_SUPPORT_SCRIPTEDSTORE_H

#include "dotterel/store/StoreWatch.h"

#include <deque>

namespace dotterel::test {

class ScriptedStore final : public KeyValueStore, public StoreWatch {
public:
  struct Watch {
    StoreRevision m_After;
    StoreCallback<WatchResult> m_Callback;
  };

  auto read(KeyRange /*Range*/, StoreCallback<RangeResult> Callback)
      -> void override {
    m_Reads.push_back(std::move(Callback));
  }
  auto commit(StoreTransaction /*Transaction*/,
              StoreCallback<TransactionResult> /*Callback*/) -> void override {}
  auto grantLease(Seconds /*Term*/, StoreCallback<LeaseId> /*Callback*/)
      -> void override {}
  auto renewLease(LeaseId /*Lease*/, StoreCallback<Seconds> /*Callback*/)
      -> void override {}
  auto revokeLease(LeaseId /*Lease*/, StoreCallback<bool> /*Callback*/)
      -> void override {}
  auto watch(const std::string & /*Prefix*/, StoreRevision After,
             Duration /*Wait*/, StoreCallback<WatchResult> Callback)
      -> void override {
    m_Watches.push_back({.m_After = After, .m_Callback = std::move(Callback)});
  }

  auto respondToRead(RangeResult Result) -> void {
    auto Callback = std::move(m_Reads.front());
    m_Reads.pop_front();
    Callback({.m_Response = std::move(Result)});
  }
  auto failRead() -> void {
    auto Callback = std::move(m_Reads.front());
    m_Reads.pop_front();
    Callback({.m_Failure = StoreFailure::Unknown});
  }
  auto respondToWatch(WatchResult Result) -> void {
    auto Pending = std::move(m_Watches.front());
    m_Watches.pop_front();
    Pending.m_Callback({.m_Response = std::move(Result)});
  }
  auto failWatch() -> void {
    auto Pending = std::move(m_Watches.front());
    m_Watches.pop_front();
    Pending.m_Callback({.m_Failure = StoreFailure::Unknown});
  }

  std::deque<StoreCallback<RangeResult>> m_Reads;
  std::deque<Watch> m_Watches;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_SCRIPTEDSTORE_H
