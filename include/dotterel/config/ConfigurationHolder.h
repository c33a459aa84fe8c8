//===- ConfigurationHolder.h - The configuration of a process ---*- C++ -*-===//
///
/// \file
/// Holds the newest known configuration and notifies listeners of changes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CONFIG_CONFIGURATIONHOLDER_H
#define DOTTEREL_CONFIG_CONFIGURATIONHOLDER_H

#include "dotterel/config/Configuration.h"
#include "dotterel/rpc/Peer.h"

#include <functional>
#include <memory>

namespace dotterel {

/// The active configuration of this process.
///
/// \invariant The revision never decreases.
class ConfigurationHolder {
public:
  /// Returns the active configuration; null before the first one has been
  /// applied.
  [[nodiscard]] auto current() const
      -> const std::shared_ptr<const Configuration> & {
    return m_Current;
  }

  [[nodiscard]] auto revision() const -> ConfigRevision;

  /// Makes \p Value the active configuration if its revision is higher than the
  /// current one.
  /// \returns whether it was applied.
  auto apply(Configuration Value) -> bool;

  /// Registers \p Listener, which is called after each change.
  auto onChange(std::function<void()> Listener) -> void;

  /// Returns the digests of all key shards; empty without a configuration.
  [[nodiscard]] auto knownShards() const -> std::vector<std::uint64_t>;

  /// Returns the head and the shards that a peer with the shard digests
  /// \p Known lacks.
  [[nodiscard]] auto delta(const std::vector<std::uint64_t> &Known) const
      -> ConfigurationDelta;

  /// Applies the delta that a peer has sent.
  /// \returns whether the revision increased.
  auto applyDelta(const ConfigurationDelta &Delta) -> bool;

private:
  std::shared_ptr<const Configuration> m_Current;
  std::vector<std::function<void()>> m_Listeners;
};

} // namespace dotterel

#endif // DOTTEREL_CONFIG_CONFIGURATIONHOLDER_H
