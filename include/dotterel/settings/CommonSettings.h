//===- CommonSettings.h - Settings that processes share ---------*- C++ -*-===//
///
/// \file
/// Settings of gates and stewards alike.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SETTINGS_COMMONSETTINGS_H
#define DOTTEREL_SETTINGS_COMMONSETTINGS_H

#include "dotterel/membership/Member.h"
#include "dotterel/settings/Settings.h"

#include <vector>

namespace dotterel {

/// Identity, location, platform and log level.
auto commonSettings() -> std::vector<Setting>;

/// Where the process runs, by its settings.
auto locationFrom(const Settings &Values) -> Location;

/// The own record at the start of an incarnation.
auto selfFrom(const Settings &Values, ProcessRole Role, WallTime Started)
    -> Member;

} // namespace dotterel

#endif // DOTTEREL_SETTINGS_COMMONSETTINGS_H
