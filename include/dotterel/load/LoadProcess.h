//===- LoadProcess.h - Program dotterel-load --------------------*- C++ -*-===//
///
/// \file
/// Settings and output of dotterel-load.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LOAD_LOADPROCESS_H
#define DOTTEREL_LOAD_LOADPROCESS_H

#include "dotterel/settings/Settings.h"

namespace dotterel {

/// Returns the declared settings of dotterel-load.
auto loadSettings() -> Settings;

/// Runs the load, then runs it again with the same seed against
/// `--compare-urls` if given, and prints the statistics. \returns the exit
/// code.
auto runLoad(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_LOAD_LOADPROCESS_H
