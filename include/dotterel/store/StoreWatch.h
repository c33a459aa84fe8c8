//===- StoreWatch.h - Changes of a key range --------------------*- C++ -*-===//
///
/// \file
/// Waiting for changes in the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_STOREWATCH_H
#define DOTTEREL_STORE_STOREWATCH_H

#include "dotterel/store/KeyValueStore.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A key as it was written, or its removal.
struct KeyChange {
  std::string m_Key;
  std::optional<std::string> m_Value; ///< Empty: the key was removed.
  StoreRevision m_Revision;
};

struct WatchResult {
  std::vector<KeyChange> m_Changes;
  StoreRevision m_Revision;   ///< Where the next watch goes on.
  bool m_HistoryLost = false; ///< Changes since the start are not known.
};

/// Watches of the store. No callback runs inside the call it belongs to.
class StoreWatch {
public:
  virtual ~StoreWatch() = default;

  /// Answers with the changes after \p After, or with none after \p Wait.
  virtual auto watch(const std::string &Prefix, StoreRevision After,
                     Duration Wait, StoreCallback<WatchResult> Callback)
      -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_STOREWATCH_H
