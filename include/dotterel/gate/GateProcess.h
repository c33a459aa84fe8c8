//===- GateProcess.h - The gate process -------------------------*- C++ -*-===//
///
/// \file
/// Builds a gate from its settings and runs it under supervision.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_GATEPROCESS_H
#define DOTTEREL_GATE_GATEPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// Returns the declarations of the settings of dotterel-gate.
auto gateSettings() -> Settings;

/// Runs a gate until SIGTERM or SIGINT; \returns the exit code.
/// \throws IoError 401 when an address cannot be bound.
auto runGate(const Settings &Settings) -> int;

} // namespace dotterel

#endif // DOTTEREL_GATE_GATEPROCESS_H
