//===- CheckCommand.h - dotterelctl check -----------------------*- C++ -*-===//
///
/// \file
/// Checks a configuration before it is sent, without a running system.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CTL_CHECKCOMMAND_H
#define DOTTEREL_CTL_CHECKCOMMAND_H

#include "dotterel/serving/ConfigurationCheck.h"
#include "dotterel/settings/Settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Decodes a document as hosts do; throws ConfigurationError if they refuse it.
using ConfigurationDecoder =
    std::function<ServingConfiguration(const std::string &)>;

/// The result of a check.
struct CheckReport {
  std::vector<ConfigurationFinding> m_Errors; ///< Hosts refuse the document.
  std::vector<ConfigurationFinding> m_Warnings;
  /// Empty without a configuration to compare with.
  std::optional<std::vector<ConfigurationDifference>> m_Differences;

  /// Returns 0 without findings, 1 with errors, 4 with warnings only.
  [[nodiscard]] auto exitCode() const -> int;
  /// Returns the report for people. Control characters are replaced.
  [[nodiscard]] auto text() const -> std::string;
  [[nodiscard]] auto json() const -> std::string;
};

/// Checks \p Document and compares it with the document \p InForce.
/// \throws ConfigurationError if \p InForce cannot be decoded.
auto checkDocument(const std::string &Document,
                   const std::optional<std::string> &InForce,
                   const ConfigurationDecoder &Decode) -> CheckReport;

/// Returns the declared settings of `dotterelctl check`.
auto checkSettings() -> Settings;

/// Runs `dotterelctl check FILE`.
/// \returns the exit code of the report.
/// \throws SettingsError 102 unless the operands are `check` and a file.
/// \throws IoError 404 if a file cannot be read or is too large.
auto runCheck(const Settings &Values, const ConfigurationDecoder &Decode)
    -> int;

} // namespace dotterel

#endif // DOTTEREL_CTL_CHECKCOMMAND_H
