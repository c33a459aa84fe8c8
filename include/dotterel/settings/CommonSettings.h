//===- CommonSettings.h - Settings shared by processes ----------*- C++ -*-===//
///
/// \file
/// Settings that gates and stewards have in common.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SETTINGS_COMMONSETTINGS_H
#define DOTTEREL_SETTINGS_COMMONSETTINGS_H

#include "dotterel/membership/Member.h"
#include "dotterel/settings/Settings.h"

#include <vector>

namespace dotterel {

/// Returns the common settings: location, addresses, the platform's services,
/// intervals, limits and the log level.
auto commonSettings() -> std::vector<Setting>;

/// Returns the location of the process according to its settings.
auto locationFrom(const Settings &Values) -> Location;

/// Returns the member record of this process at the start of an incarnation.
/// \p Started becomes the incarnation number.
auto initialMember(const Settings &Values, ProcessRole Role, WallTime Started)
    -> Member;

} // namespace dotterel

#endif // DOTTEREL_SETTINGS_COMMONSETTINGS_H
