//===- BackendTransport.h - Attempts at backend servers ---------*- C++ -*-===//
///
/// \file
/// Interface through which the serving core sends requests to backend servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDTRANSPORT_H
#define DOTTEREL_SERVING_BACKENDTRANSPORT_H

#include "dotterel/routing/ServerAccess.h"
#include "dotterel/serving/BackendRecord.h"
#include "dotterel/serving/CallerExchange.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// Location of a prompt's KV cache.
struct CacheHandle {
  /// Address of the engine that holds the cache, `IP:PORT`.
  std::string m_Address;
  std::string m_Handle;
};

/// What an attempt asks a backend server to do.
enum class AttemptPurpose : std::uint8_t {
  Serve,   ///< Execute the request and respond to it.
  Prefill, ///< Prefill the prompt and keep the KV cache for another engine.
};

/// One attempt to execute a request, or to prefill its prompt, at a backend
/// server.
struct BackendAttempt {
  const CallerRequest *m_Request = nullptr; ///< Must outlive the attempt.
  BackendId m_Backend;
  std::string m_Address;
  AttemptPurpose m_Purpose = AttemptPurpose::Serve;
  /// The server stops working on the request after this time.
  Duration m_TimeLeft{};
  OrganisationId m_Organisation;
  /// Scheduling rank at an engine; 0 is scheduled first. If empty, the engine
  /// uses its default.
  std::optional<std::uint32_t> m_Rank;
  /// KV cache of a prompt that another engine has prefilled.
  std::optional<CacheHandle> m_Cache;
  /// Address of the engine from which the server first fetches cached prompt
  /// parts.
  std::string m_FetchFrom;
  std::string m_ResumeAfter; ///< Id of the event after which a stream resumes.
  /// Whether the request may be sent over a reused connection, which the server
  /// may have closed in the meantime.
  bool m_ReuseConnection = true;
};

/// Load that a server reports with a response.
struct LoadReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_Slots = 0;
  /// How many times as long as usual work takes at the server now. Empty if the
  /// server does not state it.
  std::optional<double> m_WorkFactor;
};

/// What a server reports about itself with a response.
struct ServerReport {
  std::optional<LoadReport> m_Load;
  /// Requests per second that the server takes from all hosts together. Empty:
  /// it has no limit.
  std::optional<RequestRate> m_RateLimit;
  /// Whether and until when the server takes requests of this host. Also set if
  /// the response then broke off.
  ServerNotice m_Notice;
};

/// Outcome of an attempt.
enum class AttemptOutcome : std::uint8_t {
  Complete,    ///< The complete response was received.
  NotSent,     ///< No part of the request reached the server.
  NotExecuted, ///< The server reports that it did not execute the request.
  /// A different server now uses the address; the request was not executed.
  WrongServer,
  /// The connection failed or the response was not valid; the request may have
  /// been executed.
  Failed,
  /// No complete response before the timeout; the request may have been
  /// executed.
  TimedOut,
};

struct AttemptResult {
  AttemptOutcome m_Outcome = AttemptOutcome::NotSent;
  ResponseHead m_Head;
  std::string m_Body; ///< Body of a response that was not streamed.
  std::optional<CacheHandle> m_Cache; ///< KV cache that a prefill produced.
  ServerReport m_Report;
  std::string m_Detail;
  /// The server announced that it closes the connection.
  bool m_ConnectionClosing = false;
  bool m_ReusedConnection = false;
  /// The response had no length and ended with its connection, which also ends
  /// when the server crashes.
  bool m_EndedByClose = false;
  /// The response does not repeat the request's id.
  bool m_Unnamed = false;
  /// Number of responses to other requests that came before the response.
  std::uint32_t m_SkippedResponses = 0;
};

/// Receives the response to an attempt.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  /// Called when a successful response to a streaming request begins.
  virtual auto onBegin(const ResponseHead &Head, const ServerReport &Report)
      -> void = 0;
  virtual auto onData(std::string_view Data) -> void = 0;
  virtual auto onEnd(AttemptResult Result) -> void = 0;
};

using TransportId = NumberId<struct TransportTag>;

/// Sends attempts to backend servers. No callback runs inside send(), cancel()
/// or checkReachable().
class BackendTransport {
public:
  virtual ~BackendTransport() = default;

  /// Starts the attempt that \p Permit allows. \p Listener must outlive it. If
  /// \p Stream is set, a successful response is passed to the listener in
  /// pieces, as it arrives.
  virtual auto send(SendPermit Permit, const BackendAttempt &Attempt,
                    bool Stream, AttemptListener &Listener) -> TransportId = 0;

  /// Cancels an attempt and closes its connection. No callback follows.
  virtual auto cancel(TransportId Attempt) -> void = 0;

  /// Releases a KV cache that no engine will fetch. Calls \p Done with what the
  /// server's response states, if there is one.
  virtual auto release(SendPermit Permit, const CacheHandle &Cache,
                       std::function<void(const ServerNotice &)> Done)
      -> void = 0;

  /// Calls \p Done with whether the server at \p Address still accepts
  /// connections. Sends no request, and so needs no permission. There is no
  /// callback if the transport is destroyed first.
  virtual auto checkReachable(const std::string &Address,
                              std::function<void(bool)> Done) -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDTRANSPORT_H
