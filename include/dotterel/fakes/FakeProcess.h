//===- FakeProcess.h - Runs one of the stand-ins ----------------*- C++ -*-===//
///
/// \file
/// The stand-ins as a process.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKEPROCESS_H
#define DOTTEREL_FAKES_FAKEPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// The settings of dotterel-fakes.
auto fakeSettings() -> Settings;

/// Runs a stand-in until SIGTERM or SIGINT; \returns the exit code.
auto runFake(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKEPROCESS_H
