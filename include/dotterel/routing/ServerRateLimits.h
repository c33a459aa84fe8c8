//===- ServerRateLimits.h - Request rates named by servers ------*- C++ -*-===//
///
/// \file
/// Tracks the request rates to which backend servers limit all senders
/// together, and grants this process's share of them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_SERVERRATELIMITS_H
#define DOTTEREL_ROUTING_SERVERRATELIMITS_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

struct ServerRateLimitOptions {
  /// Age from which a report no longer counts. A server of which nothing has
  /// been heard for so long is used without a limit again.
  Duration m_MaxReportAge = Seconds(30);
  /// Age up to which an own report is announced to other processes.
  Duration m_AnnounceAge = Seconds(1);
  /// Minimum number of senders that share a rate, if there are as many, so that
  /// a server stays in use while one of them is down.
  std::size_t m_MinSharers = 3;
  /// Time for which an unused share accumulates permits, of which a sharer may
  /// always keep one.
  Duration m_AccumulationTime = Milliseconds(500);
};

/// What the newest response of a server states about its request rate.
struct RateLimitReport {
  BackendId m_Backend;
  std::optional<RequestRate> m_Limit; ///< Empty: the server has no limit.
  Duration m_Age{};                   ///< Time since the response arrived.
};

/// The time in which other processes count this one among the senders.
struct SenderTerm {
  MonotonicTime m_Begin = MonotonicTime::min();
  MonotonicTime m_End = MonotonicTime::max();
  /// Part of its shares that this process uses outside the term, when others
  /// may use them as well.
  double m_PartOutside = 0;

  auto operator==(const SenderTerm &) const -> bool = default;

  [[nodiscard]] auto contains(MonotonicTime Time) const -> bool {
    return m_Begin <= Time && Time < m_End;
  }
};

/// Request rates to which backend servers limit all senders together.
///
/// The rate of a server is shared equally by a few senders, chosen by
/// rendezvous hashing, and thus without communication the same on every process
/// that knows the same senders. The others do not use the server.
///
/// \invariant A server gets from all sharers together at most its rate times
/// the length of an interval, plus one request of each sharer or half a
/// second's requests, while the processes agree on the senders. A process that
/// becomes a sharer starts without permits.
class ServerRateLimits {
public:
  explicit ServerRateLimits(const ServerRateLimitOptions &Options)
      : m_Options(Options) {}

  /// Sets the names of the processes that send requests to the servers: this
  /// one and the others. Before the first call a server with a limit is not
  /// used. Complexity: linear in the number of processes if these are the same
  /// as before; otherwise times the number of servers with a limit.
  auto setSenders(const std::string &Self, std::vector<std::string> Others,
                  MonotonicTime Now) -> void;

  /// Sets the time in which this process uses its shares whole: outside it, the
  /// others may have divided them among themselves. Unlimited before the first
  /// call.
  auto setTerm(const SenderTerm &Term, MonotonicTime Now) -> void;

  /// Records a response of the server: it names \p Limit, or no limit if that
  /// is empty.
  auto recordResponse(const BackendId &Backend,
                      std::optional<RequestRate> Limit, MonotonicTime Now)
      -> void;

  /// Records what another process has reported.
  auto merge(const RateLimitReport &Report, MonotonicTime Now) -> void;

  /// Discards what \p Backend stated before it restarted. Servers that have
  /// ended are discarded once their reports no longer count.
  auto remove(const BackendId &Backend) -> void;

  /// Returns the limit in force, or nothing if there is none.
  [[nodiscard]] auto limit(const BackendId &Backend, MonotonicTime Now) const
      -> std::optional<RequestRate>;

  /// Returns whether a request may be sent to the server now.
  [[nodiscard]] auto permits(const BackendId &Backend, MonotonicTime Now) const
      -> bool;

  /// Returns the time until a request may be sent to the server;
  /// Duration::max() if this process has no share of its rate.
  [[nodiscard]] auto timeToPermit(const BackendId &Backend,
                                  MonotonicTime Now) const -> Duration;

  /// Records that a request is sent to the server.
  auto recordRequest(const BackendId &Backend, MonotonicTime Now) -> void;

  /// Returns the recent reports from this process's own responses.
  [[nodiscard]] auto ownReports(MonotonicTime Now) const
      -> std::vector<RateLimitReport>;

  /// Returns the newest report of each server, own or learnt, that still
  /// counts.
  [[nodiscard]] auto allReports(MonotonicTime Now) const
      -> std::vector<RateLimitReport>;

  /// Returns the number of servers with a limit. Complexity: linear in the
  /// number of servers that have named one.
  [[nodiscard]] auto limitedCount(MonotonicTime Now) const -> std::size_t;

private:
  struct Statement {
    std::optional<RequestRate> m_Limit;
    MonotonicTime m_At;
  };

  struct Entry {
    std::optional<Statement> m_Own; ///< From the newest own response.
    std::optional<Statement> m_Learnt;
    /// Number of other senders that precede this one in the order by which
    /// sharers are chosen; empty before the senders are known.
    std::optional<std::size_t> m_Rank;
    double m_Permits = 0; ///< At m_RefilledAt; negative: sent in advance.
    MonotonicTime m_RefilledAt;
  };

  [[nodiscard]] static auto newest(const Entry &Item) -> const Statement &;
  [[nodiscard]] auto limitOf(const Entry &Item, MonotonicTime Now) const
      -> std::optional<RequestRate>;
  /// Returns the number of senders that share \p Limit.
  [[nodiscard]] auto sharerCount(RequestRate Limit) const -> std::size_t;
  [[nodiscard]] auto shareOf(const Entry &Item, RequestRate Limit,
                             MonotonicTime Now) const -> RequestRate;
  [[nodiscard]] auto permitsOf(const Entry &Item, RequestRate Limit,
                               MonotonicTime Now) const -> double;
  [[nodiscard]] auto rankFor(const BackendId &Backend) const
      -> std::optional<std::size_t>;
  /// Credits the permits up to \p Now, before the share changes.
  auto refill(Entry &Item, MonotonicTime Now) const -> void;
  /// Stores \p Value in \p Field of the server's entry.
  auto update(const BackendId &Backend, std::optional<Statement> Entry::*Field,
              const Statement &Value, MonotonicTime Now) -> void;
  auto logChange(const BackendId &Backend, std::optional<RequestRate> Before,
                 const Entry &Item, MonotonicTime Now) const -> void;

  ServerRateLimitOptions m_Options;
  std::string m_Self; ///< Empty: the senders are not known yet.
  std::vector<std::string> m_Others;
  SenderTerm m_Term;
  bool m_SharesUsed = true; ///< As of the latest setTerm().
  std::map<BackendId, Entry> m_Entries;
};

/// Parses a rate that a server has named, a decimal number of requests per
/// second. Returns nothing if \p Text is not a number, or is negative or
/// infinite.
auto parseRequestRate(std::string_view Text) -> std::optional<RequestRate>;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_SERVERRATELIMITS_H
