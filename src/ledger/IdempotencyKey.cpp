#include "dotterel/ledger/IdempotencyKey.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <sodium.h>

namespace dotterel {

namespace {

constexpr auto UuidLength = std::size_t{36};
constexpr auto VersionPosition = std::size_t{14};
constexpr auto MinSuffixLength = std::size_t{8};
constexpr auto MaxSuffixLength = std::size_t{64};
constexpr auto IdentityBytes = std::size_t{16};

auto parseNumber(const std::string &Digits, int Base)
    -> std::optional<std::int64_t> {
  auto Value = std::int64_t{0};
  const auto *Last = Digits.data() + Digits.size();
  auto Result = std::from_chars(Digits.data(), Last, Value, Base);
  if (Result.ec != std::errc{} || Result.ptr != Last || Digits.empty())
    return std::nullopt;
  return Value;
}

auto isHex(char Character) -> bool {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'a' && Character <= 'f') ||
         (Character >= 'A' && Character <= 'F');
}

auto isSuffixCharacter(char Character) -> bool {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_';
}

auto hyphenExpected(std::size_t Index) -> bool {
  return Index == 8 || Index == 13 || Index == 18 || Index == 23;
}

/// Returns the time in a version 7 UUID.
auto uuidTime(const std::string &Text) -> std::optional<Milliseconds> {
  if (Text.size() != UuidLength || Text[VersionPosition] != '7')
    return std::nullopt;
  for (auto Index = std::size_t{0}; Index < Text.size(); ++Index)
    if (hyphenExpected(Index) ? Text[Index] != '-' : !isHex(Text[Index]))
      return std::nullopt;
  auto Value = parseNumber(Text.substr(0, 8) + Text.substr(9, 4), 16);
  if (!Value)
    return std::nullopt;
  return Milliseconds(*Value);
}

/// Returns the time in seconds before the first hyphen.
auto prefixTime(const std::string &Text) -> std::optional<Milliseconds> {
  auto Hyphen = Text.find('-');
  if (Hyphen == std::string::npos)
    return std::nullopt;
  auto Suffix = Text.substr(Hyphen + 1);
  if (Suffix.size() < MinSuffixLength || Suffix.size() > MaxSuffixLength ||
      !std::all_of(Suffix.begin(), Suffix.end(), isSuffixCharacter))
    return std::nullopt;
  // Twelve digits of seconds suffice for any plausible year.
  constexpr auto MaxDigits = std::size_t{12};
  if (Hyphen > MaxDigits)
    return std::nullopt;
  auto Value = parseNumber(Text.substr(0, Hyphen), 10);
  if (!Value)
    return std::nullopt;
  return Seconds(*Value);
}

auto withLowerCaseHex(std::string Text) -> std::string {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](char Character) {
    return Character >= 'A' && Character <= 'F'
               ? static_cast<char>(Character - 'A' + 'a')
               : Character;
  });
  return Text;
}

} // namespace

auto IdempotencyKey::parse(const std::string &Text) -> IdempotencyKey {
  auto Key = IdempotencyKey();
  if (auto Time = uuidTime(Text)) {
    // UUIDs are case-insensitive.
    Key.m_Text = withLowerCaseHex(Text);
    Key.m_IssuedAt = WallTime(*Time);
    return Key;
  }
  if (auto Time = prefixTime(Text)) {
    Key.m_Text = Text;
    Key.m_IssuedAt = WallTime(*Time);
    return Key;
  }
  throw ProtocolError(301, "Idempotency-Key must be a UUID of version 7 or "
                           "SECONDS-SUFFIX with a suffix of 8 to 64 "
                           "characters of A-Z a-z 0-9 - _");
}

auto IdempotencyKey::current(WallTime Now) const -> bool {
  return m_IssuedAt <= Now + IdentityClockSkew &&
         m_IssuedAt >= Now - IdentityRetention;
}

auto IdempotencyKey::identity(const OrganisationId &Organisation,
                              const RouteId &Route) const -> RequestIdentity {
  // Zero bytes separate the components, none of which can contain one.
  auto Joined = Organisation.text();
  Joined += '\0';
  Joined += Route.text();
  Joined += '\0';
  Joined += m_Text;
  auto Digest = std::array<unsigned char, IdentityBytes>{};
  crypto_generichash(Digest.data(), Digest.size(),
                     reinterpret_cast<const unsigned char *>(Joined.data()),
                     Joined.size(), nullptr, 0);
  auto Text = std::array<char, (IdentityBytes * 2) + 1>{};
  sodium_bin2hex(Text.data(), Text.size(), Digest.data(), Digest.size());
  return RequestIdentity{Text.data()};
}

} // namespace dotterel
