//===- BrokenResponseLog.h - Log of broken responses ------------*- C++ -*-===//
///
/// \file
/// Declares the log and count of responses that an HTTP client rejects.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_BROKENRESPONSELOG_H
#define DOTTEREL_IO_DETAIL_BROKENRESPONSELOG_H

#include "dotterel/base/LogThrottle.h"
#include "dotterel/base/Units.h"
#include "dotterel/io/HttpClient.h"

#include <cstdint>
#include <string_view>

namespace dotterel::detail {

/// Logs and counts responses that are incomplete or not valid.
class BrokenResponseLog {
public:
  /// \p Server is its address, IP:PORT.
  auto record(std::string_view Request, std::string_view Server,
              const HttpCallResult &Result, MonotonicTime Now) -> void;

  [[nodiscard]] auto count() const -> std::uint64_t { return m_Count; }

private:
  std::uint64_t m_Count = 0;
  LogThrottle m_Throttle;
};

/// Returns the id of the request that a call sends; empty if it has none.
auto requestIdOf(const HttpCall &Call) -> std::string;

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_BROKENRESPONSELOG_H
