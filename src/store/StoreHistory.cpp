#include "dotterel/store/StoreHistory.h"

#include "dotterel/base/Log.h"

#include <charconv>
#include <utility>

namespace dotterel {

auto StoreHistory::observe(std::optional<StoreEra> Era) -> bool {
  if (!Era || (m_Observed && *Era == m_Era))
    return true;
  if (*Era < m_Era)
    return false;
  auto Before = std::exchange(m_Era, *Era);
  if (!std::exchange(m_Observed, true))
    return true;
  m_Restored = true;
  logWarning("store.restored", {{"era", m_Era}, {"before", Before}});
  for (const auto &Callback : m_OnRestored)
    Callback();
  return true;
}

auto parseStoreEra(const std::optional<std::string> &Text)
    -> std::optional<StoreEra> {
  if (!Text)
    return {};
  auto Number = std::uint64_t{0};
  const auto *End = Text->data() + Text->size();
  auto [Rest, Error] = std::from_chars(Text->data(), End, Number);
  if (Error != std::errc() || Rest != End) {
    logWarning("store.unreadable-era", {{"value", *Text}});
    return {};
  }
  return StoreEra{Number};
}

} // namespace dotterel
