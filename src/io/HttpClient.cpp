#include "dotterel/io/HttpClient.h"

#include "dotterel/base/Errors.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/detail/BrokenResponseLog.h"
#include "dotterel/io/detail/ResponseHeadCheck.h"

#include <algorithm>
#include <charconv>
#include <curl/curl.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel {

namespace {

/// Maximum size of all heads and trailers of a call. libcurl limits only the
/// heads.
constexpr auto MaxHeaderBytes = std::size_t{64} << 10U;

struct Transfer {
  ~Transfer() {
    curl_slist_free_all(m_HeaderList);
    curl_easy_cleanup(m_Easy);
  }

  HttpCallId m_Id;
  HttpCall m_Call;
  CURL *m_Easy = nullptr;
  curl_slist *m_HeaderList = nullptr;
  HttpCallResult m_Result;
  bool m_HeadersReported = false;
  bool m_Cancelled = false;
  std::size_t m_ReceivedBytes = 0;
  std::size_t m_HeaderBytes = 0;
  detail::ResponseHeadCheck m_HeadCheck; ///< Of the newest head.
  bool m_HeadComplete = false;           ///< That of the final response.
  bool m_InvalidLength = false;
};

struct SocketWatch {
  std::unique_ptr<FdWatcher> m_Watcher;
};

auto reportHeaders(Transfer &Transfer) -> void {
  if (Transfer.m_HeadersReported)
    return;
  Transfer.m_HeadersReported = true;
  auto Status = 0L;
  curl_easy_getinfo(Transfer.m_Easy, CURLINFO_RESPONSE_CODE, &Status);
  Transfer.m_Result.m_Status = static_cast<unsigned>(Status);
  if (Transfer.m_Call.m_OnHeaders)
    Transfer.m_Call.m_OnHeaders(Transfer.m_Result.m_Status,
                                Transfer.m_Result.m_Headers);
}

auto onBody(char *Data, std::size_t Size, std::size_t Count, void *Target)
    -> std::size_t {
  auto &Current = *static_cast<Transfer *>(Target);
  auto Bytes = Size * Count;
  Current.m_ReceivedBytes += Bytes;
  if (Current.m_Cancelled)
    return 0;
  if (Current.m_ReceivedBytes > Current.m_Call.m_MaxResponseBytes ||
      !Current.m_HeadComplete)
    return 0;
  reportHeaders(Current);
  if (Current.m_Cancelled)
    return 0;
  if (Current.m_Call.m_OnData)
    Current.m_Call.m_OnData(std::string_view(Data, Bytes));
  else
    Current.m_Result.m_Body.append(Data, Bytes);
  return Bytes;
}

/// Returns whether \p Value is a length, and the same as any earlier one of the
/// head. libcurl reads what precedes the first byte that is no digit.
auto acceptLength(Transfer &Current, std::string_view Value) -> bool {
  constexpr auto Blanks = std::string_view(" \t");
  auto Begin = std::min(Value.find_first_not_of(Blanks), Value.size());
  auto End = Value.find_last_not_of(Blanks) + 1;
  auto Number = Value.substr(Begin, End > Begin ? End - Begin : 0);
  auto Length = std::int64_t{-1};
  auto Parsed =
      std::from_chars(Number.data(), Number.data() + Number.size(), Length);
  auto Whole = Parsed.ec == std::errc() &&
               Parsed.ptr == Number.data() + Number.size() && Length >= 0;
  auto Stated = findHeader(Current.m_Result.m_Headers, "Content-Length");
  Current.m_InvalidLength = !Whole || (Stated && *Stated != Value);
  return !Current.m_InvalidLength;
}

auto onHeader(char *Data, std::size_t Size, std::size_t Count, void *Target)
    -> std::size_t {
  auto &Current = *static_cast<Transfer *>(Target);
  auto Line = std::string_view(Data, Size * Count);
  Current.m_HeaderBytes += Line.size();
  if (Current.m_HeaderBytes > MaxHeaderBytes)
    return 0;
  auto &Check = Current.m_HeadCheck;
  // Another head follows that of an interim response, for example after "100
  // Continue".
  if (Check.ended() && Check.interim()) {
    Current.m_Result.m_Headers.clear();
    Check = detail::ResponseHeadCheck();
  } else if (Check.ended()) {
    Check.beginTrailers();
  }
  if (auto Unread = Line; !Check.feed(Unread))
    return 0;
  Current.m_HeadComplete =
      Current.m_HeadComplete || (Check.ended() && !Check.interim());
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size * Count;
  auto Value = Line.substr(Colon + 1);
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  if (sameHeaderName(Line.substr(0, Colon), "Content-Length") &&
      !acceptLength(Current, Value))
    return 0;
  Current.m_Result.m_Headers.push_back(
      {.m_Name = std::string(Line.substr(0, Colon)),
       .m_Value = std::string(Value)});
  return Size * Count;
}

auto closeSocket(void * /*Target*/, curl_socket_t Fd) -> int {
  resetOnCloseIfUnsent(Fd);
  return ::close(Fd);
}

/// Keeps libcurl from using the connection of an ended call again.
auto shutDownConnection(CURL *Easy) -> void {
  auto Fd = curl_socket_t{CURL_SOCKET_BAD};
  curl_easy_getinfo(Easy, CURLINFO_ACTIVESOCKET, &Fd);
  if (Fd != CURL_SOCKET_BAD)
    ::shutdown(Fd, SHUT_RDWR);
}

/// Returns whether bytes of a response arrived. libcurl passes on no line that
/// it rejects itself.
auto responseBegan(const Transfer &Current, CURLcode Code) -> bool {
  return Current.m_HeaderBytes > 0 || Code == CURLE_UNSUPPORTED_PROTOCOL ||
         Code == CURLE_WEIRD_SERVER_REPLY;
}

/// Returns the address in a URL.
auto serverOf(std::string_view Url) -> std::string_view {
  constexpr auto Separator = std::string_view("://");
  if (auto Scheme = Url.find(Separator); Scheme != std::string_view::npos)
    Url.remove_prefix(Scheme + Separator.size());
  return Url.substr(0, Url.find('/'));
}

auto toOutcome(CURLcode Code, CURL *Easy) -> HttpOutcome {
  if (Code == CURLE_OK)
    return HttpOutcome::Complete;
  auto RequestBytes = 0L;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  if (RequestBytes == 0)
    return HttpOutcome::NotSent;
  return Code == CURLE_OPERATION_TIMEDOUT ? HttpOutcome::TimedOut
                                          : HttpOutcome::Broken;
}

class CurlClient final : public HttpClient {
public:
  explicit CurlClient(EventLoop &Loop);
  CurlClient(const CurlClient &) = delete;
  auto operator=(const CurlClient &) -> CurlClient & = delete;
  ~CurlClient() override;

  auto start(HttpCall Call) -> HttpCallId override;
  auto cancel(HttpCallId Call) -> void override;
  [[nodiscard]] auto brokenResponses() const -> std::uint64_t override {
    return m_BrokenResponses.count();
  }

private:
  static auto onSocket(CURL *Easy, curl_socket_t Fd, int PollAction, void *Self,
                       void *SocketData) -> int;
  static auto onTimeout(CURLM *Multi, long Milliseconds, void *Self) -> int;
  auto handleSocketEvent(curl_socket_t Fd, int Events) -> void;
  auto finishCompleted() -> void;
  auto processDeferred() -> void;
  auto prepare(Transfer &Transfer) -> void;

  EventLoop &m_Loop;
  CURLM *m_Multi;
  std::optional<TimerId> m_Timer;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_Transfers;
  std::unordered_map<curl_socket_t, std::unique_ptr<SocketWatch>> m_Sockets;
  /// Watchers that are destroyed once the current watcher callback has
  /// returned.
  std::vector<std::unique_ptr<SocketWatch>> m_Retired;
  /// Calls that were started or cancelled inside one of libcurl's callbacks,
  /// where libcurl refuses to add or remove handles.
  std::vector<HttpCallId> m_Deferred;
  bool m_InsideCurl = false;
  std::uint64_t m_LastId = 0;
  detail::BrokenResponseLog m_BrokenResponses;
};

CurlClient::CurlClient(EventLoop &Loop)
    : m_Loop(Loop), m_Multi(curl_multi_init()) {
  if (m_Multi == nullptr)
    throw IoError(402, "libcurl cannot create a multi handle");
  curl_multi_setopt(m_Multi, CURLMOPT_SOCKETFUNCTION, &CurlClient::onSocket);
  curl_multi_setopt(m_Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_Multi, CURLMOPT_TIMERFUNCTION, &CurlClient::onTimeout);
  curl_multi_setopt(m_Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_Multi, CURLMOPT_MAXCONNECTS, 512L);
}

CurlClient::~CurlClient() {
  if (m_Timer)
    m_Loop.cancel(*m_Timer);
  for (auto &[Id, Current] : m_Transfers)
    curl_multi_remove_handle(m_Multi, Current->m_Easy);
  m_Transfers.clear();
  curl_multi_cleanup(m_Multi);
}

auto CurlClient::prepare(Transfer &Transfer) -> void {
  auto *Easy = Transfer.m_Easy;
  const auto &Call = Transfer.m_Call;
  curl_easy_setopt(Easy, CURLOPT_URL, Call.m_Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Transfer);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(toMilliseconds(Call.m_Timeout)));
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(toMilliseconds(Call.m_ConnectTimeout)));
  if (Call.m_DedicatedConnection) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (Call.m_Method != "GET" || !Call.m_Body.empty()) {
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.m_Method.c_str());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Call.m_Body.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call.m_Body.size()));
  }
  for (const auto &Header : Call.m_Headers) {
    auto Line = Header.m_Name + ": " + Header.m_Value;
    Transfer.m_HeaderList =
        curl_slist_append(Transfer.m_HeaderList, Line.c_str());
  }
  // A connection that ends with a call must not deliver the rest of it.
  curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  // Suppresses "Expect: 100-continue", which would cost a round trip.
  Transfer.m_HeaderList = curl_slist_append(Transfer.m_HeaderList, "Expect:");
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Transfer.m_HeaderList);
}

auto CurlClient::start(HttpCall Call) -> HttpCallId {
  auto Id = HttpCallId{++m_LastId};
  auto Created = std::make_unique<Transfer>();
  Created->m_Id = Id;
  Created->m_Call = std::move(Call);
  Created->m_Easy = curl_easy_init();
  prepare(*Created);
  auto *Easy = Created->m_Easy;
  m_Transfers.emplace(Id.number(), std::move(Created));
  if (m_InsideCurl)
    m_Deferred.push_back(Id);
  else
    curl_multi_add_handle(m_Multi, Easy);
  return Id;
}

auto CurlClient::cancel(HttpCallId Call) -> void {
  auto Found = m_Transfers.find(Call.number());
  if (Found == m_Transfers.end())
    return;
  if (m_InsideCurl) {
    Found->second->m_Cancelled = true;
    m_Deferred.push_back(Call);
    return;
  }
  curl_multi_remove_handle(m_Multi, Found->second->m_Easy);
  m_Transfers.erase(Found);
}

auto CurlClient::processDeferred() -> void {
  for (auto Id : std::exchange(m_Deferred, {})) {
    auto Found = m_Transfers.find(Id.number());
    if (Found == m_Transfers.end())
      continue;
    if (Found->second->m_Cancelled)
      cancel(Id);
    else
      curl_multi_add_handle(m_Multi, Found->second->m_Easy);
  }
}

auto CurlClient::onSocket(CURL * /*Easy*/, curl_socket_t Fd, int PollAction,
                          void *Self, void * /*SocketData*/) -> int {
  auto &Client = *static_cast<CurlClient *>(Self);
  auto Found = Client.m_Sockets.find(Fd);
  if (Found != Client.m_Sockets.end()) {
    Found->second->m_Watcher->enable(false);
    Client.m_Retired.push_back(std::move(Found->second));
    Client.m_Sockets.erase(Found);
  }
  if (PollAction == CURL_POLL_REMOVE)
    return 0;
  auto Events = 0;
  if ((PollAction & CURL_POLL_IN) != 0)
    Events |= EV_READ;
  if ((PollAction & CURL_POLL_OUT) != 0)
    Events |= EV_WRITE;
  auto Watch = std::make_unique<SocketWatch>();
  Watch->m_Watcher = std::make_unique<FdWatcher>(
      Client.m_Loop, Fd, Events,
      [&Client, Fd](int Ready) { Client.handleSocketEvent(Fd, Ready); });
  Client.m_Sockets.emplace(Fd, std::move(Watch));
  return 0;
}

auto CurlClient::onTimeout(CURLM * /*Multi*/, long Milliseconds, void *Self)
    -> int {
  auto &Client = *static_cast<CurlClient *>(Self);
  if (Client.m_Timer)
    Client.m_Loop.cancel(*Client.m_Timer);
  Client.m_Timer.reset();
  if (Milliseconds < 0)
    return 0;
  Client.m_Timer = Client.m_Loop.schedule(
      std::chrono::milliseconds(Milliseconds), [&Client] {
        Client.m_Timer.reset();
        Client.handleSocketEvent(CURL_SOCKET_TIMEOUT, 0);
      });
  return 0;
}

auto CurlClient::handleSocketEvent(curl_socket_t Fd, int Events) -> void {
  auto Mask = 0;
  if ((Events & EV_READ) != 0)
    Mask |= CURL_CSELECT_IN;
  if ((Events & EV_WRITE) != 0)
    Mask |= CURL_CSELECT_OUT;
  auto RunningTransfers = 0;
  m_InsideCurl = true;
  curl_multi_socket_action(m_Multi, Fd, Mask, &RunningTransfers);
  m_InsideCurl = false;
  processDeferred();
  finishCompleted();
  // The watcher whose callback is running may be among the retired ones.
  if (!m_Retired.empty())
    m_Loop.schedule(Duration::zero(),
                    [Retired = std::make_shared<decltype(m_Retired)>(
                         std::exchange(m_Retired, {}))] {});
}

auto CurlClient::finishCompleted() -> void {
  auto RemainingMessages = 0;
  while (auto *Message = curl_multi_info_read(m_Multi, &RemainingMessages)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    auto Code = Message->data.result;
    auto *Easy = Message->easy_handle;
    Transfer *Current = nullptr;
    curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Current);
    // libcurl takes a line that begins with a null character for the end of the
    // response, and keeps the connection.
    if (Code == CURLE_OK && !Current->m_HeadComplete) {
      Code = CURLE_WEIRD_SERVER_REPLY;
      shutDownConnection(Easy);
    }
    if (Code == CURLE_OK)
      reportHeaders(*Current);
    auto Status = 0L;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
    auto Result = std::move(Current->m_Result);
    Result.m_Status = static_cast<unsigned>(Status);
    Result.m_Outcome = toOutcome(Code, Easy);
    if (Code != CURLE_OK)
      Result.m_Detail = curl_easy_strerror(Code);
    // Those of an interim response, or of a head that is not valid.
    if (!Current->m_HeadComplete) {
      Result.m_Status = 0;
      Result.m_Headers.clear();
    }
    if (const auto *Error = Current->m_HeadCheck.error())
      Result.m_Detail = Error;
    if (Current->m_InvalidLength)
      Result.m_Detail = "the length of the answer is not valid";
    if (Result.m_Outcome == HttpOutcome::Broken &&
        responseBegan(*Current, Code))
      m_BrokenResponses.record(detail::requestIdOf(Current->m_Call),
                               serverOf(Current->m_Call.m_Url), Result,
                               m_Loop.now());
    auto OnDone = std::move(Current->m_Call.m_OnDone);
    curl_multi_remove_handle(m_Multi, Easy);
    m_Transfers.erase(Current->m_Id.number());
    if (OnDone)
      OnDone(std::move(Result));
  }
}

} // namespace

auto makeHttpClient(EventLoop &Loop) -> std::unique_ptr<HttpClient> {
  return std::make_unique<CurlClient>(Loop);
}

} // namespace dotterel
