#include "dotterel/ledger/ClaimLog.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

auto milliseconds(WallTime Time) -> std::int64_t {
  return toMilliseconds(Time.time_since_epoch());
}

auto toJson(const Claim &Entry) -> Json {
  return {{"claim", Entry.m_Identity.text()},
          {"attempt", Entry.m_Attempt.text()},
          {"issued_ms", milliseconds(Entry.m_IssuedAt)},
          {"content", Entry.m_Content.number()}};
}

auto toJson(const ClaimOutcome &Entry) -> Json {
  auto Line = Json{{"outcome", Entry.m_Identity.text()},
                   {"attempt", Entry.m_Attempt.text()},
                   {"released", Entry.m_Released}};
  if (!Entry.m_Released) {
    Line["status"] = Entry.m_Response.m_Status;
    Line["content_type"] = Entry.m_Response.m_ContentType;
  }
  // A body may contain any bytes; a JSON string may not.
  if (Entry.m_Response.m_Body)
    Line["body"] = Json::binary(
        {Entry.m_Response.m_Body->begin(), Entry.m_Response.m_Body->end()});
  return Line;
}

auto claimFrom(const Json &Line) -> Claim {
  return {.m_Identity = RequestIdentity{Line.at("claim").get<std::string>()},
          .m_Attempt = AttemptId{Line.at("attempt").get<std::string>()},
          .m_IssuedAt =
              WallTime(Milliseconds(Line.at("issued_ms").get<std::int64_t>())),
          .m_Content = ContentDigest{Line.at("content").get<std::uint64_t>()}};
}

auto outcomeFrom(const Json &Line) -> ClaimOutcome {
  auto Entry = ClaimOutcome{
      .m_Identity = RequestIdentity{Line.at("outcome").get<std::string>()},
      .m_Attempt = AttemptId{Line.at("attempt").get<std::string>()},
      .m_Released = Line.at("released").get<bool>()};
  Entry.m_Response.m_Status = Line.value("status", 0U);
  Entry.m_Response.m_ContentType = Line.value("content_type", "");
  auto Body = Line.find("body");
  if (Body != Line.end()) {
    const auto &Bytes = Body->get_binary();
    Entry.m_Response.m_Body = std::string(Bytes.begin(), Bytes.end());
  }
  return Entry;
}

} // namespace

auto decodeEntries(const std::string &Document) -> std::vector<ClaimEntry> {
  try {
    auto Entries = std::vector<ClaimEntry>();
    for (const auto &Line : Json::from_cbor(Document)) {
      if (Line.contains("claim"))
        Entries.emplace_back(claimFrom(Line));
      else
        Entries.emplace_back(outcomeFrom(Line));
    }
    return Entries;
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

auto encodeEntries(const std::vector<ClaimEntry> &Entries) -> std::string {
  auto Lines = Json::array();
  for (const auto &Entry : Entries)
    std::visit([&Lines](const auto &Item) { Lines.push_back(toJson(Item)); },
               Entry);
  auto Bytes = Json::to_cbor(Lines);
  return {Bytes.begin(), Bytes.end()};
}

auto ClaimLog::apply(const ClaimEntry &Entry) -> void {
  if (const auto *Request = std::get_if<Claim>(&Entry))
    applyClaim(*Request);
  else
    applyOutcome(std::get<ClaimOutcome>(Entry));
}

auto ClaimLog::applyClaim(const Claim &Entry) -> void {
  auto Found = m_Records.find(Entry.m_Identity);
  if (Found == m_Records.end()) {
    m_Records.emplace(Entry.m_Identity, Record{.m_Claim = Entry});
    return;
  }
  auto ClaimAgain = Found->second.m_State == State::Released &&
                    Found->second.m_Claim.m_Attempt != Entry.m_Attempt;
  if (ClaimAgain)
    Found->second = Record{.m_Claim = Entry};
}

auto ClaimLog::applyOutcome(const ClaimOutcome &Entry) -> void {
  auto Found = m_Records.find(Entry.m_Identity);
  if (Found == m_Records.end()) {
    // The release arrived before its claim: the later claim must not be
    // granted.
    if (Entry.m_Released) {
      auto Blocked = Record{.m_State = State::Released};
      Blocked.m_Claim.m_Identity = Entry.m_Identity;
      Blocked.m_Claim.m_Attempt = Entry.m_Attempt;
      m_Records.emplace(Entry.m_Identity, Blocked);
    }
    return;
  }
  auto &Known = Found->second;
  if (Known.m_Claim.m_Attempt != Entry.m_Attempt ||
      Known.m_State != State::Claimed)
    return;
  Known.m_State = Entry.m_Released ? State::Released : State::Finished;
  Known.m_Response = Entry.m_Response;
}

auto ClaimLog::replyFor(const Claim &Request) const
    -> std::optional<ClaimReply> {
  if (Request.m_IssuedAt < m_Horizon)
    return ClaimReply{.m_Verdict = ClaimVerdict::Unavailable};
  auto Found = m_Records.find(Request.m_Identity);
  if (Found == m_Records.end())
    return std::nullopt;
  const auto &Known = Found->second;
  auto Same = Known.m_Claim.m_Attempt == Request.m_Attempt;
  switch (Known.m_State) {
  case State::Released:
    if (Same)
      return ClaimReply{.m_Verdict = ClaimVerdict::Unavailable};
    return std::nullopt;
  case State::Claimed:
    if (Same)
      return ClaimReply{.m_Verdict = ClaimVerdict::Granted};
    break;
  case State::Finished:
    break;
  }
  if (Known.m_Claim.m_Content != Request.m_Content)
    return ClaimReply{.m_Verdict = ClaimVerdict::Mismatch};
  if (Known.m_State == State::Claimed)
    return ClaimReply{.m_Verdict = ClaimVerdict::InDoubt};
  return ClaimReply{.m_Verdict = ClaimVerdict::Finished,
                    .m_Response = Known.m_Response};
}

auto ClaimLog::acceptsOutcome(const ClaimOutcome &Outcome) const -> bool {
  auto Found = m_Records.find(Outcome.m_Identity);
  if (Found == m_Records.end())
    return Outcome.m_Released;
  return Found->second.m_Claim.m_Attempt == Outcome.m_Attempt &&
         Found->second.m_State == State::Claimed;
}

auto ClaimLog::discardBefore(WallTime Horizon) -> void {
  if (Horizon <= m_Horizon)
    return;
  m_Horizon = Horizon;
  std::erase_if(m_Records, [Horizon](const auto &Item) {
    return Item.second.m_Claim.m_IssuedAt < Horizon;
  });
}

} // namespace dotterel
