//===- ConfigurationHolder.h - The configuration of a process ---*- C++ -*-===//
///
/// \file
/// Holds the newest configuration known and tells listeners of a newer one.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CONFIG_CONFIGURATIONHOLDER_H
#define DOTTEREL_CONFIG_CONFIGURATIONHOLDER_H

#include "dotterel/config/Configuration.h"
#include "dotterel/rpc/Peer.h"

#include <functional>
#include <memory>

namespace dotterel {

/// The configuration in force in this process.
///
/// \invariant The revision never falls.
class ConfigurationHolder {
public:
  /// The configuration, or nothing before the first one arrived.
  [[nodiscard]] auto current() const
      -> const std::shared_ptr<const Configuration> & {
    return m_Current;
  }

  [[nodiscard]] auto revision() const -> ConfigRevision;

  /// Puts \p Value in force unless one at least as new is. \returns whether it
  /// did.
  auto apply(Configuration Value) -> bool;

  /// Calls \p Listener after each change.
  auto onChange(std::function<void()> Listener) -> void;

  /// Digests of the shards held; empty without a configuration.
  [[nodiscard]] auto knownShards() const -> std::vector<std::uint64_t>;

  /// What a peer that holds \p Known lacks.
  [[nodiscard]] auto delta(const std::vector<std::uint64_t> &Known) const
      -> ConfigurationDelta;

  /// Applies what a peer sent. \returns whether the revision rose.
  auto applyDelta(const ConfigurationDelta &Delta) -> bool;

private:
  std::shared_ptr<const Configuration> m_Current;
  std::vector<std::function<void()>> m_Listeners;
};

} // namespace dotterel

#endif // DOTTEREL_CONFIG_CONFIGURATIONHOLDER_H
