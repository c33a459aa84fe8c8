//===- StewardProcess.h - All parts of a steward ----------------*- C++ -*-===//
///
/// \file
/// Builds a steward from its settings and supervises it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STEWARD_STEWARDPROCESS_H
#define DOTTEREL_STEWARD_STEWARDPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// The settings of dotterel-steward.
auto stewardSettings() -> Settings;

/// Runs a steward until SIGTERM or SIGINT; \returns the exit code.
/// \throws IoError 401 when an address cannot be bound.
auto runSteward(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_STEWARD_STEWARDPROCESS_H
