//===- CarriedCalls.h - Calls that a connection has carried -----*- C++ -*-===//
///
/// \file
/// Decides whether a kept connection may carry another call.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_CARRIEDCALLS_H
#define DOTTEREL_IO_DETAIL_CARRIEDCALLS_H

#include "dotterel/io/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace dotterel::detail {

/// Remembers the calls of one connection by the value that responses to them
/// repeat.
class CarriedCalls {
public:
  /// Returns whether the response to a call with the header \p Echoed can be
  /// told from late responses to the calls before it.
  [[nodiscard]] auto distinguishes(const HttpHeader &Echoed) const -> bool;

  auto add(const HttpHeader &Echoed) -> void;

  /// Returns the number of different values.
  [[nodiscard]] auto size() const -> std::size_t { return m_Values.size(); }

private:
  std::unordered_set<std::uint64_t>
      m_Values; ///< Hashes; equal ones only prevent reuse.
  /// Whether responses to some of the calls repeat nothing.
  bool m_Unnamed = false;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_CARRIEDCALLS_H
