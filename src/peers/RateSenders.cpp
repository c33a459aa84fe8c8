#include "dotterel/peers/RateSenders.h"

#include <string>
#include <utility>
#include <vector>

namespace dotterel {

auto updateSenders(const HostRegistry &Hosts, ServerRateLimits &Limits,
                   MonotonicTime Now) -> void {
  if (!Hosts.complete())
    return;
  auto Others = std::vector<std::string>();
  for (const auto &[Host, Record] : Hosts.others())
    Others.push_back(Host.text());
  Limits.setSenders(Hosts.self().m_Host.text(), std::move(Others), Now);
  Limits.setTerm(Hosts.term(), Now);
}

} // namespace dotterel
