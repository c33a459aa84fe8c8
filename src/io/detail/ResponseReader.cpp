#include "dotterel/io/detail/ResponseReader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dotterel::detail {

namespace {

auto reader(http_parser *Parser) -> ResponseReader & {
  return *static_cast<ResponseReader *>(Parser->data);
}

constexpr auto FirstFinalStatus = 200U;
constexpr auto NoContent = 204U;
constexpr auto NotModified = 304U;
/// Returned by a parser callback to stop the parser with an error.
constexpr auto StopParser = 1;
/// The same for the callback that runs after the headers, where 1 and 2 have
/// another meaning.
constexpr auto ParserError = -1;

} // namespace

ResponseReader::ResponseReader(ResponseReaderOptions Options,
                               Callbacks Callbacks)
    : m_Options(std::move(Options)), m_Callbacks(std::move(Callbacks)) {
  restart();
}

auto ResponseReader::restart() -> void {
  http_parser_init(&m_Parser, HTTP_RESPONSE);
  m_Parser.data = this;
  m_HeadCheck = ResponseHeadCheck();
  m_ChunkCheck = ChunkCheck();
  m_TrailerCheck = ResponseHeadCheck();
  m_TrailerCheck.beginTrailers();
  m_Headers.clear();
  m_InHeaderValue = m_HeadersDone = m_MessageDone = m_BelongsToOtherCall =
      false;
}

auto ResponseReader::settings() -> const http_parser_settings & {
  static const auto Settings = [] {
    auto Result = http_parser_settings();
    http_parser_settings_init(&Result);
    Result.on_header_field = [](http_parser *Parser, const char *Data,
                                std::size_t Size) {
      auto &Self = reader(Parser);
      if (Self.m_HeadersDone)
        return 0;
      if (Self.m_Headers.empty() || Self.m_InHeaderValue) {
        if (Self.m_Headers.size() == MaxHeaders) {
          Self.m_OverLimit = true;
          return StopParser;
        }
        Self.m_Headers.emplace_back();
      }
      Self.m_InHeaderValue = false;
      Self.m_Headers.back().m_Name.append(Data, Size);
      return 0;
    };
    Result.on_header_value = [](http_parser *Parser, const char *Data,
                                std::size_t Size) {
      auto &Self = reader(Parser);
      if (Self.m_HeadersDone)
        return 0;
      Self.m_InHeaderValue = true;
      Self.m_Headers.back().m_Value.append(Data, Size);
      return 0;
    };
    Result.on_headers_complete = [](http_parser *Parser) {
      return reader(Parser).headersComplete();
    };
    Result.on_body = [](http_parser *Parser, const char *Data,
                        std::size_t Size) {
      return reader(Parser).addBody(std::string_view(Data, Size));
    };
    Result.on_message_complete = [](http_parser *Parser) {
      reader(Parser).m_MessageDone = true;
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Result;
  }();
  return Settings;
}

auto ResponseReader::headersComplete() -> int {
  m_HeadersDone = true;
  m_Parser.upgrade = 0;
  auto Status = static_cast<unsigned>(m_Parser.status_code);
  if (Status < FirstFinalStatus)
    return 0;
  m_UnknownCoding = !decodesBody();
  if (m_UnknownCoding)
    return ParserError;
  if (!m_Options.m_EchoedHeader.m_Name.empty()) {
    auto Name = nameInResponse(m_Headers, m_Options.m_EchoedHeader);
    m_BelongsToOtherCall = Name == ResponseName::Other;
    m_NamesCall = Name == ResponseName::Own;
    // On a new connection the server may have sent it before it read the call,
    // for example because it was at its capacity.
    if (Name == ResponseName::None && m_Options.m_RequireEcho) {
      m_RejectedUnnamed = true;
      return ParserError;
    }
  }
  auto HasBody = Status != NoContent && Status != NotModified;
  if (!m_BelongsToOtherCall) {
    m_Started = true;
    // Bytes that the server sends all the same would precede the next response.
    // A length in a response with status 304 is not that of its own body.
    m_Reusable = http_should_keep_alive(&m_Parser) != 0 &&
                 (Status != NoContent || !statesBody());
    if (m_Callbacks.m_OnHeaders)
      m_Callbacks.m_OnHeaders(Status, m_Headers);
  }
  constexpr auto SkipBody = 1;
  return m_Options.m_HeadMethod || !HasBody ? SkipBody : 0;
}

auto ResponseReader::statesBody() const -> bool {
  if ((m_Parser.flags & F_CONTENTLENGTH) != 0)
    return m_Parser.content_length > 0;
  return (m_Parser.flags & F_CHUNKED) != 0;
}

auto ResponseReader::decodesBody() const -> bool {
  return std::all_of(
      m_Headers.begin(), m_Headers.end(), [this](const HttpHeader &Header) {
        if (!sameHeaderName(Header.m_Name, "Transfer-Encoding"))
          return true;
        auto Coding = std::string_view(Header.m_Value);
        while (Coding.ends_with(' '))
          Coding.remove_suffix(1);
        return sameHeaderName(
            Coding, (m_Parser.flags & F_CHUNKED) != 0 ? "chunked" : "identity");
      });
}

auto ResponseReader::checkBody(std::string_view Bytes) -> bool {
  if ((m_Parser.flags & F_CHUNKED) == 0)
    return true;
  m_InvalidChunks = !m_ChunkCheck.feed(Bytes);
  return !m_InvalidChunks && m_TrailerCheck.feed(Bytes);
}

auto ResponseReader::addBody(std::string_view Data) -> int {
  m_BodyBytes += Data.size();
  if (m_BodyBytes > m_Options.m_MaxBodyBytes) {
    m_OverLimit = true;
    return StopParser;
  }
  if (m_BelongsToOtherCall)
    return 0;
  m_OwnBodyBytes += Data.size();
  if (m_Callbacks.m_OnData)
    m_Callbacks.m_OnData(Data);
  return 0;
}

auto ResponseReader::maxOverheadBytes() const -> std::size_t {
  return MaxOverheadBytes + MaxOverheadPerBodyByte * m_OwnBodyBytes;
}

auto ResponseReader::feed(std::string_view Bytes) -> State {
  while (m_State == State::Reading && !Bytes.empty()) {
    auto Body = Bytes;
    if (!m_HeadCheck.feed(Body)) {
      m_State = State::Broken;
      return m_State;
    }
    auto EarlierBodyBytes = m_BodyBytes;
    auto Parsed = std::min(
        http_parser_execute(&m_Parser, &settings(), Bytes.data(), Bytes.size()),
        Bytes.size());
    auto Error = HTTP_PARSER_ERRNO(&m_Parser);
    if (Error != HPE_OK && Error != HPE_PAUSED) {
      m_OverLimit = m_OverLimit || Error == HPE_HEADER_OVERFLOW;
      m_State = State::Broken;
      return m_State;
    }
    m_OverheadBytes += Parsed - (m_BodyBytes - EarlierBodyBytes);
    // The parser limits each head, chunk line and trailer, but not their
    // number.
    if (m_OverheadBytes > maxOverheadBytes()) {
      m_OverLimit = true;
      m_State = State::Broken;
      return m_State;
    }
    Bytes.remove_prefix(Parsed);
    Body.remove_suffix(std::min(Body.size(), Bytes.size()));
    if (!checkBody(Body)) {
      m_State = State::Broken;
      return m_State;
    }
    if (m_MessageDone)
      m_State = finishResponse();
  }
  if (m_State == State::Complete && !Bytes.empty())
    m_HasTrailingBytes = true;
  return m_State;
}

auto ResponseReader::finishResponse() -> State {
  auto Interim = m_Parser.status_code < FirstFinalStatus;
  if (!m_BelongsToOtherCall && !Interim)
    return State::Complete;
  if (m_BelongsToOtherCall)
    ++m_SkippedResponses;
  restart();
  return State::Reading;
}

auto ResponseReader::end(bool ClosedCleanly) -> State {
  if (m_State != State::Reading)
    return m_State;
  m_State = State::Broken;
  if (!ClosedCleanly || !m_HeadersDone || m_BelongsToOtherCall)
    return m_State;
  // An end of input makes the parser complete a response that ends with its
  // connection.
  http_parser_execute(&m_Parser, &settings(), nullptr, 0);
  m_Reusable = false;
  if (m_MessageDone)
    m_State = State::Complete;
  return m_State;
}

auto ResponseReader::brokenReason() const -> const char * {
  if (m_OverLimit)
    return "the answer is over the limit";
  if (m_RejectedUnnamed)
    return "the answer names no request";
  if (m_HeadCheck.error() != nullptr)
    return m_HeadCheck.error();
  if (m_UnknownCoding)
    return "the transfer coding of the answer is not known";
  if (m_InvalidChunks)
    return "the chunks of the answer are not valid";
  if (m_TrailerCheck.error() != nullptr)
    return m_TrailerCheck.error();
  return "the bytes are no answer";
}

auto ResponseReader::keepAliveTimeout() const -> std::optional<Duration> {
  auto Value = findHeader(m_Headers, "Keep-Alive");
  if (!Value)
    return std::nullopt;
  constexpr auto Name = std::string_view("timeout=");
  auto Position = Value->find(Name);
  if (Position == std::string::npos)
    return std::nullopt;
  auto TimeoutSeconds = 0U;
  auto Text = std::string_view(*Value).substr(Position + Name.size());
  auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), TimeoutSeconds);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return Seconds(TimeoutSeconds);
}

} // namespace dotterel::detail
