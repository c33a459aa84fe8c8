//===- Sim.h - Stand-ins of the platform, for the cases ---------*- C++ -*-===//
///
/// \file
/// Small stand-ins on loopback: the store, the platform's API, backend servers
/// and clients, and the start of `dotterel-host` as a process of its own. Each
/// connection has a thread, so that a stand-in blocks as a real one would.
///
//===----------------------------------------------------------------------===//
#ifndef REVIEW_STANDINS_2_SIM_H
#define REVIEW_STANDINS_2_SIM_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace sim {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Headers = std::map<std::string, std::string>; ///< Names in lower case.

inline auto startTime() -> Clock::time_point {
  static const auto Start = Clock::now();
  return Start;
}
inline auto seconds() -> double {
  return std::chrono::duration<double>(Clock::now() - startTime()).count();
}
inline auto pause(double Time) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double>(Time));
}

/// Writes lines to the case's record and to standard output.
class Record {
public:
  static auto open(const std::string &Path) -> void {
    file().open(Path, std::ios::trunc);
  }
  static auto line(const std::string &Text) -> void {
    static auto Mutex = std::mutex();
    auto Lock = std::lock_guard(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f  ", seconds());
    file() << Time << Text << std::endl;
    std::printf("%s%s\n", Time, Text.c_str());
    std::fflush(stdout);
  }

private:
  static auto file() -> std::ofstream & {
    static auto File = std::ofstream();
    return File;
  }
};

/// A temporary folder. The case removes it before it ends.
class TemporaryFolder {
public:
  TemporaryFolder() {
    auto Template = std::filesystem::temp_directory_path() / "review-XXXXXX";
    m_Path = Template.string();
    if (::mkdtemp(m_Path.data()) == nullptr)
      std::exit(2);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  auto operator=(const TemporaryFolder &) -> TemporaryFolder & = delete;
  ~TemporaryFolder() { remove(); }

  auto remove() -> void { std::filesystem::remove_all(m_Path); }
  [[nodiscard]] auto path() const -> const std::string & { return m_Path; }

private:
  std::string m_Path;
};

inline auto randomId() -> std::string {
  static auto Mutex = std::mutex();
  static auto Engine = std::mt19937_64(std::random_device()());
  auto Lock = std::lock_guard(Mutex);
  char Text[20];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Engine()));
  return Text;
}

struct Request {
  std::string m_Method;
  std::string m_Target;
  Headers m_Headers;
  std::string m_Body;

  [[nodiscard]] auto header(const std::string &Name) const -> std::string {
    auto Found = m_Headers.find(Name);
    return Found == m_Headers.end() ? std::string() : Found->second;
  }
};

struct Response {
  int m_Status = 200;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
  bool m_Drop = false; ///< Closes the connection without a response.
};

/// Buffered reading and whole writes on a socket.
class Stream {
public:
  explicit Stream(int Fd) : m_Fd(Fd) {}

  auto sendAll(const std::string &Text) -> bool {
    auto Sent = std::size_t{0};
    while (Sent < Text.size()) {
      auto Count =
          ::send(m_Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }
  /// Reads at least one byte more. \returns false at the end or a failure.
  auto fill() -> bool {
    char Buffer[4096];
    auto Count = ::recv(m_Fd, Buffer, sizeof(Buffer), 0);
    m_Error = Count < 0 ? errno : 0;
    if (Count <= 0)
      return false;
    m_Buffer.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }
  auto readUntil(const std::string &End) -> std::optional<std::string> {
    auto Found = m_Buffer.find(End);
    while (Found == std::string::npos) {
      if (!fill())
        return std::nullopt;
      Found = m_Buffer.find(End);
    }
    auto Text = m_Buffer.substr(0, Found);
    m_Buffer.erase(0, Found + End.size());
    return Text;
  }
  auto readExactly(std::size_t Count) -> std::optional<std::string> {
    while (m_Buffer.size() < Count)
      if (!fill())
        return std::nullopt;
    auto Text = m_Buffer.substr(0, Count);
    m_Buffer.erase(0, Count);
    return Text;
  }
  [[nodiscard]] auto buffered() const -> const std::string & {
    return m_Buffer;
  }
  [[nodiscard]] auto error() const -> int { return m_Error; }
  [[nodiscard]] auto fd() const -> int { return m_Fd; }

private:
  int m_Fd;
  int m_Error = 0;
  std::string m_Buffer;
};

inline auto parseHeaders(const std::string &Head, std::string &First)
    -> Headers {
  auto Result = Headers();
  auto Begin = Head.find("\r\n");
  First = Head.substr(0, Begin);
  while (Begin != std::string::npos) {
    Begin += 2;
    auto End = Head.find("\r\n", Begin);
    auto Line = Head.substr(Begin, End == std::string::npos ? std::string::npos
                                                            : End - Begin);
    Begin = End;
    auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    auto Name = Line.substr(0, Colon);
    for (auto &Character : Name)
      Character = static_cast<char>(std::tolower(Character));
    auto Value = Line.substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    Result[Name] = Value;
  }
  return Result;
}

inline auto loopback(int Port) -> sockaddr_in {
  auto Address = sockaddr_in{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Returns ports that are free at the moment.
inline auto freePort(int Type = SOCK_STREAM) -> int {
  auto Fd = ::socket(AF_INET, Type, 0);
  auto Address = loopback(0);
  ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  auto Size = socklen_t{sizeof(Address)};
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Fd);
  return ntohs(Address.sin_port);
}

/// An HTTP/1.1 server. A handler that returns nothing has responded itself.
class Server {
public:
  using Handler =
      std::function<std::optional<Response>(const Request &, Stream &)>;

  explicit Server(Handler Handle) : m_Handle(std::move(Handle)) {}
  Server(const Server &) = delete;
  auto operator=(const Server &) -> Server & = delete;
  ~Server() { stop(); }

  auto start() -> void {
    m_Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto One = 1;
    ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    auto Address = loopback(m_Port);
    if (::bind(m_Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) != 0 ||
        ::listen(m_Listener, 512) != 0) {
      Record::line("cannot listen");
      std::exit(2);
    }
    auto Size = socklen_t{sizeof(Address)};
    ::getsockname(m_Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    m_Running = true;
    std::thread([this, Listener = m_Listener] {
      acceptAll(Listener);
    }).detach();
  }
  /// Ends like a process that crashes: resets all connections, and closes the
  /// port.
  auto stop() -> void {
    if (!m_Running.exchange(false))
      return;
    ::shutdown(m_Listener, SHUT_RDWR);
    ::close(m_Listener);
    auto Lock = std::lock_guard(m_Mutex);
    for (auto Fd : m_Connections) {
      auto Value = linger{.l_onoff = 1, .l_linger = 0};
      ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Value, sizeof(Value));
      ::shutdown(Fd, SHUT_RDWR);
    }
  }
  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(m_Port);
  }

private:
  auto acceptAll(int Listener) -> void {
    for (;;) {
      auto Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      auto One = 1;
      ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      {
        auto Lock = std::lock_guard(m_Mutex);
        m_Connections.insert(Fd);
      }
      std::thread([this, Fd] {
        serve(Fd);
        auto Lock = std::lock_guard(m_Mutex);
        m_Connections.erase(Fd);
        ::close(Fd);
      }).detach();
    }
  }
  auto serve(int Fd) -> void {
    auto Peer = Stream(Fd);
    while (auto Head = Peer.readUntil("\r\n\r\n")) {
      auto Message = Request();
      auto First = std::string();
      Message.m_Headers = parseHeaders(*Head, First);
      auto Space = First.find(' ');
      Message.m_Method = First.substr(0, Space);
      Message.m_Target = First.substr(Space + 1, First.rfind(' ') - Space - 1);
      if (auto Length = Message.header("content-length"); !Length.empty()) {
        auto Body = Peer.readExactly(std::stoul(Length));
        if (!Body)
          return;
        Message.m_Body = std::move(*Body);
      }
      auto Answer = m_Handle(Message, Peer);
      if (!Answer)
        continue;
      if (Answer->m_Drop)
        return;
      auto Text =
          "HTTP/1.1 " + std::to_string(Answer->m_Status) + " Status\r\n";
      for (const auto &[Name, Value] : Answer->m_Headers)
        Text += Name + ": " + Value + "\r\n";
      Text += "Content-Length: " + std::to_string(Answer->m_Body.size()) +
              "\r\n\r\n";
      if (Message.m_Method != "HEAD")
        Text += Answer->m_Body;
      if (!Peer.sendAll(Text))
        return;
    }
  }

  Handler m_Handle;
  int m_Listener = -1;
  int m_Port = 0;
  std::atomic<bool> m_Running = false;
  std::mutex m_Mutex;
  std::set<int> m_Connections;
};

/// The platform's store: keys, leases, transactions, watches.
class Store {
public:
  Store()
      : m_Server(
            [this](const Request &Call, Stream &) { return handle(Call); }) {
    m_Server.start();
    std::thread([this] { expireLeases(); }).detach();
  }
  auto put(const std::string &Key, const Json &Value) -> void {
    auto Lock = std::lock_guard(m_Mutex);
    apply({{{"key", Key}, {"value", base64(Value.dump())}}}, {});
  }
  auto remove(const std::string &Key) -> void {
    auto Lock = std::lock_guard(m_Mutex);
    apply(Json::array(), {Key});
  }
  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address();
  }

private:
  struct Change {
    std::uint64_t m_Revision;
    std::string m_Key;
    Json m_Event;
  };
  struct Lease {
    double m_Term;
    double m_EndsAt;
  };

  static auto base64(const std::string &Bytes) -> std::string {
    static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                                "uvwxyz0123456789+/";
    auto Text = std::string();
    for (auto Index = std::size_t{0}; Index < Bytes.size(); Index += 3) {
      auto Group = 0U;
      for (auto Part = std::size_t{0}; Part < 3; ++Part)
        Group =
            Group << 8U | (Index + Part < Bytes.size()
                               ? static_cast<unsigned char>(Bytes[Index + Part])
                               : 0U);
      for (auto Part = std::size_t{0}; Part < 4; ++Part)
        Text += Index + Part > Bytes.size()
                    ? '='
                    : Digits[Group >> (18U - 6U * Part) & 63U];
    }
    return Text;
  }
  /// Needs the lock. \returns the new revision.
  auto apply(const Json &Puts, const std::vector<std::string> &Removed)
      -> std::uint64_t {
    ++m_Revision;
    for (const auto &Put : Puts) {
      auto Key = Put.at("key").get<std::string>();
      auto Created = m_Items.contains(Key)
                         ? m_Items[Key].at("created_at").get<std::uint64_t>()
                         : m_Revision;
      m_Items[Key] = {{"key", Key},
                      {"value", Put.at("value")},
                      {"revision", m_Revision},
                      {"created_at", Created},
                      {"lease", Put.value("lease", 0U)}};
      m_History.push_back({m_Revision, Key, m_Items[Key]});
    }
    for (const auto &Key : Removed)
      if (m_Items.erase(Key) > 0)
        m_History.push_back(
            {m_Revision,
             Key,
             {{"key", Key}, {"revision", m_Revision}, {"deleted", true}}});
    m_Changed.notify_all();
    return m_Revision;
  }
  /// Needs the lock.
  auto endLease(std::uint64_t Id) -> void {
    m_Leases.erase(Id);
    auto Keys = std::vector<std::string>();
    for (const auto &[Key, Item] : m_Items)
      if (Item.at("lease").get<std::uint64_t>() == Id)
        Keys.push_back(Key);
    if (!Keys.empty())
      apply(Json::array(), Keys);
  }
  auto expireLeases() -> void {
    for (;;) {
      pause(0.02);
      auto Lock = std::lock_guard(m_Mutex);
      auto Ended = std::vector<std::uint64_t>();
      for (const auto &[Id, Item] : m_Leases)
        if (Item.m_EndsAt < seconds())
          Ended.push_back(Id);
      for (auto Id : Ended)
        endLease(Id);
    }
  }
  static auto query(const std::string &Target, const std::string &Name)
      -> std::string {
    auto Begin = Target.find("?" + Name + "=");
    if (Begin == std::string::npos)
      Begin = Target.find("&" + Name + "=");
    if (Begin == std::string::npos)
      return {};
    Begin += Name.size() + 2;
    auto End = Target.find('&', Begin);
    auto Text = Target.substr(
        Begin, End == std::string::npos ? std::string::npos : End - Begin);
    auto Result = std::string();
    for (auto Index = std::size_t{0}; Index < Text.size(); ++Index) {
      if (Text[Index] != '%') {
        Result += Text[Index];
        continue;
      }
      Result +=
          static_cast<char>(std::stoi(Text.substr(Index + 1, 2), nullptr, 16));
      Index += 2;
    }
    return Result;
  }
  static auto reply(int Status, const Json &Body) -> Response {
    return {.m_Status = Status,
            .m_Headers = {{"Content-Type", "application/json"}},
            .m_Body = Body.dump()};
  }
  static auto begins(const std::string &Text, const std::string &Prefix)
      -> bool {
    return Text.compare(0, Prefix.size(), Prefix) == 0;
  }
  auto handle(const Request &Call) -> Response {
    auto Path = Call.m_Target.substr(0, Call.m_Target.find('?'));
    auto Name = Path.substr(std::string("/dotterelpoint/").size());
    auto Lock = std::unique_lock(m_Mutex);
    if (Name == "kv-key") {
      auto Found = m_Items.find(query(Call.m_Target, "key"));
      if (Found == m_Items.end())
        return reply(404, {{"at", m_Revision}});
      auto Item = Found->second;
      Item["at"] = m_Revision;
      return reply(200, Item);
    }
    if (Name == "kv-range") {
      auto Prefix = query(Call.m_Target, "path_prefix");
      auto After = query(Call.m_Target, "after");
      auto Items = Json::array();
      for (const auto &[Key, Item] : m_Items)
        if (begins(Key, Prefix) && Key > After)
          Items.push_back(Item);
      return reply(200,
                   {{"items", Items}, {"has_more", false}, {"at", m_Revision}});
    }
    if (Name == "kv-watch") {
      auto Prefix = query(Call.m_Target, "path_prefix");
      auto After = std::stoull(query(Call.m_Target, "after"));
      auto Until =
          Clock::now() +
          std::chrono::milliseconds(std::stol(query(Call.m_Target, "wait_ms")));
      for (;;) {
        auto Events = Json::array();
        for (const auto &Item : m_History)
          if (Item.m_Revision > After && begins(Item.m_Key, Prefix))
            Events.push_back(Item.m_Event);
        if (!Events.empty() || Clock::now() >= Until)
          return reply(200, {{"events", Events}, {"at", m_Revision}});
        m_Changed.wait_until(Lock, Until);
      }
    }
    if (Name == "kv-txn") {
      auto Body = Json::parse(Call.m_Body);
      for (const auto &Row : Body.at("precondition")) {
        auto Found = m_Items.find(Row.at("key").get<std::string>());
        auto Current = Found == m_Items.end()
                           ? 0
                           : Found->second.at("revision").get<std::uint64_t>();
        if (Current != Row.at("revision").get<std::uint64_t>())
          return reply(412, {{"items", Json::array()}});
      }
      for (const auto &Put : Body.at("puts"))
        if (auto Id = Put.value("lease", std::uint64_t{0});
            Id != 0 && !m_Leases.contains(Id))
          return reply(404, Json::object());
      auto Revision = apply(Body.at("puts"),
                            Body.at("remove").get<std::vector<std::string>>());
      return reply(200, {{"revision", Revision}});
    }
    if (Name == "kv-lease") {
      auto Term = Json::parse(Call.m_Body).at("ttl_ms").get<double>() / 1000;
      m_Leases[++m_LastLease] = {Term, seconds() + Term};
      return reply(200, {{"lease", m_LastLease}, {"ttl_ms", Term * 1000}});
    }
    auto Id = Name.rfind('/') == std::string::npos
                  ? 0
                  : std::stoull(Name.substr(Name.rfind('/') + 1));
    if (begins(Name, "kv-keep/")) {
      auto Found = m_Leases.find(Id);
      if (Found == m_Leases.end())
        return reply(404, Json::object());
      Found->second.m_EndsAt = seconds() + Found->second.m_Term;
      return reply(200, {{"ttl_ms", Found->second.m_Term * 1000}});
    }
    if (begins(Name, "kv-lease-end/")) {
      endLease(Id);
      return reply(200, Json::object());
    }
    return reply(400, Json::object());
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::uint64_t m_Revision = 10;
  std::uint64_t m_LastLease = 0;
  std::map<std::string, Json> m_Items;
  std::map<std::uint64_t, Lease> m_Leases;
  std::vector<Change> m_History;
  Server m_Server;
};

/// The platform's API: accepts all orders and reports.
class Cloud {
public:
  Cloud()
      : m_Server(
            [this](const Request &Call, Stream &) -> std::optional<Response> {
              if (Call.m_Target == "/usage") {
                auto Report = Json::parse(Call.m_Body);
                auto Lock = std::lock_guard(m_Mutex);
                m_Usage[Report.at("window_id").get<std::uint64_t>()] =
                    Report.at("counts");
              }
              return Response{.m_Body = "{}"};
            }) {
    m_Server.start();
  }
  /// Returns the requests that were reported for all windows and tenants.
  auto reported() -> int {
    auto Lock = std::lock_guard(m_Mutex);
    auto Sum = 0;
    for (const auto &[Window, Counts] : m_Usage)
      for (const auto &[Tenant, Requests] : Counts.items())
        Sum += Requests.get<int>();
    return Sum;
  }
  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address();
  }

private:
  std::mutex m_Mutex;
  std::map<std::uint64_t, Json> m_Usage;
  Server m_Server;
};

/// A backend server. Registers itself at each start, like the platform's.
class Runner {
public:
  /// Handles a request that the runner begins to run.
  using Work = std::function<std::optional<Response>(Runner &, const Request &,
                                                     Stream &)>;

  /// A model runner has a \p Stage; another one has none.
  Runner(Store &Store, std::string Id, std::string Service, Work Run,
         std::string Stage = {}, std::string Zone = "zone-a")
      : m_Store(Store), m_Id(std::move(Id)), m_Service(std::move(Service)),
        m_Zone(std::move(Zone)), m_Stage(std::move(Stage)),
        m_Run(std::move(Run)),
        m_Server([this](const Request &Call,
                        Stream &Peer) -> std::optional<Response> {
          if (Call.m_Target == "/dotterelpoint/order")
            return takeOrder(Call);
          // Handles to be freed.
          if (Call.m_Target.rfind("/dotterelpoint/", 0) == 0)
            return Response{.m_Body = "{}"};
          if (auto Expected = Call.header("x-expect-instance");
              !Expected.empty() && Expected != m_Id)
            return Response{
                .m_Status = 421,
                .m_Headers = {{"X-Request-Id", Call.header("x-request-id")}}};
          if (m_Switching)
            return notExecuted(Call, 503);
          // The wrong stage.
          if (auto Stage = stage();
              !Stage.empty() &&
              (Call.header("x-stage") == "prefill") != (Stage == "prefill"))
            return notExecuted(Call, 421);
          if (Call.header("x-stage") == "prefill") {
            auto Headers = ownHeaders(Call);
            Headers.emplace_back("Content-Type", "application/json");
            return Response{.m_Headers = Headers,
                            .m_Body = Json{
                                {"kv_handle", randomId()},
                                {"tokens", 1460},
                                {"version",
                                 1}}.dump()};
          }
          return m_Run(*this, Call, Peer);
        }) {
    start();
  }
  auto start() -> void {
    m_Server.start();
    m_Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    writeEntry();
  }
  /// Ends for good. Its entry is removed after three heartbeats of 1.2 s.
  auto end() -> void {
    m_Server.stop();
    std::thread([this] {
      pause(3.6);
      m_Store.remove("servers/" + m_Id);
    }).detach();
  }
  [[nodiscard]] auto stage() -> std::string {
    auto Lock = std::lock_guard(m_Mutex);
    return m_Stage;
  }
  /// Crashes, and starts again after \p Time.
  auto crash(double Time) -> void {
    std::thread([this, Time] {
      m_Server.stop();
      pause(Time);
      start();
    }).detach();
  }
  [[nodiscard]] auto id() const -> const std::string & { return m_Id; }
  /// Returns the headers that a runner's own response carries.
  [[nodiscard]] auto ownHeaders(const Request &Call) const
      -> std::vector<std::pair<std::string, std::string>> {
    return {{"X-Request-Id", Call.header("x-request-id")},
            {"X-Response-Stamp", "stamp." + m_Id}};
  }

private:
  /// Time of a change of the stage: `role_switch_s` of the configuration.
  static constexpr auto SwitchTime = 3.0;

  static auto notExecuted(const Request &Call, int Status) -> Response {
    return {.m_Status = Status,
            .m_Headers = {{"X-Request-Id", Call.header("x-request-id")},
                          {"X-Not-Executed", "1"}}};
  }
  auto writeEntry() -> void {
    auto Stage = stage();
    auto Entry = Json{{"service", m_Service},
                      {"address", m_Server.address()},
                      {"zone", m_Zone},
                      {"version", "1"},
                      {"slots", Stage.empty() ? 6 : 64},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", m_Sequence.load()},
                      {"born", m_Born}};
    if (!Stage.empty())
      Entry["stage"] = Stage;
    m_Store.put("servers/" + m_Id, Entry);
  }
  auto takeOrder(const Request &Call) -> Response {
    auto Wanted = Json::parse(Call.m_Body).at("stage").get<std::string>();
    if (m_Switching)
      return {.m_Status = 409, .m_Body = "{}"};
    if (Wanted == stage())
      return {.m_Status = 200, .m_Body = "{}"};
    Record::line("runner " + m_Id + " in " + m_Zone + " is ordered to " +
                 Wanted);
    ++m_Sequence;
    m_Switching = true;
    std::thread([this, Wanted] {
      pause(SwitchTime);
      {
        auto Lock = std::lock_guard(m_Mutex);
        m_Stage = Wanted;
      }
      m_Switching = false;
      writeEntry();
    }).detach();
    return {.m_Status = 202, .m_Body = "{}"};
  }

  Store &m_Store;
  std::string m_Id;
  std::string m_Service;
  std::string m_Zone;
  std::mutex m_Mutex;
  std::string m_Stage;
  std::atomic<bool> m_Switching = false;
  std::atomic<int> m_Sequence = 0;
  std::int64_t m_Born = 0;
  Work m_Run;
  Server m_Server;
};

/// A `dotterel-host` process. Its settings are those of the smallest
/// deployments in the platform's pages.
class Host {
public:
  Host(std::string Program, const std::string &Folder, int Number,
       const Store &Store, const Cloud &Cloud,
       const std::string &Zone = "zone-a")
      : m_Program(std::move(Program)),
        m_Path(Folder + "/host-" + std::to_string(Number)),
        m_CallerPort(freePort()), m_ReadyPort(freePort()),
        m_MetricsPort(freePort()) {
    auto Peers = freePort(SOCK_DGRAM);
    std::ofstream(m_Path + ".conf")
        << "node_name=front-" << Zone << "-" << Number
        << "\nrole=host\nmachine_class=front\nserves=front\nip=127.0.0.1\n"
        << "zone=" << Zone << "\nregion=region-" << Zone.back()
        << "\nzones.zone-a=region-a\nzones.zone-b=region-b\n"
           "zones.zone-c=region-c\n"
        << "listen.front=127.0.0.1:" << m_CallerPort
        << "\nlisten.ready=127.0.0.1:" << m_ReadyPort
        << "\ninternal_ports=" << m_MetricsPort << "," << Peers
        << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
           "limits.max_fds=4100\nheartbeat_ms=1200\nbounds.contact_ms=4000\n"
           "bounds.drain_ms=3000\nbounds.grace_s=8\nbounds.lost_slack_ms=200\n"
           "bounds.config_apply_ms=3000\nbounds.strict_revoke=true\n"
           "bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n"
           "bounds.budget_window_s=10\nbounds.budget_extra=58\n"
           "bounds.require_fence=true\nbounds.lease_ms=3000\n"
           "bounds.usage_window_s=5\nbounds.usage_tolerance=0.05\n"
           "bounds.usage_late_s=10\nplatform.form=kv\n"
           "platform.min_ttl_ms=1000\n"
        << "platform.address=" << Store.address()
        << "\ncloud.address=" << Cloud.address() << "\n";
  }
  Host(const Host &) = delete;
  auto operator=(const Host &) -> Host & = delete;
  ~Host() { kill(); }

  auto start() -> void {
    m_Pid = ::fork();
    if (m_Pid == 0) {
      // Ends with the case, also if that is ended itself.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      auto Log = ::open((m_Path + ".log").c_str(),
                        O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      ::setenv("DOTTERELPOINT_NODE_FILE", (m_Path + ".conf").c_str(), 1);
      auto Metrics =
          "--metrics-listen=127.0.0.1:" + std::to_string(m_MetricsPort);
      ::execl(m_Program.c_str(), m_Program.c_str(), Metrics.c_str(), nullptr);
      ::_exit(127);
    }
  }
  auto signal(int Number) -> void { ::kill(m_Pid, Number); }
  auto kill() -> void {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
  [[nodiscard]] auto running() -> bool {
    return ::waitpid(m_Pid, nullptr, WNOHANG) == 0;
  }
  /// Waits for the end of the process. \returns its status, as of waitpid().
  auto wait() -> int {
    auto Status = 0;
    ::waitpid(m_Pid, &Status, 0);
    m_Pid = -1;
    return Status;
  }
  /// Returns whether the host reports that it is ready within \p Time.
  auto waitReady(double Time) -> bool;
  [[nodiscard]] auto callerPort() const -> int { return m_CallerPort; }

private:
  std::string m_Program;
  std::string m_Path;
  int m_CallerPort;
  int m_ReadyPort;
  int m_MetricsPort;
  pid_t m_Pid = -1;
};

/// What a client receives.
struct Answer {
  int m_Status = 0; ///< 0: no head was received.
  Headers m_Headers;
  std::string m_Body;
  bool m_Complete = false;
  std::string m_End; ///< How an incomplete answer ended.
};

/// A client's connection, kept for several requests.
class Client {
public:
  /// \p ReceiveBytes limits the socket's receive buffer; 0: the default.
  explicit Client(int Port, int ReceiveBytes = 0)
      : m_Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_Peer(m_Fd) {
    if (ReceiveBytes > 0)
      ::setsockopt(m_Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                   sizeof(ReceiveBytes));
    auto One = 1;
    ::setsockopt(m_Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    auto Address = loopback(Port);
    m_Connected = ::connect(m_Fd, reinterpret_cast<sockaddr *>(&Address),
                            sizeof(Address)) == 0;
    auto Timeout = timeval{.tv_sec = 10, .tv_usec = 0};
    ::setsockopt(m_Fd, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  }
  Client(const Client &) = delete;
  auto operator=(const Client &) -> Client & = delete;
  ~Client() { ::close(m_Fd); }

  [[nodiscard]] auto connected() const -> bool { return m_Connected; }

  auto send(const std::string &Method, const std::string &Path,
            const std::string &Id, const std::string &Key, int DeadlineMs,
            const std::string &Body, const std::string &More = {}) -> bool {
    auto Text = Method + " " + Path + " HTTP/1.1\r\nHost: shop.example\r\n" +
                "X-Request-Id: " + Id +
                "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n" +
                More;
    if (!Key.empty())
      Text += "Authorization: Bearer " + Key + "\r\n";
    if (Method == "POST")
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    return m_Peer.sendAll(Text + "\r\n" + Body);
  }
  auto receive() -> Answer {
    auto Result = Answer();
    auto Head = m_Peer.readUntil("\r\n\r\n");
    if (!Head)
      return ended(std::move(Result));
    auto First = std::string();
    Result.m_Headers = parseHeaders(*Head, First);
    Result.m_Status = std::stoi(First.substr(First.find(' ') + 1));
    if (Result.m_Headers.contains("content-length")) {
      auto Size = std::stoul(Result.m_Headers["content-length"]);
      auto Body = m_Peer.readExactly(Size);
      Result.m_Complete = Body.has_value();
      Result.m_Body = Body.value_or(m_Peer.buffered());
      return Result.m_Complete ? Result : ended(std::move(Result));
    }
    for (;;) {
      auto Line = m_Peer.readUntil("\r\n");
      if (!Line)
        return ended(std::move(Result));
      auto Size = std::stoul(*Line, nullptr, 16);
      auto Chunk = m_Peer.readExactly(Size + 2);
      if (!Chunk)
        return ended(std::move(Result));
      if (Size == 0)
        break;
      Result.m_Body += Chunk->substr(0, Size);
    }
    Result.m_Complete = true;
    return Result;
  }
  [[nodiscard]] auto peer() -> Stream & { return m_Peer; }

private:
  auto ended(Answer Result) -> Answer {
    Result.m_End = m_Peer.error() == ECONNRESET ? "connection reset"
                   : m_Peer.error() == EAGAIN   ? "nothing came for 10 s"
                                                : "connection closed";
    return Result;
  }

  int m_Fd;
  Stream m_Peer;
  bool m_Connected = false;
};

inline auto Host::waitReady(double Time) -> bool {
  auto End = seconds() + Time;
  while (seconds() < End) {
    auto Probe = Client(m_ReadyPort);
    if (Probe.connected() &&
        Probe.send("GET", "/dotterelpoint/readiness", "probe", {}, 1000, {}) &&
        Probe.receive().m_Status == 200)
      return true;
    pause(0.1);
  }
  return false;
}

/// Returns a configuration with a service of plain servers, one of model
/// runners, and one tenant. The figures are those of the platform's pages.
/// Without \p Models no route leads to the model runners.
inline auto configuration(int Version = 7, bool Models = true) -> Json {
  auto Route = [](const char *Name, const char *Path, const char *Kind,
                  int Attempts) {
    return Json{{"name", Name},        {"host", "shop.example"},
                {"path_prefix", Path}, {"kind", Kind},
                {"service", "desk"},   {"max_attempts", Attempts},
                {"timeout_ms", 3000},  {"target_latency_ms", 400},
                {"priority", 2},       {"public", false},
                {"resumable", false}};
  };
  auto Rationale = Route("rationale", "/rationale/", "streaming", 1);
  Rationale["service"] = "llm";
  Rationale["timeout_ms"] = 5000;
  Rationale["target_latency_ms"] = 800;
  Rationale["target_gap_ms"] = 300;
  Rationale["session_affinity"] = true;
  Rationale["priority"] = 1;
  auto Routes = Json{Route("filing", "/filing/", "unsafe", 1),
                     Route("status", "/status/", "safe", 2)};
  if (Models)
    Routes.push_back(Rationale);
  return {{"version", Version},
          {"routes", Routes},
          {"services",
           {{{"name", "desk"},
             {"health_path", "/health"},
             {"max_connections", 110}},
            {{"name", "llm"},
             {"health_path", "/health"},
             {"max_connections", 370},
             {"engine",
              {{"slots", 64},
               {"kv_capacity_tokens", 404438},
               {"kv_token_bytes", 18432},
               {"link_mbps", 370000.0},
               {"kv_hold_s", 5.0},
               {"role_switch_s", 3.0}}}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", {{{"name", "tenant-a"}, {"api_keys", {"key-of-a"}}}}}};
}

} // namespace sim

#endif // REVIEW_STANDINS_2_SIM_H
