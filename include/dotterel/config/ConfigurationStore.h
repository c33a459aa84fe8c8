//===- ConfigurationStore.h - Configuration in the store --------*- C++ -*-===//
///
/// \file
/// Reads the configuration from the platform's store and changes it there.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CONFIG_CONFIGURATIONSTORE_H
#define DOTTEREL_CONFIG_CONFIGURATIONSTORE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/config/ConfigurationHolder.h"
#include "dotterel/config/Freshness.h"
#include "dotterel/store/KeyValueStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// How an operator's change ended.
struct ChangeResult {
  enum class Kind : std::uint8_t {
    Accepted,
    Rejected,  ///< The change is not acceptable; nothing was stored.
    Conflict,  ///< Another operator's change won.
    Unknown,   ///< The store may or may not have taken it.
    StoreDown, ///< The store did not take it.
  };

  Kind m_Kind = Kind::StoreDown;
  ConfigRevision m_Revision; ///< When accepted: where the change is in force.
  std::string m_Reason;
};

/// What must hold for a change to be stored.
struct ChangeConditions {
  ConfigRevision m_Expected; ///< The revision looked at; 0: any.
  /// Further compare of the transaction, such as a duty's guard.
  std::optional<StoreCompare> m_Guard;
};

/// The configuration records: `config/head` and `config/keys/<shard>`.
class ConfigurationStore {
public:
  ConfigurationStore(Scheduler &Scheduler, KeyValueStore &Store,
                     ConfigurationHolder &Holder, FreshnessTracker &Freshness)
      : m_Scheduler(Scheduler), m_Store(Store), m_Holder(Holder),
        m_Freshness(Freshness) {}

  /// Reads the head, and the shards that changed, and applies them; then calls
  /// \p Done with whether the store answered.
  auto refresh(std::function<void(bool)> Done) -> void;

  /// Reads the newest configuration, changes it by \p Edit and stores it if no
  /// other change came between. An exception of class ConfigurationError from
  /// \p Edit rejects the change.
  /// A condition that does not hold makes it a conflict.
  auto change(std::function<void(Configuration &)> Edit,
              const ChangeConditions &Conditions,
              std::function<void(ChangeResult)> Done) -> void;

private:
  auto readAll(std::function<void(StoreReply<RangeResult>)> Done) -> void;
  auto applyHead(const std::string &Head, StoreRevision Modified,
                 MonotonicTime SentAt, std::function<void(bool)> Done) -> void;
  auto commitChange(const Configuration &Before,
                    std::vector<StoreCompare> Compares,
                    const std::function<void(Configuration &)> &Edit,
                    std::function<void(ChangeResult)> Done) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  ConfigurationHolder &m_Holder;
  FreshnessTracker &m_Freshness;
  // The newest head whose configuration was found in force: read again, it
  // needs no parsing.
  std::optional<StoreRevision> m_HeadModified;
  ConfigRevision m_HeadRevision;
};

} // namespace dotterel

#endif // DOTTEREL_CONFIG_CONFIGURATIONSTORE_H
