#include "dotterel/serving/ChoiceSample.h"

#include <map>

namespace dotterel {

auto drawChoices(const std::vector<const BackendRecord *> &Servers,
                 const Distance &Distance, const DataCentreId &From,
                 std::size_t Choices, Random &Random)
    -> std::vector<const BackendRecord *> {
  auto NearnessOf = [&Distance, &From](const BackendRecord &Server) {
    return Distance.between(From, Server.m_DataCentre);
  };
  struct Group {
    std::size_t m_Left = 0; ///< Servers not yet considered.
    std::size_t m_Open = 0; ///< Choices not yet drawn.
  };
  auto Groups = std::map<Nearness, Group>();
  for (const auto *Server : Servers) {
    auto &Current = Groups[NearnessOf(*Server)];
    ++Current.m_Left;
    Current.m_Open = Choices;
  }
  auto Result = std::vector<const BackendRecord *>();
  // Selection sampling: each subset of a group is equally likely.
  for (const auto *Server : Servers) {
    auto &Current = Groups[NearnessOf(*Server)];
    if (Random.below(Current.m_Left--) >= Current.m_Open)
      continue;
    --Current.m_Open;
    Result.push_back(Server);
  }
  return Result;
}

} // namespace dotterel
