//===- Table.h - Text tables ------------------------------------*- C++ -*-===//
///
/// \file
/// Renders answers as tables for people.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CTL_TABLE_H
#define DOTTEREL_CTL_TABLE_H

#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// A table with a heading, columns padded to their widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> Heading)
      : m_Rows{std::move(Heading)} {}

  /// \pre as many cells as the heading has.
  auto add(std::vector<std::string> Cells) -> void;

  /// Complexity: linear in the number of cells.
  [[nodiscard]] auto text() const -> std::string;

private:
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace dotterel

#endif // DOTTEREL_CTL_TABLE_H
