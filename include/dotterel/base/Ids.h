//===- Ids.h - Strong identifier types --------------------------*- C++ -*-===//
///
/// \file
/// Strong identifier types: identifiers of different kinds cannot be mixed up.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_IDS_H
#define DOTTEREL_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dotterel {

/// A textual identifier; each \p Tag yields a distinct type.
template <typename Tag> class TextId {
public:
  TextId() = default;
  explicit TextId(std::string Value) : m_Value(std::move(Value)) {}

  /// Returns the text of the identifier. Complexity: constant.
  [[nodiscard]] auto text() const -> const std::string & { return m_Value; }

  /// Returns whether the identifier is empty. Complexity: constant.
  [[nodiscard]] auto empty() const -> bool { return m_Value.empty(); }

  auto operator<=>(const TextId &) const = default;

private:
  std::string m_Value;
};

/// A numeric identifier; each \p Tag yields a distinct type.
template <typename Tag> class NumberId {
public:
  NumberId() = default;
  explicit constexpr NumberId(std::uint64_t Value) : m_Value(Value) {}

  /// Returns the number of the identifier. Complexity: constant.
  [[nodiscard]] constexpr auto number() const -> std::uint64_t {
    return m_Value;
  }

  auto operator<=>(const NumberId &) const = default;

private:
  std::uint64_t m_Value = 0;
};

using OrganisationId = TextId<struct OrganisationTag>;
using BackendId = TextId<struct BackendTag>;
using HostId = TextId<struct HostTag>;
using DataCentreId = TextId<struct DataCentreTag>;
using RegionId = TextId<struct RegionTag>;
using ModelId = TextId<struct ModelTag>;
using RouteId = TextId<struct RouteTag>;
using PresetId = TextId<struct PresetTag>;
using RequestId = TextId<struct RequestTag>;
/// Version of the software of a backend server, as the server states it; empty:
/// not stated.
using SoftwareVersion = TextId<struct SoftwareVersionTag>;
using AttemptId = TextId<struct AttemptTag>;
using OrderId = TextId<struct OrderTag>;
using DutyId = TextId<struct DutyTag>;
/// Identifies one run of a process: each restart yields a new identifier.
using IncarnationId = TextId<struct IncarnationTag>;

/// Identifies a history of the platform's key-value store. It increases each
/// time the store is restored from a copy; 0: the store does not state it.
using StoreEra = NumberId<struct StoreEraTag>;

/// A revision of the platform's key-value store; 0: the key is absent.
///
/// A restored store assigns revisions again, so that numbers of different
/// histories must not be compared: a revision of a later history is the higher
/// one.
class StoreRevision {
public:
  constexpr StoreRevision() = default;
  explicit constexpr StoreRevision(std::uint64_t Number, StoreEra Era = {})
      : m_Era(Era), m_Number(Number) {}

  [[nodiscard]] constexpr auto number() const -> std::uint64_t {
    return m_Number;
  }
  [[nodiscard]] constexpr auto era() const -> StoreEra { return m_Era; }

  auto operator<=>(const StoreRevision &) const = default;

private:
  StoreEra m_Era; // Compared first.
  std::uint64_t m_Number = 0;
};

/// A revision of the configuration; increases with each accepted change.
using ConfigRevision = NumberId<struct ConfigRevisionTag>;
/// Fencing token of a duty: increases with each grant of the duty. Backend
/// servers may refuse requests with a lower number.
using FencingNumber = NumberId<struct FencingTag>;
using LeaseId = NumberId<struct LeaseTag>;
using WindowIndex = NumberId<struct WindowTag>;

} // namespace dotterel

template <typename Tag> struct std::hash<dotterel::TextId<Tag>> {
  auto operator()(const dotterel::TextId<Tag> &Id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(Id.text());
  }
};

template <typename Tag> struct std::hash<dotterel::NumberId<Tag>> {
  auto operator()(const dotterel::NumberId<Tag> &Id) const noexcept
      -> std::size_t {
    return std::hash<std::uint64_t>{}(Id.number());
  }
};

#endif // DOTTEREL_BASE_IDS_H
