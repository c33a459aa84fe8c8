//===- GateProcess.h - All parts of a gate, put together --------*- C++ -*-===//
///
/// \file
/// Builds a gate from its settings and supervises it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_GATEPROCESS_H
#define DOTTEREL_GATE_GATEPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// The settings of dotterel-gate.
auto gateSettings() -> Settings;

/// Runs a gate until SIGTERM or SIGINT; \returns the exit code.
/// \throws IoError 401 when an address cannot be bound.
auto runGate(const Settings &Settings) -> int;

} // namespace dotterel

#endif // DOTTEREL_GATE_GATEPROCESS_H
