//===- ServerNotice.h - What a server says about taking requests -*- C++
//-*-===//
///
/// \file
/// Statements of backend servers about whether they take requests: that they
/// are about to end, or that they want none for a while.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_SERVERNOTICE_H
#define DOTTEREL_ROUTING_SERVERNOTICE_H

#include "dotterel/base/Units.h"

#include <optional>
#include <string>

namespace dotterel {

/// Maximum length of a pause. A server that asks for more is asked again after
/// this time.
inline constexpr auto MaxServerPause = Seconds(300);
/// Length of a pause that a server has asked for in an unreadable way.
inline constexpr auto UnreadableServerPause = Seconds(1);

/// What a response of a server states about taking requests.
struct ServerNotice {
  /// The server is about to end and takes no new requests.
  bool m_Leaving = false;
  /// Time for which the server wants no requests from the process that the
  /// response was sent to; zero: not stated.
  Duration m_Pause{};

  auto operator==(const ServerNotice &) const -> bool = default;

  [[nodiscard]] auto empty() const -> bool {
    return !m_Leaving && m_Pause <= Duration::zero();
  }
};

/// Decodes the notice of a response with \p Status from the values of its
/// headers, if it has them: \p Leaving is "1" if the server is about to end,
/// \p RetryAfter a decimal number of seconds. The latter counts only in
/// refusals with status 503. A value that cannot be read, is negative or is
/// over the limit is logged; such a pause is UnreadableServerPause or
/// MaxServerPause long.
auto parseServerNotice(unsigned Status,
                       const std::optional<std::string> &Leaving,
                       const std::optional<std::string> &RetryAfter)
    -> ServerNotice;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_SERVERNOTICE_H
