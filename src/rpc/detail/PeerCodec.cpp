#include "dotterel/rpc/detail/PeerCodec.h"

#include "dotterel/rpc/detail/RateLimitCodec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dotterel::detail {

namespace {

/// Wire value of an age if the sender knows of no read of the store.
constexpr auto NoConfirmation = std::numeric_limits<std::uint32_t>::max();

auto text(capnp::Text::Reader Source) -> std::string {
  return {Source.begin(), Source.size()};
}

auto encodeMember(const Member &Value, schema::Member::Builder Target) -> void {
  Target.setProcess(Value.m_Process.text());
  Target.setHost(Value.m_Location.m_Host.text());
  Target.setDataCentre(Value.m_Location.m_DataCentre.text());
  Target.setRegion(Value.m_Location.m_Region.text());
  Target.setRole(Value.m_Role == ProcessRole::Gate
                     ? schema::Member::Role::GATE
                     : schema::Member::Role::STEWARD);
  Target.setAddress(Value.m_Address);
  Target.setIncarnation(Value.m_Incarnation);
  Target.setHeartbeat(Value.m_Heartbeat);
  Target.setLeaving(Value.m_Leaving);
  Target.setConfigRevision(Value.m_ConfigRevision.number());
  Target.setStoreLost(Value.m_StoreLost);
  Target.setPrefillTokensPerSecond(Value.m_PrefillTokensPerSecond);
  Target.setDecodeTokensPerSecond(Value.m_DecodeTokensPerSecond);
}

auto decodeMember(schema::Member::Reader Source) -> Member {
  return {
      .m_Process = ProcessId{text(Source.getProcess())},
      .m_Location = {.m_Host = HostId{text(Source.getHost())},
                     .m_DataCentre = DataCentreId{text(Source.getDataCentre())},
                     .m_Region = RegionId{text(Source.getRegion())}},
      .m_Role = Source.getRole() == schema::Member::Role::GATE
                    ? ProcessRole::Gate
                    : ProcessRole::Steward,
      .m_Address = text(Source.getAddress()),
      .m_Incarnation = Source.getIncarnation(),
      .m_Heartbeat = Source.getHeartbeat(),
      .m_Leaving = Source.getLeaving(),
      .m_ConfigRevision = ConfigRevision{Source.getConfigRevision()},
      .m_StoreLost = Source.getStoreLost(),
      .m_PrefillTokensPerSecond = Source.getPrefillTokensPerSecond(),
      .m_DecodeTokensPerSecond = Source.getDecodeTokensPerSecond()};
}

auto encodeAge(Duration Age) -> std::uint32_t {
  // Rounds up, so that a read of the store never appears more recent than it
  // is.
  auto Rounded =
      Age == Duration::max() ? NoConfirmation : toMilliseconds(Age) + 1;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(Rounded, NoConfirmation));
}

auto decodeAge(std::uint32_t Age) -> Duration {
  return Age == NoConfirmation ? Duration::max() : Duration(Milliseconds(Age));
}

/// Rounds down: a receiver keeps the earliest time of a loss, and must not see
/// it become earlier with each exchange.
auto encodeLossAge(Duration Age) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      toMilliseconds(Age), 0, std::numeric_limits<std::uint32_t>::max()));
}

template <typename Builder>
auto encodeResponse(const RecordedResponse &Value, Builder &Target) -> void {
  Target.setStatus(static_cast<std::uint16_t>(Value.m_Status));
  Target.setContentType(Value.m_ContentType);
  Target.setHasBody(Value.m_Body.has_value());
  if (Value.m_Body)
    Target.setBody(*Value.m_Body);
}

template <typename Reader>
auto decodeResponse(const Reader &Source) -> RecordedResponse {
  auto Response =
      RecordedResponse{.m_Status = Source.getStatus(),
                       .m_ContentType = text(Source.getContentType())};
  if (Source.getHasBody())
    Response.m_Body = text(Source.getBody());
  return Response;
}

} // namespace

auto encode(const PeerView &Value, schema::View::Builder Target) -> void {
  auto Index = 0U;
  auto Members = Target.initMembers(Value.m_Members.size());
  for (const auto &Item : Value.m_Members)
    encodeMember(Item, Members[Index++]);
  auto Crashes = Target.initCrashes(Value.m_Crashes.size());
  Index = 0;
  for (const auto &Item : Value.m_Crashes) {
    auto Crash = Crashes[Index++];
    Crash.setDigest(Item.m_Digest.number());
    Crash.setReleased(Item.m_Releases);
    Crash.setLostAlone(Item.m_LostAlone);
    auto Backends = Crash.initBackends(Item.m_Losses.size());
    auto SinceSent = Crash.initMsSinceSent(Item.m_Losses.size());
    auto SinceLost = Crash.initMsSinceLost(Item.m_Losses.size());
    auto Inner = 0U;
    for (const auto &[Backend, Ages] : Item.m_Losses) {
      SinceSent.set(Inner, encodeLossAge(Ages.m_SinceSent));
      SinceLost.set(Inner, encodeLossAge(Ages.m_SinceLost));
      Backends.set(Inner++, Backend.text());
    }
  }
  Target.setEvidenceAgeMs(encodeAge(Value.m_ConfirmationAge));
  auto Leaving = Target.initLeavingBackends(Value.m_LeavingBackends.size());
  Index = 0;
  for (const auto &Item : Value.m_LeavingBackends)
    Leaving.set(Index++, Item.text());
  auto RateLimits = Target.initRateLimits(Value.m_RateLimits.size());
  Index = 0;
  for (const auto &Item : Value.m_RateLimits)
    encodeRateLimit(Item, RateLimits[Index++]);
}

auto decode(schema::View::Reader Source) -> PeerView {
  auto Value = PeerView();
  for (auto Item : Source.getMembers())
    Value.m_Members.push_back(decodeMember(Item));
  for (auto Item : Source.getCrashes()) {
    auto Report = CrashReport{.m_Digest = RequestDigest{Item.getDigest()},
                              .m_Releases = Item.getReleased(),
                              .m_LostAlone = Item.getLostAlone()};
    auto SinceSent = Item.getMsSinceSent();
    auto SinceLost = Item.getMsSinceLost();
    auto Inner = 0U;
    for (auto Backend : Item.getBackends()) {
      // Processes of an earlier version send no ages.
      auto Ages = Inner < SinceSent.size() && Inner < SinceLost.size()
                      ? LossAges{.m_SinceSent = Milliseconds(SinceSent[Inner]),
                                 .m_SinceLost = Milliseconds(SinceLost[Inner])}
                      : LossAges{};
      Report.m_Losses.emplace(BackendId{text(Backend)}, Ages);
      ++Inner;
    }
    Value.m_Crashes.push_back(std::move(Report));
  }
  Value.m_ConfirmationAge = decodeAge(Source.getEvidenceAgeMs());
  for (auto Item : Source.getLeavingBackends())
    Value.m_LeavingBackends.emplace_back(text(Item));
  for (auto Item : Source.getRateLimits())
    Value.m_RateLimits.push_back(decodeRateLimit(Item));
  return Value;
}

auto encode(const Claim &Value, schema::ClaimRequest::Builder Target) -> void {
  Target.setIdentity(Value.m_Identity.text());
  Target.setAttempt(Value.m_Attempt.text());
  auto Issued = std::chrono::duration_cast<Milliseconds>(
      Value.m_IssuedAt.time_since_epoch());
  Target.setIssuedAtMs(static_cast<std::uint64_t>(Issued.count()));
  Target.setContent(Value.m_Content.number());
}

auto decode(schema::ClaimRequest::Reader Source) -> Claim {
  return {.m_Identity = RequestIdentity{text(Source.getIdentity())},
          .m_Attempt = AttemptId{text(Source.getAttempt())},
          .m_IssuedAt = WallTime(Milliseconds(Source.getIssuedAtMs())),
          .m_Content = ContentDigest{Source.getContent()}};
}

auto encode(const ClaimReply &Value, schema::ClaimReply::Builder Target)
    -> void {
  Target.setVerdict(static_cast<schema::ClaimReply::Verdict>(Value.m_Verdict));
  encodeResponse(Value.m_Response, Target);
}

auto decode(schema::ClaimReply::Reader Source) -> ClaimReply {
  auto Reply = ClaimReply{.m_Response = decodeResponse(Source)};
  switch (Source.getVerdict()) {
  case schema::ClaimReply::Verdict::GRANTED:
    Reply.m_Verdict = ClaimVerdict::Granted;
    break;
  case schema::ClaimReply::Verdict::IN_DOUBT:
    Reply.m_Verdict = ClaimVerdict::InDoubt;
    break;
  case schema::ClaimReply::Verdict::FINISHED:
    Reply.m_Verdict = ClaimVerdict::Finished;
    break;
  case schema::ClaimReply::Verdict::MISMATCH:
    Reply.m_Verdict = ClaimVerdict::Mismatch;
    break;
  default:
    Reply.m_Verdict = ClaimVerdict::Unavailable;
  }
  return Reply;
}

auto encode(const ClaimOutcome &Value, schema::OutcomeRecord::Builder Target)
    -> void {
  Target.setIdentity(Value.m_Identity.text());
  Target.setAttempt(Value.m_Attempt.text());
  Target.setReleased(Value.m_Released);
  encodeResponse(Value.m_Response, Target);
}

auto decode(schema::OutcomeRecord::Reader Source) -> ClaimOutcome {
  return {.m_Identity = RequestIdentity{text(Source.getIdentity())},
          .m_Attempt = AttemptId{text(Source.getAttempt())},
          .m_Released = Source.getReleased(),
          .m_Response = decodeResponse(Source)};
}

auto encode(const UsageSegment &Value, schema::UsageBatch::Builder Target)
    -> void {
  Target.setWindow(Value.m_Id.m_Window.number());
  Target.setIncarnation(Value.m_Id.m_Incarnation.text());
  Target.setSegment(Value.m_Id.m_Number);
  Target.setConfirmedBelow(Value.m_ConfirmedBelow);
  auto Entries = Target.initEntries(Value.m_Totals.size());
  auto Index = 0U;
  for (const auto &[Key, Figures] : Value.m_Totals) {
    auto Entry = Entries[Index++];
    Entry.setOrganisation(Key.m_Organisation.text());
    Entry.setModel(Key.m_Model.text());
    Entry.setRequests(Figures.m_Requests);
    Entry.setPrefillTokens(Figures.m_PrefillTokens.number());
    Entry.setDecodeTokens(Figures.m_DecodeTokens.number());
  }
}

auto decode(schema::UsageBatch::Reader Source) -> UsageSegment {
  auto Segment = UsageSegment{
      .m_Id = {.m_Window = WindowIndex{Source.getWindow()},
               .m_Incarnation = IncarnationId{text(Source.getIncarnation())},
               .m_Number = Source.getSegment()},
      .m_ConfirmedBelow = Source.getConfirmedBelow()};
  for (auto Entry : Source.getEntries()) {
    auto Key = UsageKey{.m_Organisation =
                            OrganisationId{text(Entry.getOrganisation())},
                        .m_Model = ModelId{text(Entry.getModel())}};
    Segment.m_Totals[Key] = {
        .m_Requests = Entry.getRequests(),
        .m_PrefillTokens = TokenCount{Entry.getPrefillTokens()},
        .m_DecodeTokens = TokenCount{Entry.getDecodeTokens()}};
  }
  return Segment;
}

auto encode(const ConfigurationDelta &Value,
            schema::Peer::FetchConfigurationResults::Builder Target) -> void {
  Target.setRevision(Value.m_Revision.number());
  Target.setHead(Value.m_Head);
  auto Shards = Target.initShards(Value.m_Shards.size());
  auto Index = 0U;
  for (const auto &[Number, Document] : Value.m_Shards) {
    auto Shard = Shards[Index++];
    Shard.setIndex(Number);
    Shard.setDocument(Document);
  }
}

auto decode(schema::Peer::FetchConfigurationResults::Reader Source)
    -> ConfigurationDelta {
  auto Value =
      ConfigurationDelta{.m_Revision = ConfigRevision{Source.getRevision()},
                         .m_Head = text(Source.getHead())};
  for (auto Shard : Source.getShards())
    Value.m_Shards.emplace_back(Shard.getIndex(), text(Shard.getDocument()));
  return Value;
}

} // namespace dotterel::detail
