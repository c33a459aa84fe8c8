//===- ConfigurationCheck.h - Findings on a configuration -------*- C++ -*-===//
///
/// \file
/// Finds entries of an accepted configuration that have no effect or contradict
/// each other, and the differences between two configurations.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_CONFIGURATIONCHECK_H
#define DOTTEREL_SERVING_CONFIGURATIONCHECK_H

#include "dotterel/serving/ServingConfiguration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dotterel {

/// Returns the warnings on \p Configuration. They contain no keys.
/// Complexity: linear in the number of entries, times a logarithm.
auto checkConfiguration(const ServingConfiguration &Configuration)
    -> std::vector<ConfigurationFinding>;

/// Logs at most 20 of the warnings, one line each, and how many there are.
auto logFindings(const ServingConfiguration &Configuration) -> void;

enum class DifferenceKind : std::uint8_t { Added, Removed, Changed };

struct ConfigurationDifference {
  DifferenceKind m_Kind = DifferenceKind::Changed;
  std::string m_Entry;                ///< For example `route search`.
  std::vector<std::string> m_Details; ///< What has changed.
};

/// Returns what differs between \p Before and \p After, in a fixed order. The
/// order of lists and the revision are no differences. Contains no keys.
/// Complexity: linear in the number of entries, times a logarithm.
auto compareConfigurations(const ServingConfiguration &Before,
                           const ServingConfiguration &After)
    -> std::vector<ConfigurationDifference>;

} // namespace dotterel

#endif // DOTTEREL_SERVING_CONFIGURATIONCHECK_H
