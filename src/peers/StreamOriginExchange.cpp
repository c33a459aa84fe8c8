#include "dotterel/peers/StreamOriginExchange.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace dotterel {

StreamOriginExchange::StreamOriginExchange(
    Scheduler &Scheduler, DatagramPort &Port, const HostRegistry &Hosts,
    const StreamOriginExchangeOptions &Options)
    : m_Scheduler(Scheduler), m_Port(Port), m_Hosts(Hosts), m_Options(Options),
      m_Memory(Options.m_Memory) {}

StreamOriginExchange::~StreamOriginExchange() {
  if (m_FlushTimer)
    m_Scheduler.cancel(*m_FlushTimer);
  for (const auto &[Id, Current] : m_Lookups)
    if (Current.m_Timer)
      m_Scheduler.cancel(*Current.m_Timer);
}

auto StreamOriginExchange::message(
    decltype(HostMessage::m_Content) Content) const -> std::string {
  const auto &Self = m_Hosts.self();
  return encodeHostMessage({.m_Sender = Self.m_Host,
                            .m_DataCentre = Self.m_DataCentre,
                            .m_Content = std::move(Content)});
}

auto StreamOriginExchange::keepersOf(StreamDigest Stream,
                                     std::size_t Count) const
    -> std::vector<std::string> {
  struct Ranked {
    std::uint64_t m_Score = 0;
    std::string m_Address;
  };
  auto ByDataCentre = std::map<DataCentreId, std::vector<Ranked>>();
  auto Add = [&](const HostRecord &Host, std::string Address) {
    const auto &Name = Host.m_Host.text();
    ByDataCentre[Host.m_DataCentre].push_back(
        {.m_Score =
             XXH3_64bits_withSeed(Name.data(), Name.size(), Stream.number()),
         .m_Address = std::move(Address)});
  };
  Add(m_Hosts.self(), {});
  for (const auto &[Host, Record] : m_Hosts.others())
    Add(Record, Record.m_Address);
  auto Higher = [](const Ranked &Left, const Ranked &Right) {
    return std::tie(Left.m_Score, Left.m_Address) >
           std::tie(Right.m_Score, Right.m_Address);
  };
  auto Order = std::vector<std::pair<std::size_t, Ranked>>();
  for (auto &[DataCentre, Hosts] : ByDataCentre) {
    std::sort(Hosts.begin(), Hosts.end(), Higher);
    for (auto Position = std::size_t{0};
         Position < std::min(Count, Hosts.size()); ++Position)
      Order.emplace_back(Position, std::move(Hosts[Position]));
  }
  std::sort(
      Order.begin(), Order.end(), [&](const auto &Left, const auto &Right) {
        return Left.first != Right.first ? Left.first < Right.first
                                         : Higher(Left.second, Right.second);
      });
  auto Result = std::vector<std::string>();
  for (auto &[Position, Host] : Order)
    if (Result.size() < Count)
      Result.push_back(std::move(Host.m_Address));
  return Result;
}

auto StreamOriginExchange::record(const RequestId &First,
                                  const StreamOrigin &Origin) -> void {
  auto Stream = digestStream(First);
  m_Memory.record(Stream, Origin, m_Scheduler.now());
  for (const auto &Address : keepersOf(Stream, m_Options.m_Keepers))
    if (!Address.empty())
      m_Unsent[Address].m_Streams.emplace_back(Stream, Origin);
  if (m_Unsent.empty() || m_FlushTimer)
    return;
  m_FlushTimer = m_Scheduler.schedule(m_Options.m_CollectTime, [this] {
    m_FlushTimer.reset();
    flush();
  });
}

auto StreamOriginExchange::flush() -> void {
  for (auto &[Address, Records] : std::exchange(m_Unsent, {})) {
    auto &Streams = Records.m_Streams;
    for (auto Begin = std::size_t{0}; Begin < Streams.size();
         Begin += StreamRecords::MaxStreams) {
      auto End = std::min(Streams.size(), Begin + StreamRecords::MaxStreams);
      m_Port.send(
          Address,
          message(StreamRecords{
              .m_Streams = {
                  Streams.begin() + static_cast<std::ptrdiff_t>(Begin),
                  Streams.begin() + static_cast<std::ptrdiff_t>(End)}}));
    }
  }
}

auto StreamOriginExchange::known(const RequestId &First) const
    -> std::optional<StreamOrigin> {
  return m_Memory.find(digestStream(First), m_Scheduler.now());
}

auto StreamOriginExchange::ask(const RequestId &First, LookupCallback Done)
    -> StreamLookupId {
  auto Id = StreamLookupId{++m_LastLookup};
  auto &Current = m_Lookups[Id];
  Current.m_Stream = digestStream(First);
  Current.m_Done = std::move(Done);
  for (auto &Address : keepersOf(Current.m_Stream, m_Options.m_AskedHosts))
    if (!Address.empty())
      Current.m_Asked.insert(std::move(Address));
  sendQuery(Id, Current);
  Current.m_Timer = m_Scheduler.schedule(
      Current.m_Asked.empty() ? Duration::zero() : m_Options.m_RepeatDelay,
      [this, Id] { handleTimer(Id); });
  return Id;
}

auto StreamOriginExchange::sendQuery(StreamLookupId Id, const Lookup &Current)
    -> void {
  auto Bytes = message(StreamQuery{.m_Number = Id.number(),
                                   .m_Round = Current.m_Round,
                                   .m_Stream = Current.m_Stream});
  for (const auto &Address : Current.m_Asked)
    m_Port.send(Address, Bytes);
}

auto StreamOriginExchange::handleTimer(StreamLookupId Id) -> void {
  auto &Current = m_Lookups.at(Id);
  Current.m_Timer.reset();
  if (Current.m_Asked.empty() || Current.m_Round > 0) {
    end(Id, std::nullopt);
    return;
  }
  // A host that did not know the origin may have been told meanwhile.
  ++Current.m_Round;
  Current.m_Denied.clear();
  sendQuery(Id, Current);
  Current.m_Timer =
      m_Scheduler.schedule(m_Options.m_LookupTimeout - m_Options.m_RepeatDelay,
                           [this, Id] { handleTimer(Id); });
}

auto StreamOriginExchange::cancel(StreamLookupId Lookup) -> void {
  auto Found = m_Lookups.find(Lookup);
  if (Found == m_Lookups.end())
    return;
  if (Found->second.m_Timer)
    m_Scheduler.cancel(*Found->second.m_Timer);
  m_Lookups.erase(Found);
}

auto StreamOriginExchange::end(StreamLookupId Id,
                               std::optional<StreamOrigin> Origin) -> void {
  auto Ended = std::move(m_Lookups.at(Id));
  cancel(Id);
  if (Origin)
    m_Memory.record(Ended.m_Stream, *Origin, m_Scheduler.now());
  auto Answers = Ended.m_Denied.size() + (Origin ? 1 : 0);
  Ended.m_Done(
      {.m_Origin = std::move(Origin),
       .m_AskedHosts = static_cast<std::uint32_t>(Ended.m_Asked.size()),
       .m_Answers = static_cast<std::uint32_t>(Answers)});
}

auto StreamOriginExchange::receive(const HostMessage &Message,
                                   const std::string &Address) -> void {
  if (const auto *Records = std::get_if<StreamRecords>(&Message.m_Content)) {
    for (const auto &[Stream, Origin] : Records->m_Streams)
      m_Memory.record(Stream, Origin, m_Scheduler.now());
  } else if (const auto *Query = std::get_if<StreamQuery>(&Message.m_Content)) {
    answer(*Query, Address);
  } else if (const auto *Reply = std::get_if<StreamReply>(&Message.m_Content)) {
    handleReply(*Reply, Address);
  }
}

auto StreamOriginExchange::answer(const StreamQuery &Query,
                                  const std::string &Address) -> void {
  m_Port.send(Address,
              message(StreamReply{.m_Query = Query,
                                  .m_Origin = m_Memory.find(
                                      Query.m_Stream, m_Scheduler.now())}));
}

auto StreamOriginExchange::handleReply(const StreamReply &Reply,
                                       const std::string &Address) -> void {
  auto Id = StreamLookupId{Reply.m_Query.m_Number};
  auto Found = m_Lookups.find(Id);
  // Numbers start anew with the process: a late reply may be to an earlier one.
  if (Found == m_Lookups.end() ||
      Found->second.m_Stream != Reply.m_Query.m_Stream ||
      !Found->second.m_Asked.contains(Address))
    return;
  auto &Current = Found->second;
  if (Reply.m_Origin) {
    end(Id, Reply.m_Origin);
    return;
  }
  if (Reply.m_Query.m_Round == Current.m_Round)
    Current.m_Denied.insert(Address);
  if (Current.m_Round > 0 && Current.m_Denied.size() == Current.m_Asked.size())
    end(Id, std::nullopt);
}

} // namespace dotterel
