#include "dotterel/store/StoreHistory.h"

#include "dotterel/base/Log.h"

#include <charconv>
#include <utility>

namespace dotterel {

auto StoreHistory::observe(StoreEra Era) -> bool {
  if (Era == StoreEra{} || Era == m_Era)
    return true;
  if (Era < m_Era)
    return false;
  auto Before = std::exchange(m_Era, Era);
  if (Before == StoreEra{})
    return true;
  logWarning("store.restored", {{"era", Era}, {"before", Before}});
  for (const auto &Callback : m_OnRestored)
    Callback();
  return true;
}

auto parseStoreEra(const std::optional<std::string> &Text) -> StoreEra {
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
