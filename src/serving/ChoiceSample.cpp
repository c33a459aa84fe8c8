#include "dotterel/serving/ChoiceSample.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dotterel {

auto drawChoices(const std::vector<const BackendRecord *> &Servers,
                 const Distance &Distance, const DataCentreId &From,
                 std::size_t Choices, Random &Random)
    -> std::vector<const BackendRecord *> {
  auto Groups = std::map<Nearness, std::vector<const BackendRecord *>>();
  for (const auto *Server : Servers)
    Groups[Distance.between(From, Server->m_DataCentre)].push_back(Server);
  auto Result = std::vector<const BackendRecord *>();
  for (auto &[Near, Group] : Groups)
    for (auto Drawn = std::size_t{0}; Drawn < std::min(Choices, Group.size());
         ++Drawn) {
      std::swap(Group[Drawn],
                Group[Drawn + Random.below(Group.size() - Drawn)]);
      Result.push_back(Group[Drawn]);
    }
  return Result;
}

} // namespace dotterel
