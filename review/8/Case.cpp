// The loss of one model runner of four ends the service of the other three: see
// claim.txt.
#include "../standins-2/Sim.h"

using namespace sim;

namespace {

constexpr auto ContactTime = 4.0;
constexpr auto WorkTime = 0.06;
constexpr auto Events = 9;
constexpr auto EventTime = 0.02;
constexpr auto DeadlineMs = 5000;
constexpr auto Prompt =
    "X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
    "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";

/// Requests of one route, and how many of them are served.
struct Count {
  int m_Sent = 0;
  int m_Served = 0;
  std::map<int, int> m_Statuses;

  [[nodiscard]] auto share() const -> double {
    return m_Sent == 0 ? 0 : static_cast<double>(m_Served) / m_Sent;
  }
  [[nodiscard]] auto text() const -> std::string {
    auto Text = std::to_string(m_Served) + " of " + std::to_string(m_Sent) +
                " served; by status:";
    for (auto [Status, Number] : m_Statuses)
      Text += " " + std::to_string(Status) + "=" + std::to_string(Number);
    return Text;
  }
};

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  if (ArgumentCount != 4)
    return 2;
  auto Trouble = std::string(Arguments[3]) != "0";
  Record::open(Arguments[2] + std::string("/record.txt"));
  startTime();
  auto Folder = TemporaryFolder();
  Record::line(Trouble ? "TROUBLE=1: one model runner of four is lost for good"
                       : "TROUBLE=0: no runner is lost");

  auto Platform = std::make_unique<Store>();
  auto Api = Cloud();
  // The first routes lead to the plain servers.
  Platform->put("op/config", configuration(7, false));
  auto Plain = [](Runner &Self, const Request &Call,
                  Stream &) -> std::optional<Response> {
    pause(WorkTime);
    return Response{.m_Headers = Self.ownHeaders(Call), .m_Body = "status"};
  };
  auto Model = [](Runner &Self, const Request &Call,
                  Stream &Peer) -> std::optional<Response> {
    auto Text = std::string("HTTP/1.1 200 OK\r\n");
    for (const auto &[Name, Value] : Self.ownHeaders(Call))
      Text += Name + ": " + Value + "\r\n";
    Text += "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    for (auto Number = 1; Number <= Events; ++Number) {
      auto Event = "id: " + std::to_string(Number) + "\ndata: token\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (!Peer.sendAll(Text + Size + Event + "\r\n"))
        return Response{.m_Drop = true};
      Text.clear();
      pause(EventTime);
    }
    if (!Peer.sendAll("0\r\n\r\n"))
      return Response{.m_Drop = true};
    return std::nullopt;
  };
  const auto Zones = std::vector<std::string>{"zone-a", "zone-b", "zone-c"};
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (const auto &Zone : Zones)
    Runners.push_back(std::make_unique<Runner>(*Platform, "desk-" + Zone,
                                               "desk", Plain, "", Zone));
  auto Models = std::vector<std::unique_ptr<Runner>>();
  for (const auto *Zone : {"zone-a", "zone-a", "zone-b", "zone-c"})
    Models.push_back(std::make_unique<Runner>(
        *Platform, "llm-" + std::to_string(Models.size() + 1), "llm", Model,
        "decode", Zone));

  auto Hosts = std::vector<std::unique_ptr<Host>>();
  for (const auto &Zone : Zones)
    Hosts.push_back(std::make_unique<Host>(Arguments[1], Folder.path(),
                                           static_cast<int>(Hosts.size()) + 1,
                                           *Platform, Api, Zone));
  auto End = [&](int Status) {
    for (auto &Each : Hosts)
      Each->kill();
    Record::line(Status == 1   ? "CONFIG is broken"
                 : Status == 0 ? "CONFIG holds"
                               : "the case could not run");
    Folder.remove();
    std::_Exit(Status);
  };
  for (auto &Each : Hosts)
    Each->start();
  for (auto &Each : Hosts)
    if (!Each->waitReady(15)) {
      Record::line("a host is not ready");
      End(2);
    }

  auto Mutex = std::mutex();
  auto Ask = [&](std::size_t Number, bool Added, Count &Into) {
    auto Connection = Client(Hosts[Number]->callerPort());
    auto Got = Answer();
    if (Connection.connected() &&
        (Added ? Connection.send("POST", "/rationale/r", randomId(), "key-of-a",
                                 DeadlineMs, "brief", Prompt)
               : Connection.send("GET", "/status/s", randomId(), "key-of-a",
                                 DeadlineMs, "")))
      Got = Connection.receive();
    auto Lock = std::lock_guard(Mutex);
    ++Into.m_Sent;
    ++Into.m_Statuses[Got.m_Status];
    Into.m_Served += Got.m_Status == 200 && Got.m_Complete ? 1 : 0;
  };
  /// Sends requests on the first routes and on the added one for \p Time.
  auto Measure = [&](const char *Name, double Time, bool WithAdded) {
    auto First = Count();
    auto Added = Count();
    auto Threads = std::vector<std::thread>();
    auto Until = seconds() + Time;
    for (auto Number = std::size_t{0}; Number < Hosts.size(); ++Number)
      for (auto Route : {false, true})
        Threads.emplace_back([&, Number, Route] {
          while (seconds() < Until) {
            if (!Route || WithAdded)
              Ask(Number, Route, Route ? Added : First);
            pause(0.3);
          }
        });
    for (auto &Thread : Threads)
      Thread.join();
    Record::line(std::string(Name) + ": first routes: " + First.text());
    if (WithAdded)
      Record::line(std::string(Name) + ": added route: " + Added.text());
    for (auto &Each : Models)
      Record::line(std::string(Name) + ": runner " + Each->id() +
                   " is in stage " + Each->stage());
    return std::pair(First, Added);
  };

  Measure("before the route is added", 12, false);
  Platform->put("op/config", configuration(12, true));
  Record::line("version 12 adds the route to the model runners");
  pause(5);
  auto [FirstBefore, AddedBefore] =
      Measure("after the route is added", 12, true);
  if (AddedBefore.share() < 0.9) {
    Record::line("the added route is not served before the loss");
    End(2);
  }
  if (Trouble) {
    auto *Lost = static_cast<Runner *>(nullptr);
    for (auto &Each : Models)
      if (Each->stage() == "decode")
        Lost = Each.get();
    if (Lost == nullptr)
      End(2);
    Record::line("runner " + Lost->id() +
                 " ends for good; three others are sound");
    Lost->end();
  }
  // Its entry is gone after 3.6 s, and the store is calm.
  pause(3.6 + ContactTime + 8);
  auto [First, Added] = Measure("in steady state", 30, true);
  Record::line("the added route is served " + std::to_string(Added.share()) +
               " of the time, the first ones " + std::to_string(First.share()) +
               "; a quarter of that is the least");
  if (Added.m_Sent < 20)
    End(2);
  End(Added.share() < First.share() / 4 ? 1 : 0);
}
