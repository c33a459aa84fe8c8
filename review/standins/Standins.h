//===- Standins.h - Stand-ins for the users' platform -----------*- C++ -*-===//
///
/// \file
/// Small servers and clients on loopback for the review's cases: the store, the
/// platform's own interface, runners, clients, and a host process that is
/// started with the command of the deploy file. One thread a connection.
///
//===----------------------------------------------------------------------===//
#ifndef REVIEW_STANDINS_H
#define REVIEW_STANDINS_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of this program.
auto nowMs() -> std::int64_t;
auto sleepMs(std::int64_t Time) -> void;

/// Writes lines to record.txt, each with the time in milliseconds.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  auto line(const std::string &Text) -> void;

private:
  std::mutex m_Mutex;
  std::FILE *m_File;
};

struct Headers {
  std::vector<std::pair<std::string, std::string>> m_Items;
  auto get(const std::string &Name) const -> std::string;
};

/// A TCP connection with a read buffer.
class Channel {
public:
  explicit Channel(int Fd) : m_Fd(Fd) {}
  Channel(const Channel &) = delete;
  auto operator=(const Channel &) -> Channel & = delete;
  ~Channel();

  auto sendAll(const std::string &Bytes) -> bool;
  /// Reads until the end of a line. \returns false at the connection's end.
  auto readLine(std::string &Line) -> bool;
  auto readBytes(std::size_t Count, std::string &Bytes) -> bool;
  auto setReadTimeout(std::int64_t Milliseconds) -> void;
  /// Errno of the last failed read, 0 at an orderly end.
  int m_Error = 0;
  int m_Fd;

private:
  auto fill() -> bool;
  std::string m_Buffer;
};

struct Request {
  std::string m_Method;
  std::string m_Target;
  Headers m_Headers;
  std::string m_Body;
};

struct Response {
  int m_Status = 0; ///< 0: no complete head came.
  Headers m_Headers;
  std::string m_Body;
  bool m_Complete = false;
};

auto readRequest(Channel &Peer, Request &Result) -> bool;
auto simpleResponse(int Status, const std::string &Body,
                    const std::string &MoreHeaders = {}) -> std::string;

/// Accepts connections on an address and runs a handler for each request. The
/// handler sends the response itself; it returns whether the connection stays.
class Server {
public:
  using Handler = std::function<bool(Channel &, const Request &)>;
  Server(const std::string &Ip, Handler Handle);
  [[nodiscard]] auto address() const -> const std::string & {
    return m_Address;
  }

private:
  Handler m_Handle;
  std::string m_Address;
};

/// The platform's store, as PROTOCOL.md describes it.
class Store {
public:
  explicit Store(const std::string &Ip);
  [[nodiscard]] auto address() const -> std::string {
    return m_Server->address();
  }
  auto put(const std::string &Key, const Json &Value) -> void;
  auto remove(const std::string &Key) -> void;
  /// Time that the store takes for an answer.
  std::atomic<int> m_AnswerMs{4};

private:
  struct Item {
    std::string m_Value; ///< Base64, as on the wire.
    std::uint64_t m_Revision = 0;
    std::uint64_t m_Created = 0;
    std::uint64_t m_Lease = 0;
  };
  struct Change {
    std::string m_Key;
    std::uint64_t m_Revision;
  };
  auto handle(Channel &Peer, const Request &Call) -> bool;
  auto expireLeases() -> void;
  auto write(const std::string &Key, const std::string &Value,
             std::uint64_t Lease, std::uint64_t Revision) -> void;
  auto erase(const std::string &Key, std::uint64_t Revision) -> void;
  auto encode(const std::string &Key, const Item &Entry) const -> Json;

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::uint64_t m_Revision = 7;
  std::map<std::string, Item> m_Items;
  std::vector<Change> m_History;
  struct Lease {
    std::int64_t m_TtlMs;
    std::int64_t m_EndsAt;
  };
  std::map<std::uint64_t, Lease> m_Leases;
  std::uint64_t m_LastLease = 100;
  std::unique_ptr<Server> m_Server;
};

/// The platform's own interface: accepts all calls, or none while it is busy.
class Cloud {
public:
  explicit Cloud(const std::string &Ip);
  std::atomic<bool> m_Busy{false};
  /// Called with each call and the status of its answer.
  std::function<void(const Request &, int)> m_OnCall;
  [[nodiscard]] auto address() const -> std::string {
    return m_Server->address();
  }

private:
  std::unique_ptr<Server> m_Server;
};

/// A process of the system on a loopback address of its own.
class Host {
public:
  struct Options {
    std::string m_Ip;
    std::string m_Name;
    std::string m_Store;
    std::string m_Cloud;
    int m_MemoryMb = 260;
    std::string m_Folder; ///< For the settings file and the log.
  };
  explicit Host(Options Values);
  ~Host();
  auto start() -> void;
  auto signal(int Number) -> void;
  /// Ends the process and waits for its end.
  auto kill() -> void;
  /// \returns true once the process has ended; its wait status is in m_Status.
  auto ended() -> bool;
  auto ready() -> bool;
  auto waitReady(std::int64_t LimitMs) -> bool;
  /// Resident memory in bytes; 0 if the process has ended.
  [[nodiscard]] auto memoryBytes() const -> std::int64_t;
  [[nodiscard]] auto front() const -> std::string;
  int m_Status = 0;
  int m_Pid = 0;

private:
  Options m_Options;
  bool m_Ended = false;
};

/// A client's connection to a host.
class Client {
public:
  explicit Client(const std::string &Address);
  ~Client() = default;
  [[nodiscard]] auto connected() const -> bool { return m_Channel != nullptr; }
  auto send(const Request &Call) -> bool;
  /// Reads the head and the body of a response. \p OnData gets pieces of the
  /// body as they come.
  auto receive(const std::function<void(const std::string &)> &OnData = {})
      -> Response;
  std::unique_ptr<Channel> m_Channel;
};

auto connectTo(const std::string &Address) -> int;
auto newRequestId() -> std::string;

/// Returns the configuration with one plain and one streaming service.
auto configuration(int Version, std::int64_t MaxBodyBytes) -> Json;
/// Registration of a runner.
auto registration(const std::string &Service, const std::string &Address,
                  int Slots) -> Json;
/// A loopback address for this run that other runs are unlikely to use.
auto randomIp(int Last) -> std::string;
/// A new folder under /tmp.
auto temporaryFolder() -> std::string;
auto removeFolder(const std::string &Path) -> void;
auto troubleWanted() -> bool;
/// Ends this program at once: its servers' threads run until then.
[[noreturn]] auto finish(int ExitCode) -> void;

} // namespace review

#endif // REVIEW_STANDINS_H
