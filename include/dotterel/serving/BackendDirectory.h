//===- BackendDirectory.h - Registered backend servers ----------*- C++ -*-===//
///
/// \file
/// The servers that may get work, by service.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDDIRECTORY_H
#define DOTTEREL_SERVING_BACKENDDIRECTORY_H

#include "dotterel/serving/BackendRecord.h"

#include <functional>
#include <map>
#include <vector>

namespace dotterel {

/// Servers as they registered.
///
/// \invariant usable() holds no server that is draining.
class BackendDirectory {
public:
  /// Called when a server is gone, or lives anew under its id: what was known
  /// of it holds no more.
  auto onForget(std::function<void(const BackendId &)> Callback) -> void {
    m_OnForget = std::move(Callback);
  }

  /// \returns whether this changes what is known.
  auto put(BackendRecord Record) -> bool;
  auto remove(const BackendId &Id) -> bool;

  /// Equal for equal records, in whatever order they came.
  [[nodiscard]] auto digest() const -> std::uint64_t { return m_Digest; }

  /// The registered server, also while it drains; null when there is none.
  [[nodiscard]] auto find(const BackendId &Id) const -> const BackendRecord *;

  /// Servers of \p Service that may get work. Valid until the next change.
  [[nodiscard]] auto usable(const ServiceId &Service) const
      -> const std::vector<const BackendRecord *> &;

  [[nodiscard]] auto all() const -> const std::map<BackendId, BackendRecord> & {
    return m_Records;
  }

private:
  auto index() -> void;

  std::map<BackendId, BackendRecord> m_Records;
  std::uint64_t m_Digest = 0;
  std::map<ServiceId, std::vector<const BackendRecord *>> m_Usable;
  std::function<void(const BackendId &)> m_OnForget;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDDIRECTORY_H
