#include "dotterel/peers/LimitReports.h"

#include <map>

namespace dotterel {

auto updateLimits(const HostRegistry &Hosts, OrganisationLimits &Limits,
                  MonotonicTime Now) -> LimitFigures {
  if (!Hosts.complete())
    return {};
  auto Others = std::map<HostId, DataCentreId>();
  for (const auto &[Host, Record] : Hosts.others())
    Others.emplace(Host, Record.m_DataCentre);
  Limits.setHosts(Hosts.self().m_Host, Hosts.self().m_DataCentre, Others);
  Limits.setTerm(Hosts.term());
  // The hosts are set all the same, so that the first limit finds them known.
  if (!Limits.active())
    return {};
  Limits.discardOld(Now);
  return Limits.figures(Now);
}

auto reportUse(const OrganisationLimits &Limits, bool WholeDataCentre,
               MonotonicTime Now) -> std::optional<OrganisationUse> {
  if (!Limits.active())
    return std::nullopt;
  return WholeDataCentre ? Limits.dataCentreReport(Now) : Limits.ownReport(Now);
}

} // namespace dotterel
