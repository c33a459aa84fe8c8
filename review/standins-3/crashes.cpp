/// \file
/// A request that crashes each runner that runs it comes again and again, with
/// the same path, caller and body. Modes:
/// - overlap: it runs for some seconds before the crash, and several callers
///   send it.
/// - left: one caller sends it, and leaves before the crash. Most runners drop
///   a request whose connection closes; a third of them go on.
#include "Bed.h"
#include "RunnerServer.h"

#include "dotterel/base/Log.h"

#include <map>
#include <optional>
#include <set>

namespace review {

namespace {

constexpr auto RunnerCount = 18;
constexpr auto Slots = 12;
/// The runner is back after some seconds.
constexpr auto RestartTime = Milliseconds(2500);
constexpr auto Heartbeat = Milliseconds(1200);
/// The rule's figure.
constexpr auto MostRetries = 3;

struct Mode {
  /// Time for which a deadly request runs before its runner crashes.
  Duration m_CrashAfter;
  /// Number of callers that send it, and the time between their first attempts.
  int m_Callers = 1;
  Duration m_Spacing{};
  /// Pause of a caller between the end of an attempt and the next one.
  Duration m_Pause{};
  /// Time after which the callers leave.
  std::optional<Duration> m_Patience;
  Duration m_Length;
};

/// What has happened so far.
struct History {
  std::vector<MonotonicTime> m_Crashes;
  std::vector<MonotonicTime> m_Arrivals; ///< Of the deadly request.
  int m_SoundServed = 0;
  int m_SoundFailed = 0;
  std::map<unsigned, int> m_Ends; ///< Of the deadly request, by status.
};

/// A runner of a plain service whose answers are streams of events.
class Runner final : public HttpHandler {
public:
  Runner(Bed &Test, History &Seen, const Mode &Mode, int Number)
      : m_Test(Test), m_Seen(Seen), m_Mode(Mode),
        m_Id(fmt::format("i-{}", Number)), m_Drops(Number % 3 != 0) {
    // No outgoing connection uses this address, so the port stays free.
    open(fmt::format("127.0.1.{}:0", 1 + Number));
    m_Address = m_Server->address();
    beat();
  }

  auto handle(HttpExchangePtr Exchange) -> void override {
    const auto &Headers = Exchange->request().m_Headers;
    auto Id = findHeader(Headers, "X-Request-Id").value_or("");
    if (findHeader(Headers, "X-Expect-Instance").value_or(m_Id) != m_Id) {
      Exchange->respond({.m_Status = 421,
                         .m_Headers = {{"X-Request-Id", Id},
                                       {"X-Not-Executed", "1"}}});
      return;
    }
    auto Deadly = Exchange->request().m_Path == "/review/deadly";
    if (Deadly) {
      m_Seen.m_Arrivals.push_back(m_Test.m_Loop.now());
      m_Test.m_Record.line("{} runs {}", m_Id, Id);
    }
    Exchange->startStream(200, {{"X-Request-Id", Id},
                                {"X-Response-Stamp", "stamp-" + Id},
                                {"Content-Type", "text/event-stream"}});
    // With the disruption a deadly run never comes to its end.
    auto Length = Duration(Milliseconds(300));
    if (Deadly)
      Length = withTrouble() ? 2 * m_Mode.m_CrashAfter : m_Mode.m_CrashAfter;
    constexpr auto Pause = Milliseconds(100);
    auto Dropped = std::make_shared<bool>(false);
    if (m_Drops)
      Exchange->onDisconnect([Dropped] { *Dropped = true; });
    send(Exchange, 1, static_cast<int>(Length / Pause), Pause, Dropped);
    if (Deadly && withTrouble())
      m_Test.m_Loop.schedule(m_Mode.m_CrashAfter,
                             [this, Start = m_Born, Id, Dropped] {
                               if (m_Born == Start && m_Server && !*Dropped)
                                 crash(Id);
                             });
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

private:
  auto open(const std::string &Address) -> void {
    m_Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_Sequence = 0;
    m_Server = std::make_unique<RunnerServer>(m_Test.m_Loop, *this, Address);
  }
  auto beat() -> void {
    if (m_Server)
      m_Test.m_Store.put("servers/" + m_Id, {{"service", "llm"},
                                             {"address", m_Address},
                                             {"zone", "z1"},
                                             {"version", "1"},
                                             {"slots", Slots},
                                             {"state", "ready"},
                                             {"cold_remaining_ms", 0},
                                             {"born", m_Born},
                                             {"sequence", ++m_Sequence}});
    m_Test.m_Loop.schedule(Heartbeat, [this] { beat(); });
  }
  auto send(const HttpExchangePtr &Exchange, int Number, int Count,
            Duration Pause, const std::shared_ptr<bool> &Dropped) -> void {
    if (*Dropped)
      return;
    Exchange->write(fmt::format("id: {0}\ndata: {0}\n\n", Number));
    if (Number == Count) {
      Exchange->onDisconnect(nullptr);
      Exchange->finish();
      return;
    }
    m_Test.m_Loop.schedule(Pause, [=, this, Start = m_Born] {
      if (m_Born == Start && m_Server)
        send(Exchange, Number + 1, Count, Pause, Dropped);
    });
  }
  auto crash(const std::string &Id) -> void {
    m_Seen.m_Crashes.push_back(m_Test.m_Loop.now());
    m_Test.m_Record.line("{} crashes, after {} ms of {}", m_Id,
                         toMilliseconds(m_Mode.m_CrashAfter), Id);
    m_Server.reset();
    m_Test.m_Loop.schedule(RestartTime, [this] {
      open(m_Address);
      m_Test.m_Record.line("{} is back", m_Id);
    });
  }

  Bed &m_Test;
  History &m_Seen;
  const Mode &m_Mode;
  std::string m_Id;
  bool m_Drops; ///< A request whose connection closes.
  std::string m_Address;
  std::int64_t m_Born = 0;
  int m_Sequence = 0;
  std::unique_ptr<RunnerServer> m_Server;
};

/// Sends requests to the host.
class Callers {
public:
  Callers(Bed &Test, History &Seen, const Mode &Mode)
      : m_Test(Test), m_Seen(Seen), m_Mode(Mode),
        m_End(Test.m_Loop.now() + Mode.m_Length) {
    for (auto Number = 0; Number < Mode.m_Callers; ++Number)
      m_Test.m_Loop.schedule(Mode.m_Spacing * Number, [this] { sendDeadly(); });
    sendSound();
  }

private:
  auto call(const std::string &Path, const std::string &Id,
            std::function<void(const HttpCallResult &)> Done) -> HttpCallId {
    return m_Test.m_Client->start(
        {.m_Method = "POST",
         .m_Url = fmt::format("http://{}{}", m_Test.m_Callers[0], Path),
         .m_Headers = {{"Host", "h.example"},
                       {"X-Request-Id", Id},
                       {"X-Deadline-Ms", "5000"},
                       {"Authorization", "Bearer key-1"}},
         .m_Body = std::string("the same body"),
         .m_Timeout = Milliseconds(5500),
         .m_DedicatedConnection = true,
         .m_OnDone = std::move(Done)});
  }
  auto sendDeadly() -> void {
    if (m_Test.m_Loop.now() >= m_End)
      return;
    auto Id = fmt::format("d{:04}", ++m_Last);
    m_Test.m_Record.line("a caller sends {}", Id);
    auto Ended = std::make_shared<bool>(false);
    auto Next = [this](Duration Pause) {
      m_Test.m_Loop.schedule(Pause, [this] { sendDeadly(); });
    };
    auto Call = call("/review/deadly", Id,
                     [this, Id, Ended, Next](const HttpCallResult &Result) {
                       *Ended = true;
                       ++m_Seen.m_Ends[Result.m_Status];
                       m_Test.m_Record.line(
                           "{} ends: {}{}", Id, Result.m_Status,
                           Result.m_Outcome == HttpOutcome::Complete
                               ? ""
                               : ", cut");
                       constexpr auto AfterRefusal = Milliseconds(1000);
                       Next(Result.m_Status == 200 ? m_Mode.m_Pause
                                                   : AfterRefusal);
                     });
    if (m_Mode.m_Patience)
      m_Test.m_Loop.schedule(*m_Mode.m_Patience, [this, Id, Call, Ended, Next] {
        if (*Ended)
          return;
        m_Test.m_Client->cancel(Call);
        m_Test.m_Record.line("the caller of {} leaves", Id);
        Next(m_Mode.m_Pause);
      });
  }
  auto sendSound() -> void {
    if (m_Test.m_Loop.now() >= m_End)
      return;
    auto Number = ++m_LastSound;
    call(fmt::format("/review/sound-{}", Number), fmt::format("s{:04}", Number),
         [this](const HttpCallResult &Result) {
           auto Good = Result.m_Outcome == HttpOutcome::Complete &&
                       Result.m_Status == 200;
           ++(Good ? m_Seen.m_SoundServed : m_Seen.m_SoundFailed);
         });
    m_Test.m_Loop.schedule(Milliseconds(100), [this] { sendSound(); });
  }

  Bed &m_Test;
  History &m_Seen;
  const Mode &m_Mode;
  MonotonicTime m_End;
  int m_Last = 0;
  int m_LastSound = 0;
};

auto run(const Mode &Chosen, const std::string &RecordPath) -> int {
  auto Test = Bed(RecordPath);
  auto Fleet = test::FakeFleet(Test.m_Loop);
  Test.m_FleetAddress = Fleet.address();
  auto Seen = History();
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (auto Number = 0; Number < RunnerCount; ++Number)
    Runners.push_back(std::make_unique<Runner>(Test, Seen, Chosen, Number));
  Test.m_Store.put("op/config",
                   configuration(1, {route("review", "streaming", "llm", 5000, 1)},
                                 {{{"name", "llm"}}}));
  Test.startHost();
  Test.waitUntilReady(0);
  Test.runFor(Seconds(5));
  Test.m_Record.line("traffic starts");
  {
    [[maybe_unused]] auto Sent = Callers(Test, Seen, Chosen);
    Test.runFor(Chosen.m_Length + Seconds(6));
  }
  if (Test.m_Hosts[0]->ended())
    throw NotRun("the host has ended");
  if (Seen.m_SoundServed == 0)
    throw NotRun("no other request was served");
  auto Retries = 0;
  if (Seen.m_Crashes.size() >= 3) {
    auto Limit = Seen.m_Crashes[2] + ContactTime;
    for (auto At : Seen.m_Arrivals)
      Retries += At > Limit ? 1 : 0;
  }
  Test.m_Record.line("other requests: {} served, {} not", Seen.m_SoundServed,
                     Seen.m_SoundFailed);
  Test.m_Record.line("the request reached runners {} times and crashed {}; {} "
                     "arrivals later than {} ms after the third crash, {} are "
                     "allowed",
                     Seen.m_Arrivals.size(), Seen.m_Crashes.size(), Retries,
                     toMilliseconds(ContactTime), MostRetries);
  return Retries > MostRetries ? Broken : Held;
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  using namespace review;
  if (Count < 3)
    return CouldNotRun;
  static const auto Modes = std::map<std::string, Mode>{
      {"overlap",
       {.m_CrashAfter = Milliseconds(4000),
        .m_Callers = 14,
        .m_Spacing = Milliseconds(300),
        .m_Pause = Milliseconds(200),
        .m_Length = Seconds(24)}},
      {"left",
       {.m_CrashAfter = Milliseconds(600),
        .m_Callers = 1,
        .m_Pause = Milliseconds(800),
        .m_Patience = Milliseconds(200),
        .m_Length = Seconds(40)}}};
  setLogLevel("error");
  try {
    return run(Modes.at(Arguments[1]), Arguments[2]);
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "could not run: {}\n", Failure.what());
    return CouldNotRun;
  }
}
