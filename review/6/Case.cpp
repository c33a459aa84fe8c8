// A caller that reads its stream slowly loses the rest: see claim.txt.
#include "../standins-2/Sim.h"

using namespace sim;

namespace {

constexpr auto Callers = 6;
/// Within the largest stream of the deployments: 36 pieces of 570 bytes.
constexpr auto Events = 36;
constexpr auto EventBytes = std::size_t{300};
constexpr auto EventTime = 0.01;
/// Time for which a slow caller reads nothing. The route's timeout and the
/// caller's own deadline are 5 s.
constexpr auto ReadPause = 3.5;
constexpr auto DeadlineMs = 5000;
/// The links have small windows.
constexpr auto WindowBytes = 2048;

constexpr auto Prompt =
    "X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
    "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";

auto event(int Number) -> std::string {
  auto Text = "id: " + std::to_string(Number) + "\ndata: ";
  Text.append(EventBytes - Text.size() - 2, 'a');
  return Text + "\n\n";
}

auto wholeStream() -> std::string {
  auto Text = std::string();
  for (auto Number = 1; Number <= Events; ++Number)
    Text += event(Number);
  return Text;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  if (ArgumentCount != 4)
    return 2;
  auto Trouble = std::string(Arguments[3]) != "0";
  Record::open(Arguments[2] + std::string("/record.txt"));
  startTime();
  auto Folder = TemporaryFolder();
  Record::line(Trouble ? "TROUBLE=1: callers read nothing for 3.5 s"
                       : "TROUBLE=0: callers read at once");

  auto Mutex = std::mutex();
  auto Runs = std::map<std::string, int>();
  auto Finished = std::set<std::string>();
  auto Platform = std::make_unique<Store>();
  auto Api = Cloud();
  Platform->put("op/config", configuration());
  auto Work = [&](Runner &Self, const Request &Call,
                  Stream &Peer) -> std::optional<Response> {
    auto Id = Call.header("x-request-id");
    {
      auto Lock = std::lock_guard(Mutex);
      ++Runs[Id];
    }
    auto Head = std::string("HTTP/1.1 200 OK\r\n");
    for (const auto &[Name, Value] : Self.ownHeaders(Call))
      Head += Name + ": " + Value + "\r\n";
    auto Sound = Peer.sendAll(Head + "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
    for (auto Number = 1; Number <= Events && Sound; ++Number) {
      pause(EventTime);
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", EventBytes);
      Sound = Peer.sendAll(Size + event(Number) + "\r\n");
    }
    if (!Sound || !Peer.sendAll("0\r\n\r\n"))
      return Response{.m_Drop = true};
    auto Lock = std::lock_guard(Mutex);
    Finished.insert(Id);
    return std::nullopt;
  };
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (auto Number = 1; Number <= 4; ++Number)
    Runners.push_back(std::make_unique<Runner>(
        *Platform, "llm-" + std::to_string(Number), "llm", Work,
        Number % 2 == 0 ? "prefill" : "decode"));

  auto Status = 2;
  {
    auto First = Host(Arguments[1], Folder.path(), 1, *Platform, Api);
    auto Second = Host(Arguments[1], Folder.path(), 2, *Platform, Api);
    First.start();
    Second.start();
    if (!First.waitReady(15) || !Second.waitReady(15)) {
      Record::line("a host is not ready");
      return 2;
    }
    // In touch: no disruption for contact_ms, 4 s.
    pause(5);
    First.signal(SIGHUP);
    Record::line("SIGHUP for host 1; its settings are as before");
    pause(0.2);

    auto Lost = std::atomic<int>(0);
    auto Served = std::atomic<int>(0);
    auto Threads = std::vector<std::thread>();
    for (auto Number = 1; Number <= Callers; ++Number)
      Threads.emplace_back([&, Number] {
        auto Name = "caller " + std::to_string(Number) + ": ";
        auto Connection = Client(First.callerPort(), WindowBytes);
        // The first request makes the connection a kept one.
        for (auto Round = 1; Round <= 2; ++Round) {
          auto Id = randomId();
          auto SentAt = seconds();
          Connection.send("POST", "/rationale/r", Id, "key-of-a", DeadlineMs,
                          "brief", Prompt);
          Record::line(Name + "sent request " + Id);
          if (Trouble && Round == 2)
            pause(ReadPause);
          auto Got = Connection.receive();
          char Took[32];
          std::snprintf(Took, sizeof(Took), "%.3f s", seconds() - SentAt);
          auto Lock = std::lock_guard(Mutex);
          auto Whole = Got.m_Complete && Got.m_Status == 200 &&
                       Got.m_Body == wholeStream();
          Record::line(
              Name + "request " + Id + " ran " + std::to_string(Runs[Id]) +
              " times, its runner " +
              (Finished.contains(Id) ? "sent the whole stream"
                                     : "did not send the whole stream") +
              "; got status " + std::to_string(Got.m_Status) + " with " +
              std::to_string(Got.m_Body.size()) + " of " +
              std::to_string(wholeStream().size()) + " bytes, " +
              (Got.m_Complete ? "complete" : Got.m_End) + ", after " + Took);
          if (Whole)
            ++Served;
          else if (Runs[Id] > 0 && Finished.contains(Id) && !Got.m_Complete)
            ++Lost;
          if (!Got.m_Complete)
            return;
        }
      });
    for (auto &Thread : Threads)
      Thread.join();
    Record::line(std::to_string(Served) + " streams complete, " +
                 std::to_string(Lost) +
                 " cut that their runner had sent whole");
    if (Lost > 0)
      Status = 1;
    else if (Served == 2 * Callers)
      Status = 0;
  }
  Record::line(Status == 1   ? "LOST is broken"
               : Status == 0 ? "LOST holds"
                             : "the case could not run");
  Folder.remove();
  std::_Exit(Status);
}
