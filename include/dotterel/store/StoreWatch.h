//===- StoreWatch.h - Changes of a key range --------------------*- C++ -*-===//
///
/// \file
/// Watches for changes in the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_STOREWATCH_H
#define DOTTEREL_STORE_STOREWATCH_H

#include "dotterel/store/KeyValueStore.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A write or the removal of a key.
struct KeyChange {
  std::string m_Key;
  std::optional<std::string> m_Value; ///< Empty: the key was removed.
  StoreRevision m_Revision;
};

struct WatchResult {
  std::vector<KeyChange> m_Changes;
  StoreRevision m_Revision;   ///< Revision from which the next watch continues.
  bool m_HistoryLost = false; ///< Changes since the start are unavailable.
};

/// Watches of the store. A callback never runs before the call that it was
/// passed to has returned.
class StoreWatch {
public:
  virtual ~StoreWatch() = default;

  /// Waits for changes after revision \p After. \p Callback gets the changes,
  /// or none if \p Wait has passed without any.
  virtual auto watch(const std::string &Prefix, StoreRevision After,
                     Duration Wait, StoreCallback<WatchResult> Callback)
      -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_STOREWATCH_H
