#include "dotterel/routing/ServerNotice.h"

#include "dotterel/base/Log.h"

#include <charconv>
#include <cmath>
#include <string_view>
#include <system_error>

namespace dotterel {

namespace {

constexpr auto ServiceUnavailable = 503U;
/// Maximum number of characters of a value in the log.
constexpr auto MaxLoggedCharacters = std::size_t{64};

auto trimmed(std::string_view Text) -> std::string_view {
  constexpr auto Blanks = std::string_view(" \t");
  auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

auto logUnusual(const char *Statement, std::string_view Value, Duration Used)
    -> void {
  logWarning("backend.unusual-notice",
             {{"statement", Statement},
              {"value", std::string(Value.substr(0, MaxLoggedCharacters))},
              {"used_ms", toMilliseconds(Used)}});
}

auto parseLeaving(std::string_view Text) -> bool {
  auto Value = trimmed(Text);
  if (Value == "1")
    return true;
  // A sound server that is mistaken for a leaving one stays unused until it
  // restarts, so only the specified value counts.
  if (Value != "0")
    logUnusual("leaving", Value, Duration::zero());
  return false;
}

auto parsePause(std::string_view Text) -> Duration {
  auto Value = trimmed(Text);
  auto Wanted = 0.0;
  const auto *End = Value.data() + Value.size();
  auto [Rest, Error] = std::from_chars(Value.data(), End, Wanted);
  auto Readable = Rest == End && Error != std::errc::invalid_argument &&
                  !std::isnan(Wanted) && !Value.starts_with('-');
  if (!Readable) {
    logUnusual("pause", Value, UnreadableServerPause);
    return UnreadableServerPause;
  }
  // Numbers that are out of range are either huge or next to zero.
  auto Tiny = Error == std::errc::result_out_of_range &&
              Value.find("e-") != std::string_view::npos;
  if (Tiny)
    return Duration::zero();
  if (Error == std::errc::result_out_of_range || std::isinf(Wanted) ||
      Wanted > static_cast<double>(MaxServerPause.count())) {
    logUnusual("pause", Value, MaxServerPause);
    return MaxServerPause;
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Wanted));
}

} // namespace

auto parseServerNotice(unsigned Status,
                       const std::optional<std::string> &Leaving,
                       const std::optional<std::string> &RetryAfter)
    -> ServerNotice {
  return {.m_Leaving = Leaving && parseLeaving(*Leaving),
          .m_Pause = RetryAfter && Status == ServiceUnavailable
                         ? parsePause(*RetryAfter)
                         : Duration::zero()};
}

} // namespace dotterel
