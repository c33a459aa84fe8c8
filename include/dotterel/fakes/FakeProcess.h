//===- FakeProcess.h - Runs one of the fakes --------------------*- C++ -*-===//
///
/// \file
/// The settings and main function of the program dotterel-fakes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKEPROCESS_H
#define DOTTEREL_FAKES_FAKEPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// Declares the settings of dotterel-fakes.
auto fakeSettings() -> Settings;

/// Runs the chosen fake until SIGTERM or SIGINT; \returns the exit code.
auto runFake(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKEPROCESS_H
