//===- Table.h - Text tables ------------------------------------*- C++ -*-===//
///
/// \file
/// Formats responses as text tables.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CTL_TABLE_H
#define DOTTEREL_CTL_TABLE_H

#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// A table with a heading. Each column is as wide as its widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> Heading)
      : m_Rows{std::move(Heading)} {}

  /// Appends a row. \pre \p Cells has as many elements as the heading.
  auto add(std::vector<std::string> Cells) -> void;

  /// Returns the formatted table. Complexity: linear in the number of cells.
  [[nodiscard]] auto text() const -> std::string;

private:
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace dotterel

#endif // DOTTEREL_CTL_TABLE_H
