//===- ServerRateLimits.h - Request rates named by servers ------*- C++ -*-===//
///
/// \file
/// Tracks the request rates to which backend servers limit all senders
/// together, and this process's share of them.
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
};

/// What the newest response of a server states about its request rate.
struct RateLimitReport {
  BackendId m_Backend;
  std::optional<RequestRate> m_Limit; ///< Empty: the server has no limit.
  Duration m_Age{};                   ///< Time since the response arrived.
};

/// Request rates to which backend servers limit all senders together.
class ServerRateLimits {
public:
  explicit ServerRateLimits(const ServerRateLimitOptions &Options)
      : m_Options(Options) {}

  /// Sets the names of the processes that send requests to the servers: this
  /// one and the others.
  auto setSenders(std::string Self, std::vector<std::string> Others,
                  MonotonicTime Now) -> void;

  /// Records a response of the server: it names \p Limit, or no limit if that
  /// is empty.
  auto recordResponse(const BackendId &Backend,
                      std::optional<RequestRate> Limit, MonotonicTime Now)
      -> void;

  /// Discards the state of \p Backend.
  auto remove(const BackendId &Backend) -> void;

  /// Returns the limit in force, or nothing if there is none.
  [[nodiscard]] auto limit(const BackendId &Backend, MonotonicTime Now) const
      -> std::optional<RequestRate>;

  /// Returns the number of servers with a limit. Complexity: linear in the
  /// number of servers that have named one.
  [[nodiscard]] auto limitedCount(MonotonicTime Now) const -> std::size_t;

private:
  struct Report {
    std::optional<RequestRate> m_Limit;
    MonotonicTime m_At;
  };

  struct Entry {
    Report m_Own; ///< From this process's newest response of the server.
  };

  [[nodiscard]] auto limitOf(const Entry &Item, MonotonicTime Now) const
      -> std::optional<RequestRate>;
  auto logChange(const BackendId &Backend, std::optional<RequestRate> Before,
                 std::optional<RequestRate> Limit) const -> void;

  ServerRateLimitOptions m_Options;
  std::string m_Self;
  std::vector<std::string> m_Others;
  std::map<BackendId, Entry> m_Entries;
};

/// Parses a rate that a server has named, a decimal number of requests per
/// second. Returns nothing if \p Text is not a number, or is negative or
/// infinite.
auto parseRequestRate(std::string_view Text) -> std::optional<RequestRate>;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_SERVERRATELIMITS_H
