//===- Ids.h - Strong identifier types --------------------------*- C++ -*-===//
///
/// \file
/// Identifier types that the compiler keeps apart.
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

/// A textual identifier; \p Tag makes each kind a type of its own.
template <typename Tag> class TextId {
public:
  TextId() = default;
  explicit TextId(std::string Value) : m_Value(std::move(Value)) {}

  /// The identifier's text. Complexity: constant.
  [[nodiscard]] auto text() const -> const std::string & { return m_Value; }

  /// Whether no identifier was assigned. Complexity: constant.
  [[nodiscard]] auto empty() const -> bool { return m_Value.empty(); }

  auto operator<=>(const TextId &) const = default;

private:
  std::string m_Value;
};

/// A numeric identifier; \p Tag makes each kind a type of its own.
template <typename Tag> class NumberId {
public:
  NumberId() = default;
  explicit constexpr NumberId(std::uint64_t Value) : m_Value(Value) {}

  /// The identifier's number. Complexity: constant.
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
using AttemptId = TextId<struct AttemptTag>;
using OrderId = TextId<struct OrderTag>;
using DutyId = TextId<struct DutyTag>;
/// One life of a process: a restart yields a new one.
using IncarnationId = TextId<struct IncarnationTag>;

/// A revision of the platform's key-value store; 0 means "key absent".
using StoreRevision = NumberId<struct StoreRevisionTag>;
/// A revision of the configuration; rises with each accepted change.
using ConfigRevision = NumberId<struct ConfigRevisionTag>;
/// Rises with each grant of a duty; backend servers may refuse lower ones.
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
