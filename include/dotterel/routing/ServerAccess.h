//===- ServerAccess.h - Permission to send to servers -----------*- C++ -*-===//
///
/// \file
/// Decides whether this process may send to a server, for a purpose, now.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_SERVERACCESS_H
#define DOTTEREL_ROUTING_SERVERACCESS_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/routing/ServerNotice.h"
#include "dotterel/routing/ServerRateLimits.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dotterel {

/// What is sent to a server.
enum class SendPurpose : std::uint8_t {
  Execute, ///< A request that the server executes.
  Prefill, ///< A request whose prompt the server prefills.
  Order,   ///< An order that changes the server's role.
  Release, ///< The release of a KV cache at the server.
  Probe,   ///< A query for the server's health or load.
};

/// Why something may not be sent.
enum class SendDenial : std::uint8_t {
  None,
  CallerLeft,  ///< The caller has disconnected.
  TimeOver,    ///< The request's time is over.
  Quarantined, ///< The request is suspected of crashing servers.
  Unlisted,    ///< The server is not registered.
  Restarted,   ///< The server has restarted since it was chosen.
  Draining,    ///< The server's registration takes it out of use.
  Leaving,     ///< The server has said that it is about to end.
  Paused,      ///< The server wants no requests for a while.
  RateLimited, ///< This process's share of the server's rate is used up.
  Ejected,     ///< The server has failed too often lately.
  /// Another software version than the server's began the stream.
  OtherVersion,
};

/// Returns the name used in logs and metrics.
auto nameOf(SendDenial Denial) -> const char *;

/// Returns whether the reason ends by itself after a time.
constexpr auto opensByItself(SendDenial Denial) -> bool {
  return Denial == SendDenial::Paused || Denial == SendDenial::RateLimited;
}

/// A server as a target. Refers to strings of the caller.
struct SendTarget {
  const BackendId &m_Backend;
  std::string_view m_Address;
  /// Identifies the start of the server; 0: unknown, and then the address does.
  std::uint64_t m_Start = 0;
  /// Whether a later start has a higher number.
  bool m_StartsOrdered = false;
  /// Whether the server's registration takes it out of use.
  bool m_Draining = false;
  bool m_Ejected = false;
};

/// State of a request that is to be sent.
struct SendConditions {
  /// The server as it is registered now; null if it is not.
  const SendTarget *m_Listed = nullptr;
  bool m_CallerPresent = true;
  bool m_Quarantined = false;
  Duration m_TimeLeft = Duration::max();
};

/// Permission to send once. Only ServerAccess issues it.
class SendPermit {
public:
  SendPermit(const SendPermit &) = delete;
  auto operator=(const SendPermit &) -> SendPermit & = delete;
  SendPermit(SendPermit &&) noexcept = default;
  auto operator=(SendPermit &&) noexcept -> SendPermit & = default;
  ~SendPermit() = default;

  [[nodiscard]] auto backend() const -> const BackendId & { return m_Backend; }
  [[nodiscard]] auto purpose() const -> SendPurpose { return m_Purpose; }

private:
  friend class ServerAccess;
  SendPermit(BackendId Backend, SendPurpose Purpose)
      : m_Backend(std::move(Backend)), m_Purpose(Purpose) {}

  BackendId m_Backend;
  SendPurpose m_Purpose;
};

/// A permission, or the reason why there is none.
struct SendDecision {
  std::optional<SendPermit> m_Permit;
  SendDenial m_Denial = SendDenial::None;
};

struct ServerAccessOptions {
  /// Part of a pause by which its end is delayed at most, and the maximum of
  /// that delay. Processes that a server has sent away at the same time return
  /// at different times.
  double m_ReturnSpread = 0.25;
  Duration m_MaxReturnSpread = Milliseconds(500);
  /// Differs between processes.
  std::uint64_t m_SpreadSeed = 0;
  /// Maximum number of servers whose notices are kept; the oldest are dropped.
  std::size_t m_MaxServers = 8192;
};

/// Permission to send to servers, by what they have said themselves, their
/// registration, their request rates, and the state of the request.
///
/// Notices hold for one start of a server and for this process alone: a server
/// pauses each sender for itself, and its registration tells the other
/// processes that it is about to end.
///
/// \invariant Nothing but releases and probes is permitted to a server that has
/// said that it is about to end, whatever its registration says afterwards,
/// until a later start of it is registered.
/// \invariant Nothing at all is permitted to a server during a pause.
class ServerAccess {
public:
  ServerAccess(const ServerRateLimitOptions &Limits,
               const ServerAccessOptions &Options)
      : m_Limits(Limits), m_Options(Options) {}

  [[nodiscard]] auto rateLimits() -> ServerRateLimits & { return m_Limits; }

  /// Records what a response of the start \p Source of a server states.
  /// Complexity: constant on average; linear when m_MaxServers is exceeded.
  auto recordNotice(const SendTarget &Source, const ServerNotice &Notice,
                    MonotonicTime Now) -> void;

  /// Returns why \p Target may receive nothing of this kind now, the state of a
  /// request aside. Complexity: constant on average but for the rate limits,
  /// logarithmic.
  [[nodiscard]] auto check(const SendTarget &Target, SendPurpose Purpose,
                           MonotonicTime Now) const -> SendDenial;

  /// Returns a permission to send to \p Chosen now, and counts a request
  /// against the server's rate.
  [[nodiscard]] auto admit(const SendTarget &Chosen, SendPurpose Purpose,
                           const SendConditions &Conditions, MonotonicTime Now)
      -> SendDecision;

  /// Returns the time until pauses and request rates let \p Target receive
  /// requests; Duration::max() if it must restart before that, or if this
  /// process has no share of its rate.
  [[nodiscard]] auto timeToOpen(const SendTarget &Target,
                                MonotonicTime Now) const -> Duration;

  /// Returns the numbers of servers that have said that they are about to end,
  /// and of those that pause. Complexity: linear.
  [[nodiscard]] auto leavingCount() const -> std::size_t;
  [[nodiscard]] auto pausedCount(MonotonicTime Now) const -> std::size_t;

private:
  struct Entry {
    std::string m_Address;
    std::uint64_t m_Start = 0;
    bool m_Leaving = false;
    MonotonicTime m_PausedUntil;
    MonotonicTime m_RecordedAt;
  };

  /// Returns the entry that holds for \p Target, or null.
  [[nodiscard]] auto find(const SendTarget &Target) const -> const Entry *;
  [[nodiscard]] auto returnDelay(const BackendId &Backend, Duration Pause,
                                 MonotonicTime Now) const -> Duration;
  auto dropOldest(MonotonicTime Now) -> void;

  ServerRateLimits m_Limits;
  ServerAccessOptions m_Options;
  std::unordered_map<BackendId, Entry> m_Entries;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_SERVERACCESS_H
