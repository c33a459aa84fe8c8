//===- StewardProcess.h - Steward process -----------------------*- C++ -*-===//
///
/// \file
/// Creates a steward from its settings and runs it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STEWARD_STEWARDPROCESS_H
#define DOTTEREL_STEWARD_STEWARDPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// Returns the settings of dotterel-steward.
auto stewardSettings() -> Settings;

/// Runs a steward until SIGTERM or SIGINT; \returns the exit code.
/// \throws IoError 401 when an address cannot be bound.
auto runSteward(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_STEWARD_STEWARDPROCESS_H
