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
#include "dotterel/store/RecoveryPeriod.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Outcome of an operator's change.
struct ChangeResult {
  enum class Kind : std::uint8_t {
    Accepted,
    Rejected,  ///< The change is invalid; nothing was stored.
    Conflict,  ///< Another change came first, or a condition failed.
    Unknown,   ///< The store may or may not have applied it.
    StoreDown, ///< The store did not apply it.
  };

  Kind m_Kind = Kind::StoreDown;
  ConfigRevision m_Revision; ///< If accepted: first revision with the change.
  std::string m_Reason;
};

/// Preconditions of a change.
struct ChangeConditions {
  ConfigRevision m_ExpectedRevision; ///< Revision the edit is based on; 0: any.
  /// Additional compare of the transaction, such as a duty's guard.
  std::optional<StoreCompare> m_Guard;
};

/// Reads and writes the configuration records `config/head` and
/// `config/keys/<shard>`. The processes are their only writers, so that they
/// also store what a restored store has lost.
class ConfigurationStore {
public:
  ConfigurationStore(Scheduler &Scheduler, KeyValueStore &Store,
                     ConfigurationHolder &Holder, FreshnessTracker &Freshness)
      : m_Scheduler(Scheduler), m_Store(Store), m_Holder(Holder),
        m_Freshness(Freshness),
        m_Recovery(Scheduler, Store.history(), RecoveryTime) {}

  /// Reads the head and, if its revision is higher than the active one, all
  /// records, and applies them. Then calls \p Done with false if the store did
  /// not respond or its records are malformed, and with true otherwise.
  auto refresh(std::function<void(bool)> Done) -> void;

  /// Reads the newest configuration, changes it by \p Edit and stores it if no
  /// other change was committed in between. A ConfigurationError thrown by
  /// \p Edit rejects the change. A condition that does not hold results in a
  /// conflict.
  auto change(std::function<void(Configuration &)> Edit,
              const ChangeConditions &Conditions,
              std::function<void(ChangeResult)> Done) -> void;

private:
  /// Time in which processes that hold a newer configuration than a restored
  /// store have read it and stored theirs: several intervals between reads.
  static constexpr auto RecoveryTime = Milliseconds(2200);

  auto recordOwnRead(MonotonicTime SentAt) -> void;
  auto readAll(std::function<void(StoreReply<RangeResult>)> Done) -> void;
  auto applyHead(const std::string &Head, StoreRevision Modified,
                 MonotonicTime SentAt, std::function<void(bool)> Done) -> void;
  /// Stores the active configuration again if the store holds an older one.
  auto storeAgain(std::function<void(bool)> Done) -> void;
  auto commitChange(const Configuration &Before,
                    std::vector<StoreCompare> Compares,
                    const std::function<void(Configuration &)> &Edit,
                    std::function<void(ChangeResult)> Done) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  ConfigurationHolder &m_Holder;
  FreshnessTracker &m_Freshness;
  RecoveryPeriod m_Recovery;
  // Store revision of the newest head that matched the active configuration; a
  // head that is read again at this revision needs no parsing.
  std::optional<StoreRevision> m_HeadModified;
  ConfigRevision m_HeadRevision;
};

} // namespace dotterel

#endif // DOTTEREL_CONFIG_CONFIGURATIONSTORE_H
