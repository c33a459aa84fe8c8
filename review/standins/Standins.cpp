#include "Standins.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

auto sameName(const std::string &Left, const std::string &Right) -> bool {
  return strcasecmp(Left.c_str(), Right.c_str()) == 0;
}

auto parseAddress(const std::string &Address) -> sockaddr_in {
  auto Colon = Address.rfind(':');
  auto Result = sockaddr_in{};
  Result.sin_family = AF_INET;
  Result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  return Result;
}

auto toBase64(const std::string &Bytes) -> std::string {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  auto Text = std::string();
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    auto Left = std::min<std::size_t>(3, Bytes.size() - At);
    auto Group = std::uint32_t{0};
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8U |
              (Index < Left ? static_cast<unsigned char>(Bytes[At + Index])
                            : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Left ? Digits[Group >> (18 - 6 * Index) & 63U] : '=';
  }
  return Text;
}

auto unescape(const std::string &Text) -> std::string {
  auto Result = std::string();
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Result += Text[At];
    }
  }
  return Result;
}

auto queryOf(const std::string &Target) -> std::map<std::string, std::string> {
  auto Result = std::map<std::string, std::string>();
  auto Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Result;
  auto Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    auto End = std::min(Rest.find('&'), Rest.size());
    auto Item = Rest.substr(0, End);
    auto Equals = std::min(Item.find('='), Item.size());
    Result[Item.substr(0, Equals)] =
        unescape(Equals < Item.size() ? Item.substr(Equals + 1) : "");
    Rest.erase(0, std::min(End + 1, Rest.size()));
  }
  return Result;
}

auto startsWith(const std::string &Text, const std::string &Prefix) -> bool {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

auto readHeaders(Channel &Peer, Headers &Result) -> bool {
  auto Line = std::string();
  while (Peer.readLine(Line)) {
    if (Line.empty())
      return true;
    auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    auto Begin = Line.find_first_not_of(' ', Colon + 1);
    Result.m_Items.emplace_back(
        Line.substr(0, Colon),
        Begin == std::string::npos ? "" : Line.substr(Begin));
  }
  return false;
}

auto readChunks(Channel &Peer,
                const std::function<void(const std::string &)> &OnData)
    -> bool {
  auto Line = std::string();
  while (Peer.readLine(Line)) {
    auto Size = std::strtoul(Line.c_str(), nullptr, 16);
    if (Size == 0)
      return Peer.readLine(Line);
    auto Piece = std::string();
    if (!Peer.readBytes(Size, Piece))
      return false;
    OnData(Piece);
    if (!Peer.readLine(Line))
      return false;
  }
  return false;
}

} // namespace

auto nowMs() -> std::int64_t {
  static const auto Start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

auto sleepMs(std::int64_t Time) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w")) {
  nowMs();
}

Record::~Record() {
  if (m_File != nullptr)
    std::fclose(m_File);
}

auto Record::line(const std::string &Text) -> void {
  auto Guard = std::lock_guard(m_Mutex);
  if (m_File == nullptr)
    return;
  std::fprintf(m_File, "%7lld %s\n", static_cast<long long>(nowMs()),
               Text.c_str());
  std::fflush(m_File);
}

auto Headers::get(const std::string &Name) const -> std::string {
  for (const auto &[Key, Value] : m_Items)
    if (sameName(Key, Name))
      return Value;
  return {};
}

Channel::~Channel() {
  if (m_Fd >= 0)
    ::close(m_Fd);
}

auto Channel::sendAll(const std::string &Bytes) -> bool {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    auto Count = ::send(m_Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                        MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

auto Channel::fill() -> bool {
  char Block[16384];
  while (true) {
    auto Count = ::recv(m_Fd, Block, sizeof(Block), 0);
    if (Count < 0 && errno == EINTR)
      continue;
    m_Error = Count < 0 ? errno : 0;
    if (Count <= 0)
      return false;
    m_Buffer.append(Block, static_cast<std::size_t>(Count));
    return true;
  }
}

auto Channel::readLine(std::string &Line) -> bool {
  while (true) {
    auto End = m_Buffer.find("\r\n");
    if (End != std::string::npos) {
      Line = m_Buffer.substr(0, End);
      m_Buffer.erase(0, End + 2);
      return true;
    }
    if (!fill())
      return false;
  }
}

auto Channel::readBytes(std::size_t Count, std::string &Bytes) -> bool {
  while (m_Buffer.size() < Count)
    if (!fill())
      return false;
  Bytes = m_Buffer.substr(0, Count);
  m_Buffer.erase(0, Count);
  return true;
}

auto Channel::setReadTimeout(std::int64_t Milliseconds) -> void {
  auto Value = timeval{.tv_sec = Milliseconds / 1000,
                       .tv_usec = Milliseconds % 1000 * 1000};
  ::setsockopt(m_Fd, SOL_SOCKET, SO_RCVTIMEO, &Value, sizeof(Value));
}

auto readRequest(Channel &Peer, Request &Result) -> bool {
  Result = Request();
  auto Line = std::string();
  if (!Peer.readLine(Line))
    return false;
  auto First = Line.find(' ');
  auto Second = Line.find(' ', First + 1);
  if (First == std::string::npos || Second == std::string::npos)
    return false;
  Result.m_Method = Line.substr(0, First);
  Result.m_Target = Line.substr(First + 1, Second - First - 1);
  if (!readHeaders(Peer, Result.m_Headers))
    return false;
  if (sameName(Result.m_Headers.get("Transfer-Encoding"), "chunked"))
    return readChunks(Peer, [&](const std::string &Piece) {
      Result.m_Body += Piece;
    });
  auto Length = Result.m_Headers.get("Content-Length");
  return Length.empty() || Peer.readBytes(std::stoul(Length), Result.m_Body);
}

auto simpleResponse(int Status, const std::string &Body,
                    const std::string &MoreHeaders) -> std::string {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + MoreHeaders + "\r\n" + Body;
}

Server::Server(const std::string &Ip, Handler Handle)
    : m_Handle(std::move(Handle)) {
  auto Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Raw = parseAddress(Ip + ":0");
  auto Size = socklen_t{sizeof(Raw)};
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Raw), sizeof(Raw)) != 0 ||
      ::listen(Listener, 512) != 0) {
    std::cerr << "cannot listen on " << Ip << "\n";
    std::exit(2);
  }
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Raw), &Size);
  m_Address = Ip + ":" + std::to_string(ntohs(Raw.sin_port));
  std::thread([this, Listener] {
    while (true) {
      auto Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      auto One = 1;
      ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      std::thread([this, Fd] {
        auto Peer = Channel(Fd);
        auto Call = Request();
        while (readRequest(Peer, Call) && m_Handle(Peer, Call)) {
        }
      }).detach();
    }
  }).detach();
}

Store::Store(const std::string &Ip)
    : m_Server(std::make_unique<Server>(
          Ip, [this](Channel &Peer, const Request &Call) {
            return handle(Peer, Call);
          })) {
  std::thread([this] {
    while (true) {
      sleepMs(20);
      auto Guard = std::lock_guard(m_Mutex);
      expireLeases();
    }
  }).detach();
}

auto Store::encode(const std::string &Key, const Item &Entry) const -> Json {
  return {{"key", Key},
          {"value", Entry.m_Value},
          {"revision", Entry.m_Revision},
          {"created_at", Entry.m_Created},
          {"lease", Entry.m_Lease}};
}

auto Store::write(const std::string &Key, const std::string &Value,
                  std::uint64_t Lease, std::uint64_t Revision) -> void {
  auto &Entry = m_Items[Key];
  if (Entry.m_Created == 0)
    Entry.m_Created = Revision;
  Entry.m_Value = Value;
  Entry.m_Revision = Revision;
  Entry.m_Lease = Lease;
  m_History.push_back({Key, Revision});
}

auto Store::erase(const std::string &Key, std::uint64_t Revision) -> void {
  if (m_Items.erase(Key) > 0)
    m_History.push_back({Key, Revision});
}

auto Store::expireLeases() -> void {
  auto Now = nowMs();
  for (auto At = m_Leases.begin(); At != m_Leases.end();) {
    if (At->second.m_EndsAt > Now) {
      ++At;
      continue;
    }
    auto Keys = std::vector<std::string>();
    for (const auto &[Key, Entry] : m_Items)
      if (Entry.m_Lease == At->first)
        Keys.push_back(Key);
    if (!Keys.empty())
      ++m_Revision;
    for (const auto &Key : Keys)
      erase(Key, m_Revision);
    At = m_Leases.erase(At);
    m_Changed.notify_all();
  }
}

auto Store::put(const std::string &Key, const Json &Value) -> void {
  auto Guard = std::lock_guard(m_Mutex);
  write(Key, toBase64(Value.dump()), 0, ++m_Revision);
  m_Changed.notify_all();
}

auto Store::remove(const std::string &Key) -> void {
  auto Guard = std::lock_guard(m_Mutex);
  erase(Key, ++m_Revision);
  m_Changed.notify_all();
}

auto Store::handle(Channel &Peer, const Request &Call) -> bool {
  auto Path = Call.m_Target.substr(0, Call.m_Target.find('?'));
  auto Query = queryOf(Call.m_Target);
  auto Status = 200;
  auto Body = Json::object();
  sleepMs(m_AnswerMs);
  auto Lock = std::unique_lock(m_Mutex);
  expireLeases();
  if (Path == "/dotterelpoint/kv-key") {
    auto Found = m_Items.find(Query["key"]);
    if (Found == m_Items.end())
      Status = 404;
    else
      Body = encode(Found->first, Found->second);
    Body["at"] = m_Revision;
  } else if (Path == "/dotterelpoint/kv-range") {
    auto Items = Json::array();
    auto More = false;
    for (const auto &[Key, Entry] : m_Items) {
      if (!startsWith(Key, Query["path_prefix"]) ||
          (!Query["after"].empty() && Key <= Query["after"]))
        continue;
      if (Items.size() == 500) {
        More = true;
        break;
      }
      Items.push_back(encode(Key, Entry));
    }
    Body = {{"items", Items}, {"has_more", More}, {"at", m_Revision}};
  } else if (Path == "/dotterelpoint/kv-watch") {
    auto After = std::stoull(Query["after"]);
    auto Until =
        Clock::now() + std::chrono::milliseconds(std::stoll(Query["wait_ms"]));
    auto Events = Json::array();
    auto Collect = [&] {
      for (const auto &Entry : m_History) {
        if (Entry.m_Revision <= After ||
            !startsWith(Entry.m_Key, Query["path_prefix"]))
          continue;
        auto Found = m_Items.find(Entry.m_Key);
        if (Found == m_Items.end())
          Events.push_back({{"key", Entry.m_Key},
                            {"revision", Entry.m_Revision},
                            {"deleted", true}});
        else if (Found->second.m_Revision == Entry.m_Revision)
          Events.push_back(encode(Found->first, Found->second));
      }
      return !Events.empty();
    };
    m_Changed.wait_until(Lock, Until, Collect);
    Body = {{"events", Events}, {"at", m_Revision}};
  } else if (Path == "/dotterelpoint/kv-txn") {
    auto Document = Json::parse(Call.m_Body);
    auto Failed = Json::array();
    for (const auto &Row : Document.value("precondition", Json::array())) {
      auto Found = m_Items.find(Row.at("key").get<std::string>());
      auto Current = Found == m_Items.end() ? 0 : Found->second.m_Revision;
      if (Current != Row.at("revision").get<std::uint64_t>())
        Status = 412;
      if (Found != m_Items.end())
        Failed.push_back(encode(Found->first, Found->second));
    }
    for (const auto &Put : Document.value("puts", Json::array())) {
      auto Lease = Put.value("lease", std::uint64_t{0});
      if (Status == 200 && Lease != 0 && m_Leases.count(Lease) == 0)
        Status = 404;
    }
    if (Status == 412)
      Body = {{"items", Failed}};
    if (Status == 200) {
      ++m_Revision;
      for (const auto &Put : Document.value("puts", Json::array()))
        write(Put.at("key"), Put.at("value"),
              Put.value("lease", std::uint64_t{0}), m_Revision);
      for (const auto &Key : Document.value("remove", Json::array()))
        erase(Key, m_Revision);
      Body = {{"revision", m_Revision}};
      m_Changed.notify_all();
    }
  } else if (Path == "/dotterelpoint/kv-lease") {
    auto Ttl = std::max<std::int64_t>(
        1000, Json::parse(Call.m_Body).at("ttl_ms").get<std::int64_t>());
    m_Leases[++m_LastLease] = {Ttl, nowMs() + Ttl};
    Body = {{"lease", m_LastLease}, {"ttl_ms", Ttl}};
  } else {
    auto Id = std::strtoull(Path.substr(Path.rfind('/') + 1).c_str(), nullptr,
                            10);
    auto Found = m_Leases.find(Id);
    if (Found == m_Leases.end()) {
      Status = 404;
    } else if (startsWith(Path, "/dotterelpoint/kv-keep/")) {
      Found->second.m_EndsAt = nowMs() + Found->second.m_TtlMs;
      Body = {{"ttl_ms", Found->second.m_TtlMs}};
    } else {
      Found->second.m_EndsAt = 0;
      expireLeases();
    }
  }
  Lock.unlock();
  return Peer.sendAll(simpleResponse(Status, Body.dump(),
                                     "Content-Type: application/json\r\n"));
}

Cloud::Cloud(const std::string &Ip)
    : m_Server(std::make_unique<Server>(
          Ip, [this](Channel &Peer, const Request &Call) {
            auto Status = m_Busy ? 503 : 200;
            if (m_OnCall)
              m_OnCall(Call, Status);
            return Peer.sendAll(simpleResponse(
                Status, "{}", "Content-Type: application/json\r\n"));
          })) {}

Host::Host(Options Values) : m_Options(std::move(Values)) {
  auto File = std::ofstream(m_Options.m_Folder + "/" + m_Options.m_Name +
                            ".conf");
  File << "node_name=" << m_Options.m_Name << "\nrole=host\n"
       << "machine_class=front\nserves=front\nip=" << m_Options.m_Ip << "\n"
       << "zone=z1\nregion=r1\nzones.z1=r1\n"
       << "listen.front=" << m_Options.m_Ip << ":8405\n"
       << "listen.ready=" << m_Options.m_Ip << ":8406\n"
       << "internal_ports=7660,7675\nbootstrap=true\nin_tolerance=false\n"
       << "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb="
       << m_Options.m_MemoryMb << "\n"
       << "limits.max_fds=4100\nlimits.link_mbps=1000.0\n"
       << "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
       << "contracts=base,drain,config,cost,retry,recover,split,stream,engine,"
          "tenants,leader,platform\n"
       << "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000\n"
       << "bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\n"
       << "bounds.grace_s=8\nbounds.lost_slack_ms=200\n"
       << "bounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n"
       << "bounds.max_skew_ms=6000\nbounds.strict_revoke=true\n"
       << "bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n"
       << "bounds.budget_window_s=10\nbounds.budget_extra=58\n"
       << "bounds.require_fence=true\nbounds.lease_ms=3000\n"
       << "bounds.thaw_ms=300\nbounds.usage_window_s=5\n"
       << "bounds.usage_tolerance=0.05\nbounds.usage_late_s=10\n"
       << "bounds.recovery_s=12\nbounds.transit_ms=400\n"
       << "bounds.retry_after_s=8.9\n"
       << "platform.address=" << m_Options.m_Store << "\nplatform.form=kv\n"
       << "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
       << "platform.history_s=20\nplatform.value_bytes=1048576\n"
       << "platform.min_ttl_ms=1000\ncloud.address=" << m_Options.m_Cloud
       << "\ncloud.rate_per_s=50.0\ncloud.duties=usage_report,autoscale\n"
       << "cloud.duty_per_s=50.0\n";
}

Host::~Host() { kill(); }

auto Host::kill() -> void {
  if (m_Pid == 0)
    return;
  signal(SIGKILL);
  while (!ended())
    sleepMs(5);
}

auto Host::start() -> void {
  auto Variable = "DOTTERELPOINT_NODE_FILE=" + m_Options.m_Folder + "/" +
                  m_Options.m_Name + ".conf";
  auto Log = m_Options.m_Folder + "/" + m_Options.m_Name + ".log";
  auto Metrics = "--metrics-listen=" + m_Options.m_Ip + ":7660";
  m_Ended = false;
  m_Pid = ::fork();
  if (m_Pid != 0)
    return;
  auto Fd = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Fd, 1);
  ::dup2(Fd, 2);
  const char *Arguments[] = {"target/dotterel-host", Metrics.c_str(), nullptr};
  const char *Environment[] = {Variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  ::execve(Arguments[0], const_cast<char **>(Arguments),
           const_cast<char **>(Environment));
  ::_exit(127);
}

auto Host::signal(int Number) -> void {
  if (!m_Ended && m_Pid != 0)
    ::kill(m_Pid, Number);
}

auto Host::ended() -> bool {
  if (!m_Ended && m_Pid != 0 && ::waitpid(m_Pid, &m_Status, WNOHANG) == m_Pid)
    m_Ended = true;
  return m_Ended;
}

auto Host::front() const -> std::string { return m_Options.m_Ip + ":8405"; }

auto Host::ready() -> bool {
  auto Caller = Client(m_Options.m_Ip + ":8406");
  if (!Caller.connected())
    return false;
  Caller.m_Channel->setReadTimeout(1000);
  return Caller.send({.m_Method = "GET",
                      .m_Target = "/dotterelpoint/readiness",
                      .m_Headers = {{{"Host", "x"}}}}) &&
         Caller.receive().m_Status == 200;
}

auto Host::waitReady(std::int64_t LimitMs) -> bool {
  auto Until = nowMs() + LimitMs;
  while (nowMs() < Until) {
    if (ready())
      return true;
    sleepMs(50);
  }
  return false;
}

auto Host::memoryBytes() const -> std::int64_t {
  auto File = std::ifstream("/proc/" + std::to_string(m_Pid) + "/statm");
  auto Total = std::int64_t{0};
  auto Resident = std::int64_t{0};
  File >> Total >> Resident;
  return Resident * ::sysconf(_SC_PAGESIZE);
}

auto connectTo(const std::string &Address) -> int {
  auto Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Raw = parseAddress(Address);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Raw), sizeof(Raw)) != 0) {
    ::close(Fd);
    return -1;
  }
  auto One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Fd;
}

Client::Client(const std::string &Address) {
  if (auto Fd = connectTo(Address); Fd >= 0)
    m_Channel = std::make_unique<Channel>(Fd);
}

auto Client::send(const Request &Call) -> bool {
  auto Text = Call.m_Method + " " + Call.m_Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Call.m_Headers.m_Items)
    Text += Name + ": " + Value + "\r\n";
  if (Call.m_Method == "POST")
    Text += "Content-Length: " + std::to_string(Call.m_Body.size()) + "\r\n";
  return m_Channel->sendAll(Text + "\r\n" + Call.m_Body);
}

auto Client::receive(const std::function<void(const std::string &)> &OnData)
    -> Response {
  auto Result = Response();
  auto Line = std::string();
  if (!m_Channel->readLine(Line) || Line.size() < 12)
    return Result;
  if (!readHeaders(*m_Channel, Result.m_Headers))
    return Result;
  Result.m_Status = std::stoi(Line.substr(9, 3));
  auto Take = [&](const std::string &Piece) {
    Result.m_Body += Piece;
    if (OnData)
      OnData(Piece);
  };
  if (sameName(Result.m_Headers.get("Transfer-Encoding"), "chunked")) {
    Result.m_Complete = readChunks(*m_Channel, Take);
    return Result;
  }
  auto Length = Result.m_Headers.get("Content-Length");
  auto Body = std::string();
  Result.m_Complete =
      Length.empty() || m_Channel->readBytes(std::stoul(Length), Body);
  Take(Body);
  return Result;
}

auto newRequestId() -> std::string {
  static auto Last = std::atomic<std::uint64_t>(std::random_device()());
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(++Last * 0x9e3779b97f4a7c15ULL));
  return Text;
}

auto configuration(int Version, std::int64_t MaxBodyBytes) -> Json {
  auto Route = [](const char *Name, const char *Kind, const char *Service,
                  int Timeout, int Attempts) {
    return Json{{"name", Name},
                {"host", "ficu95.example"},
                {"path_prefix", std::string("/") + Name + "/"},
                {"kind", Kind},
                {"timeout_ms", Timeout},
                {"target_latency_ms", 400},
                {"target_gap_ms", 300},
                {"service", Service},
                {"max_attempts", Attempts},
                {"priority", 2},
                {"public", false}};
  };
  return {{"version", Version},
          {"routes",
           {Route("filing", "unsafe", "desk", 6000, 1),
            Route("status", "safe", "desk", 6000, 2),
            Route("rationale", "streaming", "desk", 5000, 1)}},
          {"services", {{{"name", "desk"}, {"health_path", "/health"}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", MaxBodyBytes},
            {"header_timeout_ms", 5000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "huka270"}, {"api_keys", {"2b9wu3fexd9dnn2ctnfz"}}}}}};
}

auto registration(const std::string &Service, const std::string &Address,
                  int Slots) -> Json {
  static auto Born = std::int64_t{1796000000000};
  return {{"service", Service},       {"address", Address},
          {"zone", "z1"},             {"version", "v1"},
          {"slots", Slots},           {"state", "ready"},
          {"cold_remaining_ms", 0},   {"sequence", 1},
          {"born", ++Born}};
}

auto randomIp(int Last) -> std::string {
  static auto Device = std::random_device();
  static auto Second = 20 + Device() % 200;
  static auto Third = 1 + Device() % 250;
  return "127." + std::to_string(Second) + "." + std::to_string(Third) + "." +
         std::to_string(Last);
}

auto temporaryFolder() -> std::string {
  char Path[] = "/tmp/review-XXXXXX";
  return ::mkdtemp(Path);
}

auto removeFolder(const std::string &Path) -> void {
  for (const auto *Name : {"host-1.conf", "host-1.log", "host-2.conf",
                           "host-2.log", "host-3.conf", "host-3.log"})
    ::unlink((Path + "/" + Name).c_str());
  ::rmdir(Path.c_str());
}

auto finish(int ExitCode) -> void {
  std::cout.flush();
  ::_exit(ExitCode);
}

auto troubleWanted() -> bool {
  const auto *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review
