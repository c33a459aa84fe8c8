#include "dotterel/io/detail/BrokenResponseLog.h"

#include "dotterel/base/Log.h"

namespace dotterel::detail {

auto BrokenResponseLog::record(std::string_view Request,
                               std::string_view Server,
                               const HttpCallResult &Result, MonotonicTime Now)
    -> void {
  ++m_Count;
  if (auto Suppressed = m_Throttle.admit(Now))
    logWarning("response.broken", {{"request", Request},
                                   {"server", Server},
                                   {"reason", Result.m_Detail},
                                   {"status", Result.m_Status},
                                   {"reused", Result.m_Reused},
                                   {"not_logged", *Suppressed}});
}

auto requestIdOf(const HttpCall &Call) -> std::string {
  if (!Call.m_EchoedHeader.m_Value.empty())
    return Call.m_EchoedHeader.m_Value;
  return findHeader(Call.m_Headers, "x-request-id").value_or("");
}

} // namespace dotterel::detail
