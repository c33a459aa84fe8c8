//===- BackendClient.h - Calls to backend servers ---------------*- C++ -*-===//
///
/// \file
/// The HTTP client of gates and stewards for backend servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_BACKENDCLIENT_H
#define DOTTEREL_FLEET_BACKENDCLIENT_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/io/HttpClient.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace dotterel {

/// Sends calls to the servers of an engine table, as far as the table permits
/// them, and records what the responses state about further ones.
class BackendClient {
public:
  /// The arguments must outlive the object.
  BackendClient(Scheduler &Scheduler, HttpClient &Client, EngineTable &Engines)
      : m_Scheduler(Scheduler), m_Client(Client), m_Engines(Engines) {}

  /// Registers a callback for calls that are not permitted.
  auto onDenied(std::function<void(SendDenial)> Callback) -> void {
    m_OnDenied = std::move(Callback);
  }

  /// Starts a call to \p Backend. A call that is not permitted ends with
  /// HttpOutcome::NotSent in the next iteration of the event loop.
  auto start(const BackendId &Backend, SendPurpose Purpose, HttpCall Call)
      -> HttpCallId;

  /// Cancels a call. No callback follows.
  auto cancel(HttpCallId Call) -> void;

private:
  /// Has the notices of all responses to \p Call recorded.
  auto watchNotices(const BackendId &Backend, HttpCall &Call) -> void;
  auto recordNotice(const BackendId &Backend, unsigned Status,
                    const HttpHeaders &Headers) -> void;
  auto deny(const BackendId &Backend, SendPurpose Purpose, SendDenial Denial,
            HttpCall Call) -> HttpCallId;

  Scheduler &m_Scheduler;
  HttpClient &m_Client;
  EngineTable &m_Engines;
  std::function<void(SendDenial)> m_OnDenied;
  /// Timers of the calls that were not permitted, by their ids.
  std::unordered_map<HttpCallId, TimerId> m_Denied;
  std::uint64_t m_LastDenied = 0;
  std::shared_ptr<bool> m_Lifetime = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_BACKENDCLIENT_H
