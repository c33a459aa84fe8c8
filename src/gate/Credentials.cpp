#include "dotterel/gate/Credentials.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace dotterel {

namespace {

constexpr auto ForwardedHeaderNames = std::array<std::string_view, 7>{
    "accept",   "accept-language", "content-type", "idempotency-key",
    "if-match", "if-none-match",   "traceparent"};

constexpr auto CredentialParameterNames = std::array<std::string_view, 7>{
    "access_token", "api-key", "api_key", "apikey", "auth", "key", "token"};

auto containsName(std::string_view Name, const auto &Names) -> bool {
  return std::any_of(Names.begin(), Names.end(), [Name](auto Listed) {
    return sameHeaderName(Name, Listed);
  });
}

} // namespace

auto bearerToken(const HttpRequest &Request) -> std::optional<std::string> {
  auto Value = findHeader(Request.m_Headers, "authorization");
  constexpr auto Scheme = std::string_view("Bearer ");
  if (!Value || Value->size() <= Scheme.size() ||
      !sameHeaderName(std::string_view(*Value).substr(0, Scheme.size()),
                      Scheme))
    return std::nullopt;
  return Value->substr(Scheme.size());
}

auto findCaller(const Configuration &Configuration,
                const std::string &KeyDigest) -> std::optional<Caller> {
  const auto *Found = Configuration.m_Keys.find(KeyDigest);
  if (Found == nullptr)
    return std::nullopt;
  return Caller{.m_Organisation = Found->m_Organisation,
                .m_Weight = Found->m_Weight,
                .m_KeyDigest = KeyDigest};
}

auto isKeyGranted(const Configuration &Configuration, const Caller &Caller)
    -> bool {
  if (Caller.m_KeyDigest.empty())
    return true;
  auto Current = findCaller(Configuration, Caller.m_KeyDigest);
  return Current && Current->m_Organisation == Caller.m_Organisation;
}

auto containsKey(const HttpRequest &Request, const std::string &Key) -> bool {
  if (Request.m_Path.find(Key) != std::string::npos ||
      Request.m_Body.find(Key) != std::string::npos)
    return true;
  return std::any_of(Request.m_Query.begin(), Request.m_Query.end(),
                     [&](const HttpHeader &Item) {
                       return Item.m_Value.find(Key) != std::string::npos ||
                              Item.m_Name.find(Key) != std::string::npos;
                     });
}

auto forwardedHeaders(const HttpRequest &Request,
                      const std::optional<std::string> &Key) -> HttpHeaders {
  auto Result = HttpHeaders();
  for (const auto &Header : Request.m_Headers) {
    if (!containsName(Header.m_Name, ForwardedHeaderNames))
      continue;
    if (Key && Header.m_Value.find(*Key) != std::string::npos)
      continue;
    Result.push_back(Header);
  }
  return Result;
}

auto forwardedQuery(const HttpRequest &Request) -> HttpHeaders {
  auto Result = HttpHeaders();
  for (const auto &Item : Request.m_Query)
    if (!containsName(Item.m_Name, CredentialParameterNames))
      Result.push_back(Item);
  return Result;
}

} // namespace dotterel
