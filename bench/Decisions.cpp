#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/auth/KeyDigest.h"
#include "dotterel/config/Configuration.h"
#include "dotterel/fleet/ServerPlanner.h"
#include "dotterel/gate/Credentials.h"
#include "dotterel/gate/EngineStream.h"
#include "dotterel/ledger/ClaimLog.h"
#include "dotterel/membership/MemberTable.h"
#include "dotterel/routing/EngineTable.h"
#include "dotterel/routing/RoutingPolicy.h"
#include "dotterel/rpc/detail/PeerCodec.h"

#include <array>
#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>
#include <malloc.h>

using namespace dotterel;

namespace {

auto heapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

auto makeTable(std::size_t Engines) -> EngineTable {
  auto Table = EngineTable(
      {.m_DataCentre = DataCentreId{"dc0"}, .m_Region = RegionId{"r0"}},
      {.m_MaxEnginesPerModel = Engines});
  auto Listed = std::vector<Backend>();
  for (auto Index = std::size_t{0}; Index < Engines; ++Index)
    Listed.push_back(
        {.m_Id = BackendId{fmt::format("engine-{:05}", Index)},
         .m_Models = {ModelId{"m"}},
         .m_DataCentre = DataCentreId{fmt::format("dc{}", Index % 8)},
         .m_Region = RegionId{fmt::format("r{}", Index % 3)},
         .m_Url = fmt::format("http://10.0.0.1:{}", Index)});
  Table.updateList(Listed);
  for (const auto &Server : Listed)
    Table.updateLoad(Server.m_Id,
                     {.m_Incarnation = "i",
                      .m_Running = 3,
                      .m_Slots = 8,
                      .m_QueuedPrefillTokens = 1000,
                      .m_PrefillTokensPerSecond = 20000,
                      .m_DecodeTokensPerSecond = 100},
                     MonotonicTime(Seconds(1)));
  return Table;
}

auto makeConfiguration(std::size_t Organisations) -> Configuration {
  auto Value = initialConfiguration();
  auto Shards = std::array<std::string, ShardCount>();
  for (auto Index = std::size_t{0}; Index < Organisations; ++Index) {
    auto Digest = digestKey(std::to_string(Index), "secret");
    auto &Document = Shards[KeyTable::shardOf(Digest)];
    Document += fmt::format("{}\"{}\":{{\"organisation\":\"org-{:05}\","
                            "\"weight\":1}}",
                            Document.empty() ? "" : ",", Digest, Index);
  }
  for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard)
    Value.m_Keys.load(Shard, "{" + Shards[Shard] + "}");
  return Value;
}

/// Measures the choice of an engine: candidate selection and routing policy.
auto routeDecision(benchmark::State &State) -> void {
  auto Before = heapBytes();
  auto Table = makeTable(static_cast<std::size_t>(State.range(0)));
  State.counters["bytes_per_engine"] =
      (heapBytes() - Before) / static_cast<double>(State.range(0));
  auto Policy = makeRoutingPolicy("expected-first-token");
  auto Source = Random(1);
  auto Query =
      EngineQuery{.m_Model = ModelId{"m"},
                  .m_Work = {.m_PrefillTokens = 1000, .m_DecodeTokens = 100}};
  for (auto Step : State) {
    auto Engines = Table.candidates(Query, MonotonicTime(Seconds(1)));
    benchmark::DoNotOptimize(Policy->choose(Engines, Query.m_Work, Source));
  }
}
BENCHMARK(routeDecision)->Arg(10)->Arg(100)->Arg(1000)->Arg(5700);

/// Measures a push and a pop of the fair queue, by the number of waiting
/// organisations.
auto fairQueue(benchmark::State &State) -> void {
  auto Queue = makeWaitingQueue("fair", {});
  auto Before = heapBytes();
  auto Count = static_cast<std::uint64_t>(State.range(0));
  auto Item = [](std::uint64_t Number) {
    return WaitingRequest{.m_Request = RequestId{std::to_string(Number)},
                          .m_Organisation =
                              OrganisationId{fmt::format("o{}", Number)},
                          .m_Deadline = MonotonicTime(Seconds(1000))};
  };
  for (auto Number = std::uint64_t{0}; Number < Count; ++Number)
    Queue->push(Item(Number));
  State.counters["bytes_per_waiting"] =
      (heapBytes() - Before) / static_cast<double>(Count);
  auto Number = std::uint64_t{0};
  for (auto Step : State) {
    auto Next = Queue->pop(MonotonicTime(Seconds(1)),
                           [](const WaitingRequest &) { return true; });
    benchmark::DoNotOptimize(Next);
    Queue->push(Item(Number++ % Count));
  }
}
BENCHMARK(fairQueue)->Arg(8)->Arg(100)->Arg(1000);

/// Measures the look-up of a key, by the number of organisations.
auto keyCheck(benchmark::State &State) -> void {
  auto Before = heapBytes();
  auto Value = makeConfiguration(static_cast<std::size_t>(State.range(0)));
  State.counters["bytes_per_organisation"] =
      (heapBytes() - Before) / static_cast<double>(State.range(0));
  for (auto Step : State)
    benchmark::DoNotOptimize(findCaller(Value, digestKey("7", "secret")));
}
BENCHMARK(keyCheck)->Arg(8)->Arg(4100)->Arg(41000);

/// Measures the assembly of a configuration after a change of one key: one
/// shard is new, the others come from the current configuration.
auto applyChange(benchmark::State &State) -> void {
  auto Value = makeConfiguration(static_cast<std::size_t>(State.range(0)));
  auto Head = encodeHead(Value);
  auto Shards =
      std::map<std::size_t, std::string>{{0, Value.m_Keys.document(0)}};
  State.counters["head_bytes"] = static_cast<double>(Head.size());
  State.counters["shard_bytes"] =
      static_cast<double>(Value.m_Keys.document(0).size());
  for (auto Step : State)
    benchmark::DoNotOptimize(assembleConfiguration(Head, Shards, &Value));
}
BENCHMARK(applyChange)
    ->Arg(8)
    ->Arg(4100)
    ->Arg(41000)
    ->Unit(benchmark::kMicrosecond);

auto makeMembers(std::size_t Count) -> MemberTable {
  auto Table = MemberTable(
      {.m_Process = ProcessId{"self/gate"}, .m_Address = "10.0.0.1:10000"}, {});
  for (auto Index = std::size_t{0}; Index < Count; ++Index)
    Table.merge(
        {.m_Process = ProcessId{fmt::format("host{:05}/gate", Index)},
         .m_Location = {.m_Host = HostId{fmt::format("host{:05}", Index)},
                        .m_DataCentre = DataCentreId{"data-centre-1"},
                        .m_Region = RegionId{"region-1"}},
         .m_Address = "10.0.0.1:10000",
         .m_Incarnation = 1,
         .m_Heartbeat = 1},
        MonotonicTime(Seconds(1)));
  return Table;
}

/// Measures the selection, encoding and decoding of the view of one gossip
/// exchange, by the number of members.
auto gossipView(benchmark::State &State) -> void {
  auto Before = heapBytes();
  auto Table = makeMembers(static_cast<std::size_t>(State.range(0)));
  State.counters["bytes_per_member"] =
      (heapBytes() - Before) / static_cast<double>(State.range(0));
  auto Source = Random(1);
  for (auto Step : State) {
    auto View =
        PeerView{.m_Members = Table.view(Source, MonotonicTime(Seconds(1)))};
    auto Message = capnp::MallocMessageBuilder();
    detail::encode(View, Message.initRoot<schema::View>());
    State.counters["message_bytes"] = static_cast<double>(
        capnp::computeSerializedSizeInWords(Message) * sizeof(capnp::word));
    benchmark::DoNotOptimize(
        detail::decode(Message.getRoot<schema::View>().asReader()));
  }
}
BENCHMARK(gossipView)
    ->Arg(18)
    ->Arg(350)
    ->Arg(2800)
    ->Unit(benchmark::kMicrosecond);

/// Returns servers of one region: a fifth is stopped, the others have the load
/// \p Load.
auto makeServers(std::size_t Count, double Load) -> std::vector<GroupServer> {
  auto Servers = std::vector<GroupServer>();
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Stopped = Index % 5 == 0;
    Servers.push_back(
        {.m_Id = BackendId{fmt::format("engine-{:05}", Index)},
         .m_DataCentre = DataCentreId{fmt::format("dc{}", Index % 3)},
         .m_Cheap = Index % 3 == 0,
         .m_State = Stopped ? ServerState::Stopped : ServerState::Running,
         .m_Load = Stopped ? 0 : Load});
  }
  return Servers;
}

/// Measures a planning step under low load, with one server to drain.
auto planServers(benchmark::State &State) -> void {
  auto Servers = makeServers(static_cast<std::size_t>(State.range(0)), 0.6);
  auto Planner = ServerPlanner({});
  auto Now = MonotonicTime(Seconds(1));
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Planner.plan(Servers, {}, Now += Milliseconds(500)));
}
BENCHMARK(planServers)->Arg(10)->Arg(190)->Arg(1900);

/// Measures a planning step in a load surge that needs every stopped server.
auto planSurge(benchmark::State &State) -> void {
  auto Servers = makeServers(static_cast<std::size_t>(State.range(0)), 1.0);
  for (auto _ : State) {
    auto Planner = ServerPlanner({});
    benchmark::DoNotOptimize(
        Planner.plan(Servers, {}, MonotonicTime(Seconds(1))));
  }
}
BENCHMARK(planSurge)->Arg(10)->Arg(190)->Arg(1900);

/// Measures the check of a claim, by the number of claims in the log.
auto claimEntry(benchmark::State &State) -> void {
  auto Before = heapBytes();
  auto Log = ClaimLog();
  auto Make = [](std::uint64_t Number) {
    return Claim{.m_Identity = RequestIdentity{fmt::format("{:032x}", Number)},
                 .m_Attempt = AttemptId{fmt::format("{:016x}", Number)},
                 .m_IssuedAt = WallTime(Seconds(1000))};
  };
  auto Count = static_cast<std::uint64_t>(State.range(0));
  for (auto Number = std::uint64_t{0}; Number < Count; ++Number)
    Log.apply(Make(Number));
  State.counters["bytes_per_claim"] =
      (heapBytes() - Before) / static_cast<double>(Count);
  State.counters["stored_bytes_per_claim"] =
      static_cast<double>(encodeEntries({Make(1), Make(2)}).size()) / 2;
  auto Request = Make(Count / 2);
  for (auto Step : State)
    benchmark::DoNotOptimize(Log.replyFor(Request));
}
BENCHMARK(claimEntry)->Arg(1000)->Arg(100000);

/// Measures the parsing of an engine's event with one token.
auto engineToken(benchmark::State &State) -> void {
  auto Event = std::string(
      R"(data: {"choices":[{"delta":{"content":"t1 "},"finish_reason":null,"index":0}],"id":"a.1","model":"namer","position":0})"
      "\n\n");
  for (auto Step : State) {
    auto Stream = EngineStream(AttemptId{"a.1"}, CompletionShape::Chat, 0);
    Stream.feed(Event, [](const EngineEvent &Item) {
      benchmark::DoNotOptimize(Item.m_Text.data());
    });
  }
}
BENCHMARK(engineToken);

/// Measures the encoding of a usage segment, by the number of organisations.
auto usageSegment(benchmark::State &State) -> void {
  auto Totals = UsageTotals();
  for (auto Index = 0; Index < State.range(0); ++Index)
    Totals[{.m_Organisation = OrganisationId{fmt::format("org-{:05}", Index)},
            .m_Model = ModelId{"model-1"}}] = {
        .m_Requests = 10,
        .m_PrefillTokens = TokenCount{12345},
        .m_DecodeTokens = TokenCount{1234}};
  auto Size = std::size_t{0};
  for (auto Step : State) {
    auto Document = encodeTotals(Totals);
    Size = Document.size();
    benchmark::DoNotOptimize(Document.data());
  }
  State.counters["bytes_per_entry"] =
      static_cast<double>(Size) / static_cast<double>(State.range(0));
}
BENCHMARK(usageSegment)->Arg(8)->Arg(200)->Unit(benchmark::kMicrosecond);

} // namespace
