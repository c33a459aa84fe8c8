//===- BackendDirectory.h - Registered backend servers ----------*- C++ -*-===//
///
/// \file
/// Indexes the registered backend servers by service.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDDIRECTORY_H
#define DOTTEREL_SERVING_BACKENDDIRECTORY_H

#include "dotterel/serving/BackendRecord.h"

#include <functional>
#include <map>
#include <vector>

namespace dotterel {

/// Directory of the registered backend servers.
///
/// \invariant usable() contains no draining server.
class BackendDirectory {
public:
  /// Registers a callback that runs when a server is removed or has restarted
  /// under the same id, so that state cached for this id is no longer valid.
  auto onInvalidate(std::function<void(const BackendId &)> Callback) -> void {
    m_OnInvalidate = std::move(Callback);
  }

  /// \returns whether the record is new or differs from the stored one.
  auto put(BackendRecord Record) -> bool;
  auto remove(const BackendId &Id) -> bool;

  /// Returns a digest of all records that does not depend on the order in which
  /// they were added.
  [[nodiscard]] auto digest() const -> std::uint64_t { return m_Digest; }

  /// Returns the registered server, draining or not, or null if the id is
  /// unknown.
  [[nodiscard]] auto find(const BackendId &Id) const -> const BackendRecord *;

  /// Returns the servers of \p Service that may receive requests. The reference
  /// is valid until the next call to put() or remove().
  [[nodiscard]] auto usable(const ServiceId &Service) const
      -> const std::vector<const BackendRecord *> &;

  [[nodiscard]] auto all() const -> const std::map<BackendId, BackendRecord> & {
    return m_Records;
  }

private:
  auto rebuildIndex() -> void;

  std::map<BackendId, BackendRecord> m_Records;
  std::uint64_t m_Digest = 0;
  std::map<ServiceId, std::vector<const BackendRecord *>> m_Usable;
  std::function<void(const BackendId &)> m_OnInvalidate;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDDIRECTORY_H
