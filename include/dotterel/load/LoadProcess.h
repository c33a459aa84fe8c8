//===- LoadProcess.h - The load tool as a program ---------------*- C++ -*-===//
///
/// \file
/// Settings and output of dotterel-load.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LOAD_LOADPROCESS_H
#define DOTTEREL_LOAD_LOADPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// The settings of dotterel-load.
auto loadSettings() -> Settings;

/// Runs the load, with the same seed against `--compare-urls` if they are
/// given, and prints the figures; \returns the exit code.
auto runLoad(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_LOAD_LOADPROCESS_H
