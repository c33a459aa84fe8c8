#include "dotterel/rpc/PeerRpc.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/rpc/detail/PeerCodec.h"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

namespace dotterel {

namespace {

/// Converts RPC calls to calls of a PeerService.
class PeerAdapter final : public schema::Peer::Server {
public:
  explicit PeerAdapter(PeerService &Service) : m_Service(Service) {}

  auto exchange(ExchangeContext Context) -> kj::Promise<void> override {
    auto View =
        m_Service.onExchange(detail::decode(Context.getParams().getView()));
    detail::encode(View, Context.getResults().initView());
    return kj::READY_NOW;
  }

  auto fetchConfiguration(FetchConfigurationContext Context)
      -> kj::Promise<void> override {
    auto KnownDigests = std::vector<std::uint64_t>();
    for (auto Digest : Context.getParams().getKnown())
      KnownDigests.push_back(Digest);
    detail::encode(m_Service.onFetchConfiguration(KnownDigests),
                   Context.getResults());
    return kj::READY_NOW;
  }

  auto claim(ClaimContext Context) -> kj::Promise<void> override {
    auto [Promise, Callback] = makePromiseAndCallback<ClaimReply>();
    m_Service.onClaim(detail::decode(Context.getParams().getRequest()),
                      std::move(Callback));
    return Promise.then([Context](const ClaimReply &Reply) mutable {
      detail::encode(Reply, Context.getResults().initReply());
    });
  }

  auto recordOutcome(RecordOutcomeContext Context)
      -> kj::Promise<void> override {
    auto [Promise, Callback] = makePromiseAndCallback<bool>();
    m_Service.onOutcome(detail::decode(Context.getParams().getRecord()),
                        std::move(Callback));
    return Promise.then([Context](bool Durable) mutable {
      Context.getResults().setDurable(Durable);
    });
  }

  auto replicateUsage(ReplicateUsageContext Context)
      -> kj::Promise<void> override {
    m_Service.onUsage(detail::decode(Context.getParams().getBatch()));
    return kj::READY_NOW;
  }

private:
  /// Returns a promise and a callback that fulfils it.
  template <typename Value>
  static auto makePromiseAndCallback()
      -> std::pair<kj::Promise<Value>, std::function<void(Value)>> {
    auto Pair = kj::newPromiseAndFulfiller<Value>();
    auto Fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(
        kj::mv(Pair.fulfiller));
    return {kj::mv(Pair.promise), [Fulfiller](Value Result) {
              (*Fulfiller)->fulfill(kj::mv(Result));
            }};
  }

  PeerService &m_Service;
};

/// Logs the failures of detached promises.
class TaskErrorLogger final : public kj::TaskSet::ErrorHandler {
public:
  auto taskFailed(kj::Exception &&Exception) -> void override {
    logDebug("rpc.task.failed",
             {{"reason", Exception.getDescription().cStr()}});
  }
};

/// A connection to a peer, kept open for further calls.
class Connection {
public:
  explicit Connection(kj::Own<kj::AsyncIoStream> Stream)
      : m_Stream(kj::mv(Stream)),
        m_Network(*m_Stream, capnp::rpc::twoparty::Side::CLIENT),
        m_System(capnp::makeRpcClient(m_Network)) {}

  auto bootstrap() -> schema::Peer::Client {
    auto Message = capnp::MallocMessageBuilder();
    auto Id = Message.initRoot<capnp::rpc::twoparty::VatId>();
    Id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_System.bootstrap(Id).castAs<schema::Peer>();
  }

  auto onDisconnect() -> kj::Promise<void> { return m_Network.onDisconnect(); }

private:
  kj::Own<kj::AsyncIoStream> m_Stream;
  capnp::TwoPartyVatNetwork m_Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_System;
};

class RpcCaller final : public PeerCaller {
public:
  RpcCaller(KjLoop &Loop, const PeerCallerOptions &Options)
      : m_Loop(Loop), m_Options(Options),
        m_Tasks(std::make_unique<kj::TaskSet>(m_Errors)) {}

  auto exchange(const std::string &Address, const PeerView &View,
                PeerCallback<PeerView> Callback) -> void override {
    call<PeerView>(
        Address,
        [View](schema::Peer::Client &Client) {
          auto Request = Client.exchangeRequest();
          detail::encode(View, Request.initView());
          return Request.send().then(
              [](auto Reply) { return detail::decode(Reply.getView()); });
        },
        std::move(Callback));
  }

  auto fetchConfiguration(const std::string &Address,
                          const std::vector<std::uint64_t> &KnownDigests,
                          PeerCallback<ConfigurationDelta> Callback)
      -> void override {
    call<ConfigurationDelta>(
        Address,
        [KnownDigests](schema::Peer::Client &Client) {
          auto Request = Client.fetchConfigurationRequest();
          auto Digests = Request.initKnown(KnownDigests.size());
          for (auto Index = 0U; Index < KnownDigests.size(); ++Index)
            Digests.set(Index, KnownDigests[Index]);
          return Request.send().then([](auto Reply) -> ConfigurationDelta {
            return detail::decode(
                static_cast<schema::Peer::FetchConfigurationResults::Reader>(
                    Reply));
          });
        },
        std::move(Callback));
  }

  auto claim(const std::string &Address, const Claim &Request,
             PeerCallback<ClaimReply> Callback) -> void override {
    call<ClaimReply>(
        Address,
        [Request](schema::Peer::Client &Client) {
          auto Message = Client.claimRequest();
          detail::encode(Request, Message.initRequest());
          return Message.send().then(
              [](auto Reply) { return detail::decode(Reply.getReply()); });
        },
        std::move(Callback));
  }

  auto recordOutcome(const std::string &Address, const ClaimOutcome &Outcome,
                     PeerCallback<bool> Callback) -> void override {
    call<bool>(
        Address,
        [Outcome](schema::Peer::Client &Client) {
          auto Message = Client.recordOutcomeRequest();
          detail::encode(Outcome, Message.initRecord());
          return Message.send().then(
              [](auto Reply) -> bool { return Reply.getDurable(); });
        },
        std::move(Callback));
  }

  auto replicateUsage(const std::string &Address, const UsageSegment &Segment,
                      PeerCallback<bool> Callback) -> void override {
    call<bool>(
        Address,
        [Segment](schema::Peer::Client &Client) {
          auto Message = Client.replicateUsageRequest();
          detail::encode(Segment, Message.initBatch());
          return Message.send().then([](auto) -> bool { return true; });
        },
        std::move(Callback));
  }

private:
  struct CachedConnection {
    std::uint64_t m_Generation = 0;
    std::shared_ptr<Connection> m_Connection;
  };

  /// Makes a call over the connection to \p Address, and closes that connection
  /// if the call fails or times out.
  template <typename Reply, typename RequestFunction>
  auto call(const std::string &Address, RequestFunction MakeCall,
            PeerCallback<Reply> Callback) -> void {
    auto Shared = std::make_shared<PeerCallback<Reply>>(std::move(Callback));
    // Runs later, so that the exception for a malformed address fails the
    // promise instead of reaching the caller.
    auto Call = kj::evalLater([this, Address] {
                  return connectionTo(Address);
                }).then([MakeCall](std::shared_ptr<Connection> Peer) mutable {
      auto Client = Peer->bootstrap();
      auto Result = MakeCall(Client);
      return Result.attach(kj::mv(Client), std::move(Peer));
    });
    auto Timeout = m_Loop.delay(m_Options.m_CallTimeout).then([]() -> Reply {
      throw KJ_EXCEPTION(OVERLOADED, "call timed out");
    });
    m_Tasks->add(
        Call.exclusiveJoin(kj::mv(Timeout))
            .then([Shared](Reply Result) { (*Shared)(std::move(Result)); },
                  [this, Shared, Address](kj::Exception &&Failure) {
                    logDebug("rpc.call.failed",
                             {{"peer", Address},
                              {"reason", Failure.getDescription().cStr()}});
                    // The state of the connection is unknown, so it is not
                    // reused.
                    m_Connections.erase(Address);
                    (*Shared)(std::nullopt);
                  }));
  }

  /// Returns the open connection to \p Address or opens one.
  auto connectionTo(const std::string &Address)
      -> kj::Promise<std::shared_ptr<Connection>> {
    auto Found = m_Connections.find(Address);
    if (Found != m_Connections.end())
      return Found->second.m_Connection;
    return m_Loop.connect(SocketAddress::parse(Address))
        .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
          auto Created = std::make_shared<Connection>(kj::mv(Stream));
          auto Generation = ++m_LastGeneration;
          m_Connections[Address] = {.m_Generation = Generation,
                                    .m_Connection = Created};
          m_Tasks->add(
              Created->onDisconnect().then([this, Address, Generation] {
                auto Current = m_Connections.find(Address);
                if (Current != m_Connections.end() &&
                    Current->second.m_Generation == Generation)
                  m_Connections.erase(Current);
              }));
          return Created;
        });
  }

  KjLoop &m_Loop;
  PeerCallerOptions m_Options;
  std::map<std::string, CachedConnection> m_Connections;
  std::uint64_t m_LastGeneration = 0;
  TaskErrorLogger m_Errors;
  std::unique_ptr<kj::TaskSet> m_Tasks;
};

} // namespace

auto makePeerCaller(KjLoop &Loop, const PeerCallerOptions &Options)
    -> std::unique_ptr<PeerCaller> {
  return std::make_unique<RpcCaller>(Loop, Options);
}

class PeerServer::Impl {
public:
  Impl(KjLoop &Loop, PeerService &Service, int Fd)
      : m_Loop(Loop), m_Bootstrap(kj::heap<PeerAdapter>(Service)), m_Fd(Fd),
        m_Watcher(Loop.loop(), Fd, EV_READ, [this](int) { accept(); }),
        m_Tasks(m_Errors) {}
  Impl(const Impl &) = delete;
  auto operator=(const Impl &) -> Impl & = delete;

  ~Impl() {
    m_Watcher.enable(false);
    ::close(m_Fd);
  }

private:
  struct Client {
    Client(kj::Own<kj::AsyncIoStream> Stream, schema::Peer::Client Bootstrap)
        : m_Stream(kj::mv(Stream)),
          m_Network(*m_Stream, capnp::rpc::twoparty::Side::SERVER),
          m_System(capnp::makeRpcServer(m_Network, kj::mv(Bootstrap))) {}

    kj::Own<kj::AsyncIoStream> m_Stream;
    capnp::TwoPartyVatNetwork m_Network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_System;
  };

  auto accept() -> void {
    auto Fd = ::accept4(m_Fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    auto Created = kj::heap<Client>(m_Loop.wrap(Fd), m_Bootstrap);
    auto Disconnected = Created->m_Network.onDisconnect();
    m_Tasks.add(Disconnected.attach(kj::mv(Created)));
  }

  KjLoop &m_Loop;
  schema::Peer::Client m_Bootstrap;
  int m_Fd;
  FdWatcher m_Watcher;
  TaskErrorLogger m_Errors;
  kj::TaskSet m_Tasks;
};

PeerServer::PeerServer(KjLoop &Loop, PeerService &Service,
                       const SocketAddress &Address) {
  auto Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  auto Raw = Address.raw();
  constexpr auto Backlog = 512;
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&Raw), sizeof Raw) != 0 ||
      ::listen(Fd, Backlog) != 0) {
    auto Reason = std::string(std::strerror(errno));
    ::close(Fd);
    throw IoError(
        401, fmt::format("cannot listen on {}: {}", Address.text(), Reason));
  }
  auto Bound = sockaddr_in{};
  auto Size = socklen_t{sizeof Bound};
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Bound), &Size);
  m_Bound = Address.withPort(ntohs(Bound.sin_port));
  m_Impl = std::make_unique<Impl>(Loop, Service, Fd);
}

PeerServer::~PeerServer() = default;

} // namespace dotterel
