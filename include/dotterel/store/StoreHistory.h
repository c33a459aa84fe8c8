//===- StoreHistory.h - History of the store --------------------*- C++ -*-===//
///
/// \file
/// Tracks whether the platform's store has been restored from a copy.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_STOREHISTORY_H
#define DOTTEREL_STORE_STOREHISTORY_H

#include "dotterel/base/Ids.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// The newest history of the store that this process has observed.
///
/// When the store is restored from a copy, it loses the writes since the copy,
/// and assigns their revisions and leases again.
///
/// \invariant era() never decreases.
class StoreHistory {
public:
  /// Returns the newest observed era; 0 if none was observed.
  [[nodiscard]] auto era() const -> StoreEra { return m_Era; }

  /// Returns whether the store has been restored at any time, perhaps before
  /// this process started.
  [[nodiscard]] auto restored() const -> bool {
    return m_Restored || m_Era > FirstEra;
  }

  /// Records the era of a response of the store, or of another process's
  /// message.
  /// \returns whether it is the newest one; a response without an era belongs
  /// to the newest one.
  auto observe(std::optional<StoreEra> Era) -> bool;

  /// Registers a callback that is called whenever a restored store is observed.
  /// The process's first era is not a restored one.
  auto onRestored(std::function<void()> Callback) -> void {
    m_OnRestored.push_back(std::move(Callback));
  }

private:
  /// The era counts restores from the first history on.
  static constexpr auto FirstEra = StoreEra{1};

  StoreEra m_Era;
  bool m_Observed = false;
  bool m_Restored = false;
  std::vector<std::function<void()>> m_OnRestored;
};

/// Parses an era as a header states it. Returns nothing if \p Text is absent,
/// or is not a number, which is logged.
auto parseStoreEra(const std::optional<std::string> &Text)
    -> std::optional<StoreEra>;

} // namespace dotterel

#endif // DOTTEREL_STORE_STOREHISTORY_H
