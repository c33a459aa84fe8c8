#include "dotterel/ctl/Table.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

auto Table::add(std::vector<std::string> Cells) -> void {
  assert(Cells.size() == m_Rows.front().size() &&
         "row must have as many cells as the heading");
  m_Rows.push_back(std::move(Cells));
}

auto Table::text() const -> std::string {
  auto Widths = std::vector<std::size_t>(m_Rows.front().size());
  for (const auto &Row : m_Rows)
    for (auto Column = std::size_t{0}; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  auto Text = std::string();
  for (const auto &Row : m_Rows) {
    auto Line = std::string();
    for (auto Column = std::size_t{0}; Column < Row.size(); ++Column)
      Line += fmt::format("{:<{}}  ", Row[Column], Widths[Column]);
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + '\n';
  }
  return Text;
}

} // namespace dotterel
