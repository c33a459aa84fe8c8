#include "dotterel/io/detail/RequestReader.h"

#include <algorithm>
#include <utility>

namespace dotterel::detail {

namespace {

constexpr auto HeadEnd = std::string_view("\r\n\r\n");

auto self(http_parser *Parser) -> void * { return Parser->data; }

/// Splits the query into names and values. Escapes are not decoded, because the
/// target is forwarded as received.
auto splitQuery(std::string_view Query) -> HttpHeaders {
  auto Result = HttpHeaders();
  while (!Query.empty()) {
    auto End = std::min(Query.find('&'), Query.size());
    auto Item = Query.substr(0, End);
    auto Equals = std::min(Item.find('='), Item.size());
    Result.push_back({.m_Name = std::string(Item.substr(0, Equals)),
                      .m_Value = std::string(
                          Item.substr(std::min(Equals + 1, Item.size())))});
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return Result;
}

auto countHeader(const HttpHeaders &Headers, std::string_view Name)
    -> std::ptrdiff_t {
  return std::count_if(Headers.begin(), Headers.end(),
                       [Name](const HttpHeader &Item) {
                         return sameHeaderName(Item.m_Name, Name);
                       });
}

/// Returns whether a header's name contains white space, which some parsers
/// treat as part of the name and others do not.
auto hasSpaceInHeaderName(std::string_view Head) -> bool {
  auto At = Head.find('\n');
  while (At != std::string_view::npos && At + 1 < Head.size()) {
    auto End = std::min(Head.find('\n', At + 1), Head.size());
    auto Line = Head.substr(At + 1, End - At - 1);
    auto Name = Line.substr(0, Line.find(':'));
    if (Line.find(':') != std::string_view::npos &&
        Name.find_first_of(" \t") != std::string_view::npos)
      return true;
    At = Head.find('\n', At + 1);
  }
  return false;
}

} // namespace

auto findHeadError(std::string_view Head) -> std::string_view {
  if (hasSpaceInHeaderName(Head))
    return "white space in a header's name";
  for (auto Index = std::size_t{0}; Index < Head.size(); ++Index) {
    auto Character = Head[Index];
    auto Next = Index + 1 < Head.size() ? Head[Index + 1] : '\0';
    if (Character == '\r' && Next != '\n')
      return "a carriage return without a line feed";
    if (Character == '\n') {
      if (Index == 0 || Head[Index - 1] != '\r')
        return "a line feed without a carriage return";
      if (Next == ' ' || Next == '\t')
        return "a folded header line";
      continue;
    }
    auto Code = static_cast<unsigned char>(Character);
    if ((Code < 0x20 && Character != '\t' && Character != '\r') || Code == 0x7f)
      return "a control character in the headers";
  }
  return {};
}

RequestReader::RequestReader(const CallerLimits &Limits) : m_Limits(Limits) {
  http_parser_init(&m_Parser, HTTP_REQUEST);
  m_Parser.data = this;
}

auto RequestReader::settings() -> const http_parser_settings & {
  static const auto Settings = [] {
    auto Result = http_parser_settings();
    http_parser_settings_init(&Result);
    Result.on_url = [](http_parser *Parser, const char *Data,
                       std::size_t Size) {
      static_cast<RequestReader *>(self(Parser))
          ->m_Request.m_Target.append(Data, Size);
      return 0;
    };
    Result.on_header_field = [](http_parser *Parser, const char *Data,
                                std::size_t Size) {
      auto &Reader = *static_cast<RequestReader *>(self(Parser));
      // Trailers are not merged into the headers.
      if (Reader.m_HeadersDone)
        return 0;
      auto &Headers = Reader.m_Request.m_Headers;
      if (Headers.empty() || Reader.m_InHeaderValue)
        Headers.emplace_back();
      Reader.m_InHeaderValue = false;
      Headers.back().m_Name.append(Data, Size);
      return 0;
    };
    Result.on_header_value = [](http_parser *Parser, const char *Data,
                                std::size_t Size) {
      auto &Reader = *static_cast<RequestReader *>(self(Parser));
      if (Reader.m_HeadersDone)
        return 0;
      Reader.m_InHeaderValue = true;
      Reader.m_Request.m_Headers.back().m_Value.append(Data, Size);
      return 0;
    };
    Result.on_headers_complete = [](http_parser *Parser) {
      static_cast<RequestReader *>(self(Parser))->checkHead();
      // Upgrades are not supported. The bytes that follow are an ordinary body.
      Parser->upgrade = 0;
      return 0;
    };
    Result.on_body = [](http_parser *Parser, const char *Data,
                        std::size_t Size) {
      auto &Reader = *static_cast<RequestReader *>(self(Parser));
      auto &Body = Reader.m_Body;
      if (Body.size() + Size > Reader.m_Limits.m_MaxBodyBytes) {
        Reader.reject(413, "the body is over the limit");
        return 1;
      }
      Body.append(Data, Size);
      return 0;
    };
    Result.on_message_complete = [](http_parser *Parser) {
      static_cast<RequestReader *>(self(Parser))->m_MessageDone = true;
      // The bytes that follow the message belong to the next one.
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Result;
  }();
  return Settings;
}

auto RequestReader::feed(std::string_view Bytes) -> State {
  if (m_State == State::Rejected)
    return m_State;
  m_Buffer.append(Bytes);
  return m_State == State::Complete ? m_State : advance();
}

auto RequestReader::next() -> State {
  m_Request = HttpRequest();
  m_Body.clear();
  m_State = State::Head;
  m_ScannedBytes = m_HeadBytes = 0;
  m_InHeaderValue = m_HeadersDone = m_MessageDone = m_ExpectContinue = false;
  http_parser_init(&m_Parser, HTTP_REQUEST);
  m_Parser.data = this;
  return advance();
}

auto RequestReader::consumeExpectContinue() -> bool {
  return std::exchange(m_ExpectContinue, false);
}

auto RequestReader::heldBytes() const -> std::size_t {
  auto Body =
      m_State == State::Complete ? m_Request.m_Body.size() : m_Body.capacity();
  return m_Buffer.size() + m_HeadBytes +
         m_Request.m_Headers.capacity() * sizeof(HttpHeader) + Body;
}

auto RequestReader::discard() -> void {
  reject(503, "the request is not read");
  // An assignment would keep the memory.
  std::string().swap(m_Buffer);
  std::string().swap(m_Body);
  m_Request = HttpRequest();
}

auto RequestReader::reject(unsigned Status, std::string Reason) -> State {
  if (m_State == State::Rejected)
    return m_State;
  m_Rejection = {.m_Status = Status, .m_Reason = std::move(Reason)};
  m_KeepAlive = false;
  m_State = State::Rejected;
  return m_State;
}

auto RequestReader::advance() -> State {
  if (m_State == State::Head && readHead() != State::Body)
    return m_State;
  if (m_State == State::Body && (!m_Buffer.empty() || m_MessageDone))
    readBody(std::exchange(m_Buffer, {}));
  return m_State;
}

auto RequestReader::readHead() -> State {
  // Empty lines before a request are allowed and ignored.
  while (m_Buffer.starts_with("\r\n"))
    m_Buffer.erase(0, 2);
  auto From =
      m_ScannedBytes < HeadEnd.size() ? 0 : m_ScannedBytes - HeadEnd.size();
  auto End = m_Buffer.find(HeadEnd, From);
  m_ScannedBytes = m_Buffer.size();
  auto Size = End == std::string::npos ? m_Buffer.size() : End + HeadEnd.size();
  if (Size > m_Limits.m_MaxHeaderBytes)
    return reject(431, "the headers are over the limit");
  if (End == std::string::npos) {
    // Without this check, a caller that sends bare line feeds would wait until
    // the timeout, because the end of its headers is never found.
    if (m_Buffer.find("\n\n") != std::string::npos)
      return reject(400, "a line feed without a carriage return");
    return m_State;
  }
  auto Head = std::string_view(m_Buffer).substr(0, Size);
  if (auto HeadError = findHeadError(Head); !HeadError.empty())
    return reject(400, std::string(HeadError));
  auto Parsed =
      http_parser_execute(&m_Parser, &settings(), Head.data(), Head.size());
  auto Error = HTTP_PARSER_ERRNO(&m_Parser);
  if (m_State == State::Rejected)
    return m_State;
  if (Error != HPE_OK && Error != HPE_PAUSED) {
    auto Status = Error == HPE_INVALID_VERSION ? 505U : 400U;
    return reject(Status, http_errno_description(Error));
  }
  if (Parsed < Head.size() && !m_MessageDone)
    return reject(400, "the headers end early");
  m_Buffer.erase(0, Size);
  m_HeadBytes = Size;
  m_State = State::Body;
  return m_State;
}

auto RequestReader::checkHead() -> void {
  m_HeadersDone = true;
  m_Request.m_Method = http_method_str(http_method(m_Parser.method));
  m_Http10 = m_Parser.http_major == 1 && m_Parser.http_minor == 0;
  m_KeepAlive = http_should_keep_alive(&m_Parser) != 0 && !m_Http10;
  auto QueryMark = m_Request.m_Target.find('?');
  m_Request.m_Path = m_Request.m_Target.substr(0, QueryMark);
  if (QueryMark != std::string::npos)
    m_Request.m_Query =
        splitQuery(std::string_view(m_Request.m_Target).substr(QueryMark + 1));
  const auto &Headers = m_Request.m_Headers;
  if (m_Parser.http_major != 1 || m_Parser.http_minor > 1) {
    reject(505, "the HTTP version is not supported");
    return;
  }
  if (countHeader(Headers, "Host") > 1 ||
      (!m_Http10 && countHeader(Headers, "Host") != 1)) {
    reject(400, "a request needs one Host header");
    return;
  }
  if (!m_Request.m_Target.starts_with("/")) {
    reject(400, "the target is not a path");
    return;
  }
  auto Lengths = countHeader(Headers, "Content-Length");
  auto Codings = countHeader(Headers, "Transfer-Encoding");
  if (Lengths > 1 || Codings > 1 || (Lengths == 1 && Codings == 1)) {
    reject(400, "more than one length of the body");
    return;
  }
  if (Codings == 1) {
    auto Coding = *findHeader(Headers, "Transfer-Encoding");
    if (!sameHeaderName(Coding, "chunked")) {
      reject(501, "the transfer coding is not supported");
      return;
    }
    if (m_Http10) {
      reject(400, "HTTP/1.0 has no chunks");
      return;
    }
  }
  if (Lengths == 1) {
    auto Length = *findHeader(Headers, "Content-Length");
    if (Length.empty() ||
        Length.find_first_not_of("0123456789") != std::string::npos) {
      reject(400, "the length of the body is not a number");
      return;
    }
    if (m_Parser.content_length > m_Limits.m_MaxBodyBytes) {
      reject(413, "the body is over the limit");
      return;
    }
    // Takes no memory until bytes arrive, and saves copies while it grows.
    m_Body.reserve(m_Parser.content_length);
  }
  for (const auto &Header : Headers) {
    if (Header.m_Name.empty()) {
      reject(400, "a header without a name");
      return;
    }
  }
  if (auto Expect = findHeader(Headers, "Expect");
      Expect && sameHeaderName(*Expect, "100-continue"))
    m_ExpectContinue = true;
}

auto RequestReader::readBody(std::string_view Bytes) -> void {
  if (!m_MessageDone) {
    auto Parsed =
        http_parser_execute(&m_Parser, &settings(), Bytes.data(), Bytes.size());
    auto Error = HTTP_PARSER_ERRNO(&m_Parser);
    if (m_State == State::Rejected)
      return;
    if (Error != HPE_OK && Error != HPE_PAUSED) {
      reject(400, http_errno_description(Error));
      return;
    }
    Bytes.remove_prefix(Parsed);
  }
  if (!m_MessageDone)
    return;
  m_State = State::Complete;
  m_Request.m_Body = std::exchange(m_Body, {});
  m_ExpectContinue = false;
  m_Buffer = Bytes;
}

} // namespace dotterel::detail
