#include "dotterel/peers/HostMessage.h"

#include "HostExchange.capnp.h"
#include "dotterel/base/Errors.h"
#include "dotterel/rpc/detail/RateLimitCodec.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>
#include <map>

namespace dotterel {

namespace {

auto encodeRateLimits(const std::vector<RateLimitReport> &Reports,
                      schema::LoadSummary::Builder Target) -> void {
  auto List = Target.initRateLimits(static_cast<unsigned>(Reports.size()));
  auto Index = 0U;
  for (const auto &Report : Reports)
    detail::encodeRateLimit(Report, List[Index++]);
}

auto encodeSpeeds(const std::vector<SpeedReport> &Reports,
                  schema::LoadSummary::Builder Target) -> void {
  auto List = Target.initSpeeds(static_cast<unsigned>(Reports.size()));
  auto Index = 0U;
  for (const auto &Report : Reports) {
    auto Entry = List[Index++];
    Entry.setBackend(Report.m_Backend.text());
    Entry.setFactor(static_cast<float>(Report.m_Factor.value_or(0)));
    Entry.setAgeMs(static_cast<std::uint32_t>(toMilliseconds(Report.m_Age)));
    Entry.setDeviationSum(static_cast<float>(Report.m_DeviationSum));
    Entry.setMeasurements(static_cast<std::uint16_t>(std::min<std::uint32_t>(
        Report.m_Measurements, std::numeric_limits<std::uint16_t>::max())));
  }
}

auto decodeSpeed(schema::LoadSummary::ServerSpeed::Reader Source)
    -> SpeedReport {
  auto Report = SpeedReport{.m_Backend = BackendId{Source.getBackend().cStr()},
                            .m_Age = Milliseconds(Source.getAgeMs()),
                            .m_DeviationSum = Source.getDeviationSum(),
                            .m_Measurements = Source.getMeasurements()};
  if (Source.getFactor() > 0 && std::isfinite(Source.getFactor()))
    Report.m_Factor = Source.getFactor();
  if (!std::isfinite(Report.m_DeviationSum))
    Report.m_Measurements = 0;
  return Report;
}

auto encodeLoads(const LoadSummary &Loads, schema::LoadSummary::Builder Target)
    -> void {
  Target.setWholeDataCentre(Loads.m_WholeDataCentre);
  Target.setDistributor(Loads.m_Distributor.text());
  Target.setNumber(Loads.m_Number);
  Target.setPrefillTokensPerSecond(
      static_cast<float>(Loads.m_PrefillTokensPerSecond));
  auto Engines =
      Target.initEngines(static_cast<unsigned>(Loads.m_Engines.size()));
  auto Index = 0U;
  for (const auto &Item : Loads.m_Engines) {
    auto Entry = Engines[Index++];
    Entry.setEngine(Item.m_Engine.text());
    Entry.setRequests(static_cast<float>(Item.m_Requests));
    Entry.setUnreadTokens(static_cast<float>(Item.m_PendingPrefillTokens));
  }
  encodeRateLimits(Loads.m_RateLimits, Target);
  encodeSpeeds(Loads.m_Speeds, Target);
  auto Reads = Target.initReads(static_cast<unsigned>(Loads.m_Reads.size()));
  Index = 0;
  for (const auto &Item : Loads.m_Reads) {
    auto Entry = Reads[Index++];
    Entry.setEngine(Item.m_Engine.text());
    auto Parts = Entry.initParts(static_cast<unsigned>(Item.m_Parts.size()));
    auto Position = 0U;
    for (const auto &Part : Item.m_Parts) {
      Parts[Position].setId(Part.m_Id);
      Parts[Position++].setTokens(
          static_cast<std::uint32_t>(Part.m_Tokens.number()));
    }
  }
}

auto decodeLoads(schema::LoadSummary::Reader Source) -> LoadSummary {
  auto Loads = LoadSummary{
      .m_WholeDataCentre = Source.getWholeDataCentre(),
      .m_Distributor = HostId{Source.getDistributor().cStr()},
      .m_Number = Source.getNumber(),
      .m_PrefillTokensPerSecond = Source.getPrefillTokensPerSecond()};
  for (auto Item : Source.getEngines())
    Loads.m_Engines.push_back(
        {.m_Engine = BackendId{Item.getEngine().cStr()},
         .m_Requests = Item.getRequests(),
         .m_PendingPrefillTokens = Item.getUnreadTokens()});
  for (auto Item : Source.getReads()) {
    auto Read = PromptRead{.m_Engine = BackendId{Item.getEngine().cStr()}};
    for (auto Part : Item.getParts())
      Read.m_Parts.push_back({.m_Id = Part.getId().cStr(),
                              .m_Tokens = TokenCount{Part.getTokens()}});
    Loads.m_Reads.push_back(std::move(Read));
  }
  for (auto Item : Source.getRateLimits())
    Loads.m_RateLimits.push_back(detail::decodeRateLimit(Item));
  for (auto Item : Source.getSpeeds())
    Loads.m_Speeds.push_back(decodeSpeed(Item));
  return Loads;
}

auto toMicroseconds(MonotonicTime Time) -> std::uint64_t {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

auto fromMicroseconds(std::uint64_t Count) -> MonotonicTime {
  return MonotonicTime(Duration(static_cast<Duration::rep>(Count)));
}

auto encodeChange(const KeyChange &Change, schema::RecordChange::Builder Target)
    -> void {
  Target.setKey(Change.m_Key);
  Target.setRemoved(!Change.m_Value.has_value());
  Target.setRevision(Change.m_Revision.number());
  Target.setStoreEra(Change.m_Revision.era().number());
  if (Change.m_Value)
    Target.setValue(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(Change.m_Value->data()),
                     Change.m_Value->size()));
}

auto decodeChange(schema::RecordChange::Reader Source) -> KeyChange {
  auto Change =
      KeyChange{.m_Key = Source.getKey().cStr(),
                .m_Revision = StoreRevision{Source.getRevision(),
                                            StoreEra{Source.getStoreEra()}}};
  auto Value = Source.getValue();
  if (!Source.getRemoved())
    Change.m_Value = std::string(reinterpret_cast<const char *>(Value.begin()),
                                 Value.size());
  return Change;
}

auto encodeChanges(const RelayedChanges &Changes,
                   capnp::List<schema::RecordChange>::Builder Target) -> void {
  auto Index = 0U;
  for (const auto &Change : Changes.m_Changes)
    encodeChange(Change, Target[Index++]);
}

auto decodeChanges(capnp::List<schema::RecordChange>::Reader Source)
    -> RelayedChanges {
  auto Changes = RelayedChanges();
  for (auto Item : Source)
    Changes.m_Changes.push_back(decodeChange(Item));
  return Changes;
}

auto encodeReply(const RelayReply &Reply, schema::Reply::Builder Target)
    -> void {
  Target.setSentAt(toMicroseconds(Reply.m_SentAt));
  Target.setEvidenceAgeMs(
      static_cast<std::uint32_t>(toMilliseconds(Reply.m_ConfirmationAge)));
  Target.setConfigRevision(Reply.m_ConfigRevision.number());
  Target.setBackendsDigest(Reply.m_BackendsDigest);
  Target.setStoreEra(Reply.m_StoreEra.number());
}

auto decodeReply(schema::Reply::Reader Source) -> RelayReply {
  // Rounded up, so that a confirmation never appears newer than it is.
  return {.m_SentAt = fromMicroseconds(Source.getSentAt()),
          .m_ConfirmationAge = Milliseconds(Source.getEvidenceAgeMs() + 1),
          .m_ConfigRevision = ConfigRevision{Source.getConfigRevision()},
          .m_BackendsDigest = Source.getBackendsDigest(),
          .m_StoreEra = StoreEra{Source.getStoreEra()}};
}

auto encodeUsage(const UsageSegment &Segment,
                 schema::UsageSegment::Builder Target) -> void {
  Target.setWindow(Segment.m_Id.m_Window.number());
  Target.setIncarnation(Segment.m_Id.m_Incarnation.text());
  Target.setNumber(Segment.m_Id.m_Number);
  Target.setTotals(encodeTotals(Segment.m_Totals));
}

auto encodeStored(const StoredSegment &Stored,
                  schema::UsageSegment::Builder Target) -> void {
  encodeUsage(Stored.m_Segment, Target);
  Target.setStored(true);
  Target.setStoreEra(Stored.m_Era.number());
}

auto decodeUsage(schema::UsageSegment::Reader Source) -> UsageSegment {
  return {
      .m_Id = {.m_Window = WindowIndex{Source.getWindow()},
               .m_Incarnation = IncarnationId{Source.getIncarnation().cStr()},
               .m_Number = Source.getNumber()},
      .m_Totals = decodeTotals(Source.getTotals().cStr())};
}

/// Rounds down: a receiver keeps the earliest time of a loss, and must not see
/// it become earlier with each exchange.
auto encodeLossAge(Duration Age) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      toMilliseconds(Age), 0, std::numeric_limits<std::uint32_t>::max()));
}

auto encodeCrashes(const CrashReports &Crashes,
                   schema::CrashReports::Builder Target) -> void {
  // Most reports of a message are about the same few servers.
  auto Positions = std::map<BackendId, std::uint16_t>();
  auto LossCount = std::size_t{0};
  for (const auto &Report : Crashes.m_Reports) {
    LossCount += Report.m_Losses.size();
    for (const auto &[Backend, Ages] : Report.m_Losses)
      Positions.emplace(Backend, static_cast<std::uint16_t>(Positions.size()));
  }
  auto Backends = Target.initBackends(static_cast<unsigned>(Positions.size()));
  for (const auto &[Backend, Position] : Positions)
    Backends.set(Position, Backend.text());
  auto ReportCount = static_cast<unsigned>(Crashes.m_Reports.size());
  auto Digests = Target.initDigests(ReportCount);
  auto Releases = Target.initReleases(ReportCount);
  auto LostAlone = Target.initLostAlone(ReportCount);
  auto LossCounts = Target.initLossCounts(ReportCount);
  auto LossBackends = Target.initLossBackends(static_cast<unsigned>(LossCount));
  auto SinceSent = Target.initMsSinceSent(static_cast<unsigned>(LossCount));
  auto SinceLost = Target.initMsSinceLost(static_cast<unsigned>(LossCount));
  auto Index = 0U;
  auto Loss = 0U;
  for (const auto &Report : Crashes.m_Reports) {
    Digests.set(Index, Report.m_Digest.number());
    Releases.set(Index, Report.m_Releases);
    LostAlone.set(Index, Report.m_LostAlone);
    LossCounts.set(Index++, static_cast<std::uint16_t>(Report.m_Losses.size()));
    for (const auto &[Backend, Ages] : Report.m_Losses) {
      LossBackends.set(Loss, Positions.at(Backend));
      SinceSent.set(Loss, encodeLossAge(Ages.m_SinceSent));
      SinceLost.set(Loss++, encodeLossAge(Ages.m_SinceLost));
    }
  }
}

auto decodeCrashes(schema::CrashReports::Reader Source) -> CrashReports {
  auto Crashes = CrashReports();
  auto Backends = Source.getBackends();
  auto Digests = Source.getDigests();
  auto Releases = Source.getReleases();
  auto LostAlone = Source.getLostAlone();
  auto LossCounts = Source.getLossCounts();
  auto LossBackends = Source.getLossBackends();
  auto SinceSent = Source.getMsSinceSent();
  auto SinceLost = Source.getMsSinceLost();
  auto LossCount = std::size_t{0};
  for (auto Count : LossCounts)
    LossCount += Count;
  // A long run of zeros takes few bytes of the message, but memory here.
  if (Digests.size() > CrashReports::MaxReports ||
      LossCount > CrashReports::MaxLosses)
    throw ProtocolError(301, "host message has too many crash reports");
  if (Releases.size() != Digests.size() || LostAlone.size() != Digests.size() ||
      LossCounts.size() != Digests.size() || LossBackends.size() != LossCount ||
      SinceSent.size() != LossCount || SinceLost.size() != LossCount)
    throw ProtocolError(301, "host message has incomplete crash reports");
  auto Loss = 0U;
  for (auto Index = 0U; Index < Digests.size(); ++Index) {
    auto Report = CrashReport{.m_Digest = RequestDigest{Digests[Index]},
                              .m_Releases = Releases[Index],
                              .m_LostAlone = LostAlone[Index]};
    for (auto End = Loss + LossCounts[Index]; Loss < End; ++Loss) {
      if (LossBackends[Loss] >= Backends.size())
        throw ProtocolError(301, "crash report has an unknown backend server");
      Report.m_Losses.emplace(
          BackendId{Backends[LossBackends[Loss]].cStr()},
          LossAges{.m_SinceSent = Milliseconds(SinceSent[Loss]),
                   .m_SinceLost = Milliseconds(SinceLost[Loss])});
    }
    Crashes.m_Reports.push_back(std::move(Report));
  }
  return Crashes;
}

auto encodeOrganisationUse(const OrganisationUse &Use,
                           schema::OrganisationUse::Builder Target) -> void {
  Target.setWholeDataCentre(Use.m_WholeDataCentre);
  Target.setDistributor(Use.m_Distributor.text());
  Target.setIncarnation(Use.m_Incarnation);
  Target.setNumber(Use.m_Number);
  Target.setHosts(Use.m_Hosts);
  auto Entries =
      Target.initEntries(static_cast<unsigned>(Use.m_Entries.size()));
  auto Index = 0U;
  for (const auto &Item : Use.m_Entries) {
    auto Entry = Entries[Index++];
    Entry.setOrganisation(Item.m_Organisation.text());
    Entry.setCountsTokens(Item.m_Unit == LimitUnit::Tokens);
    Entry.setDemandPerSecond(static_cast<float>(Item.m_Demand));
    Entry.setTotal(static_cast<float>(Item.m_Total));
    auto Windows = Entry.initUse(static_cast<unsigned>(UseWindows));
    for (auto Window = 0U; Window < UseWindows; ++Window)
      Windows.set(Window, static_cast<float>(Item.m_Use[Window]));
  }
}

/// Returns a value that sums of use may contain.
auto decodeAmount(float Value) -> double {
  if (!(Value >= 0) || std::isinf(Value))
    throw ProtocolError(301, "host message has an invalid amount");
  return Value;
}

auto decodeOrganisationUse(schema::OrganisationUse::Reader Source)
    -> OrganisationUse {
  auto Entries = Source.getEntries();
  if (Entries.size() > OrganisationUse::MaxEntries)
    throw ProtocolError(301, "host message has too many organisations");
  auto Use =
      OrganisationUse{.m_WholeDataCentre = Source.getWholeDataCentre(),
                      .m_Distributor = HostId{Source.getDistributor().cStr()},
                      .m_Incarnation = Source.getIncarnation(),
                      .m_Number = Source.getNumber(),
                      .m_Hosts = Source.getHosts()};
  for (auto Item : Entries) {
    auto Windows = Item.getUse();
    if (Windows.size() != UseWindows)
      throw ProtocolError(301, "host message has other windows of use");
    auto Entry = OrganisationUse::Entry{
        .m_Organisation = OrganisationId{Item.getOrganisation().cStr()},
        .m_Unit =
            Item.getCountsTokens() ? LimitUnit::Tokens : LimitUnit::Requests,
        .m_Demand = decodeAmount(Item.getDemandPerSecond()),
        .m_Total = decodeAmount(Item.getTotal())};
    for (auto Window = 0U; Window < UseWindows; ++Window)
      Entry.m_Use[Window] = decodeAmount(Windows[Window]);
    Use.m_Entries.push_back(std::move(Entry));
  }
  return Use;
}

auto encodeOrigin(const StreamOrigin &Origin,
                  schema::StreamOrigin::Builder Target) -> void {
  Target.setService(Origin.m_Service);
  Target.setVersion(Origin.m_Version.text());
}

auto decodeOrigin(schema::StreamOrigin::Reader Source) -> StreamOrigin {
  return {.m_Service = Source.getService().cStr(),
          .m_Version = SoftwareVersion{Source.getVersion().cStr()}};
}

auto encodeStreamRecords(const StreamRecords &Records,
                         schema::StreamRecords::Builder Target) -> void {
  auto Origins = std::vector<StreamOrigin>();
  auto Count = static_cast<unsigned>(Records.m_Streams.size());
  auto Streams = Target.initStreams(Count);
  auto Positions = Target.initOriginOfStream(Count);
  auto Index = 0U;
  for (const auto &[Stream, Origin] : Records.m_Streams) {
    auto Found = std::find(Origins.begin(), Origins.end(), Origin);
    auto Position = Found - Origins.begin();
    if (Found == Origins.end())
      Origins.push_back(Origin);
    Streams.set(Index, Stream.number());
    Positions.set(Index++, static_cast<std::uint8_t>(Position));
  }
  auto List = Target.initOrigins(static_cast<unsigned>(Origins.size()));
  Index = 0;
  for (const auto &Origin : Origins)
    encodeOrigin(Origin, List[Index++]);
}

auto decodeStreamRecords(schema::StreamRecords::Reader Source)
    -> StreamRecords {
  auto Streams = Source.getStreams();
  auto Positions = Source.getOriginOfStream();
  auto Origins = Source.getOrigins();
  if (Streams.size() > StreamRecords::MaxStreams ||
      Origins.size() > Streams.size() || Positions.size() != Streams.size())
    throw ProtocolError(301, "host message has invalid origins of streams");
  auto Records = StreamRecords();
  for (auto Index = 0U; Index < Streams.size(); ++Index) {
    if (Positions[Index] >= Origins.size())
      throw ProtocolError(301, "a stream has an unknown origin");
    Records.m_Streams.emplace_back(StreamDigest{Streams[Index]},
                                   decodeOrigin(Origins[Positions[Index]]));
  }
  return Records;
}

auto encodeStreamQuery(const StreamQuery &Query,
                       schema::StreamQuery::Builder Target) -> void {
  Target.setNumber(Query.m_Number);
  Target.setRound(Query.m_Round);
  Target.setStream(Query.m_Stream.number());
}

auto decodeStreamQuery(schema::StreamQuery::Reader Source) -> StreamQuery {
  return {.m_Number = Source.getNumber(),
          .m_Round = Source.getRound(),
          .m_Stream = StreamDigest{Source.getStream()}};
}

auto encodeStreamReply(const StreamReply &Reply,
                       schema::StreamReply::Builder Target) -> void {
  encodeStreamQuery(Reply.m_Query, Target.initQuery());
  Target.setKnown(Reply.m_Origin.has_value());
  if (Reply.m_Origin)
    encodeOrigin(*Reply.m_Origin, Target.initOrigin());
}

auto decodeStreamReply(schema::StreamReply::Reader Source) -> StreamReply {
  auto Reply = StreamReply{.m_Query = decodeStreamQuery(Source.getQuery())};
  if (Source.getKnown())
    Reply.m_Origin = decodeOrigin(Source.getOrigin());
  return Reply;
}

} // namespace

auto encodeHostMessage(const HostMessage &Message) -> std::string {
  auto Builder = capnp::MallocMessageBuilder();
  auto Root = Builder.initRoot<schema::HostMessage>();
  Root.setSender(Message.m_Sender.text());
  Root.setDataCentre(Message.m_DataCentre.text());
  if (const auto *Loads = std::get_if<LoadSummary>(&Message.m_Content))
    encodeLoads(*Loads, Root.initLoads());
  else if (const auto *Query = std::get_if<RelayQuery>(&Message.m_Content))
    Root.initQuestion().setSentAt(toMicroseconds(Query->m_SentAt));
  else if (const auto *Reply = std::get_if<RelayReply>(&Message.m_Content))
    encodeReply(*Reply, Root.initReply());
  else if (const auto *Changes =
               std::get_if<RelayedChanges>(&Message.m_Content))
    encodeChanges(*Changes, Root.initChanges(static_cast<unsigned>(
                                Changes->m_Changes.size())));
  else if (const auto *Segment = std::get_if<UsageSegment>(&Message.m_Content))
    encodeUsage(*Segment, Root.initUsage());
  else if (const auto *Stored = std::get_if<StoredSegment>(&Message.m_Content))
    encodeStored(*Stored, Root.initUsage());
  else if (const auto *Crashes = std::get_if<CrashReports>(&Message.m_Content))
    encodeCrashes(*Crashes, Root.initCrashes());
  else if (const auto *Use = std::get_if<OrganisationUse>(&Message.m_Content))
    encodeOrganisationUse(*Use, Root.initOrganisationUse());
  else if (const auto *Streams = std::get_if<StreamRecords>(&Message.m_Content))
    encodeStreamRecords(*Streams, Root.initStreamRecords());
  else if (const auto *Asked = std::get_if<StreamQuery>(&Message.m_Content))
    encodeStreamQuery(*Asked, Root.initStreamQuery());
  else
    encodeStreamReply(std::get<StreamReply>(Message.m_Content),
                      Root.initStreamReply());
  auto Output = kj::VectorOutputStream();
  capnp::writePackedMessage(Output, Builder);
  auto Bytes = Output.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

auto decodeHostMessage(std::string_view Bytes) -> HostMessage {
  try {
    auto Input = kj::ArrayInputStream(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
    auto Reader = capnp::PackedMessageReader(Input);
    auto Root = Reader.getRoot<schema::HostMessage>();
    auto Message =
        HostMessage{.m_Sender = HostId{Root.getSender().cStr()},
                    .m_DataCentre = DataCentreId{Root.getDataCentre().cStr()}};
    switch (Root.which()) {
    case schema::HostMessage::LOADS:
      Message.m_Content = decodeLoads(Root.getLoads());
      break;
    case schema::HostMessage::QUESTION:
      Message.m_Content = RelayQuery{
          .m_SentAt = fromMicroseconds(Root.getQuestion().getSentAt())};
      break;
    case schema::HostMessage::REPLY:
      Message.m_Content = decodeReply(Root.getReply());
      break;
    case schema::HostMessage::CHANGES:
      Message.m_Content = decodeChanges(Root.getChanges());
      break;
    case schema::HostMessage::USAGE:
      if (Root.getUsage().getStored())
        Message.m_Content =
            StoredSegment{.m_Segment = decodeUsage(Root.getUsage()),
                          .m_Era = StoreEra{Root.getUsage().getStoreEra()}};
      else
        Message.m_Content = decodeUsage(Root.getUsage());
      break;
    case schema::HostMessage::CRASHES:
      Message.m_Content = decodeCrashes(Root.getCrashes());
      break;
    case schema::HostMessage::ORGANISATION_USE:
      Message.m_Content = decodeOrganisationUse(Root.getOrganisationUse());
      break;
    case schema::HostMessage::STREAM_RECORDS:
      Message.m_Content = decodeStreamRecords(Root.getStreamRecords());
      break;
    case schema::HostMessage::STREAM_QUERY:
      Message.m_Content = decodeStreamQuery(Root.getStreamQuery());
      break;
    case schema::HostMessage::STREAM_REPLY:
      Message.m_Content = decodeStreamReply(Root.getStreamReply());
      break;
    default:
      throw ProtocolError(301, "host message has an unknown content type");
    }
    return Message;
  } catch (const kj::Exception &Failure) {
    throw ProtocolError(301, Failure.getDescription().cStr());
  }
}

} // namespace dotterel
