//===- LossInspector.h - Was a backend server lost? -------------*- C++ -*-===//
///
/// \file
/// Tells a broken connection from the loss of a backend server.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_LOSSINSPECTOR_H
#define DOTTEREL_GATE_LOSSINSPECTOR_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/io/HttpClient.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace dotterel {

/// Asks a server whose connections broke whether it still lives.
class LossInspector {
public:
  /// \p Announce tells the other gates of new evidence and calls back when
  /// they know, or after a short while.
  LossInspector(Scheduler &Scheduler, HttpClient &Client, EngineTable &Engines,
                CrashRegistry &Crashes,
                std::function<void(std::function<void()>)> Announce)
      : m_Scheduler(Scheduler), m_Client(Client), m_Engines(Engines),
        m_Crashes(Crashes), m_Announce(std::move(Announce)) {}

  /// Inspects \p Id, on which the gate's current flights ran, and calls \p Done
  /// once the verdicts of their digests are up to date here and elsewhere.
  auto inspect(const BackendId &Id, std::function<void(bool)> Done) -> void;

private:
  struct Inspection {
    std::map<RequestDigest, bool> m_Running; ///< And whether it ran alone.
    std::vector<std::function<void(bool)>> m_Waiters;
  };

  auto conclude(const BackendId &Id, bool Lost) -> void;

  Scheduler &m_Scheduler;
  HttpClient &m_Client;
  EngineTable &m_Engines;
  CrashRegistry &m_Crashes;
  std::function<void(std::function<void()>)> m_Announce;
  std::map<BackendId, Inspection> m_Inspections;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_LOSSINSPECTOR_H
