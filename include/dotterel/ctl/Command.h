//===- Command.h - Commands of dotterelctl ----------------------*- C++ -*-===//
///
/// \file
/// The command-line interface for operators: dotterelctl and its commands.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CTL_COMMAND_H
#define DOTTEREL_CTL_COMMAND_H

#include "dotterel/settings/Settings.h"

#include <string>
#include <vector>

namespace dotterel {

/// A command and the request that it sends to a gate.
struct Command {
  std::string m_Name; ///< For example `preset create`.
  std::string m_Summary;
  std::string m_Method;
  std::string m_Path;
  /// Settings that become members of the request body, in this order.
  std::vector<std::string> m_BodySettings;
  /// Settings that must have a value.
  std::vector<std::string> m_RequiredSettings;
  /// Whether to wait until the change is in force everywhere.
  bool m_WaitsUntilInForce = false;
};

/// Returns all commands.
auto commands() -> const std::vector<Command> &;

/// Returns the declared settings of dotterelctl.
auto ctlSettings() -> Settings;

/// Runs the command that the operands name.
/// \returns the exit code: 0 on success, 1 if the gate refused the command or
/// could not be reached, 3 if the change was accepted but is not yet in force
/// everywhere.
/// \throws SettingsError 102 for an unknown command or a missing argument.
auto runCtl(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_CTL_COMMAND_H
