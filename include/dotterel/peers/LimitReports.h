//===- LimitReports.h - Limits and registered hosts -------------*- C++ -*-===//
///
/// \file
/// Passes the registered hosts to the limits of organisations, and their
/// reports to the other hosts.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_LIMITREPORTS_H
#define DOTTEREL_PEERS_LIMITREPORTS_H

#include "dotterel/admission/OrganisationLimits.h"
#include "dotterel/peers/HostRegistry.h"

namespace dotterel {

/// Sets the registered hosts, once they have been read, also while no limit is
/// set, and discards what no longer counts. \returns the figures for metrics.
auto updateLimits(const HostRegistry &Hosts, OrganisationLimits &Limits,
                  MonotonicTime Now) -> LimitFigures;

/// Returns the report on this host or its data centre; empty if no limit is
/// set.
auto reportUse(const OrganisationLimits &Limits, bool WholeDataCentre,
               MonotonicTime Now) -> std::optional<OrganisationUse>;

} // namespace dotterel

#endif // DOTTEREL_PEERS_LIMITREPORTS_H
