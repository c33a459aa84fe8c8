#include "dotterel/io/PooledHttpClient.h"
#include "support/Cluster.h"
#include "support/HostileCrowd.h"
#include "support/PlatformFakes.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Memory of the machine on which a process under test is said to run.
constexpr auto MemoryMegabytes = std::size_t{120};
constexpr auto MemoryBound = MemoryMegabytes << 20U;
/// Descriptors beyond those of the callers: files, store, peers, servers.
constexpr auto OtherDescriptors = std::size_t{100};
constexpr auto BlockBytes = std::size_t{64} << 10U;
/// Time for which a crowd whose connections stay open is borne.
constexpr auto CrowdTime = Seconds(12);

/// One host of the platform, with one backend server.
class HostTarget {
public:
  /// The platform's limit on bodies.
  static constexpr auto MaxBodyBytes = std::size_t{4} << 20U;

  HostTarget() {
    m_Server.m_WorkTime = Milliseconds(500);
    m_Store.put("servers/i-0", {{"service", "desk"},
                                {"address", m_Server.address()},
                                {"zone", "z1"},
                                {"version", "v1"},
                                {"slots", 4},
                                {"state", "ready"},
                                {"sequence", 1}});
    m_Store.put("op/config",
                {{"version", 1},
                 {"routes",
                  {{{"name", "safe"},
                    {"host", "h.example"},
                    {"path_prefix", "/safe/"},
                    {"kind", "safe"},
                    {"timeout_ms", 20000},
                    {"target_latency_ms", 5000},
                    {"service", "desk"},
                    {"max_attempts", 2},
                    {"public", false}}}},
                 {"services", {{{"name", "desk"}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", MaxBodyBytes},
                   {"header_timeout_ms", 5000},
                   {"idle_timeout_ms", 30000}}},
                 {"tenants", {{{"name", "org"}, {"api_keys", {"key-1"}}}}}});
    auto File = std::ofstream(m_Path);
    File << fmt::format(
        "node_name=host-0\nzone=z1\nregion=r1\nzones.z1=r1\n"
        "listen.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\nip=127.0.0.1\n"
        "internal_ports=0,0\nplatform.address={}\ncloud.address={}\n"
        "limits.memory_mb={}\nlimits.max_fds=1024\n"
        "bounds.revoke_ms=5000\nbounds.grace_s=8\nbounds.drain_ms=3000\n"
        "bounds.usage_window_s=2\nbounds.usage_late_s=6\n",
        m_Store.address(), m_Fleet.address(), MemoryMegabytes);
    File.close();
    m_Process = std::make_unique<Process>(
        "dotterel-host",
        std::vector<std::string>{"--platform-settings=" + m_Path});
    waitFor("a listening host", [this] {
      return m_Process->log().find("event=host.listening") != std::string::npos;
    });
    m_Address = m_Process->field("host.listening", "callers");
    waitFor("an answer", [this] { return ordinaryStatus() == 200; });
  }
  HostTarget(const HostTarget &) = delete;
  auto operator=(const HostTarget &) -> HostTarget & = delete;
  ~HostTarget() { ::unlink(m_Path.c_str()); }

  auto process() -> Process & { return *m_Process; }
  [[nodiscard]] auto address() const -> std::string { return m_Address; }

  /// Returns the head of a request up to its last lines, which say the length
  /// of the body.
  static auto head(const std::string &Id, const std::string &Path = "/safe/x")
      -> std::string {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer "
           "key-1\r\nX-Deadline-Ms: 15000\r\nX-Request-Id: " +
           Id + "\r\n";
  }

  auto ordinaryStatus(std::string Body = "body") -> unsigned {
    auto Status = 0U;
    m_Client->start({.m_Method = "POST",
                     .m_Url = "http://" + m_Address + "/safe/x",
                     .m_Headers = {{"Host", "h.example"},
                                   {"X-Request-Id", "ordinary"},
                                   {"X-Deadline-Ms", "15000"},
                                   {"Authorization", "Bearer key-1"}},
                     .m_Body = std::move(Body),
                     .m_Timeout = Seconds(20),
                     .m_DedicatedConnection = true,
                     .m_OnDone = [&Status](const HttpCallResult &Result) {
                       Status = std::max(Result.m_Status, 1U);
                     }});
    waitFor("the end of a call", [&Status] { return Status != 0; });
    return Status;
  }

  auto waitFor(const std::string &What, const std::function<bool()> &Condition)
      -> void {
    auto Until = m_Loop.now() + EventTimeout;
    while (!Condition()) {
      REQUIRE_MESSAGE(m_Loop.now() < Until, "no ", What);
      runFor(Milliseconds(10));
    }
  }
  auto runFor(Duration Span) -> void {
    m_Loop.schedule(Span, [this] { m_Loop.stop(); });
    m_Loop.run();
  }

private:
  EventLoop m_Loop;
  FakeStore m_Store{m_Loop};
  FakeFleet m_Fleet{m_Loop};
  FakeServer m_Server{m_Loop, "i-0"};
  std::unique_ptr<HttpClient> m_Client = makePooledHttpClient(m_Loop, {});
  std::string m_Path = fmt::format("/tmp/dotterel-hostile-{}", ::getpid());
  std::unique_ptr<Process> m_Process;
  std::string m_Address;
};

/// Sets the memory of programs that are started meanwhile.
class MemorySetting {
public:
  MemorySetting() {
    ::setenv("DOTTEREL_MEMORY_MB", std::to_string(MemoryMegabytes).c_str(), 1);
  }
  MemorySetting(const MemorySetting &) = delete;
  auto operator=(const MemorySetting &) -> MemorySetting & = delete;
  ~MemorySetting() { ::unsetenv("DOTTEREL_MEMORY_MB"); }
};

/// One gate, with one backend server.
class GateTarget {
public:
  /// The default of the setting `max-body-bytes`.
  static constexpr auto MaxBodyBytes = std::size_t{8} << 20U;

  GateTarget() {
    m_Cluster.setRoute("lookup", {{"open", true}, {"idempotent", true}});
    m_Cluster.setFaults(m_Cluster.m_ServiceUrls[0], {{"delay_ms", 500}});
    m_Cluster.waitFor("an answer", [this] { return ordinaryStatus() == 200; });
  }

  auto process() -> Process & { return *m_Cluster.m_Gates[0]; }
  [[nodiscard]] auto address() const -> std::string {
    return m_Cluster.m_GateUrls[0].substr(std::string("http://").size());
  }
  static auto head(const std::string &Id, const std::string &Path = "/lookup/x")
      -> std::string {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + Id + "\r\n";
  }
  auto ordinaryStatus(std::string Body = "{}") -> unsigned {
    return m_Cluster
        .call({.m_Method = "POST",
               .m_Url = m_Cluster.m_GateUrls[0] + "/lookup/x",
               .m_Body = std::move(Body)})
        .m_Status;
  }
  auto waitFor(const std::string &What, const std::function<bool()> &Condition)
      -> void {
    m_Cluster.waitFor(What, Condition);
  }
  auto runFor(Duration Span) -> void { m_Cluster.runLoopFor(Span); }

private:
  MemorySetting m_Memory;
  Cluster m_Cluster{{.m_Gates = 1, .m_Runners = 1}};
};

auto withLength(std::size_t Bytes) -> std::string {
  return fmt::format("Content-Length: {}\r\n\r\n", Bytes);
}

auto chunk(std::size_t Bytes) -> std::string {
  return fmt::format("{:x}\r\n{}\r\n", Bytes, std::string(Bytes, 'x'));
}

/// Lets a crowd act on a fresh process, until all is sent or for a stated time.
/// The process must live, keep to its memory and descriptors, and answer an
/// ordinary request afterwards.
template <typename Target>
auto bearCrowd(const HostileBehaviour &Behaviour) -> void {
  auto Test = Target();
  auto Descriptors = std::size_t{0};
  {
    auto Crowd = HostileCrowd(Test.address(), Behaviour);
    constexpr auto Step = Milliseconds(100);
    for (auto Waited = Duration::zero(); Waited < CrowdTime; Waited += Step) {
      Test.runFor(Step);
      Descriptors = std::max(Descriptors, Test.process().openDescriptors());
      if (!Test.process().running() ||
          (Crowd.sentAll() && Behaviour.m_Trickle.empty()))
        break;
    }
    MESSAGE("sent by the crowd: ", Crowd.sentBytes() >> 20U,
            " MiB; peak memory of the process: ",
            Test.process().peakMemoryBytes() >> 20U, " MiB of ",
            MemoryMegabytes, "; descriptors at most: ", Descriptors);
  }
  REQUIRE(Test.process().running());
  Test.waitFor("an answer to an ordinary request",
               [&Test] { return Test.ordinaryStatus() == 200; });
  CHECK(Test.process().peakMemoryBytes() < MemoryBound);
  // A caller's connection, and one to a backend server for its request.
  CHECK(Descriptors < OtherDescriptors + 2 * Behaviour.m_Callers);
  CHECK(Test.process().running());
}

constexpr auto FarOverLimit = std::size_t{64} << 20U;

} // namespace

TEST_CASE_TEMPLATE("e2e: callers announce bodies far over the limit", Target,
                   HostTarget, GateTarget) {
  bearCrowd<Target>({.m_Head = Target::head("a") + withLength(1U << 30U),
                     .m_Block = std::string(BlockBytes, 'x'),
                     .m_Blocks = FarOverLimit / BlockBytes,
                     .m_Connections = 3});
}

TEST_CASE_TEMPLATE("e2e: callers send chunks far over the limit", Target,
                   HostTarget, GateTarget) {
  bearCrowd<Target>(
      {.m_Head = Target::head("a") + "Transfer-Encoding: chunked\r\n\r\n",
       .m_Block = chunk(BlockBytes),
       .m_Blocks = FarOverLimit / BlockBytes,
       .m_Connections = 3});
}

TEST_CASE_TEMPLATE("e2e: callers send chunks without end and read nothing",
                   Target, HostTarget, GateTarget) {
  constexpr auto Endless = std::size_t{1} << 40U;
  bearCrowd<Target>(
      {.m_Head = Target::head("a") + "Transfer-Encoding: chunked\r\n\r\n",
       .m_Block = chunk(BlockBytes),
       .m_Blocks = Endless / BlockBytes,
       .m_Reads = false,
       .m_Connections = 1000});
}

TEST_CASE_TEMPLATE("e2e: callers trickle the last bytes of a body", Target,
                   HostTarget, GateTarget) {
  bearCrowd<Target>(
      {.m_Head = Target::head("a") + withLength(Target::MaxBodyBytes),
       .m_Block = std::string(BlockBytes, 'x'),
       .m_Blocks = Target::MaxBodyBytes / BlockBytes - 1,
       .m_Trickle = "x"});
}

TEST_CASE_TEMPLATE("e2e: callers send requests and never read", Target,
                   HostTarget, GateTarget) {
  // Answered at once, with the id in the answer.
  constexpr auto LongId = std::size_t{15000};
  bearCrowd<Target>(
      {.m_Block =
           Target::head(std::string(LongId, 'i'), "/none/x") + withLength(0),
       .m_Blocks = 2000,
       .m_Reads = false});
}

TEST_CASE_TEMPLATE("e2e: callers pipeline bodies of the largest size", Target,
                   HostTarget, GateTarget) {
  bearCrowd<Target>({.m_Block = Target::head("a") +
                                withLength(Target::MaxBodyBytes) +
                                std::string(Target::MaxBodyBytes, 'x'),
                     .m_Blocks = 4});
}

TEST_CASE_TEMPLATE("e2e: callers send heads without end", Target, HostTarget,
                   GateTarget) {
  bearCrowd<Target>(
      {.m_Head = Target::head("a"),
       .m_Block = "X-Fill: " + std::string(BlockBytes / 8, 'x') + "\r\n",
       .m_Blocks = FarOverLimit / (BlockBytes / 8),
       .m_Connections = 3});
}

TEST_CASE_TEMPLATE("e2e: a single request of the largest size is served",
                   Target, HostTarget, GateTarget) {
  auto Test = Target();
  CHECK(Test.ordinaryStatus(std::string(Target::MaxBodyBytes, 'x')) == 200);
  CHECK(Test.process().peakMemoryBytes() < MemoryBound);
}
