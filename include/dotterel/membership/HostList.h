//===- HostList.h - The platform's list of hosts ----------------*- C++ -*-===//
///
/// \file
/// The platform's list of processes, which is updated with a delay.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_MEMBERSHIP_HOSTLIST_H
#define DOTTEREL_MEMBERSHIP_HOSTLIST_H

#include "dotterel/membership/Member.h"

#include <string>
#include <vector>

namespace dotterel {

/// A process on a listed host.
struct ListedProcess {
  ProcessId m_Process;
  ProcessRole m_Role = ProcessRole::Gate;
  std::string m_Address; ///< Address of its RPC server.
  bool m_Leaving = false;
};

/// Parses a list of the form
/// `{"hosts":[{"host":"h1","state":"live","processes":[
/// {"role":"gate","rpc":"127.0.0.1:1"}]}]}`.
/// \throws ProtocolError 301 for a malformed list.
auto parseHostList(const std::string &Document) -> std::vector<ListedProcess>;

/// Returns the id of the process with this role on a host.
auto processIdOf(const HostId &Host, ProcessRole Role) -> ProcessId;

/// Returns whether the id is a gate's.
auto isGate(const ProcessId &Process) -> bool;

} // namespace dotterel

#endif // DOTTEREL_MEMBERSHIP_HOSTLIST_H
