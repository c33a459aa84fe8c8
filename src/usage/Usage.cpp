#include "dotterel/usage/Usage.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

auto subtract(TokenCount Whole, TokenCount Part) -> TokenCount {
  assert(Part <= Whole && "a part cannot count more than the whole");
  return TokenCount{Whole.number() - Part.number()};
}

} // namespace

auto addTotals(UsageTotals &Target, const UsageTotals &More) -> void {
  for (const auto &[Key, Figures] : More)
    Target[Key] += Figures;
}

auto isPart(const UsageTotals &Part, const UsageTotals &Whole) -> bool {
  return std::all_of(Part.begin(), Part.end(), [&](const auto &Item) {
    auto Found = Whole.find(Item.first);
    return Found != Whole.end() &&
           Item.second.m_Requests <= Found->second.m_Requests &&
           Item.second.m_PrefillTokens <= Found->second.m_PrefillTokens &&
           Item.second.m_DecodeTokens <= Found->second.m_DecodeTokens;
  });
}

auto subtractTotals(const UsageTotals &Whole, const UsageTotals &Part)
    -> UsageTotals {
  auto Difference = UsageTotals();
  for (const auto &[Key, Figures] : Whole) {
    auto Found = Part.find(Key);
    auto Counted = Found == Part.end() ? UsageFigures() : Found->second;
    if (Counted == Figures)
      continue;
    assert(Counted.m_Requests <= Figures.m_Requests);
    Difference[Key] = {.m_Requests = Figures.m_Requests - Counted.m_Requests,
                       .m_PrefillTokens = subtract(Figures.m_PrefillTokens,
                                                   Counted.m_PrefillTokens),
                       .m_DecodeTokens = subtract(Figures.m_DecodeTokens,
                                                  Counted.m_DecodeTokens)};
  }
  return Difference;
}

auto encodeTotals(const UsageTotals &Totals) -> std::string {
  auto Entries = Json::array();
  for (const auto &[Key, Figures] : Totals)
    Entries.push_back({{"organisation", Key.m_Organisation.text()},
                       {"model", Key.m_Model.text()},
                       {"requests", Figures.m_Requests},
                       {"prefill_tokens", Figures.m_PrefillTokens.number()},
                       {"decode_tokens", Figures.m_DecodeTokens.number()}});
  return Entries.dump();
}

auto decodeTotals(const std::string &Document) -> UsageTotals {
  try {
    auto Totals = UsageTotals();
    auto Entries = Json::parse(Document);
    for (const auto &Entry : Entries) {
      auto Key = UsageKey{
          .m_Organisation =
              OrganisationId{Entry.at("organisation").get<std::string>()},
          .m_Model = ModelId{Entry.at("model").get<std::string>()}};
      Totals[Key] +=
          {.m_Requests = Entry.at("requests").get<std::uint64_t>(),
           .m_PrefillTokens =
               TokenCount{Entry.at("prefill_tokens").get<std::uint64_t>()},
           .m_DecodeTokens =
               TokenCount{Entry.at("decode_tokens").get<std::uint64_t>()}};
    }
    return Totals;
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
